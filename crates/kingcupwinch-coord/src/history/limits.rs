//! Bounds of a history's memory and the pace of its snapshots.

use kingcupwinch_time::Span;

use crate::snapshot_schedule::SnapshotPace;

/// Bounds of a history's memory and the pace of its snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    pub(super) past_entries: usize,
    pub(super) past_bytes: usize,
    pub(super) held_bytes: usize,
    pub(super) outcome_count: usize,
    pub(super) pace: SnapshotPace,
}

impl Limits {
    /// Makes the default limits: 64 past versions in 8 MiB, 8 MiB held back, 4,096 verdicts, a
    /// snapshot every hour or 128 records after a change.
    pub fn new() -> Self {
        const MIB: usize = 1 << 20;
        Limits {
            past_entries: 64,
            past_bytes: 8 * MIB,
            held_bytes: 8 * MIB,
            outcome_count: 4_096,
            pace: SnapshotPace {
                age: Span::from_secs(3_600),
                records: 128,
            },
        }
    }

    /// Bounds the list of past versions.
    #[must_use]
    pub fn with_past(mut self, entries: usize, bytes: usize) -> Self {
        self.past_entries = entries;
        self.past_bytes = bytes;
        self
    }

    /// Bounds the bytes held back while a base is searched.
    #[must_use]
    pub fn with_held(mut self, bytes: usize) -> Self {
        self.held_bytes = bytes;
        self
    }

    /// Sets the age and the number of records after which a snapshot is due; the age must stay
    /// under half of the log's retention.
    #[must_use]
    pub fn with_snapshots(mut self, age: Span, records: u64) -> Self {
        self.pace = SnapshotPace { age, records };
        self
    }

    /// Stretches the pace by up to a half, by a seed of the instance, so that instances do not
    /// append snapshots at once. Call it after [`Limits::with_snapshots`].
    #[must_use]
    pub fn with_spread(mut self, seed: u64) -> Self {
        self.pace = self.pace.spread(seed);
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new()
    }
}
