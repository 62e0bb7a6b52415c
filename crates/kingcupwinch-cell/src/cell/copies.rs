//! Second runs of tasks that take much longer than expected, where the step allows them.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, TaskState};
use crate::plan::{Floor, Hall};
use crate::run::{RunKey, RunState};

/// A run gets a copy after so many times its expected run time, ...
const SLOW_RUN: f64 = 1.5;
/// ... and not before this.
const LEAST_AGE: Span = Span::from_millis(500);

impl Cell {
    /// Starts copies of slow runs in the room that all due steps have left.
    pub(crate) fn copy_slow_runs(&mut self, floor: &mut Floor, now: Time) {
        let jobs: Vec<JobKey> = self.copied.iter().copied().collect();
        for key in jobs {
            for (slot, index, run) in self.slow_tasks(key, now) {
                let service = &self.jobs[key].spec.policy.service;
                let Some(hall) = floor.services.get_mut(service) else {
                    continue;
                };
                if let Some(seat) = self.copy_seat(key, slot, run, hall, now) {
                    let number = self.jobs[key].numbers + 1;
                    self.seat_run(key, (slot, index), number, (seat, hall), now);
                }
            }
        }
    }

    /// Returns the tasks of a job whose only run is slow.
    fn slow_tasks(&self, key: JobKey, now: Time) -> Vec<(usize, usize, RunKey)> {
        let job = &self.jobs[key];
        let mut slow = Vec::new();
        for (slot, step) in job.steps.iter().enumerate() {
            let spec = job.step_spec(slot);
            if !spec.speculative || spec.gang || spec.long_running || job.end.is_some() {
                continue;
            }
            for (index, task) in step.tasks.iter().enumerate() {
                if let TaskState::Active(run) = task.state
                    && task.unsettled == 1
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
        if !matches!(run.state, RunState::Running | RunState::Doubtful(_)) {
            return false;
        }
        let estimate = job.step_spec(job.slot(run.name)).estimate_ms as f64 / 1_000.0;
        let pace = self.pace(&job.spec.policy.queue) * self.workers[run.worker].speed.mean();
        let age = now.since(run.began);
        age >= LEAST_AGE && age.as_secs_f64() > estimate * pace * SLOW_RUN
    }

    /// Returns the seat of the fastest worker that may run a copy and does not run the first.
    fn copy_seat(
        &self,
        key: JobKey,
        slot: usize,
        first: RunKey,
        hall: &Hall,
        now: Time,
    ) -> Option<usize> {
        let counts = self.step_counts(key, slot);
        let most = self.jobs[key].step_spec(slot).worker_limit;
        let is_open = |seat: &usize| {
            let worker = hall.seats[*seat].key;
            let count = counts.get(&worker).copied().unwrap_or(0);
            let is_spread = most.is_none_or(|most| count < usize::from(most));
            is_spread && worker != self.runs[first].worker
        };
        let open = self.allowed_seats(key, slot, hall, now);
        let speed = |seat: &usize| hall.seats[*seat].speed;
        open.into_iter()
            .filter(is_open)
            .min_by(|a, b| speed(a).total_cmp(&speed(b)).then(a.cmp(b)))
    }
}
