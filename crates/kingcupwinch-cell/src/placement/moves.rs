//! Moves of long-running tasks away from draining workers.
//!
//! A task goes down together with its worker for longer than a move takes. It is stopped only once
//! a place for it is found, which is kept for it until it has started there.

use kingcupwinch_time::{Span, Time};

use super::{ReadyStep, WorkerPool, WorkerPools};
use crate::cell::Cell;
use crate::fit::StepDemand;
use crate::job::{JobKey, TaskState};
use crate::run::RunKey;
use crate::worker::WorkerKey;

/// How long a place is kept for a task that moves. The platform lets a stop take up to 0.9 s, and
/// the worker has to list its end.
const MOVE_TIMEOUT: Span = Span::from_millis(2_000);

/// The place that is kept for a task that moves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeptPlace {
    job: JobKey,
    /// The slot of the step, and the index of the task.
    step: usize,
    index: usize,
    /// The run that is being stopped.
    run: RunKey,
    worker: WorkerKey,
    expires: Time,
    /// Whether the capacity is reserved in this round.
    is_reserved: bool,
}

impl KeptPlace {
    fn is_of(&self, job: JobKey, step: usize) -> bool {
        self.job == job && self.step == step
    }
}

impl Cell {
    /// Reserves the kept places, and drops those that are no longer needed.
    pub(super) fn reserve_kept_places(&mut self, pools: &mut WorkerPools, now: Time) {
        let mut kept = std::mem::take(&mut self.kept_places);
        kept.retain_mut(|place| {
            if place.expires <= now || !self.needs_place(place) {
                return false;
            }
            let spec = self.jobs[place.job].step_spec(place.step);
            let charge = spec.charged_resources();
            let pool = self.pool_of(place.job, pools);
            place.is_reserved = pool.is_some_and(|pool| pool.try_reserve(place.worker, charge));
            true
        });
        self.kept_places = kept;
    }

    /// Returns the job and the step of each task that has stopped for a move and has not started again.
    pub(crate) fn stopped_moves(&self) -> impl Iterator<Item = (JobKey, usize)> {
        let kept = self.kept_places.iter();
        let stopped = kept.filter(|place| {
            let has_stopped = !self.runs.contains_key(place.run);
            has_stopped && self.needs_place(place)
        });
        stopped.map(|place| (place.job, place.step))
    }

    fn needs_place(&self, place: &KeptPlace) -> bool {
        let Some(job) = self.jobs.get(place.job) else {
            return false;
        };
        let task = &job.steps[place.step].tasks[place.index];
        job.end.is_none()
            && matches!(task.state, TaskState::Waiting | TaskState::Active(_))
            && !matches!(task.state, TaskState::Active(run) if run != place.run)
    }

    /// Releases the places that are kept for tasks of a step that can start now.
    pub(super) fn release_kept_places(&mut self, job: JobKey, step: usize, pool: &mut WorkerPool) {
        let charge = self.jobs[job].step_spec(step).charged_resources();
        let Cell {
            kept_places, runs, ..
        } = self;
        for place in kept_places {
            let is_settled = !runs.contains_key(place.run);
            if place.is_of(job, step) && place.is_reserved && is_settled {
                place.is_reserved = false;
                pool.release(place.worker, charge);
            }
        }
    }

    /// Counts the places that are kept for tasks of a step whose runs are still being stopped, as
    /// runs of the step.
    pub(super) fn count_kept_places(&self, demand: &mut StepDemand) {
        for place in &self.kept_places {
            if place.is_of(demand.job, demand.step) && self.runs.contains_key(place.run) {
                demand.add_run(place.worker);
            }
        }
    }

    /// Returns the steps with tasks to move.
    pub(super) fn steps_to_move(&self) -> impl Iterator<Item = ReadyStep> {
        self.long_running_jobs.iter().flat_map(|key| {
            let slots = 0..self.jobs[*key].steps.len();
            slots.filter_map(|slot| {
                let tasks = self.runs_to_move(*key, slot).len();
                (tasks > 0).then(|| ReadyStep::of_move(*key, slot, tasks))
            })
        })
    }

    /// Returns the runs of a step on draining workers, at most as many as may become unavailable.
    fn runs_to_move(&self, key: JobKey, slot: usize) -> Vec<RunKey> {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        if !spec.long_running || job.end.is_some() {
            return Vec::new();
        }
        let tasks = job.steps[slot].tasks.iter();
        let active = tasks.filter_map(|task| match task.state {
            TaskState::Active(run) => Some(run),
            TaskState::Waiting | TaskState::Done => None,
        });
        let is_leaving = |run: &RunKey| {
            let worker = &self.workers[self.runs[*run].worker];
            worker.registration.draining && self.is_at_work(*run)
        };
        let mut moving: Vec<RunKey> = active.filter(is_leaving).collect();
        if !moving.is_empty() {
            moving.truncate(self.spare_tasks(key, slot));
        }
        // A task that stops while its customer is above its cap could not start again.
        moving.retain(|run| self.is_within_cap(*run));
        moving
    }

    /// Stops the runs of a step that are to be moved and for which there are places. Asks the adviser
    /// for further places while the other runs stay active.
    pub(super) fn move_tasks(&mut self, ready: &ReadyStep, pool: &mut WorkerPool, now: Time) {
        let runs = self.runs_to_move(ready.job, ready.step);
        // The tickets have to be valid when the tasks start.
        let advice = self.jobs[ready.job].spec.policy.advice;
        let start = advice.map_or(MOVE_TIMEOUT, |cost| {
            let half_validity = Span::from_micros((cost.valid_ms * 500.0) as u64);
            MOVE_TIMEOUT.min(half_validity)
        });
        let mut demand = self
            .step_demand(ready.job, ready.step)
            .with_tickets_until(now + start);
        self.count_kept_places(&mut demand);
        let mut eligible = self.eligible_candidates(ready, &demand, pool, now);
        let wanted = runs.len();
        let mut moved = 0;
        for run in runs {
            eligible.retain(|candidate| {
                let candidate = &pool.candidates[*candidate];
                self.room_on(&demand, candidate).is_ok()
            });
            let Some(&candidate) = eligible.first() else {
                break;
            };
            let worker = pool.candidates[candidate].key;
            demand.add_run(worker);
            pool.reserve(candidate, demand.charge, 1);
            self.kept_places.push(KeptPlace {
                job: ready.job,
                step: ready.step,
                index: usize::from(self.runs[run].name.index),
                run,
                worker,
                expires: now + MOVE_TIMEOUT,
                is_reserved: true,
            });
            self.stop_run(run);
            moved += 1;
        }
        if moved < wanted {
            self.request_advice(ready, &demand, pool, now);
        }
    }
}
