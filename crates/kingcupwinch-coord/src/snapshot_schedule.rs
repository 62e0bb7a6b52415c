//! When the state of a stream is due to be appended again as a snapshot.

use kingcupwinch_time::{Span, Time};

use crate::id::Offset;

/// Steps of the spread between instances.
const SPREAD_STEPS: u64 = 1_024;

/// The pace of snapshots: how old the newest may get, and how many records may follow it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotPace {
    pub(crate) age: Span,
    pub(crate) records: u64,
}

impl SnapshotPace {
    /// Stretches the pace by up to a half, so that instances with other seeds do not append at
    /// once: the first one's snapshot puts off the others'.
    pub(crate) fn spread(self, seed: u64) -> Self {
        let step = seed % SPREAD_STEPS;
        let stretch = |n: u64| n + n * step / (2 * SPREAD_STEPS);
        SnapshotPace {
            age: Span::from_micros(stretch(self.age.as_micros())),
            records: stretch(self.records),
        }
    }
}

/// What one reader knows of a stream's snapshots.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotSchedule {
    pace: SnapshotPace,
    covers: Offset,
    uncovered: u64,
    due: Option<Time>,
}

impl SnapshotSchedule {
    pub(crate) fn new(pace: SnapshotPace) -> Self {
        SnapshotSchedule {
            pace,
            covers: Offset(0),
            uncovered: 0,
            due: None,
        }
    }

    /// Notes a record that the newest snapshot does not cover; snapshots do not count.
    pub(crate) fn note_record(&mut self, now: Time) {
        self.uncovered += 1;
        self.due.get_or_insert(now + self.pace.age);
    }

    /// Notes a snapshot at `offset` of everything before `covers`.
    pub(crate) fn note_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) {
        if covers < self.covers {
            return;
        }
        self.covers = covers;
        self.uncovered = self.uncovered.min(offset.0.saturating_sub(covers.0));
        self.due = Some(now + self.pace.age);
    }

    /// Returns whether a snapshot should be appended.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let aged = self.due.is_some_and(|due| now >= due);
        aged || self.uncovered > self.pace.records
    }
}
