//! One job at its home: where each of its tasks stands.

use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, JobId, Term};
use kingcupwinch_coord::record::JobEnd;
use kingcupwinch_time::Time;
use kingcupwinch_wire::api::{JobPhase, JobSpec, JobStatus};
use kingcupwinch_wire::sibling::TaskPhase;

/// Bits of an attempt's number that count dispatches by one scheduler.
const DISPATCH_BITS: u32 = 8;
/// Bits of an attempt's number that count hand-outs in one term.
const SUBMISSION_BITS: u32 = 8;

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// Nobody knows whether it runs, until this time; then it certainly doesn't.
    Unconfirmed(Time),
    /// It waits or runs in this instance's scheduler.
    Local,
    /// A sibling took it, and has it waiting or running.
    Delegated(Incarnation),
    /// It runs on a worker of another instance's shard.
    Remote,
    /// It ended well.
    Done,
    /// It failed for good.
    Failed,
    /// It may have run; a person decides.
    Unknown,
}

impl TaskStatus {
    /// Returns whether it has ended.
    pub(crate) fn is_over(self) -> bool {
        matches!(
            self,
            TaskStatus::Done | TaskStatus::Failed | TaskStatus::Unknown
        )
    }
}

/// What a scheduler says of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskReport {
    /// The task's phase.
    pub(crate) phase: TaskPhase,
    /// Whether a sibling's scheduler says so.
    pub(crate) remote: bool,
    /// When a run of which nothing more is heard has certainly ended.
    pub(crate) expiry: Time,
}

/// One job at its home.
#[derive(Debug)]
pub(crate) struct JobProgress {
    /// The job.
    pub(crate) job: JobId,
    /// What the caller submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Where each task stands.
    pub(crate) tasks: Vec<TaskStatus>,
    /// Whether some task has started.
    pub(crate) started: bool,
    /// Which tasks run, as far as schedulers have said so.
    running: Vec<bool>,
    term: Term,
    submissions: u32,
}

impl JobProgress {
    /// Makes the work of a job whose tasks all stand at one place.
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
            term,
            submissions: 0,
        }
    }

    /// Goes on in a newer term of the same owner.
    pub(crate) fn continue_in(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.submissions = 0;
        }
    }

    /// Returns the number below the attempts of a new hand-out of tasks; none of its attempts was
    /// ever used before.
    pub(crate) fn next_attempt_base(&mut self) -> u32 {
        self.submissions = (self.submissions + 1) % (1 << SUBMISSION_BITS);
        // A shard would need 65,536 changes of term for a number to come back.
        let term = u32::try_from(self.term.0 & 0xffff).unwrap_or(0);
        (term << (SUBMISSION_BITS + DISPATCH_BITS)) | (self.submissions << DISPATCH_BITS)
    }

    /// Takes what a scheduler says of a task; returns whether that changed anything.
    pub(crate) fn apply_report(&mut self, index: usize, report: TaskReport) -> bool {
        let TaskReport {
            phase,
            remote,
            expiry,
        } = report;
        let Some(status) = self.tasks.get_mut(index) else {
            return false;
        };
        if status.is_over() {
            return false;
        }
        let next = match phase {
            TaskPhase::Done => TaskStatus::Done,
            TaskPhase::Failed => TaskStatus::Failed,
            TaskPhase::Unknown => TaskStatus::Unknown,
            TaskPhase::Running => {
                self.started = true;
                match *status {
                    TaskStatus::Unconfirmed(_) if remote => TaskStatus::Remote,
                    TaskStatus::Unconfirmed(_) => TaskStatus::Local,
                    other => other,
                }
            }
            // It was given back, so it certainly does not run.
            TaskPhase::NotRun => TaskStatus::Unconfirmed(Time::ZERO),
            // Its worker's new owner says whether it runs; until then nobody else may run it.
            TaskPhase::Moved => TaskStatus::Unconfirmed(expiry),
            TaskPhase::Waiting | TaskPhase::Stopped => *status,
        };
        let changed = next != *status;
        *status = next;
        if let Some(is_running) = self.running.get_mut(index) {
            *is_running = phase == TaskPhase::Running;
        }
        changed
    }

    /// Returns the indices of tasks at a place.
    pub(crate) fn tasks_where(&self, wanted: impl Fn(TaskStatus) -> bool) -> Vec<u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, status)| wanted(**status))
            .map(|(index, _)| index)
            .collect()
    }

    /// Moves tasks to a place.
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

    /// Returns how the job ended; none while it has not.
    pub(crate) fn end(&self) -> Option<JobEnd> {
        if self.tasks.contains(&TaskStatus::Failed) {
            return Some(JobEnd::Failed);
        }
        if !self.tasks.iter().all(|status| status.is_over()) {
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
        let is_running = self
            .running
            .iter()
            .filter(|is_running| **is_running)
            .count();
        let running = u32::try_from(is_running).unwrap_or(u32::MAX).min(open);
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
    /// Returns the state that callers see once the job has ended.
    pub(crate) fn ended_status(&self, end: JobEnd) -> JobStatus {
        JobStatus {
            phase: ended_phase(end),
            waiting: 0,
            running: 0,
            ..self.status()
        }
    }
}

/// Returns the state of a job that ended under an owner whose counts are gone.
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
