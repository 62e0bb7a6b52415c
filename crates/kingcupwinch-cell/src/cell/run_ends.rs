//! The effects of a run's end on its task, job and worker.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::id::TaskName;
use crate::job::{JobKey, JobState, Task, TaskState};
use crate::run::{EndReason, RunEnd, RunKey};
use crate::worker::{RACK_LABEL, WorkerKey};

impl Cell {
    /// Handles the end of a run as its worker lists it.
    pub(crate) fn end_run(
        &mut self,
        key: RunKey,
        reason: EndReason,
        checkpoint: Option<Arc<str>>,
        now: Time,
    ) {
        let run = &self.runs[key];
        let (job, name, number, worker) = (run.job, run.name, run.number, run.worker);
        let is_active = self.is_task_active(job, name, key);
        let (step, index) = (self.jobs[job].slot(name), usize::from(name.index));
        let is_long_running = self.jobs[job].step_spec(step).long_running;
        if let (true, Some(checkpoint)) = (is_active, checkpoint) {
            self.store_checkpoint(job, (step, index), number, &checkpoint);
        }
        match reason {
            // Long-running tasks are restarted whatever the reason.
            _ if is_long_running => {
                self.counters.interrupted += 1;
                self.note_long_running_end(key, reason, now);
            }
            EndReason::Done => {
                self.counters.done += 1;
                let elapsed = now.since(self.runs[key].started_at);
                self.set_task_time(key, elapsed, now);
                self.workers[worker].note_done();
                self.complete_task(job, name, number);
                self.learn_run_times(job, step, now);
            }
            EndReason::Failed => {
                self.counters.failed += 1;
                self.count_failure(job, (step, index), number, worker, now);
            }
            EndReason::Stopped
            | EndReason::LeaseExpired
            | EndReason::GangEnded
            | EndReason::GangIncomplete => {
                self.counters.interrupted += 1;
            }
        }
        // The platform itself ends the other members of a gang.
        self.settle(key, now);
    }

    /// Counts the end of a run that this owner did not order or has settled before. Returns whether
    /// the end counts.
    pub(super) fn count_late_end(&mut self, worker: WorkerKey, end: &RunEnd, now: Time) -> bool {
        let Some(&key) = self.jobs_by_id.get(&end.task.job) else {
            return false;
        };
        let job = &mut self.jobs[key];
        let (step, index) = (job.slot(end.task), usize::from(end.task.index));
        job.open_through(step, now);
        if !job.has_task(step, index) || job.end.is_some() {
            return false;
        }
        if !job.started {
            job.started = true;
            self.dirty.insert(key);
        }
        if job.step_spec(step).long_running {
            return false;
        }
        let task = &job.steps[step].tasks[index];
        if task.state == TaskState::Done {
            return false;
        }
        let is_newer = task.state == TaskState::Waiting && end.run > task.checkpoint_run;
        if let (true, Some(checkpoint)) = (is_newer, &end.checkpoint) {
            self.store_checkpoint(key, (step, index), end.run, checkpoint);
        }
        match end.reason {
            EndReason::Done => self.complete_task(key, end.task, end.run),
            EndReason::Failed => self.count_failure(key, (step, index), end.run, worker, now),
            _ => {}
        }
        true
    }

    /// Stores the checkpoint that a run saved. That of one member of a gang is that of all.
    fn store_checkpoint(
        &mut self,
        key: JobKey,
        (step, index): (usize, usize),
        number: u32,
        checkpoint: &Arc<str>,
    ) {
        let job = &mut self.jobs[key];
        let is_gang = job.step_spec(step).gang;
        let tasks = &mut job.steps[step].tasks;
        let saved = if is_gang {
            0..tasks.len()
        } else {
            index..index + 1
        };
        for index in saved {
            let task = &mut tasks[index];
            task.checkpoint_run = number;
            task.checkpoint = Some(Arc::clone(checkpoint));
        }
        self.dirty.insert(key);
    }

