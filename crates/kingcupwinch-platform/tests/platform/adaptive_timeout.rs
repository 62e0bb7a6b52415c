use std::time::Duration;

use kingcupwinch_platform::AdaptiveTimeout;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_lost_response_of_a_fast_service_is_detected_soon() {
    let timeout = AdaptiveTimeout::new();
    for _ in 0..20 {
        timeout.record_response(8 * MS);
    }
    assert!(timeout.timeout(0) <= 200 * MS);
}

/// Guards against a timeout that grows with lost responses: three in ten are lost.
#[test]
fn lost_responses_do_not_lengthen_the_timeout() {
    let timeout = AdaptiveTimeout::new();
    for call in 0..200 {
        if call % 10 < 3 {
            timeout.record_timeout(timeout.timeout(0));
        } else {
            timeout.record_response(8 * MS);
        }
    }
    assert!(timeout.timeout(0) <= 500 * MS, "{:?}", timeout.timeout(0));
}

/// Guards against needless retries while responses of a slow store are still on their way.
#[test]
fn a_slow_service_lengthens_the_timeout() {
    let timeout = AdaptiveTimeout::new();
    for _ in 0..8 {
        timeout.record_response(300 * MS);
    }
    assert!(timeout.timeout(0) >= 900 * MS);
    for _ in 0..30 {
        timeout.record_response(8 * MS);
    }
    assert!(timeout.timeout(0) <= 300 * MS, "the timeout recovers");
}

#[test]
fn each_further_attempt_has_a_longer_timeout() {
    let timeout = AdaptiveTimeout::new();
    assert!(timeout.timeout(1) >= timeout.timeout(0) * 2);
    assert!(timeout.timeout(40) <= 2_000 * MS);
}
