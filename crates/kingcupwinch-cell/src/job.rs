use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use crate::advice::Tickets;
use crate::id::JobId;
use crate::record::JobRecord;
use crate::run::RunKey;
use crate::spec::JobSpec;
use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// Names a job of the cell.
    pub(crate) struct JobKey;
}

/// A job that ends after this many objectives earns nothing.
const LATE_OBJECTIVES: u64 = 3;

/// A job's state as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Shown {
    /// Nothing of it has begun.
    Queued,
    /// Something of it has begun.
    Running,
    /// Every task is done.
    Completed,
    /// A task was given up.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl Shown {
    /// Returns the word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Shown::Queued => "queued",
            Shown::Running => "running",
            Shown::Completed => "completed",
            Shown::Failed => "failed",
            Shown::Cancelled => "cancelled",
        }
    }

    /// Returns whether it stays so for good.
    pub fn is_final(self) -> bool {
        !matches!(self, Shown::Queued | Shown::Running)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    Waiting,
    Active(RunKey),
    Done,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Runs that are not certainly over; the task starts anew only when there are none.
    pub(crate) unsettled: u32,
    /// The numbers of its runs that failed; for a gang, those of its first member.
    pub(crate) failed: SmallVec<[u32; 4]>,
    pub(crate) saved: Option<Arc<str>>,
    /// The worker where it failed last, which it avoids.
    pub(crate) avoid: Option<WorkerKey>,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Tasks not done.
    pub(crate) left: usize,
    /// Tasks that wait.
    pub(crate) waiting: usize,
    pub(crate) tickets: Tickets,
    /// Expected time from the step's start to the job's end.
    pub(crate) tail: Span,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    pub(crate) steps: Vec<Step>,
    /// Runs of any state that are not certainly over.
    pub(crate) runs: FxHashSet<RunKey>,
    /// The highest number of a run so far.
    pub(crate) numbers: u32,
    pub(crate) began: bool,
    /// Taken over: unseen tasks may run until every inherited worker is settled.
    pub(crate) inherited: bool,
    pub(crate) objective: Time,
    pub(crate) late: Time,
    pub(crate) end: Option<Shown>,
    /// Whether the end is in the log, and so may be shown.
    pub(crate) is_end_kept: bool,
}

impl Task {
    /// Returns whether the task may be started.
    pub(crate) fn is_free(&self) -> bool {
        self.state == TaskState::Waiting && self.unsettled == 0
    }
}

impl Job {
    pub(crate) fn new(id: JobId, spec: JobSpec, pace: f64, now: Time) -> Self {
        let tails = spec.tails();
        let scale = |span: Span| Span::from_micros((span.as_micros() as f64 * pace) as u64);
        let chain = tails.iter().copied().max().unwrap_or_default();
        let stretched = (chain.as_micros() as f64 * pace * spec.terms.stretch) as u64;
        let length = Span::from_micros(stretched + spec.terms.target_ms * 1_000);
        let steps = spec.steps.iter().zip(tails).map(|(step, tail)| Step {
            tasks: (0..step.count)
                .map(|_| Task {
                    state: TaskState::Waiting,
                    unsettled: 0,
                    failed: SmallVec::new(),
                    saved: None,
                    avoid: None,
                })
                .collect(),
            left: usize::from(step.count),
            waiting: usize::from(step.count),
            tickets: Tickets::default(),
            tail: scale(tail),
        });
        Job {
            id,
            steps: steps.collect(),
            spec,
            runs: FxHashSet::default(),
            numbers: 0,
            began: false,
            inherited: false,
            objective: now + length,
            late: now + length.times(LATE_OBJECTIVES),
            end: None,
            is_end_kept: false,
        }
    }

    pub(crate) fn shown(&self) -> Shown {
        match self.end {
            // Shown before it is kept, a later owner might show the job as running again.
            Some(end) if self.is_end_kept => end,
            Some(Shown::Cancelled) => Shown::Cancelled,
            _ if self.began => Shown::Running,
            _ => Shown::Queued,
        }
    }

    /// Returns whether a step's predecessors are all done.
    pub(crate) fn is_due(&self, number: usize) -> bool {
        let after = &self.spec.steps[number].after;
        after
            .iter()
            .all(|before| self.steps[usize::from(*before)].left == 0)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Marks a task done; returns whether it was not done before.
    pub(crate) fn finish_task(&mut self, step: usize, index: usize) -> bool {
        let step = &mut self.steps[step];
        match step.tasks[index].state {
            TaskState::Done => return false,
            TaskState::Waiting => step.waiting -= 1,
            TaskState::Active(_) => {}
        }
        step.tasks[index].state = TaskState::Done;
        step.left -= 1;
        true
    }

    /// Lets a task wait again, if this run was its own.
    pub(crate) fn release_task(&mut self, step: usize, index: usize, run: RunKey) {
        let step = &mut self.steps[step];
        if step.tasks[index].state == TaskState::Active(run) {
            step.tasks[index].state = TaskState::Waiting;
            step.waiting += 1;
        }
    }

    pub(crate) fn start_task(&mut self, step: usize, index: usize, run: RunKey) {
        let step = &mut self.steps[step];
        if step.tasks[index].state == TaskState::Waiting {
            step.waiting -= 1;
        }
        step.tasks[index].state = TaskState::Active(run);
    }

    /// Takes over what an earlier owner recorded.
    pub(crate) fn restore(&mut self, record: &JobRecord) {
        self.numbers = self.numbers.max(record.numbers);
        self.began |= record.began;
        for (step, index) in record.done_tasks() {
            if self.has_task(step, index) {
                self.finish_task(step, index);
            }
        }
        for (step, index, numbers) in &record.failed {
            if let Some(task) = self.task_mut((*step).into(), (*index).into()) {
                task.failed.clone_from(numbers);
            }
        }
        for (step, index, saved) in &record.saved {
            if let Some(task) = self.task_mut((*step).into(), (*index).into()) {
                task.saved = Some(Arc::clone(saved));
            }
        }
    }

    pub(crate) fn has_task(&self, step: usize, index: usize) -> bool {
        self.steps
            .get(step)
            .is_some_and(|step| index < step.tasks.len())
    }

    fn task_mut(&mut self, step: usize, index: usize) -> Option<&mut Task> {
        self.steps.get_mut(step)?.tasks.get_mut(index)
    }
}
