//! Validation and conversion of single fields.

use bytes::Bytes;
use kingcupwinch_coord::id::{Attempt, Incarnation, JobId, RecordId, ShardId, TaskId, Term};
use kingcupwinch_coord::record::{CrashCount, Members};
use uuid::Uuid;

use crate::DecodeError;
use crate::pb::records as pb;

/// The maximum size of a record on a stream, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The maximum number of elements of a list inside a message.
pub const MAX_LIST_LEN: usize = 1 << 16;

pub(crate) fn check_size(size: usize, limit: usize) -> Result<(), DecodeError> {
    if size > limit {
        return Err(DecodeError::TooLarge(size, limit));
    }
    Ok(())
}

pub(crate) fn check_list<T>(list: &[T], field: &'static str) -> Result<(), DecodeError> {
    if list.len() > MAX_LIST_LEN {
        return Err(DecodeError::OutOfRange(field));
    }
    Ok(())
}

pub(crate) fn require<T>(value: Option<T>, field: &'static str) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing(field))
}

pub(crate) fn uuid(bytes: &[u8], field: &'static str) -> Result<Uuid, DecodeError> {
    Uuid::from_slice(bytes).map_err(|_| DecodeError::BadId(field))
}

pub(crate) fn uuid_bytes(id: Uuid) -> Bytes {
    Bytes::copy_from_slice(id.as_bytes())
}

macro_rules! id_fields {
    ($($decode:ident, $encode:ident, $id:ident;)*) => {$(
        pub(crate) fn $decode(bytes: &[u8], field: &'static str) -> Result<$id, DecodeError> {
            uuid(bytes, field).map($id)
        }

        pub(crate) fn $encode(id: $id) -> Bytes {
            uuid_bytes(id.0)
        }
    )*};
}

id_fields! {
    incarnation, incarnation_bytes, Incarnation;
    record_id, record_id_bytes, RecordId;
    job_id, job_id_bytes, JobId;
    task_id, task_id_bytes, TaskId;
}

pub(crate) fn members(list: &[Bytes], field: &'static str) -> Result<Members, DecodeError> {
    check_list(list, field)?;
    list.iter().map(|b| incarnation(b, field)).collect()
}

pub(crate) fn members_bytes(members: &Members) -> Vec<Bytes> {
    members.iter().copied().map(incarnation_bytes).collect()
}

pub(crate) fn shard(value: u32, field: &'static str) -> Result<ShardId, DecodeError> {
    u16::try_from(value)
        .map(ShardId)
        .map_err(|_| DecodeError::OutOfRange(field))
}

pub(crate) fn crash_count(attempt: u32, total: u32, clear: u32) -> Result<CrashCount, DecodeError> {
    let count = |value: u32| u8::try_from(value).map_err(|_| DecodeError::OutOfRange("crashes"));
    Ok(CrashCount {
        attempt: Attempt(attempt),
        total: count(total)?,
        clear: count(clear)?,
    })
}

pub(crate) fn shard_terms(
    list: &[pb::ShardTerm],
    field: &'static str,
) -> Result<Vec<(ShardId, Term)>, DecodeError> {
    check_list(list, field)?;
    list.iter()
        .map(|s| Ok((shard(s.shard, field)?, Term(s.term))))
        .collect()
}

pub(crate) fn shard_terms_pb(list: &[(ShardId, Term)]) -> Vec<pb::ShardTerm> {
    list.iter()
        .map(|(shard, term)| pb::ShardTerm {
            shard: u32::from(shard.0),
            term: term.0,
        })
        .collect()
}
