//! Schedule of the snapshots of a stream.

use kingcupwinch_time::{Span, Time};

use crate::id::Offset;

/// Number of distinct steps by which intervals are spread between instances.
const SPREAD_STEPS: u64 = 1_024;

/// Limits on the age of the latest snapshot and on the number of records after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotInterval {
    pub(crate) age: Span,
    pub(crate) records: u64,
}

impl SnapshotInterval {
    /// Lengthens the limits by up to one half, so that instances with different seeds do not append
    /// snapshots at the same time: the first snapshot postpones those of the others.
    pub(crate) fn spread(self, seed: u64) -> Self {
        let step = seed % SPREAD_STEPS;
        let stretch = |n: u64| n + n * step / (2 * SPREAD_STEPS);
        SnapshotInterval {
            age: Span::from_micros(stretch(self.age.as_micros())),
            records: stretch(self.records),
        }
    }
}

/// Decides when a reader of a stream should append a snapshot.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotSchedule {
    interval: SnapshotInterval,
    covers: Offset,
    /// Number of records that the latest snapshot does not cover.
    uncovered: u64,
    due: Option<Time>,
}

impl SnapshotSchedule {
    pub(crate) fn new(interval: SnapshotInterval) -> Self {
        SnapshotSchedule {
            interval,
            covers: Offset(0),
            uncovered: 0,
            due: None,
        }
    }

    /// Counts a record that the latest snapshot does not cover; snapshots are not counted.
    pub(crate) fn count_record(&mut self, now: Time) {
        self.uncovered += 1;
        self.due.get_or_insert(now + self.interval.age);
    }

    /// Handles a snapshot at `offset` that covers all records before `covers`.
    pub(crate) fn record_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) {
        if covers < self.covers {
            return;
        }
        self.covers = covers;
        self.uncovered = self.uncovered.min(offset.0.saturating_sub(covers.0));
        self.due = Some(now + self.interval.age);
    }

    /// Returns whether a snapshot is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let aged = self.due.is_some_and(|due| now >= due);
        aged || self.uncovered > self.interval.records
    }
}
