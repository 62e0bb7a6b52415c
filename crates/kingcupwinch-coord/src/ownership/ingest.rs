//! Application of records that are read from the log or relayed by a sibling.

use kingcupwinch_time::Time;

use crate::id::Offset;
use crate::log::{Batch, Covers, Entry, LogFault};
use crate::record::{OwnerRecord, OwnerSnapshot, Stamped};

use super::coordinator::Coordinator;
use super::event::{Action, Note};
use super::message::Relay;
use super::state::{Change, RecordFault};

impl Coordinator {
    /// Applies the result of a read of the log.
    pub(super) fn apply_batch(
        &mut self,
        batch: Batch<OwnerRecord>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut entries = Vec::new();
        self.core.view.read(batch, &mut entries);
        if entries.is_empty() {
            return;
        }
        for entry in entries {
            self.apply_entry(entry, now, out);
        }
        self.core.refresh_heartbeat_targets();
    }

    fn apply_entry(&mut self, entry: Entry<OwnerRecord>, now: Time, out: &mut Vec<Action>) {
        match entry {
            Entry::Snapshot { offset, record } => {
                self.relays.clear();
                if let OwnerRecord::Snapshot(snapshot) = &record.body {
                    self.restore(offset, snapshot, now, out);
                }
            }
            Entry::Record { offset, record } => self.apply_record(offset, record, now, out),
            Entry::Skipped { offset, fault } => {
                if fault != LogFault::Gap {
                    self.relays.keep(offset, None);
                }
                out.push(Action::Note(Note::Log { offset, fault }));
            }
            Entry::Expired { from, to } if from > Offset(0) => {
                out.push(Action::Note(Note::Expired { from, to }));
            }
            Entry::Expired { .. } => {}
        }
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        record: Stamped<OwnerRecord>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut changes = Vec::new();
        let mut faults = Vec::new();
        self.core
            .state
            .apply(&record.body, &mut changes, &mut faults);
        self.core.outbox.read_back(record.id);
        self.snapshots.record_read(record.body.covers(), now);
        self.relays.keep(offset, Some(record));
        self.apply_changes(offset, changes, &faults, now, out);
    }

    fn restore(
        &mut self,
        offset: Offset,
        snapshot: &OwnerSnapshot,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut changes = Vec::new();
        let mut faults = Vec::new();
        self.core.state.restore(snapshot, &mut changes, &mut faults);
        self.apply_changes(offset, changes, &faults, now, out);
    }

    fn apply_changes(
        &mut self,
        offset: Offset,
        changes: Vec<Change>,
        faults: &[RecordFault],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        for change in changes {
            self.core.apply_change(change, now, out);
        }
        for fault in faults {
            let fault = *fault;
            out.push(Action::Note(Note::Skipped { offset, fault }));
        }
    }

    /// Applies relayed records as if this instance had read them when the sibling did.
    pub(super) fn apply_relay(&mut self, relay: Relay, now: Time, out: &mut Vec<Action>) {
        if relay.asked_at > now {
            return;
        }
        if let Some(snapshot) = &relay.snapshot {
            self.apply_relayed_snapshot(snapshot, now, out);
        }
        let Some(age) = relay.age else { return };
        let age = self.core.timers.drift.lengthen(age);
        if age > relay.asked_at.since(Time::ZERO) {
            return;
        }
        let sent = relay.asked_at - age;
        let batch = Batch {
            sent,
            first: Offset(0),
            tail: relay.next,
            records: relay.records,
        };
        self.apply_batch(batch, now, out);
    }

    fn apply_relayed_snapshot(
        &mut self,
        snapshot: &OwnerSnapshot,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self.core.applied() >= Some(snapshot.covers) {
            return;
        }
        self.core.view.reset_to(snapshot.covers);
        self.relays.clear();
        self.restore(snapshot.covers, snapshot, now, out);
        self.core.refresh_heartbeat_targets();
    }
}
