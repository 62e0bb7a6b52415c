//! Tracks how recently the owner has read each intake partition to its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kingcupwinch_adapter::Partition;
use kingcupwinch_time::{Span, Time};

#[cfg(test)]
mod tests;

/// Maximum age of a read to the end of each partition for the owner to report that a job does not
/// exist. A read waits up to a second for records, and its response takes time as well.
const MAX_READ_AGE: Span = Span::from_millis(2_000);

/// Time of the last read to the end of each partition; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Freshness {
    reads: Arc<[(Partition, AtomicU64)]>,
}

impl Freshness {
    /// Creates the state in which all partitions were read at `now`.
    pub(crate) fn new(partitions: impl Iterator<Item = Partition>, now: Time) -> Self {
        let row = |partition| (partition, AtomicU64::new(now.as_micros()));
        Freshness {
            reads: partitions.map(row).collect(),
        }
    }

    /// Records that a partition was read to its end.
    pub(crate) fn mark_read(&self, partition: Partition, now: Time) {
        let rows = self.reads.iter().filter(|(known, _)| *known == partition);
        for (_, read) in rows {
            read.store(now.as_micros(), Ordering::Relaxed);
        }
    }

    /// Returns whether every partition was read recently enough to report an unknown job as
    /// nonexistent.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.reads.iter().all(|(_, read)| {
            let read = Time::from_micros(read.load(Ordering::Relaxed));
            now.since(read) <= MAX_READ_AGE
        })
    }
}
