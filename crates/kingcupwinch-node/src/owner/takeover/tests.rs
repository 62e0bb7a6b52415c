//! Tests how long earlier owners are expected to give orders, and how the state is read.

use kingcupwinch_time::{Span, Time};

use super::{IN_FLIGHT_MARGIN, MAX_READS, TERM_TIMEOUT, max_reads, overlap_after};

/// The owner before has released the cell, but took it over a second ago from one that was cut off.
#[test]
fn the_overlap_lasts_until_every_fenced_owner_has_stopped() {
    let now = Time::from_millis(60_000);
    let second = Span::from_secs(1);
    assert_eq!(overlap_after(now - second, now), TERM_TIMEOUT - second);
    assert_eq!(overlap_after(now - TERM_TIMEOUT, now), IN_FLIGHT_MARGIN);
    assert_eq!(overlap_after(now, now), TERM_TIMEOUT);
}

/// Nine reads at a time kept the heartbeats of a claimant waiting for two seconds behind 576 KB on a link
/// of 2 Mbit/s, so that the next instance claimed.
#[test]
fn a_narrow_link_carries_one_read_at_a_time() {
    assert_eq!(max_reads(Some(2.0)), 1);
    assert_eq!(max_reads(Some(0.1)), 1);
    assert_eq!(max_reads(Some(10.0)), 4);
    assert_eq!(max_reads(Some(1_000.0)), MAX_READS);
    assert_eq!(max_reads(None), MAX_READS);
}
