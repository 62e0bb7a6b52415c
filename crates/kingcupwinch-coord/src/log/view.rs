//! Records of a stream in log order.

use kingcupwinch_time::Time;
use quick_error::quick_error;

use crate::id::Offset;
use crate::record::{OwnerRecord, Stamped};

use super::freshness::Freshness;
use super::seen::SeenIds;

/// How many record ids a view remembers by default.
const DEFAULT_ID_LIMIT: usize = 4_096;

/// A record that may be a snapshot.
pub trait Covers {
    /// Returns the first offset that a snapshot does not cover, none for any other record.
    fn covers(&self) -> Option<Offset>;
}

impl Covers for OwnerRecord {
    fn covers(&self) -> Option<Offset> {
        match self {
            OwnerRecord::Snapshot(snapshot) => Some(snapshot.covers),
            _ => None,
        }
    }
}

quick_error! {
    /// Why something in the stream is not passed on.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LogFault {
        /// The bytes are no record.
        Undecodable {
            display("the bytes are no record")
        }
        /// A record with this id came before.
        Duplicate {
            display("a record with this id came before")
        }
        /// A snapshot that claims to cover offsets after its own.
        InvalidSnapshot {
            display("the snapshot covers offsets after its own")
        }
        /// An answer left out offsets that have not expired.
        Gap {
            display("the answer left out offsets that have not expired")
        }
    }
}

/// The answer to one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<R> {
    /// When the read was sent.
    pub sent: Time,
    /// The oldest retained offset.
    pub first: Offset,
    /// The offset after the newest record.
    pub tail: Offset,
    /// The records; none where the bytes did not decode.
    pub records: Vec<(Offset, Option<Stamped<R>>)>,
}

/// What a view passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry<R> {
    /// A snapshot to begin from: replace all state by it.
    Snapshot {
        /// The snapshot's offset.
        offset: Offset,
        /// The snapshot.
        record: Stamped<R>,
    },
    /// The next record.
    Record {
        /// Its offset.
        offset: Offset,
        /// The record.
        record: Stamped<R>,
    },
    /// Something to skip and count.
    Skipped {
        /// Its offset.
        offset: Offset,
        /// What is wrong with it.
        fault: LogFault,
    },
    /// Records expired unread; a [`Entry::Snapshot`] follows when one is found.
    Expired {
        /// The first lost offset.
        from: Offset,
        /// The first retained offset.
        to: Offset,
    },
}

/// Records read while no state to apply them to is known.
#[derive(Debug, Clone)]
struct Search<R> {
    start: Offset,
    buffered: Vec<(Offset, Stamped<R>)>,
}

/// One stream of the log as read so far.
#[derive(Debug, Clone)]
pub struct LogView<R> {
    next: Offset,
    seen: SeenIds,
    freshness: Freshness,
    search: Option<Search<R>>,
}

impl<R: Covers + Clone> Default for LogView<R> {
    fn default() -> Self {
        LogView::new()
    }
}

impl<R: Covers + Clone> LogView<R> {
    /// Makes a view that begins at the start of the stream.
    pub fn new() -> Self {
        LogView {
            next: Offset(0),
            seen: SeenIds::new(DEFAULT_ID_LIMIT),
            freshness: Freshness::default(),
            search: None,
        }
    }

    /// Sets how many record ids are remembered.
    pub fn with_id_limit(mut self, ids: usize) -> Self {
        self.seen = SeenIds::new(ids);
        self
    }

    /// Returns the offset to read from.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the records passed on make up the whole state.
    pub fn is_complete(&self) -> bool {
        self.search.is_none()
    }

    /// Returns the time as of which the state is complete, none if it is not.
    pub fn fresh_at(&self) -> Option<Time> {
        match self.search {
            None => self.freshness.at(),
            Some(_) => None,
        }
    }

    /// Continues from state that covers everything before `next`.
    pub fn reset_to(&mut self, next: Offset) {
        self.next = next;
        self.search = None;
        self.seen.clear();
        self.freshness.rebased();
    }

    /// Takes the answer to a read, and passes on what is new.
    pub fn read(&mut self, batch: Batch<R>, out: &mut Vec<Entry<R>>) {
        self.skip_expired(batch.first, out);
        for (offset, record) in batch.records {
            if offset < self.next {
                continue;
            }
            if offset > self.next {
                let (offset, fault) = (self.next, LogFault::Gap);
                out.push(Entry::Skipped { offset, fault });
                return;
            }
            self.next = offset.next();
            self.accept(offset, record, out);
        }
        if self.is_complete() {
            self.freshness.read(batch.sent, batch.tail, self.next);
        }
    }

    fn skip_expired(&mut self, first: Offset, out: &mut Vec<Entry<R>>) {
        if first <= self.next {
            return;
        }
        let (from, to) = (self.next, first);
        out.push(Entry::Expired { from, to });
        self.next = first;
        self.freshness.rebased();
        self.search = Some(Search {
            start: first,
            buffered: Vec::new(),
        });
    }

    fn accept(&mut self, offset: Offset, record: Option<Stamped<R>>, out: &mut Vec<Entry<R>>) {
        let Some(record) = record else {
            let fault = LogFault::Undecodable;
            out.push(Entry::Skipped { offset, fault });
            return;
        };
        if !self.seen.insert(record.id) {
            let fault = LogFault::Duplicate;
            out.push(Entry::Skipped { offset, fault });
            return;
        }
        if record.body.covers().is_some_and(|covers| covers > offset) {
            let fault = LogFault::InvalidSnapshot;
            out.push(Entry::Skipped { offset, fault });
            return;
        }
        match &mut self.search {
            None => out.push(Entry::Record { offset, record }),
            Some(search) => {
                search.buffered.push((offset, record));
                self.start_at_snapshot(out);
            }
        }
    }

    /// Begins at the newest held record if it is a snapshot that leaves no gap.
    fn start_at_snapshot(&mut self, out: &mut Vec<Entry<R>>) {
        let Some(search) = &mut self.search else {
            return;
        };
        let Some((offset, record)) = search.buffered.last().cloned() else {
            return;
        };
        let Some(covers) = record.body.covers() else {
            return;
        };
        if covers < search.start {
            return;
        }
        out.push(Entry::Snapshot { offset, record });
        for (offset, record) in search.buffered.drain(..) {
            if offset >= covers {
                out.push(Entry::Record { offset, record });
            }
        }
        self.search = None;
    }
}
