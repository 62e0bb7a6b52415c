//! The progress of one job at its home shard.

use std::sync::Arc;

use kingcupwinch_coord::id::{Attempt, Incarnation, JobId, Term};
use kingcupwinch_coord::record::{CrashCount, JobEnd, TaskCrashes};
use kingcupwinch_policy::Crashes;
use kingcupwinch_time::Time;
use kingcupwinch_wire::api::{JobPhase, JobSpec, JobStatus};
use kingcupwinch_wire::sibling::TaskPhase;

/// Bits of an attempt number that count the dispatches by one scheduler.
const DISPATCH_BITS: u32 = 8;
/// Bits of an attempt number that count the submissions of a task in one term.
const SUBMISSION_BITS: u32 = 12;
/// Bits of an attempt number that hold the end of the term.
const TERM_BITS: u32 = 32 - SUBMISSION_BITS - DISPATCH_BITS;

/// The status of a task as known to the job's home shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// No scheduler has confirmed whether the task runs. After this time it certainly does not run.
    Unconfirmed(Time),
    /// The task is queued or runs in this instance's scheduler.
    Local,
    /// A sibling accepted the task and has it queued or running.
    Delegated(Incarnation),
    /// The task runs on a worker of this other instance's shard.
    Remote(Incarnation),
    /// The task succeeded.
    Done,
    /// The task failed permanently.
    Failed,
    /// The task may have run; an operator has to decide.
    Unknown,
}

impl TaskStatus {
    /// Returns whether the task has ended.
    pub(crate) fn has_ended(self) -> bool {
        matches!(
            self,
            TaskStatus::Done | TaskStatus::Failed | TaskStatus::Unknown
        )
    }

    /// Returns whether a scheduler other than the reporting one is known to have the task.
    fn is_held_by_other(self, from: Option<Incarnation>) -> bool {
        match self {
            TaskStatus::Remote(holder) => from != Some(holder),
            TaskStatus::Local => from.is_some(),
            _ => false,
        }
    }

    /// Returns the status after a scheduler has reported that the task runs there.
    fn running_at(self, from: Option<Incarnation>) -> Self {
        match (self, from) {
            (TaskStatus::Unconfirmed(_) | TaskStatus::Remote(_), None) => TaskStatus::Local,
            (TaskStatus::Unconfirmed(_) | TaskStatus::Remote(_), Some(from)) => {
                TaskStatus::Remote(from)
            }
            (TaskStatus::Delegated(to), Some(from)) if to != from => TaskStatus::Remote(from),
            (other, _) => other,
        }
    }
}

/// A scheduler's report about a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskReport {
    /// The attempt that ended, if the scheduler does not have the task and passes on what a worker
    /// lists; zero in a scheduler's own report.
    pub(crate) attempt: Attempt,
    /// The task's new phase.
    pub(crate) phase: TaskPhase,
    /// The sibling whose scheduler reports, `None` for this instance's scheduler.
    pub(crate) from: Option<Incarnation>,
    /// Time by which a run with no further reports has certainly ended.
    pub(crate) expiry: Time,
}

/// The progress of one job at its home shard.
#[derive(Debug)]
pub(crate) struct JobProgress {
    /// Id of the job.
    pub(crate) job: JobId,
    /// The description that the caller submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Status of each task, by index.
    pub(crate) tasks: Vec<TaskStatus>,
    /// Whether any task has started.
    pub(crate) started: bool,
    /// Whether each task runs, according to the last report.
    running: Vec<bool>,
    /// Whether each task ran when its scheduler lost it and has not been reported since.
    vanished: Vec<bool>,
    crashes: Vec<CrashCount>,
    term: Term,
    /// Number of each task's latest submission in the term.
    submissions: Vec<u16>,
}

impl JobProgress {
    /// Creates the progress of a job whose tasks all have the same status.
    pub(crate) fn new(
        job: JobId,
        spec: Arc<JobSpec>,
        idempotent: bool,
        term: Term,
        status: TaskStatus,
    ) -> Self {
        let count = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        let tasks = vec![status; count];
        JobProgress {
            job,
            spec,
            idempotent,
            tasks,
            started: false,
            running: vec![false; count],
            vanished: vec![false; count],
            crashes: vec![CrashCount::default(); count],
            term,
            submissions: vec![0; count],
        }
    }

