//! The drift bound errs on the safe side of both roles.

use kingcupwinch_time::{BoottimeClock, Clock, Drift, ManualClock, Span, Time};

#[test]
fn shortened_and_lengthened_spans_bracket_the_true_one() {
    let drift = Drift::from_ppm(500);
    let span = Span::from_secs(2);
    assert!(drift.shorten(span) < span);
    assert!(drift.lengthen(span) > span);
    assert!(drift.shorten(drift.lengthen(span)) <= span + Span::from_micros(1));
}

#[test]
fn a_manual_clock_moves_only_when_told() {
    let clock = ManualClock::new(Time::from_millis(5));
    let twin = clock.clone();
    clock.advance(Span::from_millis(3));
    assert_eq!(twin.now(), Time::from_millis(8));
}

#[test]
fn the_suspend_clock_never_goes_back() {
    let first = BoottimeClock.now();
    assert!(BoottimeClock.now() >= first);
}
