//! Judges whether a step can run on a worker now, and how many of its tasks.
//!
//! Requests for advice, placements, speculative runs and moves all ask here, so that a worker that
//! counts as capacity for one of them can be used by the others.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::advice::Verdict;
use crate::cell::Cell;
use crate::job::JobKey;
use crate::mechanism::Mechanism;
use crate::placement::{Candidate, WorkerPool};
use crate::spec::{Resources, StepSpec};
use crate::worker::WorkerKey;

/// The largest number of runs on one worker. Tasks may need next to nothing, but each run takes a part
/// of every poll.
const MAX_WORKER_RUNS: usize = 1_024;

/// Why none of a step's tasks can start on a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// The worker takes no new work, or runs another service.
    Unusable,
    /// The worker lacks the label that the step requires.
    Label,
    /// The adviser does not allow the worker.
    Denied,
    /// The worker is quarantined, and the step can use others.
    Quarantine,
    /// The worker is too slow for the objective of the job.
    Pace,
    /// A best-effort step would disturb latency-sensitive tasks.
    Isolation,
    /// The worker has as many runs of the step as it may have.
    Limit,
    /// Too little capacity is left.
    Capacity,
    /// The adviser has to be asked about the worker, for the first time or again.
    Ticket,
}

impl Obstacle {
    /// Returns the label for log events.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Obstacle::Unusable => "unusable",
            Obstacle::Label => "label",
            Obstacle::Denied => "denied",
            Obstacle::Quarantine => "quarantine",
            Obstacle::Pace => "pace",
            Obstacle::Isolation => "isolation",
            Obstacle::Limit => "limit",
            Obstacle::Capacity => "capacity",
            Obstacle::Ticket => "ticket",
        }
    }

    /// Returns whether the obstacle stays for as long as the worker and the step are there.
    pub(crate) fn is_permanent(self) -> bool {
        matches!(self, Obstacle::Label | Obstacle::Denied)
    }
}

/// The adviser's position on a step and a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    /// The queue has no adviser.
    Open,
    /// A ticket is valid.
    Ticket,
    /// The worker is allowed, but its ticket has expired.
    Expired,
    /// The adviser has not been asked about the worker.
    Unknown,
    /// The worker is not allowed.
    Denied,
}

impl Access {
    /// Returns whether a task can start without a further call to the adviser.
    pub(crate) fn is_granted(self) -> bool {
        matches!(self, Access::Open | Access::Ticket)
    }
}

/// What a step needs of a worker, with its runs on each worker.
#[derive(Debug)]
pub(crate) struct StepDemand {
    pub(crate) job: JobKey,
    /// The slot of the step.
    pub(crate) step: usize,
    pub(crate) charge: Resources,
    /// The most runs of the step on one worker.
    limit: Option<u64>,
    /// The runs of the step that have not certainly ended. Empty for a step without limit.
    own_runs: FxHashMap<WorkerKey, u64>,
    /// Whether the step may not run beside latency-sensitive tasks.
    is_isolated: bool,
    /// Whether it may all the same, at a low pace, since it has waited for long.
    is_sharing: bool,
    /// The pace (observed over expected run time) of the slowest worker to use.
    slowest_pace: f64,
    /// Tickets have to be valid at least until then.
    tickets_until: Time,
    /// Whether the step may use quarantined workers.
    pub(crate) accepts_quarantined: bool,
}

impl StepDemand {
    /// Accepts quarantined workers.
    pub(crate) fn with_quarantined(self) -> Self {
        StepDemand {
            accepts_quarantined: true,
            ..self
        }
    }

    /// Demands tickets that are valid until a time.
    pub(crate) fn with_tickets_until(self, tickets_until: Time) -> Self {
        StepDemand {
            tickets_until,
            ..self
        }
    }

    /// Excludes workers that are slower than a pace.
    pub(crate) fn with_slowest_pace(self, slowest_pace: f64) -> Self {
        StepDemand {
            slowest_pace,
            ..self
        }
    }

    /// Accepts workers with latency-sensitive tasks.
    pub(crate) fn with_sharing(self) -> Self {
        StepDemand {
            is_sharing: true,
            ..self
        }
    }

    /// Counts a run that was placed on a worker.
    pub(crate) fn add_run(&mut self, worker: WorkerKey) {
        if self.limit.is_some() {
            *self.own_runs.entry(worker).or_default() += 1;
        }
    }

    /// Returns how many more tasks of the step its limit lets a worker have.
    fn below_limit(&self, worker: WorkerKey) -> u64 {
        let own_runs = self.own_runs.get(&worker).copied().unwrap_or(0);
        self.limit
            .map_or(u64::MAX, |limit| limit.saturating_sub(own_runs))
    }
}

impl Cell {
    /// Returns what the step in a slot of a job needs of a worker.
    pub(crate) fn step_demand(&self, job: JobKey, step: usize) -> StepDemand {
        let spec = self.jobs[job].step_spec(step);
        let limit = spec.worker_limit.map(u64::from);
        let own_runs = if limit.is_some() {
            self.runs_per_worker(job, step)
        } else {
            FxHashMap::default()
        };
        StepDemand {
            job,
            step,
            charge: spec.charged_resources(),
            limit,
            own_runs,
            is_isolated: spec.best_effort && self.uses(Mechanism::Isolation),
            is_sharing: false,
            slowest_pace: f64::INFINITY,
            tickets_until: Time::ZERO,
            accepts_quarantined: false,
        }
    }

