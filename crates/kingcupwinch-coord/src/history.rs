//! The configuration in force and its history, with the same result for every reader of the log.
//!
//! Among the records based on the same version, the first valid one in log order wins. Decisions
//! depend only on the records and their offsets, never on remembered record ids, so a reader that
//! remembers few ids decides like one that remembers many.
//!
//! A snapshot changes nothing for a reader that has applied every record. A reader that has missed
//! records buffers publications until it reads a snapshot that covers all offsets before the
//! buffered ones, and then applies these in order.
//!
//! ```
//! use kingcupwinch_coord::history::{Applied, History, Limits};
//! use kingcupwinch_coord::id::{Offset, RecordId, Version};
//! use kingcupwinch_coord::record::{ConfigRecord, Stamped};
//! use kingcupwinch_time::{Time, WallTime};
//!
//! let record = Stamped {
//!     id: RecordId(uuid::Uuid::from_u128(1)),
//!     body: ConfigRecord {
//!         based: Version(0),
//!         version: Version(1),
//!         origin: None,
//!         author: "operator".into(),
//!         published: WallTime::from_millis(0),
//!         tree: "{}".into(),
//!     },
//! };
//! let mut history = History::new(Offset(0), Limits::new());
//! let applied = history.apply(Offset(0), Some(record), Time::ZERO, &|_| Ok(()));
//! assert_eq!(applied, Applied::InForce { version: Version(1) });
//! ```

mod buffer;
mod entry;
mod limits;
mod outcome;
mod past;

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::{Offset, RecordId, Version};
use crate::record::{ConfigRecord, Origin, Stamped};
use crate::snapshot_schedule::SnapshotSchedule;

use buffer::PublicationBuffer;
use outcome::PublishOutcomes;
use past::PastVersions;

pub use entry::{Applied, Entry};
pub use limits::Limits;
pub use outcome::PublishOutcome;

/// Validates a merged configuration tree; the error describes the problem.
pub type Check<'a> = &'a dyn Fn(&str) -> Result<(), Arc<str>>;

/// The configuration in force and its history, as known by one reader.
#[derive(Debug, Clone)]
pub struct History {
    limits: Limits,
    next: Offset,
    buffer: Option<PublicationBuffer>,
    current: Option<Arc<Entry>>,
    past: PastVersions,
    outcomes: PublishOutcomes,
    snapshots: SnapshotSchedule,
}

impl History {
    /// Creates a history for a reader that starts at offset `start`.
    ///
    /// If `start` is not zero, the reader waits for a snapshot or a relayed entry.
    pub fn new(start: Offset, limits: Limits) -> Self {
        let buffer =
            (start > Offset(0)).then(|| PublicationBuffer::new(start, limits.buffered_bytes));
        History {
            next: start,
            buffer,
            current: None,
            past: PastVersions::new(limits.past_entries, limits.past_bytes),
            outcomes: PublishOutcomes::new(limits.outcome_count),
            snapshots: SnapshotSchedule::new(limits.interval),
            limits,
        }
    }

