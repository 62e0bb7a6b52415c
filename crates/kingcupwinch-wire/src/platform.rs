//! Responses of the log service.

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::DecodeError;
use crate::field::{check_list, check_size};
use crate::pb::platform as pb;

/// The maximum size of a read response, in bytes.
pub const MAX_PAGE_BYTES: usize = 8 << 20;

/// A log record with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The record's offset in its stream.
    pub offset: Offset,
    /// The record's content.
    pub bytes: Bytes,
}

/// A contiguous page of records of one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest retained offset.
    pub first: Offset,
    /// The offset at which the next read continues.
    pub next: Offset,
    /// The offset after the newest record.
    pub tail: Offset,
    /// The records, in ascending order of offset.
    pub records: Vec<LogRecord>,
}

/// The response of the log service to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset assigned to the record.
    pub offset: u64,
}

/// Decodes the response of the log service to a read.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes exceed [`MAX_PAGE_BYTES`] or are malformed, or if the
/// offsets are not in ascending order.
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

/// Encodes a read response.
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
    let mut min_offset = page.first;
    for record in &page.records {
        if record.offset < min_offset || record.offset >= page.next {
            return Err(DecodeError::OutOfRange("records.offset"));
        }
        min_offset = record.offset.next();
    }
    if page.next > page.tail {
        return Err(DecodeError::OutOfRange("next"));
    }
    Ok(())
}
