use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

use crate::advice::TicketCache;
use crate::crash::TaskCrashes;
use crate::id::{JobId, TaskName};
use crate::placement::WaitState;
use crate::record::{JobRecord, PartKey};
use crate::run::RunKey;
use crate::run_time::{RunTimes, StepWork};
use crate::spec::{JobSpec, StepSpec};
use crate::tasks::TaskTable;
use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// The key of a job in the cell.
    pub(crate) struct JobKey;
}

/// The late limit in multiples of the objective. A job that ends later is worth nothing.
pub(crate) const LATE_LIMIT_OBJECTIVES: u64 = 3;

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum JobState {
    /// No run has begun.
    Queued,
    /// At least one run has begun.
    Running,
    /// Every task is done.
    Completed,
    /// A task ran out of attempts, or crashed too many workers.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl JobState {
    /// Returns the label for responses, log events and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }

    /// Returns whether the state is final.
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
    /// The number of runs that have not certainly ended. The task restarts only when there are
    /// none.
    pub(crate) unsettled_runs: u32,
    /// The numbers of the runs that failed. For a gang, the first task holds those of all members.
    pub(crate) failed_runs: SmallVec<[u32; 4]>,
    /// The crashes of workers that count against the task.
    pub(crate) crashes: TaskCrashes,
    pub(crate) checkpoint: Option<Arc<str>>,
    /// The number of the run that saved the checkpoint, or the highest number so far if an earlier
    /// owner recorded it.
    pub(crate) checkpoint_run: u32,
    /// The worker of the last failed run, which the next run avoids.
    pub(crate) avoid_worker: Option<WorkerKey>,
    /// The earliest time of the next start.
    pub(crate) not_before: Time,
    /// Runs of a long-running task in a row that failed soon after their start.
    pub(crate) short_runs: u32,
    /// When the last run of the task ended, if one was active before.
    pub(crate) interrupted_at: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: TaskTable,
    /// The number of tasks that are not done.
    pub(crate) remaining: usize,
    /// The number of tasks that wait to be started.
    pub(crate) waiting: usize,
    pub(crate) tickets: TicketCache,
    pub(crate) wait: WaitState,
    /// The run times of the tasks that are known.
    pub(crate) work: StepWork,
    /// When the occurrence came due.
    pub(crate) due: Time,
    /// The expected time from the start of the step to the end of its occurrence, on workers of
    /// mean pace.
    pub(crate) critical_path: Span,
    /// When the occurrence should have ended, and when its end is no longer worth anything.
    pub(crate) objective: Time,
    pub(crate) late_limit: Time,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    /// The steps of all occurrences that have come due, one occurrence after the other. A step's
    /// index in this list is its slot.
    pub(crate) steps: Vec<Step>,
    /// Runs that have not certainly ended, in any state.
    pub(crate) runs: FxHashSet<RunKey>,
    /// The highest run number used so far.
    pub(crate) last_run: u32,
    pub(crate) started: bool,
    /// The forecast of the wait at the submission, until the first run is placed.
    pub(crate) forecast: Option<Span>,
    /// Whether an earlier owner had the job. Tasks without a recorded placement may then still be
    /// running on workers that have not been polled.
    pub(crate) inherited: bool,
    pub(crate) end: Option<JobState>,
    /// Whether the final state is in the log, and so may be reported.
    pub(crate) is_end_recorded: bool,
    /// The parts of the job's record that the log holds, each with a hash of its content.
    pub(crate) parts: FxHashMap<PartKey, u64>,
    /// Until when nothing is started, since the log rejected a record of the job.
    pub(crate) held_until: Time,
    /// Rejections of records of the job in a row.
    pub(crate) rejections: u32,
}

impl Task {
    pub(crate) fn new(state: TaskState) -> Self {
        Task {
            state,
            unsettled_runs: 0,
            failed_runs: SmallVec::new(),
            crashes: TaskCrashes::default(),
            checkpoint: None,
            checkpoint_run: 0,
            avoid_worker: None,
            not_before: Time::ZERO,
            short_runs: 0,
            interrupted_at: None,
        }
    }

    /// Returns since when the task waits to run again.
    pub(crate) fn waits_to_restart_since(&self) -> Option<Time> {
        let is_waiting = self.state == TaskState::Waiting;
        self.interrupted_at.filter(|_| is_waiting)
    }

    /// Returns whether the task may be started now.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        self.state == TaskState::Waiting && self.unsettled_runs == 0 && self.not_before <= now
    }
}

impl Job {
    pub(crate) fn new(id: JobId, spec: JobSpec, now: Time) -> Self {
        let mut job = Job {
            id,
            steps: Vec::with_capacity(spec.steps.len()),
            spec,
            runs: FxHashSet::default(),
            last_run: 0,
            started: false,
            forecast: None,
            inherited: false,
            end: None,
            is_end_recorded: false,
            parts: FxHashMap::default(),
            held_until: Time::ZERO,
            rejections: 0,
        };
        if job.spec.schedule.is_none() {
            job.open_occurrence(now);
        }
        job
    }

    /// Updates the critical paths and the objectives of all occurrences that have not ended.
    pub(crate) fn update_paths(&mut self, run_times: &RunTimes) {
        let width = self.spec.steps.len().max(1);
        for first in (0..self.steps.len()).step_by(width) {
            let steps = &self.steps[first..first + width];
            if steps.iter().any(|step| step.remaining > 0) {
                self.update_occurrence(first, run_times);
            }
        }
    }

