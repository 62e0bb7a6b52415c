//! When an owner may say that there is no such job.

use kingcupwinch_time::{Span, Time};

use super::{FRESH_FOR, Freshness};
use crate::layout::{DIRECT, intake_partitions};

const START: Time = Time::from_millis(1_000);

fn late() -> Time {
    START + FRESH_FOR + Span::from_millis(1)
}

#[test]
fn an_owner_that_reads_every_partition_may_say_so() {
    let freshness = Freshness::new(intake_partitions(), START);
    assert!(freshness.is_fresh(START + FRESH_FOR));
    for partition in intake_partitions() {
        freshness.note(partition, late());
    }
    assert!(freshness.is_fresh(late()));
}

/// Pattern: the store refuses the owner's reads, and siblings accept jobs that it does not know.
#[test]
fn one_partition_that_is_not_read_is_enough_doubt() {
    let freshness = Freshness::new(intake_partitions(), START);
    for partition in intake_partitions().filter(|partition| *partition != DIRECT) {
        freshness.note(partition, late());
    }
    assert!(!freshness.is_fresh(late()));
}