    /// Sets the crashes that are on record.
    #[must_use]
    pub(crate) fn with_crashes(mut self, recorded: &[TaskCrashes]) -> Self {
        for task in recorded {
            let index = usize::try_from(task.index).unwrap_or(usize::MAX);
            if let Some(known) = self.crashes.get_mut(index) {
                *known = task.count;
            }
        }
        self
    }

    /// Replaces the crashes counted for a task if the new count is of a later attempt; returns
    /// whether it is.
    pub(crate) fn record_crashes(&mut self, index: usize, count: CrashCount) -> bool {
        match self.crashes.get_mut(index) {
            Some(known) if known.attempt < count.attempt => {
                *known = count;
                true
            }
            _ => false,
        }
    }

    /// Marks tasks whose run may have ended unnoticed.
    pub(crate) fn mark_vanished(&mut self, indices: &[u32]) {
        for index in indices.iter().filter_map(|i| usize::try_from(*i).ok()) {
            if let Some(vanished) = self.vanished.get_mut(index) {
                *vanished |= self.running.get(index).is_some_and(|runs| *runs);
            }
        }
    }

    /// Counts a crash for each of these tasks that has vanished, since its worker may have crashed,
    /// and returns the new counts. They belong to the submission of this base.
    pub(crate) fn count_vanished(&mut self, indices: &[u32], base: u32) -> Vec<TaskCrashes> {
        let mut counted = Vec::new();
        for &index in indices {
            let at = usize::try_from(index).unwrap_or(usize::MAX);
            let vanished = self.vanished.get_mut(at).is_some_and(std::mem::take);
            let Some(known) = self.crashes.get_mut(at).filter(|_| vanished) else {
                continue;
            };
            known.attempt = Attempt(base);
            known.total = known.total.saturating_add(1);
            let count = *known;
            counted.push(TaskCrashes { index, count });
        }
        counted
    }

    /// Returns the crashes counted for a task.
    pub(crate) fn crashes_of(&self, index: u32) -> Crashes {
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        self.crashes.get(index).map_or(Crashes::NONE, |count| {
            Crashes::new(count.total, count.clear)
        })
    }