    /// Updates the critical paths and the objective of the occurrence whose steps begin at a slot.
    pub(crate) fn update_occurrence(&mut self, first: usize, run_times: &RunTimes) {
        let policy = &self.spec.policy;
        let durations = self.spec.steps.iter().zip(&self.steps[first..]);
        let durations = durations.map(|(spec, step)| {
            // Long-running tasks have no end to wait for.
            if spec.long_running {
                return Span::ZERO;
            }
            run_times.longest_task(policy, spec, &step.work)
        });
        let durations: SmallVec<[Span; 4]> = durations.collect();
        let critical_paths = self.spec.critical_paths(&durations);
        let longest_path = critical_paths.iter().copied().max().unwrap_or_default();
        let stretched_us = (longest_path.as_micros() as f64 * policy.stretch) as u64;
        let objective_span = Span::from_micros(stretched_us) + Span::from_millis(policy.target_ms);
        for (step, critical_path) in self.steps[first..].iter_mut().zip(critical_paths) {
            step.critical_path = critical_path;
            step.objective = step.due + objective_span;
            step.late_limit = step.due + objective_span.times(LATE_LIMIT_OBJECTIVES);
        }
    }

    /// Adds the steps of the next occurrence, which comes due at `due`.
    fn open_occurrence(&mut self, due: Time) {
        for spec in &self.spec.steps {
            self.steps.push(Step {
                tasks: TaskTable::new(spec.count),
                remaining: usize::from(spec.count),
                waiting: usize::from(spec.count),
                tickets: TicketCache::default(),
                wait: WaitState::default(),
                work: StepWork::default(),
                due,
                critical_path: Span::ZERO,
                objective: due,
                late_limit: due,
            });
        }
    }

    /// Returns the number of occurrences that have come due.
    fn opened_occurrences(&self) -> u32 {
        (self.steps.len() / self.spec.steps.len().max(1)) as u32
    }

    /// Returns whether further occurrences will come due.
    pub(crate) fn has_more_occurrences(&self) -> bool {
        self.end.is_none() && self.opened_occurrences() < self.occurrences()
    }

    fn occurrences(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Adds the occurrences that have come due by a wall-clock time in Unix milliseconds. Returns
    /// whether there are any.
    pub(crate) fn open_due_occurrences(&mut self, unix_ms: u64, now: Time) -> bool {
        let Some(schedule) = self.spec.schedule else {
            return false;
        };
        let known = self.steps.len();
        while self.has_more_occurrences() {
            let due_ms = schedule.due_ms(self.opened_occurrences());
            if due_ms > unix_ms {
                break;
            }
            self.open_occurrence(now - Span::from_millis(unix_ms - due_ms));
        }
        self.steps.len() > known
    }

    /// Adds occurrences up to that of a slot, which an earlier owner knew to be due.
    pub(crate) fn open_through(&mut self, slot: usize, now: Time) {
        while self.steps.len() <= slot && self.opened_occurrences() < self.occurrences() {
            self.open_occurrence(now);
        }
    }

    /// Returns the slot of a task's step.
    pub(crate) fn slot(&self, name: TaskName) -> usize {
        name.occurrence as usize * self.spec.steps.len() + usize::from(name.step)
    }

    /// Returns the name of a task by its slot and index.
    pub(crate) fn task_name(&self, slot: usize, index: usize) -> TaskName {
        let width = self.spec.steps.len();
        TaskName {
            job: self.id,
            occurrence: (slot / width) as u32,
            step: (slot % width) as u16,
            index: index as u16,
        }
    }

    /// Returns the specification of the step in a slot.
    pub(crate) fn step_spec(&self, slot: usize) -> &StepSpec {
        &self.spec.steps[slot % self.spec.steps.len()]
    }

    pub(crate) fn state(&self) -> JobState {
        match self.end {
            // A final state that is reported before it is in the log could be contradicted by a
            // later owner, which would report the job as running again.
            Some(end) if self.is_end_recorded => end,
            Some(JobState::Cancelled) => JobState::Cancelled,
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Returns whether all steps that a step depends on are done.
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

    /// Marks a task as done. Returns whether it was not done before.
    pub(crate) fn finish_task(&mut self, step: usize, index: usize) -> bool {
        let step = &mut self.steps[step];
        match step.tasks[index].state {
            TaskState::Done => return false,
            TaskState::Waiting => step.waiting -= 1,
            TaskState::Active(_) => {}
        }
        step.tasks.finish(index);
        step.remaining -= 1;
        true
    }

    /// Returns a task to the waiting state, if `run` is its active run.
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
        if step.waiting == 0 {
            step.wait.clear();
        }
        step.tickets.calls_without_start = 0;
        step.tasks[index].state = TaskState::Active(run);
    }

    /// Restores the progress that an earlier owner recorded.
    pub(crate) fn restore(&mut self, record: &JobRecord, now: Time) {
        let placed = record.placements.iter().map(|placement| placement.run);
        let last_run = placed.max().unwrap_or(0).max(record.last_run);
        self.last_run = self.last_run.max(last_run);
        // What these parts hold is unknown, so that each is written again or deleted.
        self.parts.extend(record.parts.iter().map(|key| (*key, 0)));
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
        for (step, index, crashes) in &record.crashes {
            if let Some(task) = self.task_mut(*step as usize, (*index).into()) {
                task.crashes = TaskCrashes::of_record(crashes.clone(), now);
            }
        }
        for (step, index) in record.interrupted_slots() {
            if let Some(task) = self.task_mut(step, index) {
                task.interrupted_at = Some(now);
            }
        }
        for (step, index, checkpoint) in &record.checkpoints {
            if let Some(task) = self.task_mut(*step as usize, (*index).into()) {
                task.checkpoint_run = last_run;
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
        if !self.has_task(step, index) {
            return None;
        }
        Some(&mut self.steps[step].tasks[index])
    }
}
