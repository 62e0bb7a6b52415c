use std::time::Duration;

use kingcupwinch_platform::AdaptiveTimeout;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_lost_answer_of_a_fast_service_is_noticed_soon() {
    let patience = AdaptiveTimeout::new();
    for _ in 0..20 {
        patience.record_response(8 * MS);
    }
    assert!(patience.timeout(0) <= 200 * MS);
}

/// Pattern: three answers in ten are lost. The waits in vain don't add up to long ones.
#[test]
fn lost_answers_do_not_make_it_wait_long() {
    let patience = AdaptiveTimeout::new();
    for call in 0..200 {
        if call % 10 < 3 {
            patience.record_timeout(patience.timeout(0));
        } else {
            patience.record_response(8 * MS);
        }
    }
    assert!(patience.timeout(0) <= 500 * MS, "{:?}", patience.timeout(0));
}

/// Pattern: the store turns slow. Calls are not made again and again while answers are on their way.
#[test]
fn a_slow_service_is_waited_for() {
    let patience = AdaptiveTimeout::new();
    for _ in 0..8 {
        patience.record_response(300 * MS);
    }
    assert!(patience.timeout(0) >= 900 * MS);
    for _ in 0..30 {
        patience.record_response(8 * MS);
    }
    assert!(patience.timeout(0) <= 300 * MS, "it recovers");
}

#[test]
fn each_further_try_waits_longer() {
    let patience = AdaptiveTimeout::new();
    assert!(patience.timeout(1) >= patience.timeout(0) * 2);
    assert!(patience.timeout(40) <= 2_000 * MS);
}