    /// Continues in a newer term of the same owner.
    pub(crate) fn continue_in(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.submissions.fill(0);
        }
    }

    /// Returns the base of the attempt numbers of a new submission of tasks. The numbers of a task
    /// repeat only after 4,096 of its submissions in one term, or when the truncated term repeats.
    pub(crate) fn next_attempt_base(&mut self, tasks: &[u32]) -> u32 {
        let indices = tasks.iter().filter_map(|task| usize::try_from(*task).ok());
        let latest = indices
            .clone()
            .filter_map(|index| self.submissions.get(index));
        let number = latest.max().map_or(1, |latest| latest.wrapping_add(1));
        for index in indices {
            if let Some(latest) = self.submissions.get_mut(index) {
                *latest = number;
            }
        }
        let number = u32::from(number) % (1 << SUBMISSION_BITS);
        let term = u32::try_from(self.term.0 % (1 << TERM_BITS)).unwrap_or(0);
        (term << (SUBMISSION_BITS + DISPATCH_BITS)) | (number << DISPATCH_BITS)
    }

    /// Applies a scheduler's report; returns whether the status changed.
    pub(crate) fn apply_report(&mut self, index: usize, report: TaskReport) -> bool {
        let TaskReport {
            attempt,
            phase,
            from,
            expiry,
        } = report;
        let Some(status) = self.tasks.get_mut(index) else {
            return false;
        };
        if status.has_ended() {
            return false;
        }
        // Workers list ends for minutes, so another attempt may have been started since.
        if phase == TaskPhase::Failed && self.idempotent && attempt > Attempt(0) {
            return false;
        }
        // The report was late: the task has a new holder since.
        let gives_up = matches!(phase, TaskPhase::Moved | TaskPhase::NotRun);
        if gives_up && status.is_held_by_other(from) {
            return false;
        }
        let next = match phase {
            TaskPhase::Done => TaskStatus::Done,
            TaskPhase::Failed => TaskStatus::Failed,
            TaskPhase::Unknown => TaskStatus::Unknown,
            TaskPhase::Running => {
                self.started = true;
                status.running_at(from)
            }
            // The task was returned, so it certainly does not run.
            TaskPhase::NotRun => TaskStatus::Unconfirmed(Time::ZERO),
            // The new owner of the worker reports whether the task runs; until then no one else may
            // run it.
            TaskPhase::Moved => TaskStatus::Unconfirmed(expiry),
            TaskPhase::Waiting | TaskPhase::Stopped => *status,
        };
        let changed = next != *status;
        *status = next;
        if let Some(vanished) = self.vanished.get_mut(index) {
            *vanished = match phase {
                TaskPhase::Running => false,
                TaskPhase::Moved => true,
                _ => *vanished,
            };
        }
        if let Some(is_running) = self.running.get_mut(index) {
            *is_running = phase == TaskPhase::Running;
        }
        changed
    }

    /// Returns the indices of the tasks that certainly do not run and may be submitted. A task that
    /// may have run is submitted again only if that is allowed.
    pub(crate) fn submittable(&self, now: Time) -> Vec<u32> {
        let latest = if self.idempotent { now } else { Time::ZERO };
        self.tasks_where(|status| matches!(status, TaskStatus::Unconfirmed(at) if at <= latest))
    }

    /// Records that no unconfirmed task runs.
    pub(crate) fn record_not_running(&mut self) {
        let unconfirmed = self.tasks_where(|status| matches!(status, TaskStatus::Unconfirmed(_)));
        self.set_status(&unconfirmed, TaskStatus::Unconfirmed(Time::ZERO));
    }

    /// Returns the indices of the tasks whose status satisfies a predicate.
    pub(crate) fn tasks_where(&self, wanted: impl Fn(TaskStatus) -> bool) -> Vec<u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, status)| wanted(**status))
            .map(|(index, _)| index)
            .collect()
    }

    /// Sets the status of tasks.
    pub(crate) fn set_status(&mut self, indices: &[u32], status: TaskStatus) {
        for index in indices {
            if let Some(task) = usize::try_from(*index)
                .ok()
                .and_then(|i| self.tasks.get_mut(i))
            {
                *task = status;
            }
        }
    }

    /// Returns the job's end, or `None` if it has not ended.
    pub(crate) fn end(&self) -> Option<JobEnd> {
        if self.tasks.contains(&TaskStatus::Failed) {
            return Some(JobEnd::Failed);
        }
        if !self.tasks.iter().all(|status| status.has_ended()) {
            return None;
        }
        let unknown = self.tasks.contains(&TaskStatus::Unknown);
        Some(if unknown {
            JobEnd::Unknown
        } else {
            JobEnd::Done
        })
    }

    /// Returns the state that callers see.
    pub(crate) fn status(&self) -> JobStatus {
        let count = |wanted: fn(&TaskStatus) -> bool| {
            u32::try_from(self.tasks.iter().filter(|p| wanted(p)).count()).unwrap_or(u32::MAX)
        };
        let done = count(|status| *status == TaskStatus::Done);
        let failed = count(|status| matches!(status, TaskStatus::Failed | TaskStatus::Unknown));
        let open = self.spec.tasks.saturating_sub(done + failed);
        let active = self.running.iter().filter(|runs| **runs).count();
        let running = u32::try_from(active).unwrap_or(u32::MAX).min(open);
        JobStatus {
            job: self.job.to_string().into(),
            phase: if self.started {
                JobPhase::Running
            } else {
                JobPhase::Waiting
            },
            waiting: open - running,
            running,
            done,
            failed,
        }
    }
}

impl JobProgress {
    /// Returns the state that callers see after the job has ended.
    pub(crate) fn ended_status(&self, end: JobEnd) -> JobStatus {
        JobStatus {
            phase: ended_phase(end),
            waiting: 0,
            running: 0,
            ..self.status()
        }
    }
}

/// Returns the state of a job that ended under an earlier owner, whose task counts are lost.
pub(crate) fn ended_status(job: JobId, end: JobEnd) -> JobStatus {
    let job = job.to_string().into();
    JobStatus {
        job,
        phase: ended_phase(end),
        waiting: 0,
        running: 0,
        done: 0,
        failed: 0,
    }
}

fn ended_phase(end: JobEnd) -> JobPhase {
    match end {
        JobEnd::Done => JobPhase::Done,
        JobEnd::Failed => JobPhase::Failed,
        JobEnd::Cancelled => JobPhase::Cancelled,
        JobEnd::Unknown => JobPhase::Unknown,
    }
}

#[cfg(test)]
mod tests;
