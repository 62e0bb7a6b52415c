use kingcupwinch_time::{Span, Time};

use super::StartRate;

/// Returns how many of `rate` orders a second an owner sends itself in the second of two seconds.
fn sent_directly(cpu_share: f64, rate: u64) -> usize {
    let start = Time::from_millis(1_000);
    let mut bucket = StartRate::new(cpu_share, start);
    let sent = (0..2 * rate).filter(|number| {
        bucket.refill(start + Span::from_micros(number * 1_000_000 / rate));
        bucket.take() && *number >= rate
    });
    sent.count()
}

/// Guards against an owner of 3,000 workers that spends all its processor time on start orders.
#[test]
fn thousands_of_starts_a_second_are_left_to_relays() {
    assert!((740..=760).contains(&sent_directly(0.5, 7_000)));
}

/// Guards against relays, and the time that they add, at rates that the owner can afford.
#[test]
fn a_usual_rate_is_sent_by_the_owner() {
    assert_eq!(sent_directly(0.5, 500), 500);
}
