//! Tests when an owner may report that a job does not exist.

use kingcupwinch_time::{Span, Time};

use super::{Freshness, MAX_READ_AGE};
use crate::layout::{OWNER_PARTITION, intake_partitions};

const START: Time = Time::from_millis(1_000);

fn expired() -> Time {
    START + MAX_READ_AGE + Span::from_millis(1)
}

#[test]
fn is_fresh_while_every_partition_is_read() {
    let freshness = Freshness::new(intake_partitions(), START);
    assert!(freshness.is_fresh(START + MAX_READ_AGE));
    for partition in intake_partitions() {
        freshness.mark_read(partition, expired());
    }
    assert!(freshness.is_fresh(expired()));
}

/// The store refuses the owner's reads of one partition, and siblings append jobs there that the
/// owner does not know.
#[test]
fn is_not_fresh_when_one_partition_is_not_read() {
    let freshness = Freshness::new(intake_partitions(), START);
    for partition in intake_partitions().filter(|partition| *partition != OWNER_PARTITION) {
        freshness.mark_read(partition, expired());
    }
    assert!(!freshness.is_fresh(expired()));
}
