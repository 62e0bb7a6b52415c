//! The progress of a job as stored in the log, next to its acceptance.

use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::crash::Crash;
use crate::job::{Job, JobState, Step, TaskState};
use crate::spec::Resources;

mod parts;

pub use parts::PartKey;
pub(crate) use parts::RecordLayout;

quick_error! {
    /// The reasons why a record can't be read or written.
    #[derive(Debug)]
    pub enum RecordError {
        /// The JSON could not be read or written as such a record.
        Malformed(source: serde_json::Error) {
            from()
            source(source)
            display("malformed record: {source}")
        }
    }
}

/// The placement of a run on a worker, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The slot of the step, counted over all occurrences.
    #[serde(rename = "s")]
    pub step: u32,
    /// The index of the task in the step.
    #[serde(rename = "i")]
    pub index: u16,
    /// The run number.
    #[serde(rename = "n")]
    pub run: u32,
    /// The worker's id.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
}

/// A worker as recorded for a later owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "WorkerRow", into = "WorkerRow")]
pub struct WorkerRecord {
    /// The id.
    pub id: Arc<str>,
    /// The address; empty if it is unknown.
    pub address: Arc<str>,
    /// The start of the process that responded last, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Whether the process may hold a lease that was granted to an earlier one, and that is as long as
    /// the platform allows.
    pub long_lease: bool,
}

/// The stored form of a [`WorkerRecord`]. Earlier owners stored no start. The last field is stored only
/// if it is true, since earlier versions refuse longer rows.
#[derive(Serialize, Deserialize)]
struct WorkerRow(
    Arc<str>,
    Arc<str>,
    #[serde(default)] Option<u64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")] bool,
);

impl From<WorkerRow> for WorkerRecord {
    fn from(WorkerRow(id, address, started_ms, long_lease): WorkerRow) -> Self {
        WorkerRecord {
            id,
            address,
            started_ms,
            long_lease,
        }
    }
}

impl From<WorkerRecord> for WorkerRow {
    fn from(record: WorkerRecord) -> Self {
        WorkerRow(
            record.id,
            record.address,
            record.started_ms,
            record.long_lease,
        )
    }
}

/// Runs of an ended job that may still be on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeftRuns {
    /// The worker's id.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// The number of runs.
    #[serde(rename = "n")]
    pub runs: u64,
    /// The resources of all of them.
    #[serde(rename = "u")]
    pub used: Resources,
}

/// The progress of a job that must survive the loss of its owner.
#[derive(Debug, Clone, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct JobRecord {
    /// The highest run number used so far.
    #[serde(rename = "n", default)]
    pub last_run: u32,
    /// Whether any run has begun.
    #[serde(rename = "b", default)]
    pub started: bool,
    /// The final state, once the job has ended.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobState>,
    /// The customer of a job that has ended, since its acceptance is deleted. Earlier versions don't
    /// record it.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
    /// The slots of steps whose tasks are all done, as half-open ranges.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub done_steps: Vec<(u32, u32)>,
    /// The done tasks of other steps: slot, and indexes of the tasks.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done_tasks: Vec<(u32, Vec<u16>)>,
    /// The failed runs: slot, task index and run numbers. The numbers keep a run end that a worker
    /// lists again to a later owner from counting twice.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<(u32, u16, SmallVec<[u32; 4]>)>,
    /// The crashes of workers: slot, task index and crashes. The run numbers keep a crash that a later
    /// owner sees again from counting twice.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u32, u16, SmallVec<[Crash; 2]>)>,
    /// The checkpoints: slot, task index and value.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, u16, Arc<str>)>,
    /// The long-running tasks that wait to run again: slot, and indexes of the tasks.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub interrupted: Vec<(u32, Vec<u16>)>,
    /// The placements of active runs.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<Placement>,
    /// What an ended job of a customer may have on workers. Earlier versions don't record it.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<LeftRuns>,
    /// The parts that the log holds beside this record.
    #[serde(skip)]
    pub parts: Vec<PartKey>,
}

impl JobRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid JSON of such a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Fails if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Returns the job state that the record shows.
    pub fn state(&self) -> JobState {
        match self.end {
            Some(end) => end,
            None if self.started => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Builds the record of a job that has ended.
    pub(crate) fn of_end(end: JobState, customer: Option<Arc<str>>) -> Self {
        JobRecord {
            started: true,
            end: Some(end),
            customer,
            ..JobRecord::default()
        }
    }

    pub(crate) fn done_task_slots(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        task_slots(&self.done_tasks)
    }

    pub(crate) fn interrupted_slots(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        task_slots(&self.interrupted)
    }

    /// Returns the slots of the steps whose tasks are all done.
    pub(crate) fn done_slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.done_steps
            .iter()
            .flat_map(|(first, after)| *first as usize..*after as usize)
    }

    /// Returns the highest slot that the record names.
    pub(crate) fn last_slot(&self) -> Option<usize> {
        let done_steps = self
            .done_steps
            .iter()
            .filter_map(|(_, after)| after.checked_sub(1));
        let done = self.done_tasks.iter().map(|(step, _)| *step);
        let placed = self.placements.iter().map(|placement| placement.step);
        let crashed = self.crashes.iter().map(|(step, ..)| *step);
        let last = done_steps.chain(done).chain(placed).chain(crashed).max()?;
        Some(last as usize)
    }

    /// Builds the record of a live job with the placements of its runs.
    pub(crate) fn of_progress(job: &Job, placements: Vec<Placement>) -> Self {
        let mut record = JobRecord {
            last_run: job.last_run,
            started: job.started,
            placements,
            parts: job.parts.keys().copied().collect(),
            ..JobRecord::default()
        };
        for (slot, step) in job.steps.iter().enumerate() {
            let slot = slot as u32;
            if step.remaining == 0 {
                record.add_done_step(slot);
            } else {
                record.add_partial_step(slot, step, job.step_spec(slot as usize).long_running);
            }
        }
        record
    }

    fn add_done_step(&mut self, slot: u32) {
        match self.done_steps.last_mut() {
            Some((_, after)) if *after == slot => *after += 1,
            _ => self.done_steps.push((slot, slot + 1)),
        }
    }

    fn add_partial_step(&mut self, slot: u32, step: &Step, is_long_running: bool) {
        let mut done = Vec::new();
        let mut interrupted = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            let index = index as u16;
            if task.state == TaskState::Done {
                done.push(index);
                continue;
            }
            if is_long_running && task.waits_to_restart_since().is_some() {
                interrupted.push(index);
            }
            if !task.failed_runs.is_empty() {
                self.failed_runs
                    .push((slot, index, task.failed_runs.clone()));
            }
            if !task.crashes.is_empty() {
                let crashes = task.crashes.as_slice().iter().cloned().collect();
                self.crashes.push((slot, index, crashes));
            }
            if let Some(checkpoint) = &task.checkpoint {
                self.checkpoints.push((slot, index, Arc::clone(checkpoint)));
            }
        }
        if !done.is_empty() {
            self.done_tasks.push((slot, done));
        }
        if !interrupted.is_empty() {
            self.interrupted.push((slot, interrupted));
        }
    }
}

fn task_slots(rows: &[(u32, Vec<u16>)]) -> impl Iterator<Item = (usize, usize)> + '_ {
    rows.iter().flat_map(|(step, indexes)| {
        let step = *step as usize;
        indexes.iter().map(move |index| (step, usize::from(*index)))
    })
}
