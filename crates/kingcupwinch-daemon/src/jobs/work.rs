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
const HANDOUT_BITS: u32 = 8;

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskPlace {
    /// Nobody knows whether it runs, until this time; then it certainly doesn't.
    Unseen(Time),
    /// It waits or runs in this instance's scheduler.
    Here,
    /// A sibling took it, and has it waiting or running.
    Lent(Incarnation),
    /// It runs on a worker of another instance's shard.
    Elsewhere,
    /// It ended well.
    Done,
    /// It failed for good.
    Failed,
    /// It may have run; a person decides.
    Unknown,
}

impl TaskPlace {
    /// Returns whether it has ended.
    pub(crate) fn is_over(self) -> bool {
        matches!(
            self,
            TaskPlace::Done | TaskPlace::Failed | TaskPlace::Unknown
        )
    }
}

/// What a scheduler says of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct News {
    /// The task's phase.
    pub(crate) phase: TaskPhase,
    /// Whether a sibling's scheduler says so.
    pub(crate) remote: bool,
    /// When a run of which nothing more is heard has certainly ended.
    pub(crate) lapse: Time,
}

/// One job at its home.
#[derive(Debug)]
pub(crate) struct Work {
    /// The job.
    pub(crate) job: JobId,
    /// What the caller submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Where each task stands.
    pub(crate) tasks: Vec<TaskPlace>,
    /// Whether some task has started.
    pub(crate) started: bool,
    /// Which tasks run, as far as schedulers have said so.
    running: Vec<bool>,
    term: Term,
    handouts: u32,
}

impl Work {
    /// Makes the work of a job whose tasks all stand at one place.
    pub(crate) fn new(
        job: JobId,
        spec: Arc<JobSpec>,
        idempotent: bool,
        term: Term,
        place: TaskPlace,
    ) -> Self {
        let count = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        let tasks = vec![place; count];
        Work {
            job,
            spec,
            idempotent,
            tasks,
            started: false,
            running: vec![false; count],
            term,
            handouts: 0,
        }
    }

    /// Goes on in a newer term of the same owner.
    pub(crate) fn continue_in(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.handouts = 0;
        }
    }

    /// Returns the number below the attempts of a new hand-out of tasks; none of its attempts was
    /// ever used before.
    pub(crate) fn next_base(&mut self) -> u32 {
        self.handouts = (self.handouts + 1) % (1 << HANDOUT_BITS);
        // A shard would need 65,536 changes of term for a number to come back.
        let term = u32::try_from(self.term.0 & 0xffff).unwrap_or(0);
        (term << (HANDOUT_BITS + DISPATCH_BITS)) | (self.handouts << DISPATCH_BITS)
    }

    /// Takes what a scheduler says of a task; returns whether that changed anything.
    pub(crate) fn take_phase(&mut self, index: usize, news: News) -> bool {
        let News {
            phase,
            remote,
            lapse,
        } = news;
        let Some(place) = self.tasks.get_mut(index) else {
            return false;
        };
        if place.is_over() {
            return false;
        }
        let next = match phase {
            TaskPhase::Done => TaskPlace::Done,
            TaskPhase::Failed => TaskPlace::Failed,
            TaskPhase::Unknown => TaskPlace::Unknown,
            TaskPhase::Running => {
                self.started = true;
                match *place {
                    TaskPlace::Unseen(_) if remote => TaskPlace::Elsewhere,
                    TaskPlace::Unseen(_) => TaskPlace::Here,
                    other => other,
                }
            }
            // It was given back, so it certainly does not run.
            TaskPhase::NotRun => TaskPlace::Unseen(Time::ZERO),
            // Its worker's new owner says whether it runs; until then nobody else may run it.
            TaskPhase::Moved => TaskPlace::Unseen(lapse),
            TaskPhase::Waiting | TaskPhase::Stopped => *place,
        };
        let changed = next != *place;
        *place = next;
        if let Some(runs) = self.running.get_mut(index) {
            *runs = phase == TaskPhase::Running;
        }
        changed
    }

    /// Returns the indices of tasks at a place.
    pub(crate) fn at(&self, wanted: impl Fn(TaskPlace) -> bool) -> Vec<u32> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, place)| wanted(**place))
            .map(|(index, _)| index)
            .collect()
    }

    /// Moves tasks to a place.
    pub(crate) fn put(&mut self, indices: &[u32], place: TaskPlace) {
        for index in indices {
            if let Some(task) = usize::try_from(*index)
                .ok()
                .and_then(|i| self.tasks.get_mut(i))
            {
                *task = place;
            }
        }
    }

    /// Returns how the job ended; none while it has not.
    pub(crate) fn end(&self) -> Option<JobEnd> {
        if self.tasks.contains(&TaskPlace::Failed) {
            return Some(JobEnd::Failed);
        }
        if !self.tasks.iter().all(|place| place.is_over()) {
            return None;
        }
        let unknown = self.tasks.contains(&TaskPlace::Unknown);
        Some(if unknown {
            JobEnd::Unknown
        } else {
            JobEnd::Done
        })
    }

    /// Returns the state that callers see.
    pub(crate) fn status(&self) -> JobStatus {
        let count = |wanted: fn(&TaskPlace) -> bool| {
            u32::try_from(self.tasks.iter().filter(|p| wanted(p)).count()).unwrap_or(u32::MAX)
        };
        let done = count(|place| *place == TaskPlace::Done);
        let failed = count(|place| matches!(place, TaskPlace::Failed | TaskPlace::Unknown));
        let open = self.spec.tasks.saturating_sub(done + failed);
        let runs = self.running.iter().filter(|runs| **runs).count();
        let running = u32::try_from(runs).unwrap_or(u32::MAX).min(open);
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

impl Work {
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
