//! The time of day under a civil clock that jumps.

use kingcupwinch_time::{StableWallClock, Time, WallTime};

const START: u64 = 1_700_000_000_000;

/// Shows a civil clock that is off by so many milliseconds; returns how far the time of day is off.
fn show(clock: &mut StableWallClock, at_ms: u64, off_ms: i64) -> i64 {
    let truth = START + at_ms;
    let shown = WallTime::from_millis(truth.checked_add_signed(off_ms).expect("in range"));
    let seen = clock.observe(Time::from_millis(at_ms), shown);
    i64::try_from(seen.as_millis()).expect("small") - i64::try_from(truth).expect("small")
}

#[test]
fn a_jump_that_is_taken_back_changes_nothing() {
    let mut clock = StableWallClock::default();
    show(&mut clock, 0, 0);
    for at in 1..100 {
        let off = if (20..80).contains(&at) { 2_400 } else { 0 };
        assert_eq!(show(&mut clock, at * 100, off), 0, "at {at}");
    }
}

#[test]
fn a_jump_that_lasts_is_followed() {
    let mut clock = StableWallClock::default();
    show(&mut clock, 0, 0);
    assert_eq!(show(&mut clock, 1_000, -5_000), 0);
    assert_eq!(show(&mut clock, 30_000, -5_000), 0);
    assert_eq!(show(&mut clock, 31_000, -5_000), -5_000);
}

#[test]
fn small_corrections_are_followed_at_once() {
    let mut clock = StableWallClock::default();
    show(&mut clock, 0, 0);
    assert_eq!(show(&mut clock, 1_000, 150), 150);
    assert_eq!(show(&mut clock, 2_000, 300), 300);
}

#[test]
fn two_jumps_in_a_row_are_timed_apart() {
    let mut clock = StableWallClock::default();
    show(&mut clock, 0, 0);
    show(&mut clock, 1_000, 5_000);
    show(&mut clock, 29_000, -5_000);
    assert_eq!(show(&mut clock, 32_000, -5_000), 0);
    assert_eq!(show(&mut clock, 59_500, -5_000), -5_000);
}
