//! Speculative runs of tasks that take much longer than expected, for steps that allow them.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, TaskState};
use crate::mechanism::Mechanism;
use crate::placement::{WorkerPool, WorkerPools};
use crate::run::{RunKey, RunState};

/// The multiple of its expected run time after which a run is slow.
const SLOW_RUN_FACTOR: f64 = 1.5;
/// The age below which no run counts as slow.
const MIN_RUN_AGE: Span = Span::from_millis(500);

impl Cell {
    /// Starts speculative runs of tasks whose only run is slow, on the capacity that is left after
    /// the ready steps were placed.
    pub(crate) fn start_speculative_runs(&mut self, pools: &mut WorkerPools, now: Time) {
        if !self.uses(Mechanism::Speculation) {
            return;
        }
        let jobs: Vec<JobKey> = self.speculative_jobs.iter().copied().collect();
        for key in jobs {
            for (slot, index, run) in self.slow_tasks(key, now) {
                let Some(pool) = self.pool_of(key, pools) else {
                    continue;
                };
                if let Some(candidate) = self.speculative_candidate(key, slot, run, pool, now) {
                    let number = self.jobs[key].last_run + 1;
                    self.start_on(key, (slot, index), number, (candidate, pool), now);
                }
            }
        }
    }

    /// Returns the slots, indexes and runs of a job's tasks whose only run is slow.
    fn slow_tasks(&self, key: JobKey, now: Time) -> Vec<(usize, usize, RunKey)> {
        let job = &self.jobs[key];
        let mut slow = Vec::new();
        for (slot, step) in job.steps.iter().enumerate() {
            let spec = job.step_spec(slot);
            if !spec.speculative || spec.gang || spec.long_running || job.end.is_some() {
                continue;
            }
            for (index, task) in step.tasks.begun() {
                if let TaskState::Active(run) = task.state
                    && task.unsettled_runs == 1
                    && task.crashes.is_empty()
                    && self.is_slow(key, run, now)
                {
                    slow.push((slot, index, run));
                }
            }
        }
        slow
    }

    fn is_slow(&self, key: JobKey, run: RunKey, now: Time) -> bool {
        let job = &self.jobs[key];
        let run = &self.runs[run];
        if !matches!(run.state, RunState::Running | RunState::Unconfirmed(_)) {
            return false;
        }
        let slot = job.slot(run.name);
        if job.step_spec(slot).best_effort && run.is_paced() {
            return false;
        }
        let work = &job.steps[slot].work;
        let work = self
            .run_times
            .task(&job.spec.policy, job.step_spec(slot), work);
        let expected = work.as_secs_f64() * self.worker_pace(run.worker, now);
        let age = now.since(run.started_at);
        age >= MIN_RUN_AGE && age.as_secs_f64() > expected * SLOW_RUN_FACTOR
    }

    /// Returns the fastest worker that may take a speculative run and does not run the original.
    fn speculative_candidate(
        &self,
        key: JobKey,
        slot: usize,
        original: RunKey,
        pool: &WorkerPool,
        now: Time,
    ) -> Option<usize> {
        let demand = self.step_demand(key, slot);
        let is_eligible =
            |candidate: &usize| pool.candidates[*candidate].key != self.runs[original].worker;
        let eligible = self.startable_candidates(&demand, pool, now);
        let pace_of = |candidate: &usize| pool.candidates[*candidate].pace;
        eligible
            .into_iter()
            .filter(is_eligible)
            .min_by(|a, b| pace_of(a).total_cmp(&pace_of(b)).then(a.cmp(b)))
    }
}
