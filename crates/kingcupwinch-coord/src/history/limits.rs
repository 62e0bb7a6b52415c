//! Limits of a history.

use kingcupwinch_time::Span;

use crate::snapshot_schedule::SnapshotInterval;

/// Limits of a history's memory and of the interval between its snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    pub(super) past_entries: usize,
    pub(super) past_bytes: usize,
    pub(super) buffered_bytes: usize,
    pub(super) outcome_count: usize,
    pub(super) interval: SnapshotInterval,
}

impl Limits {
    /// Creates the default limits: 64 past versions in 8 MiB, 8 MiB of buffered records, 4,096
    /// outcomes, and a snapshot every hour or 128 records.
    pub fn new() -> Self {
        const MIB: usize = 1 << 20;
        Limits {
            past_entries: 64,
            past_bytes: 8 * MIB,
            buffered_bytes: 8 * MIB,
            outcome_count: 4_096,
            interval: SnapshotInterval {
                age: Span::from_secs(3_600),
                records: 128,
            },
        }
    }

    /// Sets the maximum number and bytes of past versions.
    #[must_use]
    pub fn with_past(mut self, entries: usize, bytes: usize) -> Self {
        self.past_entries = entries;
        self.past_bytes = bytes;
        self
    }

    /// Sets the maximum bytes of records buffered until a snapshot is found.
    #[must_use]
    pub fn with_buffer(mut self, bytes: usize) -> Self {
        self.buffered_bytes = bytes;
        self
    }

    /// Sets the age and the number of records after which a snapshot is due.
    ///
    /// The age must be less than half of the log's retention time.
    #[must_use]
    pub fn with_snapshots(mut self, age: Span, records: u64) -> Self {
        self.interval = SnapshotInterval { age, records };
        self
    }

    /// Lengthens the snapshot interval by up to one half, depending on a seed of the instance, so
    /// that instances do not append snapshots at the same time.
    ///
    /// Must be called after [`Limits::with_snapshots`].
    #[must_use]
    pub fn with_spread(mut self, seed: u64) -> Self {
        self.interval = self.interval.spread(seed);
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new()
    }
}
