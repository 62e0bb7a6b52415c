use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::{LogPage, LogRecord};

/// The in-memory state of the log: its streams and their retention.
#[derive(Debug, Default)]
pub struct LogEngine {
    streams: HashMap<String, Stream>,
    retention: Option<Span>,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    appended: Time,
    bytes: Bytes,
}

impl LogEngine {
    /// Creates a log that retains its records forever.
    pub fn new() -> Self {
        LogEngine::default()
    }

    /// Sets the time after which records expire.
    pub fn with_retention(mut self, retention: Span) -> Self {
        self.retention = Some(retention);
        self
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: Time, stream: &str, bytes: Bytes) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.tail();
        let entry = Entry {
            appended: now,
            bytes,
        };
        stream.records.push_back(entry);
        offset
    }

    /// Reads up to `max` records starting at offset `from`, or at the oldest retained record if
    /// `from` is older.
    pub fn read(&mut self, now: Time, stream: &str, from: Offset, max: usize) -> LogPage {
        let retention = self.retention;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        if let Some(retention) = retention {
            stream.expire(now, retention);
        }
        stream.read(from, max)
    }

    /// Drops the records of a stream before an offset, as if they had expired.
    pub fn expire_before(&mut self, stream: &str, offset: Offset) {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        while stream.first < offset && stream.drop_first() {}
    }
}

impl Stream {
    fn tail(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    fn drop_first(&mut self) -> bool {
        let dropped = self.records.pop_front().is_some();
        if dropped {
            self.first = self.first.next();
        }
        dropped
    }

    fn expire(&mut self, now: Time, retention: Span) {
        while let Some(oldest) = self.records.front()
            && now - oldest.appended > retention
        {
            self.drop_first();
        }
    }

    fn read(&self, from: Offset, max: usize) -> LogPage {
        let start = from.max(self.first).min(self.tail());
        let skip = usize::try_from(start.0 - self.first.0).unwrap_or(usize::MAX);
        let entries = self.records.iter().skip(skip).take(max);
        let records: Vec<_> = (start.0..)
            .zip(entries)
            .map(|(offset, entry)| LogRecord {
                offset: Offset(offset),
                bytes: entry.bytes.clone(),
            })
            .collect();
        LogPage {
            first: self.first,
            next: Offset(start.0 + records.len() as u64),
            tail: self.tail(),
            records,
        }
    }
}
