//! The configuration in force and its history, decided alike by every reader of the log.
//!
//! The first valid record in log order over the version it names wins. Decisions depend only on
//! the records and their offsets, never on record ids seen before, so a reader with a short
//! memory decides like one with a long memory.
//!
//! A snapshot changes nothing for a reader that has judged every record since its base. A reader
//! that has lost records holds publications back until a snapshot covers an offset from which it
//! has all of them; then it judges the held ones in order.
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

mod entry;
mod held;
mod limits;
mod outcome;
mod past;

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::{Offset, RecordId, Version};
use crate::record::{ConfigRecord, Origin, Stamped};
use crate::snapshot_schedule::SnapshotSchedule;

use held::HeldPublications;
use outcome::PublishOutcomes;
use past::PastVersions;

pub use entry::{Applied, Entry};
pub use limits::Limits;
pub use outcome::PublishOutcome;

/// Judges a merged tree; the error says what is wrong with it.
pub type Check<'a> = &'a dyn Fn(&str) -> Result<(), Arc<str>>;

/// The configuration in force as one reader knows it.
#[derive(Debug, Clone)]
pub struct History {
    limits: Limits,
    next: Offset,
    held: Option<HeldPublications>,
    current: Option<Arc<Entry>>,
    past: PastVersions,
    outcomes: PublishOutcomes,
    snapshots: SnapshotSchedule,
}

impl History {
    /// Makes a history whose reader starts at `start`; from offset zero it knows everything, from
    /// a later one it waits for a snapshot or a relay.
    pub fn new(start: Offset, limits: Limits) -> Self {
        let held = (start > Offset(0)).then(|| HeldPublications::new(start, limits.held_bytes));
        History {
            next: start,
            held,
            current: None,
            past: PastVersions::new(limits.past_entries, limits.past_bytes),
            outcomes: PublishOutcomes::new(limits.outcome_count),
            snapshots: SnapshotSchedule::new(limits.pace),
            limits,
        }
    }

    /// Returns the version in force, zero before the first.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |e| e.version)
    }

    /// Returns the entry in force.
    pub fn current(&self) -> Option<&Arc<Entry>> {
        self.current.as_ref()
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether every record since the base was judged.
    pub fn is_complete(&self) -> bool {
        self.held.is_none()
    }

    /// Returns the past versions, oldest first.
    pub fn past(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.past.iter()
    }

    /// Returns what became of a publication, by its record id.
    pub fn outcome(&self, id: RecordId) -> Option<&PublishOutcome> {
        self.outcomes.get(id)
    }

    /// Takes in the record at `offset`, none where it can't be decoded.
    ///
    /// A skipped offset counts as lost records.
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

    /// Notes that the records before `first` have expired unread.
    pub fn skip_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        self.next = first;
        self.held = Some(HeldPublications::new(first, self.limits.held_bytes));
    }

    /// Returns the versions after `version` in order, for a sibling that is cut from the log.
    ///
    /// Where the older ones are no longer kept, the list starts at the oldest kept one.
    pub fn since(&self, version: Version) -> Vec<Arc<Entry>> {
        let entries = self.past.iter().chain(self.current.as_ref());
        entries.filter(|e| e.version > version).cloned().collect()
    }

    /// Takes in an entry relayed by a sibling that has judged the log up to what it covers.
    pub fn apply_relay(&mut self, entry: &Arc<Entry>, now: Time, check: Check<'_>) -> Applied {
        if entry.version <= self.version() {
            return Applied::AlreadyApplied;
        }
        let contradicts = self.is_complete() && entry.covers <= self.next;
        if contradicts {
            return Applied::StaleSnapshot;
        }
        if let Err(why) = check(&entry.tree) {
            return Applied::Invalid { why };
        }
        self.activate(entry.clone());
        self.snapshots.note_record(now);
        self.next = self.next.max(entry.covers);
        self.replay_from(entry.covers, now, check);
        self.in_force()
    }

    /// Returns whether the version in force should be appended again as a snapshot.
    pub fn is_snapshot_due(&self, now: Time) -> bool {
        self.is_complete() && self.current.is_some() && self.snapshots.is_due(now)
    }

    /// Returns a snapshot of the version in force, none while records are missing.
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
        if let Some(held) = &mut self.held {
            held.push(offset, record);
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
        self.snapshots.note_record(now);
        let applied = self.evaluate(record, check);
        if let Applied::InForce { .. } = applied {
            let entry = Entry::new(record.id, offset.next(), &record.body);
            self.activate(Arc::new(entry));
        }
        self.outcomes.note(record.id, &applied);
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
            Err(why) => Applied::Invalid { why },
        }
    }

    fn superseded(&self, id: RecordId, made: Version) -> Applied {
        let winner = self.record_of(made);
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
        let repeats = self.is_in_force(origin.id, body.version);
        match &self.held {
            None if repeats => self.note_snapshot(origin.covers, offset, now),
            None => Applied::StaleSnapshot,
            Some(held) if origin.covers < held.floor() => Applied::StaleSnapshot,
            Some(_) if body.version < self.version() => Applied::StaleSnapshot,
            Some(_) if body.version == self.version() && !repeats => Applied::StaleSnapshot,
            Some(_) => self.restore(origin, body, now, check),
        }
    }

    fn is_in_force(&self, id: RecordId, version: Version) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|e| e.id == id && e.version == version)
    }

    fn note_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) -> Applied {
        self.snapshots.note_snapshot(covers, offset, now);
        Applied::CurrentSnapshot
    }

    fn restore(
        &mut self,
        origin: Origin,
        body: &ConfigRecord,
        now: Time,
        check: Check<'_>,
    ) -> Applied {
        if let Err(why) = check(&body.tree) {
            return Applied::Invalid { why };
        }
        if body.version > self.version() {
            let entry = Entry::new(origin.id, origin.covers, body);
            self.activate(Arc::new(entry));
        }
        self.snapshots
            .note_snapshot(origin.covers, origin.covers, now);
        self.replay_from(origin.covers, now, check);
        self.in_force()
    }

    /// Judges the held records from `covers` on, if none of them is missing.
    fn replay_from(&mut self, covers: Offset, now: Time, check: Check<'_>) {
        let whole = self.held.as_ref().is_some_and(|h| h.floor() <= covers);
        if !whole {
            return;
        }
        let Some(held) = self.held.take() else {
            return;
        };
        for (offset, record) in held.from(covers) {
            self.apply_in_order(offset, &record, now, check);
        }
    }

    fn in_force(&self) -> Applied {
        Applied::InForce {
            version: self.version(),
        }
    }

    fn activate(&mut self, entry: Arc<Entry>) {
        self.outcomes.note(
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
