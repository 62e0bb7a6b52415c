use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use crate::advice::TicketCache;
use crate::id::{JobId, TaskName};
use crate::record::JobRecord;
use crate::run::RunKey;
use crate::spec::{JobSpec, StepSpec};
use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// Names a job of the cell.
    pub(crate) struct JobKey;
}

/// A job that ends after this many objectives earns nothing.
const LATE_LIMIT_OBJECTIVES: u64 = 3;

/// A job's state as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobState {
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

impl JobState {
    /// Returns the word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }

    /// Returns whether it stays so for good.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
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
    pub(crate) unsettled_runs: u32,
    /// The numbers of its runs that failed; for a gang, those of its first member.
    pub(crate) failed_runs: SmallVec<[u32; 4]>,
    pub(crate) checkpoint: Option<Arc<str>>,
    /// The worker where it failed last, which it avoids.
    pub(crate) avoid_worker: Option<WorkerKey>,
    /// Not to be started before this time.
    pub(crate) not_before: Time,
    /// Runs in a row of a lasting task that ended soon after their start.
    pub(crate) short_runs: u32,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Tasks not done.
    pub(crate) remaining: usize,
    /// Tasks that wait.
    pub(crate) waiting: usize,
    pub(crate) tickets: TicketCache,
    /// Expected time from the step's start to the occurrence's end.
    pub(crate) critical_path: Span,
    /// When the occurrence should have ended, and when its end is worth nothing any more.
    pub(crate) objective: Time,
    pub(crate) late_limit: Time,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    /// The steps of the occurrences that have come due, one occurrence after the other.
    pub(crate) steps: Vec<Step>,
    /// Expected time from each step's start to its occurrence's end.
    critical_paths: SmallVec<[Span; 4]>,
    /// From an occurrence's due time to its objective.
    objective_span: Span,
    /// Runs of any state that are not certainly over.
    pub(crate) runs: FxHashSet<RunKey>,
    /// The highest number of a run so far.
    pub(crate) last_run: u32,
    pub(crate) started: bool,
    /// Taken over: unseen tasks may run until every inherited worker is settled.
    pub(crate) inherited: bool,
    pub(crate) end: Option<JobState>,
    /// Whether the end is in the log, and so may be shown.
    pub(crate) is_end_recorded: bool,
}

impl Task {
    fn new() -> Self {
        Task {
            state: TaskState::Waiting,
            unsettled_runs: 0,
            failed_runs: SmallVec::new(),
            checkpoint: None,
            avoid_worker: None,
            not_before: Time::ZERO,
            short_runs: 0,
        }
    }

    /// Returns whether the task may be started now.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        self.state == TaskState::Waiting && self.unsettled_runs == 0 && self.not_before <= now
    }
}

impl Job {
    pub(crate) fn new(id: JobId, spec: JobSpec, pace: f64, now: Time) -> Self {
        let tails = spec.critical_paths();
        let scale = |span: &Span| Span::from_micros((span.as_micros() as f64 * pace) as u64);
        let chain = tails.iter().copied().max().unwrap_or_default();
        let stretched_us = (chain.as_micros() as f64 * pace * spec.policy.stretch) as u64;
        let mut job = Job {
            id,
            steps: Vec::with_capacity(spec.steps.len()),
            critical_paths: tails.iter().map(scale).collect(),
            objective_span: Span::from_micros(stretched_us + spec.policy.target_ms * 1_000),
            spec,
            runs: FxHashSet::default(),
            last_run: 0,
            started: false,
            inherited: false,
            end: None,
            is_end_recorded: false,
        };
        if job.spec.schedule.is_none() {
            job.open_occurrence(now);
        }
        job
    }

