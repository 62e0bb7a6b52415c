//! Batches of records for the log, and what may be reported once they are in it.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;

use super::Cell;
use crate::id::JobId;
use crate::job::{Job, JobState};
use crate::record::{JobRecord, PartKey, Placement, RecordLayout, WorkerRecord};
use crate::run::{Run, RunKey, RunState};
use crate::worker::{Worker, WorkerKey};

/// How long nothing of a job is started after the log rejected a record of it. Each further rejection in
/// a row doubles the time.
const SET_ASIDE_TIME: Span = Span::from_secs(1);
/// The largest number of doublings.
const MAX_SET_ASIDE_DOUBLINGS: u32 = 6;

/// A batch of records to append to the log.
#[derive(Debug, Default, PartialEq)]
pub struct RecordBatch {
    /// The number of the batch, to be passed to [`Cell::records_appended`] once its records are in
    /// the log.
    pub batch: u64,
    /// The parts of large records that changed. They come before the progress in the log.
    pub parts: Vec<(JobId, PartKey, JobRecord)>,
    /// The progress of the jobs that changed.
    pub progress: Vec<(JobId, JobRecord)>,
    /// Parts that can be deleted once the progress is in the log.
    pub dropped_parts: Vec<(JobId, PartKey)>,
    /// Jobs whose progress record can be deleted.
    pub expired: Vec<JobId>,
}

impl RecordBatch {
    /// Returns whether the batch has no records.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
            && self.progress.is_empty()
            && self.dropped_parts.is_empty()
            && self.expired.is_empty()
    }
}

impl Job {
    /// Starts nothing of the job and writes no record of it until some time after `now`.
    fn set_aside(&mut self, now: Time) {
        let longest = SET_ASIDE_TIME.times(1 << MAX_SET_ASIDE_DOUBLINGS);
        if now.since(self.held_until) > longest {
            self.rejections = 0;
        }
        let doublings = self.rejections.min(MAX_SET_ASIDE_DOUBLINGS);
        self.held_until = now + SET_ASIDE_TIME.times(1 << doublings);
        self.rejections += 1;
    }

    /// Moves the rows of the job's record into parts, and adds those that changed to a batch.
    fn split_record(
        &mut self,
        record: &mut JobRecord,
        layout: RecordLayout,
        batch: &mut RecordBatch,
    ) {
        let parts = record.split(layout);
        let mut known = std::mem::take(&mut self.parts);
        for (key, part) in parts {
            let hash = part.content_hash();
            if known.remove(&key) != Some(hash) {
                batch.parts.push((self.id, key, part));
            }
            self.parts.insert(key, hash);
        }
        let outdated = known.into_keys().map(|key| (self.id, key));
        batch.dropped_parts.extend(outdated);
    }
}

/// An acknowledgement of run ends that is sent once a batch of records is in the log.
#[derive(Debug)]
pub(super) struct PendingAck {
    pub(super) batch: u64,
    /// The job whose run ended.
    pub(super) job: JobId,
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
        let mut held = Vec::new();
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if job.held_until > now {
                held.push((key, job.id));
                continue;
            }
            let mut record = match job.end {
                Some(end) => {
                    self.pending_ends.push((self.batch, key));
                    let mut record = JobRecord::of_end(end, job.spec.customer.clone());
                    self.add_left_runs(job, &mut record);
                    record
                }
                None => JobRecord::of_progress(job, self.placements(job)),
            };
            if !job.parts.is_empty() || record.is_large(self.layout) {
                self.jobs[key].split_record(&mut record, self.layout, &mut records);
            }
            records.progress.push((self.jobs[key].id, record));
        }
        for (key, id) in held {
            self.dirty.insert(key);
            self.defer_acks(id, self.batch + 1);
        }
        records.dropped_parts.append(&mut self.dropped_parts);
        for id in std::mem::take(&mut self.dropped_jobs) {
            if !self.jobs_by_id.contains_key(&id) {
                records.expired.push(id);
            }
        }
        // An empty batch gets a number of its own as well: what happens before it is reported as
        // appended belongs to the next batch, which is not in the log yet.
        self.batch += 1;
        records
    }

    /// Schedules the deletion of a part that the log holds of a job that is no longer known.
    pub fn drop_part(&mut self, id: JobId, part: PartKey) {
        self.dropped_parts.push((id, part));
    }

    /// Starts nothing of a job for a while, since the log rejected a record of it. What was placed and
    /// not ordered is withdrawn, as a later owner would not know of it, and what its runs have done is
    /// not acknowledged. The record is then written again. `kept_parts` are the parts that were to be
    /// deleted after the rejected record and are still in the log.
    pub fn set_aside(&mut self, id: JobId, kept_parts: &[PartKey], now: Time) {
        let Some(&key) = self.jobs_by_id.get(&id) else {
            return;
        };
        let job = &mut self.jobs[key];
        job.set_aside(now);
        // A part that was rejected is not in the log as it is now.
        job.parts.values_mut().for_each(|hash| *hash = 0);
        job.parts.extend(kept_parts.iter().map(|part| (*part, 0)));
        let runs: Vec<RunKey> = job.runs.iter().copied().collect();
        for run in runs {
            if self.runs[run].state == RunState::Planned {
                self.stop_run(run);
            }
        }
        self.pending_ends.retain(|(_, ended)| *ended != key);
        self.dirty.insert(key);
        self.defer_acks(id, self.batch);
    }

    /// Has the acknowledgements of the ends of a job's runs wait for a later batch, unless its records
    /// are rejected for so long that the lists of its workers could fill up with them.
    fn defer_acks(&mut self, id: JobId, batch: u64) {
        let key = self.jobs_by_id.get(&id);
        if key.is_some_and(|key| self.jobs[*key].rejections > MAX_SET_ASIDE_DOUBLINGS) {
            return;
        }
        for ack in self.pending_acks.iter_mut().filter(|ack| ack.job == id) {
            ack.batch = ack.batch.max(batch);
        }
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
        // An acknowledgement covers all lower numbers of its worker.
        let mut waiting: FxHashSet<WorkerKey> = FxHashSet::default();
        for ack in acks {
            if ack.batch > batch || waiting.contains(&ack.worker) {
                waiting.insert(ack.worker);
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
        self.workers.values().map(Worker::to_record).collect()
    }

    /// Changes a worker, and notes whether its record for a later owner changes with it.
    pub(super) fn change_worker(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker)) {
        let worker = &mut self.workers[key];
        let recorded = worker.to_record();
        change(worker);
        self.are_workers_changed |= worker.to_record() != recorded;
    }

    /// Returns whether the record of a known worker has changed since the last call, by a response or
    /// by an entry of the directory, so that the recorded list of workers is outdated.
    pub fn take_worker_changes(&mut self) -> bool {
        std::mem::take(&mut self.are_workers_changed)
    }
}
