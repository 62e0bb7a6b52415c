//! Long-running tasks: restarted whenever they end, and moved away from draining workers.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, TaskState};
use crate::run::{EndReason, RunKey, RunState};
use crate::spec::StepSpec;
use crate::worker::WorkerKey;

/// A run of a long-running task that fails sooner than this counts as short.
const SHORT_RUN_LIMIT: Span = Span::from_millis(2_000);
/// The backoff after the second short run in a row. It doubles with each further one.
const RESTART_BACKOFF: Span = Span::from_millis(200);
/// The largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The progress in percent at which a long-running task is ready.
const READY_PERCENT: u8 = 100;

impl Cell {
    /// Records the end of a long-running task's run. Delays the next start if several runs in a row
    /// failed soon after their start.
    pub(super) fn note_long_running_end(&mut self, key: RunKey, reason: EndReason, now: Time) {
        let run = &self.runs[key];
        let (job, name, worker) = (run.job, run.name, run.worker);
        let is_short = now.since(run.started_at) < SHORT_RUN_LIMIT;
        let is_failure = reason == EndReason::Failed;
        if is_failure && run.percent < READY_PERCENT {
            self.note_worker_failure(worker, now);
        }
        let job = &mut self.jobs[job];
        let slot = job.slot(name);
        let task = &mut job.steps[slot].tasks[usize::from(name.index)];
        if !is_failure {
            return;
        }
        task.avoid_worker = Some(worker);
        task.short_runs = if is_short { task.short_runs + 1 } else { 0 };
        if task.short_runs > 1 {
            let doublings = (task.short_runs - 2).min(MAX_BACKOFF_DOUBLINGS);
            task.not_before = now + RESTART_BACKOFF.times(1 << doublings);
        }
    }

    /// Stops long-running tasks on draining workers if there is capacity elsewhere, at most as many
    /// of a step at a time as may be unavailable. A task that goes down together with its worker
    /// would be unavailable for longer.
    pub(crate) fn evacuate_long_running(&mut self, now: Time) {
        let jobs: Vec<JobKey> = self.long_running_jobs.iter().copied().collect();
        for key in jobs {
            for slot in 0..self.jobs[key].steps.len() {
                for run in self.runs_to_move(key, slot, now) {
                    self.stop_run(run);
                }
            }
        }
    }

    fn runs_to_move(&self, key: JobKey, slot: usize, now: Time) -> Vec<RunKey> {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        if !spec.long_running || job.end.is_some() {
            return Vec::new();
        }
        let mut unavailable = 0;
        let mut moving = Vec::new();
        for task in &job.steps[slot].tasks {
            let TaskState::Active(run) = task.state else {
                unavailable += 1;
                continue;
            };
            let state = &self.runs[run];
            let is_ready = state.state == RunState::Running && state.percent >= READY_PERCENT;
            unavailable += usize::from(!is_ready);
            if is_ready && self.workers[state.worker].registration.draining {
                moving.push(run);
            }
        }
        let limit = usize::from(spec.max_unavailable.max(1));
        moving.truncate(limit.saturating_sub(unavailable));
        if !self.has_capacity_for(spec, &job.spec.policy.service, now) {
            moving.clear();
        }
        moving
    }

    fn has_capacity_for(&self, spec: &StepSpec, service: &str, now: Time) -> bool {
        self.workers.iter().any(|(key, worker)| {
            worker.is_usable(now)
                && &*worker.registration.service == service
                && worker.available().task_capacity(spec.charged_resources()) > 0
                && self.has_label(key, spec)
        })
    }

    /// Stops the best-effort tasks of a worker that gets a latency-sensitive task, which they would
    /// slow down.
    pub(crate) fn stop_best_effort(&mut self, worker: WorkerKey) {
        let is_best_effort = |run: &&RunKey| {
            let run = &self.runs[**run];
            let job = &self.jobs[run.job];
            job.step_spec(job.slot(run.name)).best_effort
        };
        let best_effort: Vec<RunKey> = self.workers[worker]
            .runs
            .iter()
            .filter(is_best_effort)
            .copied()
            .collect();
        for run in best_effort {
            self.stop_run(run);
        }
    }
}
