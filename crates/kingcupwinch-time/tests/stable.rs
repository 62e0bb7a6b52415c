//! Stable wall-clock time while the wall clock jumps.

use kingcupwinch_time::{StableWallClock, Time, WallTime};

const START: u64 = 1_700_000_000_000;

/// Observes a wall clock that is off by `off_ms`, and returns the error of the stable time, both
/// in milliseconds.
fn observe_error(clock: &mut StableWallClock, at_ms: u64, off_ms: i64) -> i64 {
    let true_ms = START + at_ms;
    let wall = WallTime::from_millis(true_ms.checked_add_signed(off_ms).expect("in range"));
    let stable = clock.observe(Time::from_millis(at_ms), wall);
    i64::try_from(stable.as_millis()).expect("small") - i64::try_from(true_ms).expect("small")
}

#[test]
fn jump_that_is_reverted_has_no_effect() {
    let mut clock = StableWallClock::default();
    observe_error(&mut clock, 0, 0);
    for at in 1..100 {
        let off = if (20..80).contains(&at) { 2_400 } else { 0 };
        assert_eq!(observe_error(&mut clock, at * 100, off), 0, "at {at}");
    }
}

#[test]
fn persistent_jump_is_followed() {
    let mut clock = StableWallClock::default();
    observe_error(&mut clock, 0, 0);
    assert_eq!(observe_error(&mut clock, 1_000, -5_000), 0);
    assert_eq!(observe_error(&mut clock, 30_000, -5_000), 0);
    assert_eq!(observe_error(&mut clock, 31_000, -5_000), -5_000);
}

#[test]
fn small_corrections_are_followed_at_once() {
    let mut clock = StableWallClock::default();
    observe_error(&mut clock, 0, 0);
    assert_eq!(observe_error(&mut clock, 1_000, 150), 150);
    assert_eq!(observe_error(&mut clock, 2_000, 300), 300);
}

#[test]
fn successive_jumps_are_timed_separately() {
    let mut clock = StableWallClock::default();
    observe_error(&mut clock, 0, 0);
    observe_error(&mut clock, 1_000, 5_000);
    observe_error(&mut clock, 29_000, -5_000);
    assert_eq!(observe_error(&mut clock, 32_000, -5_000), 0);
    assert_eq!(observe_error(&mut clock, 59_500, -5_000), -5_000);
}
