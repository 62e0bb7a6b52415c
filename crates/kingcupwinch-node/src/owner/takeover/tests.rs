//! Tests how long earlier owners are expected to give orders.

use kingcupwinch_time::{Span, Time};

use super::{IN_FLIGHT_MARGIN, TERM_TIMEOUT, overlap_after};

/// The owner before has released the cell, but took it over a second ago from one that was cut off.
#[test]
fn the_overlap_lasts_until_every_fenced_owner_has_stopped() {
    let now = Time::from_millis(60_000);
    let second = Span::from_secs(1);
    assert_eq!(overlap_after(now - second, now), TERM_TIMEOUT - second);
    assert_eq!(overlap_after(now - TERM_TIMEOUT, now), IN_FLIGHT_MARGIN);
    assert_eq!(overlap_after(now, now), TERM_TIMEOUT);
}
