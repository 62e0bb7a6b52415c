//! Drift bounds and clocks.

use kingcupwinch_time::{BoottimeClock, Clock, Drift, ManualClock, Span, Time};

#[test]
fn shortened_and_lengthened_spans_enclose_the_true_span() {
    let drift = Drift::from_ppm(500);
    let span = Span::from_secs(2);
    assert!(drift.shorten(span) < span);
    assert!(drift.lengthen(span) > span);
    assert!(drift.shorten(drift.lengthen(span)) <= span + Span::from_micros(1));
}

#[test]
fn manual_clock_moves_only_when_advanced() {
    let clock = ManualClock::new(Time::from_millis(5));
    let clone = clock.clone();
    clock.advance(Span::from_millis(3));
    assert_eq!(clone.now(), Time::from_millis(8));
}

#[test]
fn boottime_clock_is_monotonic() {
    let first = BoottimeClock.now();
    assert!(BoottimeClock.now() >= first);
}
