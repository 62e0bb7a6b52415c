//! Snapshots of the ownership stream, appended before retention drops the records that they cover.

use kingcupwinch_time::Time;

use crate::id::Offset;
use crate::record::OwnerRecord;

use super::core::Core;
use super::event::Action;

/// State of the latest snapshot and the schedule of the next one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshots {
    covers: Offset,
    read: Time,
    records: u64,
    first: Offset,
    tail: Offset,
    wanted: Option<Time>,
}

impl Snapshots {
    pub(crate) fn new(now: Time) -> Self {
        Snapshots {
            read: now,
            ..Snapshots::default()
        }
    }

    /// Updates the range of offsets that the log retains.
    pub(crate) fn set_bounds(&mut self, first: Offset, tail: Offset) {
        self.first = self.first.max(first);
        self.tail = self.tail.max(tail);
    }

    /// Updates the counters after a record was read; `covers` is set for a snapshot.
    pub(crate) fn record_read(&mut self, covers: Option<Offset>, now: Time) {
        let Some(covers) = covers.filter(|covers| *covers >= self.covers) else {
            self.records += 1;
            return;
        };
        self.covers = covers;
        self.read = now;
        self.records = 0;
        self.wanted = None;
    }

    /// Appends a snapshot when one is due.
    ///
    /// Members act in the order in which they joined, each with a delay after the previous one.
    pub(crate) fn step(&mut self, core: &mut Core, now: Time, out: &mut Vec<Action>) {
        if !self.is_due(core, now) {
            self.wanted = None;
            return;
        }
        let wanted = *self.wanted.get_or_insert(now);
        let Some(position) = core.state.group().position(core.id()) else {
            return;
        };
        let delay = core.timers.stagger.times(position as u64);
        let is_pending = core
            .outbox
            .any(|record| matches!(record, OwnerRecord::Snapshot(_)));
        if is_pending || now < wanted + delay || !core.is_fresh(now) {
            return;
        }
        let snapshot = core.state.snapshot(core.view.next());
        core.append(OwnerRecord::Snapshot(snapshot), now, out);
    }

    fn is_due(&self, core: &Core, now: Time) -> bool {
        if self.tail == Offset(0) || core.applied().is_none() {
            return false;
        }
        let by_time = self.read + core.timers.snapshot_interval <= now;
        let by_count = self.records >= core.timers.snapshot_records;
        by_time || by_count || self.is_expiring()
    }

    /// Returns whether the latest snapshot ends in the older half of the retained offsets.
    fn is_expiring(&self) -> bool {
        let retained = self.tail.0.saturating_sub(self.first.0);
        self.first > Offset(0) && self.covers.0 < self.first.0 + retained / 2
    }
}
