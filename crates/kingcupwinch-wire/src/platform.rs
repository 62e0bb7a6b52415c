//! The log service's answers.

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::DecodeError;
use crate::field::{check_list, check_size};
use crate::pb::platform as pb;

/// The largest answer to a read, in bytes.
pub const MAX_PAGE_BYTES: usize = 8 << 20;

/// One record with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Where it stands in the stream.
    pub offset: Offset,
    /// Its bytes.
    pub bytes: Bytes,
}

/// A run of records of one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest retained offset.
    pub first: Offset,
    /// The offset to read from next.
    pub next: Offset,
    /// The offset after the newest record.
    pub tail: Offset,
    /// The records, in offset order.
    pub records: Vec<LogRecord>,
}

/// The log service's answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands in the stream.
    pub offset: u64,
}

/// Decodes the log service's answer to a read.
///
/// # Errors
///
/// Fails on bytes that are too large or malformed, and on offsets out of order.
pub fn decode_page(bytes: Bytes) -> Result<LogPage, DecodeError> {
    check_size(bytes.len(), MAX_PAGE_BYTES)?;
    let reply = pb::ReadReply::decode(bytes)?;
    check_list(&reply.records, "records")?;
    let records: Vec<_> = reply.records.into_iter().map(record).collect();
    let page = LogPage {
        first: Offset(reply.first),
        next: Offset(reply.next),
        tail: Offset(reply.tail),
        records,
    };
    check_order(&page)?;
    Ok(page)
}

/// Encodes an answer to a read.
pub fn encode_page(page: &LogPage) -> Vec<u8> {
    let records = page.records.iter().map(|r| pb::Record {
        offset: r.offset.0,
        bytes: r.bytes.clone(),
    });
    let reply = pb::ReadReply {
        first: page.first.0,
        next: page.next.0,
        tail: page.tail.0,
        records: records.collect(),
    };
    reply.encode_to_vec()
}

fn record(record: pb::Record) -> LogRecord {
    LogRecord {
        offset: Offset(record.offset),
        bytes: record.bytes,
    }
}

fn check_order(page: &LogPage) -> Result<(), DecodeError> {
    let mut least = page.first;
    for record in &page.records {
        if record.offset < least || record.offset >= page.next {
            return Err(DecodeError::OutOfRange("records.offset"));
        }
        least = record.offset.next();
    }
    if page.next > page.tail {
        return Err(DecodeError::OutOfRange("next"));
    }
    Ok(())
}