    /// Returns the version in force, or zero before the first one.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |e| e.version)
    }

    /// Returns the entry in force, or `None` before the first one.
    pub fn current(&self) -> Option<&Arc<Entry>> {
        self.current.as_ref()
    }

    /// Returns the offset at which the next read starts.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the history is complete, with no records missing or buffered.
    pub fn is_complete(&self) -> bool {
        self.buffer.is_none()
    }

    /// Returns the remembered past versions, oldest first.
    pub fn past(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.past.iter()
    }

    /// Returns the outcome of a publication by its record id, or `None` if it is not remembered.
    pub fn outcome(&self, id: RecordId) -> Option<&PublishOutcome> {
        self.outcomes.get(id)
    }

    /// Applies the record at `offset`, which is `None` if it could not be decoded.
    ///
    /// Offsets skipped since the previous call count as missing records.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: Option<Stamped<ConfigRecord>>,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        if offset < self.next {
            return Applied::AlreadyApplied;
        }
        self.skip_to(offset);
        self.next = offset.next();
        let Some(record) = record else {
            return Applied::Undecodable;
        };
        match record.body.origin {
            Some(origin) => self.apply_snapshot(offset, origin, &record.body, now, check),
            None => self.apply_publication(offset, record, now, check),
        }
    }

    /// Skips to offset `first` because the records before it have expired unread.
    pub fn skip_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        self.next = first;
        self.buffer = Some(PublicationBuffer::new(first, self.limits.buffered_bytes));
    }

    /// Returns the versions after `version` in order, for a sibling that can't reach the log.
    ///
    /// Versions that are no longer remembered are left out.
    pub fn since(&self, version: Version) -> Vec<Arc<Entry>> {
        let entries = self.past.iter().chain(self.current.as_ref());
        entries.filter(|e| e.version > version).cloned().collect()
    }

    /// Applies an entry relayed by a sibling that has applied the log up to the entry's `covers`.
    pub fn apply_relay(&mut self, entry: &Arc<Entry>, now: Time, check: Check<'_>) -> Applied {
        if entry.version <= self.version() {
            return Applied::AlreadyApplied;
        }
        let contradicts = self.is_complete() && entry.covers <= self.next;
        if contradicts {
            return Applied::StaleSnapshot;
        }
        if let Err(reason) = check(&entry.tree) {
            return Applied::Invalid { reason };
        }
        self.activate(entry.clone());
        self.snapshots.count_record(now);
        self.next = self.next.max(entry.covers);
        self.replay_from(entry.covers, now, check);
        self.in_force()
    }

    /// Returns whether a snapshot of the version in force is due.
    pub fn is_snapshot_due(&self, now: Time) -> bool {
        self.is_complete() && self.current.is_some() && self.snapshots.is_due(now)
    }

    /// Returns a snapshot of the version in force, or `None` while records are missing.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        if !self.is_complete() {
            return None;
        }
        let entry = self.current.as_ref()?;
        Some(ConfigRecord {
            based: entry.version,
            version: entry.version,
            origin: Some(Origin {
                id: entry.id,
                covers: self.next,
            }),
            author: entry.author.clone(),
            published: entry.published,
            tree: entry.tree.clone(),
        })
    }

    fn apply_publication(
        &mut self,
        offset: Offset,
        record: Stamped<ConfigRecord>,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        if let Some(buffer) = &mut self.buffer {
            buffer.push(offset, record);
            return Applied::Buffered;
        }
        self.apply_in_order(offset, &record, now, check)
    }

    fn apply_in_order(
        &mut self,
        offset: Offset,
        record: &Stamped<ConfigRecord>,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        self.snapshots.count_record(now);
        let applied = self.evaluate(record, check);
        if let Applied::InForce { .. } = applied {
            let entry = Entry::new(record.id, offset.next(), &record.body);
            self.activate(Arc::new(entry));
        }
        self.outcomes.record(record.id, &applied);
        applied
    }

    fn evaluate(&self, record: &Stamped<ConfigRecord>, check: Check<'_>) -> Applied {
        let (body, current) = (&record.body, self.version());
        if body.version.0.checked_sub(1) != Some(body.based.0) {
            return Applied::Malformed;
        }
        if body.based < current {
            return self.superseded(record.id, body.version);
        }
        if body.based > current {
            return Applied::Ahead { current };
        }
        match check(&body.tree) {
            Ok(()) => Applied::InForce {
                version: body.version,
            },
            Err(reason) => Applied::Invalid { reason },
        }
    }

    fn superseded(&self, id: RecordId, version: Version) -> Applied {
        let winner = self.record_of(version);
        if winner == Some(id) {
            return Applied::AlreadyApplied;
        }
        Applied::Lost { winner }
    }

    fn record_of(&self, version: Version) -> Option<RecordId> {
        let mut entries = self.past.iter().chain(self.current.as_ref());
        entries.find(|e| e.version == version).map(|e| e.id)
    }

    fn apply_snapshot(
        &mut self,
        offset: Offset,
        origin: Origin,
        body: &ConfigRecord,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        if origin.covers > offset {
            return Applied::Malformed;
        }
        let is_current = self.is_in_force(origin.id, body.version);
        match &self.buffer {
            None if is_current => self.record_snapshot(origin.covers, offset, now),
            None => Applied::StaleSnapshot,
            Some(buffer) if origin.covers < buffer.floor() => Applied::StaleSnapshot,
            Some(_) if body.version < self.version() => Applied::StaleSnapshot,
            Some(_) if body.version == self.version() && !is_current => Applied::StaleSnapshot,
            Some(_) => self.restore(origin, body, now, check),
        }
    }

    fn is_in_force(&self, id: RecordId, version: Version) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|e| e.id == id && e.version == version)
    }

    fn record_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) -> Applied {
        self.snapshots.record_snapshot(covers, offset, now);
        Applied::CurrentSnapshot
    }

    fn restore(
        &mut self,
        origin: Origin,
        body: &ConfigRecord,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        if let Err(reason) = check(&body.tree) {
            return Applied::Invalid { reason };
        }
        if body.version > self.version() {
            let entry = Entry::new(origin.id, origin.covers, body);
            self.activate(Arc::new(entry));
        }
        self.snapshots
            .record_snapshot(origin.covers, origin.covers, now);
        self.replay_from(origin.covers, now, check);
        self.in_force()
    }

    /// Applies the buffered records from offset `covers` on, if none of them is missing.
    fn replay_from(&mut self, covers: Offset, now: Time, check: Check<'_>) {
        let is_complete = self.buffer.as_ref().is_some_and(|b| b.floor() <= covers);
        if !is_complete {
            return;
        }
        let Some(buffer) = self.buffer.take() else {
            return;
        };
        for (offset, record) in buffer.from(covers) {
            self.apply_in_order(offset, &record, now, check);
        }
    }

    fn in_force(&self) -> Applied {
        Applied::InForce {
            version: self.version(),
        }
    }

    fn activate(&mut self, entry: Arc<Entry>) {
        self.outcomes.record(
            entry.id,
            &Applied::InForce {
                version: entry.version,
            },
        );
        if let Some(old) = self.current.replace(entry) {
            self.past.push(old);
        }
    }
}
