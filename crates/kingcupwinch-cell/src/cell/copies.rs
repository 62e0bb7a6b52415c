//! Second runs of tasks that take much longer than expected, where the step allows them.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, TaskState};
use crate::plan::Floor;
use crate::run::{RunKey, RunState};
use crate::worker::WorkerKey;

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
                let Some(worker) = self.copy_place(key, slot, run, floor, now) else {
                    continue;
                };
                let number = self.jobs[key].numbers + 1;
                self.start_run(key, (slot, index), number, worker, now);
            }
        }
    }

    /// Returns the tasks of a job whose only run is slow.
    fn slow_tasks(&self, key: JobKey, now: Time) -> Vec<(usize, usize, RunKey)> {
        let job = &self.jobs[key];
        let mut slow = Vec::new();
        for (slot, step) in job.steps.iter().enumerate() {
            let spec = job.step_spec(slot);
            if !spec.copies || spec.gang || spec.lasting || job.end.is_some() {
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
        let pace = self.pace(&job.spec.terms.queue) * self.workers[run.worker].speed.mean();
        let age = now.since(run.began);
        age >= LEAST_AGE && age.as_secs_f64() > estimate * pace * SLOW_RUN
    }

    /// Takes room for a copy on the fastest worker that may run it and does not run the first.
    fn copy_place(
        &self,
        key: JobKey,
        slot: usize,
        first: RunKey,
        floor: &mut Floor,
        now: Time,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        let hall = floor.services.get_mut(&job.spec.terms.service)?;
        let counts = self.step_counts(key, slot);
        let most = spec.spread.map_or(usize::MAX, usize::from);
        let is_open = |worker: WorkerKey| {
            let is_spread = counts.get(&worker).is_none_or(|count| *count < most);
            let tickets = &job.steps[slot].tickets;
            let is_allowed =
                job.spec.terms.advice.is_none() || tickets.valid(worker, now).is_some();
            is_allowed
                && is_spread
                && worker != self.runs[first].worker
                && self.has_label(worker, spec)
        };
        let seats = hall.seats.iter().enumerate();
        let open = seats.filter(|(_, seat)| seat.room.fits(spec.charge()) > 0 && is_open(seat.key));
        let (place, seat) = open.min_by(|a, b| a.1.speed.total_cmp(&b.1.speed))?;
        let worker = seat.key;
        hall.take(place, spec.charge(), 1);
        Some(worker)
    }
}
