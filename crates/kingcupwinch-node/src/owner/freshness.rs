//! How much of the intake the owner has read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kingcupwinch_adapter::Partition;
use kingcupwinch_time::{Span, Time};

#[cfg(test)]
mod tests;

/// An owner that has read every partition to its end within this time may say that there is no such
/// job. A read waits up to a second for news, and its answer has a way to go.
const MAX_READ_AGE: Span = Span::from_millis(2_000);

/// When each partition was last read to its end; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Freshness {
    reads: Arc<[(Partition, AtomicU64)]>,
}

impl Freshness {
    /// Makes the state after all partitions were read at `now`.
    pub(crate) fn new(partitions: impl Iterator<Item = Partition>, now: Time) -> Self {
        let row = |partition| (partition, AtomicU64::new(now.as_micros()));
        Freshness {
            reads: partitions.map(row).collect(),
        }
    }

    /// Notes that a partition was read to its end.
    pub(crate) fn mark_read(&self, partition: Partition, now: Time) {
        let rows = self.reads.iter().filter(|(known, _)| *known == partition);
        for (_, read) in rows {
            read.store(now.as_micros(), Ordering::Relaxed);
        }
    }

    /// Returns whether a job that is not known certainly was not accepted some time ago.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.reads.iter().all(|(_, read)| {
            let read = Time::from_micros(read.load(Ordering::Relaxed));
            now.since(read) <= MAX_READ_AGE
        })
    }
}
