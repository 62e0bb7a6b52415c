//! The effects of a run's end on its task, job and worker.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, JobState};
use crate::run::{EndReason, RunKey};
use crate::worker::WorkerKey;

/// The shortest run time, estimated or observed, from which the pace of a queue and a worker is
/// learned.
const MIN_SAMPLE: Span = Span::from_millis(100);

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
        let elapsed = now.since(run.started_at);
        let (step, index) = (self.jobs[job].slot(name), usize::from(name.index));
        let is_long_running = self.jobs[job].step_spec(step).long_running;
        if let (true, Some(checkpoint)) = (is_active, checkpoint) {
            self.store_checkpoint(job, step, index, checkpoint);
        }
        match reason {
            // Long-running tasks are restarted whatever the reason.
            _ if is_long_running => {
                self.counters.interrupted += 1;
                self.note_long_running_end(key, reason, now);
            }
            EndReason::Done => {
                self.counters.done += 1;
                self.observe_run_time(job, step, worker, elapsed);
                self.workers[worker].note_done();
                self.complete_task(job, key);
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

    fn store_checkpoint(&mut self, key: JobKey, step: usize, index: usize, checkpoint: Arc<str>) {
        let job = &mut self.jobs[key];
        if job.step_spec(step).gang {
            for task in &mut job.steps[step].tasks {
                task.checkpoint = Some(Arc::clone(&checkpoint));
            }
        } else {
            job.steps[step].tasks[index].checkpoint = Some(checkpoint);
        }
        self.dirty.insert(key);
    }

    /// Marks the task of a run as done, and stops its other runs. One member of a gang stands for
    /// all.
    fn complete_task(&mut self, key: JobKey, done: RunKey) {
        let name = self.runs[done].name;
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
        for other in self.duplicate_runs(key, done) {
            self.stop_run(other);
        }
        if self.jobs[key].is_done() {
            self.end_job(key, JobState::Completed);
        }
    }

    /// Returns the other unsettled runs that do the same work. The other members of the same run of
    /// a gang end with it.
    fn duplicate_runs(&self, key: JobKey, run: RunKey) -> Vec<RunKey> {
        let (name, number) = (self.runs[run].name, self.runs[run].number);
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
        self.workers[worker].note_failure(now);
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

    /// Updates the pace of the queue and the worker from a completed run.
    fn observe_run_time(&mut self, key: JobKey, step: usize, worker: WorkerKey, elapsed: Span) {
        let job = &self.jobs[key];
        let spec = job.step_spec(step);
        let estimate = Span::from_millis(spec.estimate_ms);
        if spec.gang || estimate < MIN_SAMPLE || elapsed < MIN_SAMPLE {
            return;
        }
        let ratio = elapsed.as_secs_f64() / estimate.as_secs_f64();
        let queue = Arc::clone(&job.spec.policy.queue);
        let worker_pace = self.workers[worker].pace.mean();
        let stats = self.queue_stats_mut(&queue);
        let pace = stats.pace.mean();
        stats.pace.observe(ratio / worker_pace);
        self.workers[worker].pace.observe(ratio / pace);
    }
}
