//! Batches of records for the log, and what may be reported once they are in it.

use std::sync::Arc;

use kingcupwinch_time::Time;

use super::Cell;
use crate::id::JobId;
use crate::job::{Job, JobState};
use crate::record::{JobRecord, Placement, WorkerRecord};
use crate::run::Run;
use crate::worker::{Worker, WorkerKey};

/// A batch of records to append to the log.
#[derive(Debug, Default, PartialEq)]
pub struct RecordBatch {
    /// The number of the batch, to be passed to [`Cell::records_appended`] once its records are in
    /// the log.
    pub batch: u64,
    /// The progress of the jobs that changed.
    pub progress: Vec<(JobId, JobRecord)>,
    /// Jobs whose progress record can be deleted.
    pub expired: Vec<JobId>,
}

impl RecordBatch {
    /// Returns whether the batch has no records.
    pub fn is_empty(&self) -> bool {
        self.progress.is_empty() && self.expired.is_empty()
    }
}

/// An acknowledgement of run ends that is sent once a batch of records is in the log.
#[derive(Debug)]
pub(super) struct PendingAck {
    pub(super) batch: u64,
    pub(super) worker: WorkerKey,
    pub(super) started_ms: Option<u64>,
    pub(super) sequence: u64,
}

impl Cell {
    /// Takes the records of everything that changed since the last batch.
    pub fn take_records(&mut self, now: Time) -> RecordBatch {
        let mut records = RecordBatch {
            batch: self.batch,
            ..RecordBatch::default()
        };
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let record = match job.end {
                Some(end) => {
                    self.pending_ends.push((self.batch, key));
                    JobRecord::of_end(end)
                }
                None => JobRecord::of_progress(job, self.placements(job)),
            };
            records.progress.push((job.id, record));
        }
        for id in std::mem::take(&mut self.dropped_jobs) {
            if !self.jobs_by_id.contains_key(&id) {
                records.expired.push(id);
            }
        }
        while let Some((until, id)) = self.end_expiry.front().copied()
            && until <= now
        {
            self.end_expiry.pop_front();
            self.ended_jobs.remove(&id);
            records.expired.push(id);
        }
        self.early_cancels.retain(|_, until| *until > now);
        // An empty batch gets a number of its own as well: what happens before it is reported as
        // appended belongs to the next batch, which is not in the log yet.
        self.batch += 1;
        records
    }

    pub(super) fn placements(&self, job: &Job) -> Vec<Placement> {
        let runs = job.runs.iter().filter_map(|key| self.runs.get(*key));
        let to_row = |run: &Run| Placement {
            step: job.slot(run.name) as u32,
            index: run.name.index,
            run: run.number,
            worker: Arc::clone(&self.workers[run.worker].registration.id),
        };
        runs.map(to_row).collect()
    }

    /// Records that a batch and all batches before it are in the log, so that the start
    /// orders that waited for them can be taken. Returns the jobs whose final state may be reported
    /// from now on.
    pub fn records_appended(&mut self, batch: u64, now: Time) -> Vec<(JobId, JobState)> {
        let acks = std::mem::take(&mut self.pending_acks);
        for ack in acks {
            if ack.batch > batch {
                self.pending_acks.push(ack);
                continue;
            }
            if let Some(worker) = self.workers.get_mut(ack.worker)
                && !worker.registration.is_restart(ack.started_ms)
            {
                worker.last_end_acked = worker.last_end_acked.max(ack.sequence);
            }
        }
        let mut ended = Vec::new();
        let pending = std::mem::take(&mut self.pending_ends);
        for (end_batch, key) in pending {
            if end_batch > batch {
                self.pending_ends.push((end_batch, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.is_end_recorded = true;
            ended.extend(job.end.map(|end| (job.id, end)));
            self.remove_if_settled(key, now);
        }
        self.appended_batch = self.appended_batch.max(batch);
        ended
    }

    /// Returns the workers as they are recorded for a later owner.
    pub fn worker_records(&self) -> Vec<WorkerRecord> {
        let to_record = |worker: &Worker| WorkerRecord {
            id: Arc::clone(&worker.registration.id),
            address: worker.address_to_record(),
            started_ms: worker.responded_start(),
        };
        self.workers.values().map(to_record).collect()
    }

    /// Returns whether a worker's process has responded for the first time since the last call, so
    /// that the records of the workers are outdated.
    pub fn take_worker_changes(&mut self) -> bool {
        std::mem::take(&mut self.is_start_unrecorded)
    }
}
