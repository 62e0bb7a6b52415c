//! Tests when an owner may report that a job does not exist.

use kingcupwinch_time::{Span, Time};

use super::{Freshness, MAX_LOOKUP_AGE, view_time};
use crate::layout::{OWNER_PARTITION, intake_partitions};

const START: Time = Time::from_millis(1_000);
const WAIT: Span = Span::from_millis(1_000);

fn expired() -> Time {
    START + MAX_LOOKUP_AGE + Span::from_millis(1)
}

#[test]
fn is_fresh_while_every_partition_is_read() {
    let mut freshness = Freshness::new(intake_partitions(), START);
    assert!(freshness.is_fresh(START + MAX_LOOKUP_AGE, MAX_LOOKUP_AGE));
    for partition in intake_partitions() {
        freshness.mark_read(partition, expired());
    }
    assert!(freshness.is_fresh(expired(), MAX_LOOKUP_AGE));
}

/// The store refuses the owner's reads of one partition, and siblings append jobs there that the
/// owner does not know.
#[test]
fn is_not_fresh_when_one_partition_is_not_read() {
    let mut freshness = Freshness::new(intake_partitions(), START);
    for partition in intake_partitions().filter(|partition| *partition != OWNER_PARTITION) {
        freshness.mark_read(partition, expired());
    }
    assert!(!freshness.is_fresh(expired(), MAX_LOOKUP_AGE));
}

/// The response to a read was under way for most of a second, in which jobs were accepted.
#[test]
fn a_delayed_response_shows_the_records_of_an_earlier_time() {
    let received = START + Span::from_millis(1_900);
    assert_eq!(view_time(START, received, WAIT, false), START);
    assert_eq!(view_time(START, received, WAIT, true), START + WAIT);
    let early = START + Span::from_millis(40);
    assert_eq!(view_time(START, early, WAIT, true), START);
}
