//! Reader of a stream that returns its records in log order.

use kingcupwinch_time::Time;
use quick_error::quick_error;

use crate::id::Offset;
use crate::record::{OwnerRecord, Stamped};

use super::freshness::Freshness;
use super::seen::SeenIds;

/// Default number of record ids that a view remembers.
const DEFAULT_ID_LIMIT: usize = 4_096;

/// A record that may be a snapshot.
pub trait MaybeSnapshot {
    /// Returns the first offset that a snapshot does not cover, or `None` for other records.
    fn covers(&self) -> Option<Offset>;
}

impl MaybeSnapshot for OwnerRecord {
    fn covers(&self) -> Option<Offset> {
        match self {
            OwnerRecord::Snapshot(snapshot) => Some(snapshot.covers),
            _ => None,
        }
    }
}

quick_error! {
    /// The reason for which an entry of the stream is skipped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LogFault {
        /// The bytes could not be decoded as a record.
        Undecodable {
            display("the bytes could not be decoded as a record")
        }
        /// A record with the same id was read before.
        Duplicate {
            display("a record with the same id was read before")
        }
        /// The snapshot claims to cover offsets after its own.
        InvalidSnapshot {
            display("the snapshot claims to cover offsets after its own")
        }
        /// The result of a read lacks offsets that have not expired.
        Gap {
            display("the result of a read lacks offsets that have not expired")
        }
    }
}

/// The result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<R> {
    /// Time at which the read was sent.
    pub sent: Time,
    /// The oldest retained offset.
    pub first: Offset,
    /// The offset after the latest record.
    pub tail: Offset,
    /// The records with their offsets; `None` for bytes that could not be decoded.
    pub records: Vec<(Offset, Option<Stamped<R>>)>,
}

/// An entry that a view returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry<R> {
    /// A snapshot that replaces all state of the reader.
    Snapshot {
        /// The snapshot's offset.
        offset: Offset,
        /// The snapshot.
        record: Stamped<R>,
    },
    /// The next record in log order.
    Record {
        /// The offset.
        offset: Offset,
        /// The record.
        record: Stamped<R>,
    },
    /// An entry that is not applied.
    Skipped {
        /// The offset.
        offset: Offset,
        /// The reason.
        fault: LogFault,
    },
    /// Records expired before they were read; an [`Entry::Snapshot`] follows once one is found.
    Expired {
        /// The first missing offset.
        from: Offset,
        /// The first retained offset.
        to: Offset,
    },
}

/// Records buffered until a snapshot is found to which they can be applied.
#[derive(Debug, Clone)]
struct SnapshotSearch<R> {
    start: Offset,
    buffered: Vec<(Offset, Stamped<R>)>,
}

/// A reader's view of one stream of the log.
#[derive(Debug, Clone)]
pub struct LogView<R> {
    next: Offset,
    seen: SeenIds,
    freshness: Freshness,
    search: Option<SnapshotSearch<R>>,
}

impl<R: MaybeSnapshot + Clone> Default for LogView<R> {
    fn default() -> Self {
        LogView::new()
    }
}

impl<R: MaybeSnapshot + Clone> LogView<R> {
    /// Creates a view that starts at the beginning of the stream.
    pub fn new() -> Self {
        LogView {
            next: Offset(0),
            seen: SeenIds::new(DEFAULT_ID_LIMIT),
            freshness: Freshness::default(),
            search: None,
        }
    }

    /// Sets the number of record ids to remember for the detection of duplicates.
    pub fn with_id_limit(mut self, ids: usize) -> Self {
        self.seen = SeenIds::new(ids);
        self
    }

    /// Returns the offset at which the next read starts.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the entries returned so far make up the complete state.
    pub fn is_complete(&self) -> bool {
        self.search.is_none()
    }

    /// Returns the time as of which the state is complete, or `None` if it is incomplete.
    pub fn fresh_at(&self) -> Option<Time> {
        match self.search {
            None => self.freshness.at(),
            Some(_) => None,
        }
    }

    /// Continues after a state was installed that covers all records before `next`.
    pub fn reset_to(&mut self, next: Offset) {
        self.next = next;
        self.search = None;
        self.seen.clear();
        self.freshness.reset();
    }

    /// Processes the result of a read, and appends the new entries to `out`.
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
            self.freshness
                .record_read(batch.sent, batch.tail, self.next);
        }
    }

    fn skip_expired(&mut self, first: Offset, out: &mut Vec<Entry<R>>) {
        if first <= self.next {
            return;
        }
        let (from, to) = (self.next, first);
        out.push(Entry::Expired { from, to });
        self.next = first;
        self.freshness.reset();
        self.search = Some(SnapshotSearch {
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

    /// Starts at the latest buffered record if that is a snapshot without a gap before the buffered
    /// records.
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
