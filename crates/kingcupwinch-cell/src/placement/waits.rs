//! Reports of steps whose tasks wait although they could start, for the log of the owner.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::better_places::StepDelay;
use super::{Candidate, ReadyStep, WorkerPool};
use crate::cell::Cell;
use crate::event::{CellEvent, StepWait};
use crate::fit::{Access, Obstacle, StepDemand};

/// How long a job waits for a faster worker, and others wait for a gang, while most of the service is
/// free. Nothing but the choice of workers is in the way then, and callers expect a start within 3 s.
pub(super) const MAX_PATIENCE: Span = Span::from_millis(2_000);

/// How long tasks wait before their step is reported. Most calls to an adviser are answered sooner.
const REPORT_AGE: Span = Span::from_millis(1_000);
/// The time between two reports of one step.
const REPORT_INTERVAL: Span = Span::from_millis(1_000);
/// The largest number of reports in an interval, since the log drops lines that it can't take.
const MAX_REPORTS: u32 = 16;

/// How long a step has had startable tasks, and when it may be reported.
#[derive(Debug, Default)]
pub(crate) struct WaitState {
    /// Since when the step has had startable tasks in each round.
    since: Option<Time>,
    next_report: Time,
    pub(super) delay: StepDelay,
}

impl WaitState {
    /// Returns since when the step has had startable tasks, which is now if it had none before.
    pub(crate) fn since(&self, now: Time) -> Time {
        self.since.unwrap_or(now)
    }

    /// Notes that the step has no startable task.
    pub(crate) fn clear(&mut self) {
        self.since = None;
        self.delay = StepDelay::default();
    }
}

/// The reports of all steps in the current interval.
#[derive(Debug, Default)]
pub(crate) struct WaitBudget {
    interval_end: Time,
    reports: u32,
}

impl WaitBudget {
    /// Takes one report. Returns false if there are none left in the interval.
    pub(super) fn take(&mut self, now: Time) -> bool {
        if self.interval_end <= now {
            self.interval_end = now + REPORT_INTERVAL;
            self.reports = 0;
        }
        self.reports += 1;
        self.reports <= MAX_REPORTS
    }
}

impl Cell {
    /// Returns whether a step has waited for long although most of the service is free.
    pub(super) fn is_out_of_patience(ready: &ReadyStep, pool: &WorkerPool, now: Time) -> bool {
        pool.is_mostly_free() && ready.waiting_since + MAX_PATIENCE <= now
    }

    /// Notes after a round whether a step still has startable tasks, and reports it if it has had
    /// some for long. The most urgent steps are reported if there are too many.
    pub(super) fn note_wait(&mut self, ready: &ReadyStep, pool: Option<&WorkerPool>, now: Time) {
        let step = &mut self.jobs[ready.job].steps[ready.step];
        if !step.tasks.iter().any(|task| task.is_free(now)) {
            step.wait.clear();
            return;
        }
        let since = *step.wait.since.get_or_insert(now);
        let is_due = since + REPORT_AGE <= now && step.wait.next_report <= now;
        if !is_due || !self.wait_budget.take(now) {
            return;
        }
        step.wait.next_report = now + REPORT_INTERVAL;
        let demand = self
            .step_demand(ready.job, ready.step)
            .with_slowest_pace(ready.slowest_pace);
        let wait = self.describe_wait(&demand, pool, since, now);
        self.push_event(CellEvent::StepWaits(wait));
    }

    fn describe_wait(
        &self,
        demand: &StepDemand,
        pool: Option<&WorkerPool>,
        since: Time,
        now: Time,
    ) -> StepWait {
        let job = &self.jobs[demand.job];
        let step = &job.steps[demand.step];
        let service = &job.spec.policy.service;
        let listed = self.workers.values();
        let listed = listed.filter(|worker| worker.registration.service == *service);
        let candidates = pool.map_or(&[][..], |pool| &pool.candidates);
        let mut wait = StepWait {
            step: job.task_name(demand.step, 0).step_name(),
            queue: Arc::clone(&job.spec.policy.queue),
            tasks: step.tasks.iter().filter(|task| task.is_free(now)).count(),
            age: now.since(since),
            is_at_cap: self.cap_room(demand.job, demand.step) == 0,
            is_call_pending: step.tickets.is_call_pending(),
            unusable: listed.count() - candidates.len(),
            ..StepWait::default()
        };
        for candidate in candidates {
            let access = self.access(demand, candidate.key, now);
            wait.tickets += usize::from(access == Access::Ticket);
            let count = match self.startable_on(demand, candidate, now) {
                Ok(_) => &mut wait.startable,
                Err(Obstacle::Label) => &mut wait.unlabelled,
                Err(Obstacle::Denied) => &mut wait.denied,
                Err(Obstacle::Unusable | Obstacle::Quarantine) => &mut wait.unusable,
                Err(Obstacle::Pace) => &mut wait.slow,
                Err(Obstacle::Isolation) => &mut wait.isolated,
                Err(Obstacle::Limit) => &mut wait.at_limit,
                Err(Obstacle::Capacity) if self.is_kept(demand, candidate) => &mut wait.kept,
                Err(Obstacle::Capacity) => &mut wait.full,
                Err(Obstacle::Ticket) => &mut wait.no_ticket,
            };
            *count += 1;
        }
        wait
    }

    /// Returns whether a worker has capacity for a task beside its runs, though not beside what is
    /// kept there in this round.
    fn is_kept(&self, demand: &StepDemand, candidate: &Candidate) -> bool {
        let available = self.workers[candidate.key].available();
        available.task_capacity(demand.charge) > 0
    }
}