    /// Returns the indexes of the workers on which tasks of a step can start now, unordered.
    pub(crate) fn startable_candidates(
        &self,
        demand: &StepDemand,
        pool: &WorkerPool,
        now: Time,
    ) -> Vec<usize> {
        let is_startable = |candidate: &usize| {
            let candidate = &pool.candidates[*candidate];
            self.startable_on(demand, candidate, now).is_ok()
        };
        let job = &self.jobs[demand.job];
        if job.spec.policy.advice.is_some() {
            let valid_at = now.max(demand.tickets_until);
            let allowed = job.steps[demand.step].tickets.allowed_workers(valid_at);
            let indexes = allowed.filter_map(|worker| pool.index(worker));
            indexes.filter(is_startable).collect()
        } else {
            let places = 0..pool.with_cpu(demand.charge);
            let indexes = places.map(|place| pool.nth_by_cpu(place));
            indexes.filter(is_startable).collect()
        }
    }

    /// Returns how many tasks of a step could start on a usable worker of its service now, at least
    /// one, or what prevents it.
    pub(crate) fn startable_on(
        &self,
        demand: &StepDemand,
        candidate: &Candidate,
        now: Time,
    ) -> Result<u64, Obstacle> {
        let access = self.access(demand, candidate.key, now);
        if access == Access::Denied {
            return Err(Obstacle::Denied);
        }
        let room = self.room_on(demand, candidate)?;
        if access.is_granted() {
            Ok(room)
        } else {
            Err(Obstacle::Ticket)
        }
    }

    /// Returns how many tasks of a step a usable worker of its service has room for, at least one,
    /// whether or not the adviser allows the worker.
    pub(crate) fn room_on(
        &self,
        demand: &StepDemand,
        candidate: &Candidate,
    ) -> Result<u64, Obstacle> {
        let spec = self.jobs[demand.job].step_spec(demand.step);
        if !self.has_label(candidate.key, spec) {
            return Err(Obstacle::Label);
        }
        if candidate.is_quarantined && !demand.accepts_quarantined {
            return Err(Obstacle::Quarantine);
        }
        if candidate.pace > demand.slowest_pace {
            return Err(Obstacle::Pace);
        }
        let may_share = demand.is_sharing && candidate.is_open_to_sharing;
        if demand.is_isolated && candidate.has_latency_sensitive && !may_share {
            return Err(Obstacle::Isolation);
        }
        let below_limit = demand.below_limit(candidate.key);
        if below_limit == 0 {
            return Err(Obstacle::Limit);
        }
        // What is left doesn't show the excess to tasks that are charged none of the exceeded resource.
        if self.workers[candidate.key].is_over_capacity() {
            return Err(Obstacle::Capacity);
        }
        let runs = self.workers[candidate.key].runs.len();
        let below_runs = MAX_WORKER_RUNS.saturating_sub(runs) as u64;
        let fits = candidate.available.task_capacity(demand.charge);
        match fits.min(below_runs) {
            0 => Err(Obstacle::Capacity),
            fits => Ok(fits.min(below_limit)),
        }
    }

    /// Returns how many tasks of a step would fit on a worker of its service if nothing else ran there.
    pub(crate) fn fits_when_idle(&self, demand: &StepDemand, worker: WorkerKey, now: Time) -> u64 {
        let spec = self.jobs[demand.job].step_spec(demand.step);
        if !self.has_label(worker, spec) || self.access(demand, worker, now) == Access::Denied {
            return 0;
        }
        let capacity = &self.workers[worker].registration.capacity;
        let fits = capacity.task_capacity(demand.charge);
        demand.limit.map_or(fits, |limit| fits.min(limit))
    }

    /// Returns whether only quarantined workers are left for a step. Long-running tasks may fail any
    /// number of times, so for them that is so while no other worker has room. For other steps, it is
    /// so if no other worker may ever run them.
    pub(crate) fn has_only_quarantined(
        &self,
        demand: &StepDemand,
        pool: &WorkerPool,
        now: Time,
    ) -> bool {
        let spec = self.jobs[demand.job].step_spec(demand.step);
        if !pool.has_quarantined || spec.gang {
            return false;
        }
        let is_alternative = |candidate: &Candidate| {
            let suits = if spec.long_running {
                self.room_on(demand, candidate).is_ok()
            } else {
                !candidate.is_quarantined && self.has_label(candidate.key, spec)
            };
            suits && self.access(demand, candidate.key, now) != Access::Denied
        };
        !pool.candidates.iter().any(is_alternative)
    }

    /// Returns the adviser's position on a step and a worker.
    pub(crate) fn access(&self, demand: &StepDemand, worker: WorkerKey, now: Time) -> Access {
        let job = &self.jobs[demand.job];
        if job.spec.policy.advice.is_none() {
            return Access::Open;
        }
        let valid_at = now.max(demand.tickets_until);
        match job.steps[demand.step].tickets.verdict(worker) {
            None => Access::Unknown,
            Some(Verdict::Denied) => Access::Denied,
            Some(Verdict::Allowed { expires, .. }) if *expires > valid_at => Access::Ticket,
            Some(Verdict::Allowed { .. }) => Access::Expired,
        }
    }

    pub(crate) fn has_label(&self, worker: WorkerKey, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else {
            return true;
        };
        self.workers[worker].registration.labels.contains(label)
    }

    /// Returns the number of runs of a step on each worker.
    fn runs_per_worker(&self, job: JobKey, step: usize) -> FxHashMap<WorkerKey, u64> {
        let mut counts = FxHashMap::default();
        for run in self.job_runs(job) {
            if self.jobs[job].slot(run.name) == step {
                *counts.entry(run.worker).or_default() += 1;
            }
        }
        counts
    }
}
