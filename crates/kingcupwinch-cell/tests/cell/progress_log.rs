//! The progress partition of the log, with the limits of the store.

use std::collections::{BTreeMap, BTreeSet};

use kingcupwinch_cell::{JobId, JobRecord, PartKey, RecordBatch};

/// The largest record that the store takes, in bytes.
pub(crate) const RECORD_BYTES: usize = 256 << 10;

/// The latest record of each key.
#[derive(Debug)]
pub(crate) struct ProgressLog {
    /// The largest record that the store takes, in bytes.
    pub(crate) limit: usize,
    records: BTreeMap<JobId, JobRecord>,
    parts: BTreeMap<(JobId, PartKey), JobRecord>,
    /// The bytes of all records so far.
    pub(crate) bytes: usize,
}

impl Default for ProgressLog {
    fn default() -> Self {
        ProgressLog {
            limit: RECORD_BYTES,
            records: BTreeMap::new(),
            parts: BTreeMap::new(),
            bytes: 0,
        }
    }
}

impl ProgressLog {
    /// Appends a batch. Returns the progress of the jobs that it is about, with their parts.
    ///
    /// # Panics
    ///
    /// Panics if a record is larger than the store takes.
    pub(crate) fn append(&mut self, batch: &RecordBatch) -> Vec<(JobId, JobRecord)> {
        let mut changed = BTreeSet::new();
        for (id, part, record) in &batch.parts {
            let record = self.store(&part.in_log(*id), record);
            self.parts.insert((*id, *part), record);
            changed.insert(*id);
        }
        for (id, record) in &batch.progress {
            let record = self.store(&id.to_string(), record);
            self.records.insert(*id, record);
            changed.insert(*id);
        }
        for (id, part) in &batch.dropped_parts {
            self.parts.remove(&(*id, *part));
            changed.insert(*id);
        }
        for id in &batch.expired {
            self.records.remove(id);
        }
        let whole = |id| Some((id, self.whole(id)?));
        changed.into_iter().filter_map(whole).collect()
    }

    /// Returns the keys of the parts of a job.
    pub(crate) fn parts_of(&self, id: JobId) -> Vec<PartKey> {
        let parts = self.parts.keys().filter(|(job, _)| *job == id);
        parts.map(|(_, part)| *part).collect()
    }

    /// Owners restore what survives encoding.
    fn store(&mut self, key: &str, record: &JobRecord) -> JobRecord {
        let bytes = record.encode().unwrap();
        let size = 1 + key.len() + bytes.len();
        assert!(size <= self.limit, "the record {key} has {size} bytes");
        self.bytes += size;
        JobRecord::decode(&bytes).unwrap()
    }

    fn whole(&self, id: JobId) -> Option<JobRecord> {
        let mut record = self.records.get(&id)?.clone();
        for ((job, part), rows) in &self.parts {
            if *job == id {
                record.add_part(*part, rows.clone());
            }
        }
        Some(record)
    }
}
