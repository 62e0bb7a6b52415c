//! The limit on the tasks of a long-running step that the owner takes away at the same time.
//!
//! Every order that takes such a task away asks here: moves from draining workers, and stops in favour
//! of latency-sensitive tasks.

use kingcupwinch_time::Time;
use smallvec::SmallVec;

use super::READY_PERCENT;
use crate::cell::Cell;
use crate::job::{JobKey, TaskState};
use crate::run::{RunKey, RunState};
use crate::worker::WorkerKey;

impl Cell {
    /// Returns how many more tasks of a long-running step may be taken away. Tasks that are not at work
    /// for any cause count against the limit.
    pub(crate) fn spare_tasks(&self, key: JobKey, slot: usize) -> usize {
        let job = &self.jobs[key];
        let is_missing = |state: TaskState| match state {
            TaskState::Active(run) => !self.is_at_work(run),
            TaskState::Waiting | TaskState::Done => true,
        };
        let tasks = job.steps[slot].tasks.iter();
        let missing = tasks.filter(|task| is_missing(task.state)).count();
        // A step that states no limit loses one task at a time.
        let limit = usize::from(job.step_spec(slot).max_unavailable.max(1));
        limit.saturating_sub(missing)
    }

    /// Returns whether a run is ready on a worker that responds. What a silent worker runs may be gone.
    pub(crate) fn is_at_work(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        run.state == RunState::Running
            && run.percent >= READY_PERCENT
            && self.workers[run.worker].failed_polls == 0
    }

    /// Returns whether stopping a run keeps enough tasks of its step at work. A placement whose order
    /// was not sent is no task at work.
    fn may_take_away(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        let job = &self.jobs[run.job];
        let slot = job.slot(run.name);
        let task = &job.steps[slot].tasks[usize::from(run.name.index)];
        let is_needed = job.step_spec(slot).long_running
            && job.end.is_none()
            && task.state == TaskState::Active(key)
            && run.state != RunState::Planned;
        !is_needed || self.spare_tasks(run.job, slot) > 0
    }

    /// Stops the best-effort tasks of a worker, which slow down its latency-sensitive tasks, as far as
    /// enough tasks of their steps stay at work. The others go on at the worker's limit of the pace.
    pub(crate) fn displace_best_effort(&mut self, worker: WorkerKey) {
        let is_best_effort = |run: &&RunKey| {
            let run = &self.runs[**run];
            let job = &self.jobs[run.job];
            job.step_spec(job.slot(run.name)).best_effort && run.state.is_wanted()
        };
        let runs = self.workers[worker].runs.iter().filter(is_best_effort);
        let mut runs: SmallVec<[RunKey; 8]> = runs.copied().collect();
        runs.sort_by_key(|run| (self.runs[*run].name, self.runs[*run].number));
        for run in runs {
            if self.may_take_away(run) {
                self.stop_run(run);
            }
        }
    }

    /// Prepares a worker for a latency-sensitive task: displaces its best-effort tasks, and begins with
    /// a low limit for those that stay.
    pub(crate) fn isolate(&mut self, worker: WorkerKey, now: Time) {
        self.displace_best_effort(worker);
        self.workers[worker].pace_control.restart(now);
    }
}
