//! What the forecasts of queues are computed from: first starts, and jobs that wait for capacity.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use super::Cell;
use crate::forecast::{ForecastError, QueueForecast, WaitingJobs};
use crate::job::{Job, JobKey};
use crate::mechanism::Mechanism;
use crate::spec::{Resources, StepSpec};

/// How long a job counts after it has become worthless, although jobs submitted now go before it. Under
/// load the order by status starts some jobs in time and leaves others until they are worthless; without
/// these, a queue with far too many jobs looks short. In a model of 1.7 times the capacity for 12 s, 1 s left
/// 355 of 491 worthless jobs, 3 s 251 and 10 s 143, at a loss of 0.5, 0.7 and 5.9 percent of the value.
const MISSED_TIMEOUT: Span = Span::from_millis(3_000);

/// What is available on the usable workers of each service, most CPU first.
type FreeCapacity = FxHashMap<Arc<str>, Vec<Resources>>;

impl Cell {
    /// Computes the forecasts of all queues, if they are in use.
    pub fn update_forecasts(&mut self, now: Time) {
        if !self.uses(Mechanism::Forecast) {
            return;
        }
        let free = self.free_capacity(now);
        let mut waiting: FxHashMap<Arc<str>, WaitingJobs> = FxHashMap::default();
        for (key, job) in &self.jobs {
            if let Some(slot) = first_waiting_step(job, now)
                && self.waits_for_capacity(key, slot, &free)
            {
                let queue = Arc::clone(&job.spec.policy.queue);
                let step = &job.steps[slot];
                let waiting = waiting.entry(queue).or_default();
                waiting.add(now.since(step.due), step.late_limit < now);
            }
        }
        self.forecasts.update(&waiting, now);
    }

    /// Returns the forecasts of the queues whose jobs have to wait.
    pub fn forecasts(&self) -> Vec<QueueForecast> {
        self.forecasts.rows()
    }

    /// Takes the errors of the forecasts of jobs that have started since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<ForecastError> {
        self.forecasts.take_errors()
    }

    /// Notes that a run of a job is placed, if it is the first one.
    pub(super) fn note_first_start(&mut self, key: JobKey, now: Time) {
        let job = &mut self.jobs[key];
        let Some(forecast) = job.forecast.take() else {
            return;
        };
        if job.started || !self.disabled.uses(Mechanism::Forecast) {
            return;
        }
        let Some(step) = job.steps.first() else {
            return;
        };
        let wait = now.since(step.due);
        let is_missed = step.late_limit < now;
        let error = ForecastError { forecast, wait };
        self.forecasts
            .note_start(&job.spec.policy.queue, error, is_missed, now);
    }

    fn free_capacity(&self, now: Time) -> FreeCapacity {
        let mut free = FreeCapacity::default();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.is_usable(now) && !worker.is_quarantined(now))
        {
            let service = Arc::clone(&worker.registration.service);
            free.entry(service).or_default().push(worker.available());
        }
        for workers in free.values_mut() {
            workers.sort_by_key(|available| std::cmp::Reverse(available.cpu));
        }
        free
    }

    /// Returns whether a step waits because the workers are full. One that waits only for the adviser,
    /// for its customer's cap or for particular workers says nothing about other jobs.
    fn waits_for_capacity(&self, key: JobKey, slot: usize, free: &FreeCapacity) -> bool {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        let is_particular = spec.required_label.is_some() || spec.best_effort || spec.long_running;
        if is_particular || self.cap_room(key, slot) == 0 {
            return false;
        }
        let workers = free.get(&job.spec.policy.service);
        let workers = workers.map_or(&[][..], Vec::as_slice);
        let advice = &job.spec.policy.advice;
        let share = advice
            .as_ref()
            .map_or(1.0, |_| self.allowed_share(&job.spec.policy.queue));
        let needed = (job.steps[slot].waiting as f64 / share).ceil() as u64;
        !has_room(spec, needed, workers)
    }
}

/// Returns the slot of the first step that could start, if no run of the job was ever placed.
fn first_waiting_step(job: &Job, now: Time) -> Option<usize> {
    let is_waiting = job.forecast.is_some() && !job.started && job.end.is_none();
    if !is_waiting || job.held_until > now {
        return None;
    }
    let slot = (0..job.steps.len()).find(|slot| job.is_ready(*slot))?;
    let is_missed = job.steps[slot].late_limit + MISSED_TIMEOUT < now;
    (!is_missed).then_some(slot)
}

/// Returns whether workers, sorted by their CPU, have room for a number of tasks of a step.
fn has_room(spec: &StepSpec, needed: u64, workers: &[Resources]) -> bool {
    let mut room: u64 = 0;
    for available in workers {
        if available.cpu < spec.resources.cpu || room >= needed {
            break;
        }
        room = room.saturating_add(available.task_capacity(spec.resources));
    }
    room >= needed
}
