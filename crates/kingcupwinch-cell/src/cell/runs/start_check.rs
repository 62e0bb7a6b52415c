//! Decides whether a run may start on a worker now.
//!
//! A placement waits for the log before its order is sent, and the worker may change in the meantime: it
//! may start again as another kind, serve another service, shrink, or fall silent, and tickets expire.
//! The same check is therefore made when a run is placed and when its order is sent.

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::cell::Cell;
use crate::event::CellEvent;
use crate::fit::Obstacle;
use crate::job::JobKey;
use crate::run::RunKey;
use crate::worker::WorkerKey;

/// The start of a run of a step on a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedStart {
    pub(super) job: JobKey,
    /// The slot of the step.
    pub(super) step: usize,
    pub(super) worker: WorkerKey,
    /// The run, if it is placed already and thus charged to the worker.
    pub(super) run: Option<RunKey>,
}

impl Cell {
    /// Returns whether a run may start on a worker now, or what prevents it.
    pub(super) fn may_start(&self, start: PlannedStart, now: Time) -> Result<(), Obstacle> {
        let PlannedStart {
            job: key,
            step,
            worker: worker_key,
            run,
        } = start;
        let job = &self.jobs[key];
        let spec = job.step_spec(step);
        let worker = &self.workers[worker_key];
        if !worker.is_usable(now) || worker.registration.service != job.spec.policy.service {
            return Err(Obstacle::Unusable);
        }
        if !self.has_label(worker_key, spec) {
            return Err(Obstacle::Label);
        }
        let charge = spec.charged_resources();
        let is_full = run.is_none() && worker.available().task_capacity(charge) == 0;
        if is_full || worker.is_over_capacity() {
            return Err(Obstacle::Capacity);
        }
        let is_advised = job.spec.policy.advice.is_some();
        let tickets = &job.steps[step].tickets;
        if is_advised && tickets.valid_ticket(worker_key, now).is_none() {
            return Err(Obstacle::Ticket);
        }
        Ok(())
    }

    /// Reports that a run which waited for the log is not started.
    pub(super) fn note_discarded_start(&mut self, key: RunKey, obstacle: Obstacle, now: Time) {
        let run = &self.runs[key];
        let event = CellEvent::StartDiscarded {
            task: run.name,
            run: run.number,
            worker: Arc::clone(&self.workers[run.worker].registration.id),
            cause: obstacle.as_str(),
            age: now.since(run.started_at),
        };
        self.push_event(event);
    }
}