    /// Marks a task as done by the run of a number, and stops its other runs. One member of a gang
    /// stands for all.
    fn complete_task(&mut self, key: JobKey, name: TaskName, number: u32) {
        let job = &mut self.jobs[key];
        let (step, index) = (job.slot(name), usize::from(name.index));
        if job.end.is_some() {
            return;
        }
        if job.step_spec(step).gang {
            for member in 0..job.steps[step].tasks.len() {
                job.finish_task(step, member);
            }
        } else {
            job.finish_task(step, index);
        }
        self.dirty.insert(key);
        for other in self.duplicate_runs(key, name, number) {
            self.stop_run(other);
        }
        if self.jobs[key].is_done() {
            self.end_job(key, JobState::Completed);
        }
    }

    /// Returns the other unsettled runs that do the same work. The other members of the same run of
    /// a gang end with it.
    fn duplicate_runs(&self, key: JobKey, name: TaskName, number: u32) -> Vec<RunKey> {
        let job = &self.jobs[key];
        let is_gang = job.step_spec(job.slot(name)).gang;
        let is_duplicate = |other: &&RunKey| {
            let other = &self.runs[**other];
            let is_same_work = other.name == name || (is_gang && other.name.is_same_step(name));
            is_same_work && other.number != number
        };
        let runs = &self.jobs[key].runs;
        runs.iter().filter(is_duplicate).copied().collect()
    }

    fn count_failure(
        &mut self,
        key: JobKey,
        place: (usize, usize),
        number: u32,
        worker: WorkerKey,
        now: Time,
    ) {
        self.note_worker_failure(worker, now);
        let (step, index) = place;
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        let limit = job.spec.policy.max_attempts as usize;
        let is_gang = job.step_spec(step).gang;
        // The first task counts the failures of its whole gang.
        let task = &mut job.steps[step].tasks[if is_gang { 0 } else { index }];
        if task.failed_runs.contains(&number) {
            return;
        }
        task.failed_runs.push(number);
        task.avoid_worker = Some(worker);
        let is_exhausted = task.failed_runs.len() >= limit;
        self.dirty.insert(key);
        if is_exhausted {
            self.end_job(key, JobState::Failed);
        }
    }

    /// Sets the time of a task from a run that took `elapsed` for its whole work, as observed or as
    /// projected from its progress.
    pub(super) fn set_task_time(&mut self, key: RunKey, elapsed: Span, now: Time) {
        let run = &self.runs[key];
        let Cell {
            jobs,
            workers,
            run_times,
            ..
        } = self;
        let job = &mut jobs[run.job];
        let slot = job.slot(run.name);
        let step = &job.spec.steps[usize::from(run.name.step)];
        let worker = &workers[run.worker];
        let rack = worker.registration.labels.get(RACK_LABEL);
        let is_near_data = step.data_rack.is_none() || step.data_rack.as_ref() == rack;
        if !run.is_whole || !is_near_data {
            return;
        }
        let work = &mut job.steps[slot].work;
        let index = usize::from(run.name.index);
        run_times.set_task_time(work, index, (run.worker, worker), elapsed, now);
        let first = slot - slot % job.spec.steps.len();
        job.update_occurrence(first, run_times);
    }

    /// Learns from the run times of a step, once all of its tasks are done or have a known time.
    pub(super) fn learn_run_times(&mut self, key: JobKey, slot: usize, now: Time) {
        let Cell {
            jobs,
            workers,
            run_times,
            ..
        } = self;
        let job = &mut jobs[key];
        let step = &mut job.steps[slot];
        let mut tasks = step.tasks.iter().enumerate();
        let is_known =
            |(index, task): (usize, &Task)| task.state == TaskState::Done || step.work.has(index);
        if tasks.all(is_known) {
            let spec = &job.spec.steps[slot % job.spec.steps.len()];
            run_times.learn(&job.spec.policy, spec, &mut step.work, workers, now);
        }
    }
}
