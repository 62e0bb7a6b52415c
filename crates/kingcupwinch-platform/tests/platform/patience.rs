use std::time::Duration;

use kingcupwinch_platform::Patience;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_lost_answer_of_a_fast_service_is_noticed_soon() {
    let patience = Patience::new();
    for _ in 0..20 {
        patience.answered(8 * MS);
    }
    assert!(patience.wait(0) <= 200 * MS);
}

/// Pattern: three answers in ten are lost. The waits in vain don't add up to long ones.
#[test]
fn lost_answers_do_not_make_it_wait_long() {
    let patience = Patience::new();
    for call in 0..200 {
        if call % 10 < 3 {
            patience.waited_in_vain(patience.wait(0));
        } else {
            patience.answered(8 * MS);
        }
    }
    assert!(patience.wait(0) <= 500 * MS, "{:?}", patience.wait(0));
}

/// Pattern: the store turns slow. Calls are not made again and again while answers are on their way.
#[test]
fn a_slow_service_is_waited_for() {
    let patience = Patience::new();
    for _ in 0..8 {
        patience.answered(300 * MS);
    }
    assert!(patience.wait(0) >= 900 * MS);
    for _ in 0..30 {
        patience.answered(8 * MS);
    }
    assert!(patience.wait(0) <= 300 * MS, "it recovers");
}

#[test]
fn each_further_try_waits_longer() {
    let patience = Patience::new();
    assert!(patience.wait(1) >= patience.wait(0) * 2);
    assert!(patience.wait(40) <= 2_000 * MS);
}