    /// Adds the steps of the next occurrence, which is due at `due`.
    fn open_occurrence(&mut self, due: Time) {
        for (spec, tail) in self.spec.steps.iter().zip(&self.critical_paths) {
            self.steps.push(Step {
                tasks: (0..spec.count).map(|_| Task::new()).collect(),
                remaining: usize::from(spec.count),
                waiting: usize::from(spec.count),
                tickets: TicketCache::default(),
                critical_path: *tail,
                objective: due + self.objective_span,
                late_limit: due + self.objective_span.times(LATE_LIMIT_OBJECTIVES),
            });
        }
    }

    /// Returns how many occurrences have come due so far.
    fn opened_occurrences(&self) -> u32 {
        (self.steps.len() / self.spec.steps.len().max(1)) as u32
    }

    /// Returns whether occurrences are still to come.
    pub(crate) fn has_more_occurrences(&self) -> bool {
        self.end.is_none() && self.opened_occurrences() < self.occurrences()
    }

    fn occurrences(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Adds the occurrences that have come due by the time of day.
    pub(crate) fn open_due_occurrences(&mut self, day_ms: u64, now: Time) {
        let Some(schedule) = self.spec.schedule else {
            return;
        };
        while self.has_more_occurrences() {
            let due_ms = schedule.due_ms(self.opened_occurrences());
            if due_ms > day_ms {
                return;
            }
            self.open_occurrence(now - Span::from_millis(day_ms - due_ms));
        }
    }

    /// Adds occurrences up to the one of a step, of which an earlier owner knew that it was due.
    pub(crate) fn open_through(&mut self, slot: usize, now: Time) {
        while self.steps.len() <= slot && self.opened_occurrences() < self.occurrences() {
            self.open_occurrence(now);
        }
    }

    /// Returns the number of a task's step, counted over all occurrences.
    pub(crate) fn slot(&self, name: TaskName) -> usize {
        name.occurrence as usize * self.spec.steps.len() + usize::from(name.step)
    }

    /// Returns the name of a task by its step's number over all occurrences.
    pub(crate) fn task_name(&self, slot: usize, index: usize) -> TaskName {
        let width = self.spec.steps.len();
        TaskName {
            job: self.id,
            occurrence: (slot / width) as u32,
            step: (slot % width) as u16,
            index: index as u16,
        }
    }

    /// Returns what a step asks for, by its number over all occurrences.
    pub(crate) fn step_spec(&self, slot: usize) -> &StepSpec {
        &self.spec.steps[slot % self.spec.steps.len()]
    }

    pub(crate) fn state(&self) -> JobState {
        match self.end {
            // Shown before it is kept, a later owner might show the job as running again.
            Some(end) if self.is_end_recorded => end,
            Some(JobState::Cancelled) => JobState::Cancelled,
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Returns whether a step's predecessors are all done.
    pub(crate) fn is_ready(&self, slot: usize) -> bool {
        let first = slot - slot % self.spec.steps.len();
        let after = &self.step_spec(slot).after;
        after
            .iter()
            .all(|before| self.steps[first + usize::from(*before)].remaining == 0)
    }

    pub(crate) fn is_done(&self) -> bool {
        !self.has_more_occurrences() && self.steps.iter().all(|step| step.remaining == 0)
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
        step.remaining -= 1;
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
    pub(crate) fn restore(&mut self, record: &JobRecord, now: Time) {
        self.last_run = self.last_run.max(record.last_run);
        self.started |= record.started;
        if let Some(last) = record.last_slot() {
            self.open_through(last, now);
        }
        for slot in record.done_slots() {
            for index in 0..self.steps.get(slot).map_or(0, |step| step.tasks.len()) {
                self.finish_task(slot, index);
            }
        }
        for (step, index) in record.done_task_slots() {
            if self.has_task(step, index) {
                self.finish_task(step, index);
            }
        }
        for (step, index, runs) in &record.failed_runs {
            if let Some(task) = self.task_mut(*step as usize, (*index).into()) {
                task.failed_runs.clone_from(runs);
            }
        }
        for (step, index, checkpoint) in &record.checkpoints {
            if let Some(task) = self.task_mut(*step as usize, (*index).into()) {
                task.checkpoint = Some(Arc::clone(checkpoint));
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
