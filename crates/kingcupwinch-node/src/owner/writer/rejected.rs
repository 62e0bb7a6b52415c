//! Records that the store rejects.

use kingcupwinch_adapter::KeyedRecord;
use kingcupwinch_cell::{JobId, PartKey};
use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use slog::o;

use crate::events::Event;
use crate::metrics::Metrics;
use crate::shared::Shared;

/// Time after which a rejected record that is about no job is appended again. Each further rejection in
/// a row doubles the time.
const REPEAT_DELAY: Span = Span::from_secs(1);
/// Maximum number of doublings.
const MAX_REPEAT_DOUBLINGS: u32 = 6;

/// The records of a batch that the store rejects.
#[derive(Debug, Default)]
pub(super) struct Rejected {
    /// The jobs that such records are about, with the parts whose deletion was rejected or withheld.
    pub(super) jobs: FxHashMap<JobId, Vec<PartKey>>,
    /// The records about no job.
    pub(super) others: Vec<KeyedRecord>,
}

impl Rejected {
    pub(super) fn add(&mut self, shared: &Shared, record: KeyedRecord, reason: &str) {
        Metrics::count_end(&shared.metrics.odd_inputs, "record_rejected");
        shared.log.write(
            Event::RecordRejected,
            o!("key" => record.key.to_string(), "bytes" => record.size(),
                "error" => reason.to_owned()),
        );
        if let Some((job, part)) = PartKey::parse(&record.key) {
            let kept = self.jobs.entry(job).or_default();
            kept.extend(record.value.is_none().then_some(part));
        } else if let Some(job) = JobId::parse(&record.key) {
            self.jobs.entry(job).or_default();
        } else {
            self.others.push(record);
        }
    }

    /// Removes the deletions of parts of jobs of which a record was rejected: what the parts hold may be
    /// nowhere else in the log.
    pub(super) fn withhold(&mut self, records: &mut Vec<KeyedRecord>) {
        if self.jobs.is_empty() {
            return;
        }
        records.retain(|record| {
            let part = PartKey::parse(&record.key).filter(|_| record.value.is_none());
            let kept = part.and_then(|(job, part)| Some((self.jobs.get_mut(&job)?, part)));
            match kept {
                Some((kept, part)) => {
                    kept.push(part);
                    false
                }
                None => true,
            }
        });
    }
}

/// Records about no job that the store rejected. Each is appended again later, unless there is a newer
/// one of its key.
#[derive(Debug, Default)]
pub(super) struct Repeats {
    records: Vec<KeyedRecord>,
    due: Time,
    /// Rejections in a row.
    rejections: u32,
}

impl Repeats {
    /// Adds records that were rejected at `now`.
    pub(super) fn add(&mut self, rejected: Vec<KeyedRecord>, now: Time) {
        if rejected.is_empty() {
            return;
        }
        let doublings = self.rejections.min(MAX_REPEAT_DOUBLINGS);
        self.due = now + REPEAT_DELAY.times(1 << doublings);
        self.rejections += 1;
        self.records.extend(rejected);
    }

    /// Moves the records to a batch once they are due, but for those of which the batch has a newer one.
    pub(super) fn move_due(&mut self, batch: &mut Vec<KeyedRecord>, now: Time) {
        self.records
            .retain(|record| !batch.iter().any(|newer| newer.key == record.key));
        if self.records.is_empty() {
            self.rejections = 0;
        } else if self.due <= now {
            batch.append(&mut self.records);
        }
    }
}
