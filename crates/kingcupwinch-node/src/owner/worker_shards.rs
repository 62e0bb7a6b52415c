//! The list of workers as the log holds it, in as many records as it needs.

use std::hash::BuildHasher;
use std::sync::Arc;

use kingcupwinch_cell::WorkerRecord;
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::layout::{WORKER_SHARD_PREFIX, WORKERS_KEY};

#[cfg(test)]
mod tests;

/// Largest size of the rows that are stored in one record, in bytes.
const MAX_LIST_BYTES: usize = 96 << 10;
/// Number of shards. With 12,000 workers each holds about 190 rows.
const SHARDS: u64 = 64;
/// Size of a row without the id and the address, in bytes.
const ROW_BYTES: usize = 32;

/// What the log holds of the list of workers.
#[derive(Debug)]
pub(crate) struct WorkerShards {
    /// Size of the rows from which they are stored in shards, in bytes.
    split_bytes: usize,
    is_split: bool,
    /// A hash of the rows under each key, to write only what has changed.
    written: FxHashMap<Arc<str>, u64>,
}

impl WorkerShards {
    /// Creates the state of a log that takes records of at most `limit` bytes and holds these keys.
    pub(crate) fn new<'a>(limit: usize, mut keys: impl Iterator<Item = &'a str>) -> Self {
        WorkerShards {
            split_bytes: MAX_LIST_BYTES.min(limit / 2),
            is_split: keys.any(WorkerShards::is_shard),
            written: FxHashMap::default(),
        }
    }

    /// Returns whether a key is that of a shard.
    pub(crate) fn is_shard(key: &str) -> bool {
        key.starts_with(WORKER_SHARD_PREFIX)
    }

    /// Returns the keys whose rows have changed, with their rows. Once the list was stored in shards it
    /// stays so, since rows of outdated shards would count.
    pub(crate) fn changed(
        &mut self,
        workers: &[WorkerRecord],
    ) -> Vec<(Arc<str>, Vec<WorkerRecord>)> {
        let row_bytes = |row: &WorkerRecord| ROW_BYTES + row.id.len() + row.address.len();
        self.is_split |= workers.iter().map(row_bytes).sum::<usize>() > self.split_bytes;
        // Earlier versions read this key only.
        let mut lists: Vec<(Arc<str>, Vec<WorkerRecord>)> = vec![(WORKERS_KEY.into(), Vec::new())];
        if self.is_split {
            let shard_key = |shard| format!("{WORKER_SHARD_PREFIX}{shard}").into();
            lists.extend((0..SHARDS).map(|shard| (shard_key(shard), Vec::new())));
        }
        for row in workers {
            let list = if self.is_split {
                1 + FxBuildHasher.hash_one(&*row.id) % SHARDS
            } else {
                0
            };
            lists[list as usize].1.push(row.clone());
        }
        lists.retain(|(key, rows)| {
            let hash = FxBuildHasher.hash_one(rows);
            self.written.insert(Arc::clone(key), hash) != Some(hash)
        });
        lists
    }
}
