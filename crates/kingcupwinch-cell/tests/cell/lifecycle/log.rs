//! The log that all owners share: accepted jobs, progress and the directory of workers.

use std::collections::{BTreeMap, BTreeSet};

use kingcupwinch_cell::{JobId, JobRecord, JobSpec, PartKey, RecordBatch, TaskName, WorkerRecord};
use kingcupwinch_time::Time;

use crate::progress_log::ProgressLog;

/// A record of the intake.
#[derive(Debug, Clone)]
pub(super) enum IntakeRecord {
    Accepted(JobId),
    Cancelled(JobId),
}

/// A heartbeat of a worker in the directory, with the start of its process. `None` if the entry was
/// removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct DirectoryRecord {
    pub(super) worker: usize,
    pub(super) is_draining: bool,
    pub(super) capacity_cpu: u64,
    pub(super) started_ms: Option<u64>,
}

/// A time in which records of a job are rejected.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rejection {
    pub(super) until: Time,
    /// Whether the parts of the job's record are rejected.
    pub(super) of_parts: bool,
    /// Whether its progress is rejected.
    pub(super) of_progress: bool,
}

#[derive(Debug, Default)]
pub(super) struct Log {
    /// The latest term that has fenced the progress records.
    pub(super) term: u64,
    pub(super) intake: Vec<IntakeRecord>,
    pub(super) accepted: BTreeMap<JobId, JobSpec>,
    /// When each job was accepted first.
    pub(super) accepted_at: BTreeMap<JobId, Time>,
    pub(super) cancelled: BTreeSet<JobId>,
    records: ProgressLog,
    /// The progress of each job, with the parts of its record.
    pub(super) progress: BTreeMap<JobId, JobRecord>,
    /// The workers that the last owner used.
    pub(super) workers: Vec<WorkerRecord>,
    pub(super) directory: Vec<DirectoryRecord>,
    /// The end of the current outage.
    pub(super) down_until: Time,
    pub(super) rejections: BTreeMap<JobId, Rejection>,
}

impl Log {
    pub(super) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    pub(super) fn accept(&mut self, id: JobId, spec: &JobSpec, now: Time) {
        self.accepted_at.entry(id).or_insert(now);
        self.accepted.entry(id).or_insert_with(|| spec.clone());
        self.intake.push(IntakeRecord::Accepted(id));
    }

    pub(super) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.intake.push(IntakeRecord::Cancelled(id));
    }

    /// Removes what the log rejects from a batch, and the deletions of parts that would follow it. Returns
    /// the jobs that it is about, with these parts.
    pub(super) fn reject(
        &self,
        batch: &mut RecordBatch,
        now: Time,
    ) -> BTreeMap<JobId, Vec<PartKey>> {
        let mut rejected: BTreeMap<JobId, Vec<PartKey>> = BTreeMap::new();
        let mut is_rejected = |id: JobId, is_part: bool| {
            let rejection = self.rejections.get(&id);
            let rejection = rejection.filter(|rejection| now < rejection.until);
            let of_record = |rejection: &Rejection| match is_part {
                true => rejection.of_parts,
                false => rejection.of_progress,
            };
            let holds = rejection.is_some_and(of_record);
            if holds {
                rejected.entry(id).or_default();
            }
            holds
        };
        batch.parts.retain(|(id, ..)| !is_rejected(*id, true));
        batch.progress.retain(|(id, _)| !is_rejected(*id, false));
        batch
            .dropped_parts
            .retain(|(id, part)| match rejected.get_mut(id) {
                Some(kept) => {
                    kept.push(*part);
                    false
                }
                None => true,
            });
        rejected
    }

    /// Appends a batch, whose owner has to hold the latest term.
    pub(super) fn append(&mut self, batch: &RecordBatch, workers: Option<&[WorkerRecord]>) {
        self.progress.extend(self.records.append(batch));
        for id in &batch.expired {
            self.progress.remove(id);
        }
        if let Some(workers) = workers {
            self.workers = workers.to_vec();
        }
    }

    /// Returns whether the progress says that a task is done, or its job has ended.
    pub(super) fn has_done(&self, task: TaskName) -> bool {
        let step = u32::from(task.step);
        self.progress.get(&task.job).is_some_and(|record| {
            let mut steps = record.done_steps.iter();
            let mut tasks = record.done_tasks.iter();
            record.end.is_some()
                || steps.any(|(first, after)| (*first..*after).contains(&step))
                || tasks.any(|(slot, indexes)| *slot == step && indexes.contains(&task.index))
        })
    }

    /// Returns the last record of each worker in the directory.
    pub(super) fn listed_workers(&self) -> BTreeMap<usize, DirectoryRecord> {
        let mut listed = BTreeMap::new();
        for record in &self.directory {
            match record.started_ms {
                Some(_) => listed.insert(record.worker, *record),
                None => listed.remove(&record.worker),
            };
        }
        listed
    }
}
