//! When an owner may say that there is no such job.

use kingcupwinch_time::{Span, Time};

use super::{Freshness, MAX_READ_AGE};
use crate::layout::{OWNER_PARTITION, intake_partitions};

const START: Time = Time::from_millis(1_000);

fn late() -> Time {
    START + MAX_READ_AGE + Span::from_millis(1)
}

#[test]
fn an_owner_that_reads_every_partition_may_say_so() {
    let freshness = Freshness::new(intake_partitions(), START);
    assert!(freshness.is_fresh(START + MAX_READ_AGE));
    for partition in intake_partitions() {
        freshness.mark_read(partition, late());
    }
    assert!(freshness.is_fresh(late()));
}

/// Pattern: the store refuses the owner's reads, and siblings accept jobs that it does not know.
#[test]
fn one_partition_that_is_not_read_is_enough_doubt() {
    let freshness = Freshness::new(intake_partitions(), START);
    for partition in intake_partitions().filter(|partition| *partition != OWNER_PARTITION) {
        freshness.mark_read(partition, late());
    }
    assert!(!freshness.is_fresh(late()));
}
