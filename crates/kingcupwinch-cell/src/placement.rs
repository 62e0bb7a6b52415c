//! Decides which tasks start on which workers.
//!
//! Ready steps are handled in order of the slack that is left until their job's objective. Each
//! step starts as many tasks as fit on the workers it may use. If an adviser has to allow the
//! workers first, the adviser is asked about as many workers as the step is likely to need.

use std::cmp::Ordering;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use crate::advice::{Verdict, call_time};
use crate::cell::{Action, Cell};
use crate::job::{Job, JobKey, Task};
use crate::mechanism::Mechanism;
use crate::spec::{Resources, StepSpec};
use crate::worker::{RACK_LABEL, WorkerKey};

/// The largest number of workers that one call to the adviser names.
const MAX_CALL_WORKERS: usize = 100;
/// The capacity to ask about, as a multiple of the capacity needed, since other steps take some of
/// it before the response arrives.
const CAPACITY_MARGIN: f64 = 2.0;
/// The smallest number of workers that a call names, if that many are available.
const MIN_CALL_WORKERS: usize = 6;

/// How much faster than needed the slowest worker has to be before slow workers come first for a
/// step, since run times are uncertain.
const PACE_MARGIN: f64 = 1.3;
/// The width of a band of the pace, as a difference of logarithms.
const PACE_BAND: f64 = 0.25;

/// How long to wait before considering a call for a step again after too little capacity was found.
const NO_CAPACITY_BACKOFF: Span = Span::from_millis(30);

/// Whether a job can still meet its objective, in order of scheduling priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ObjectiveStatus {
    /// The objective can be met.
    OnTime,
    /// The job will end late, which is worth less.
    Late,
    /// The job will end too late to be worth anything.
    Missed,
}

/// A step with tasks to start.
#[derive(Debug)]
struct ReadyStep {
    job: JobKey,
    /// The slot of the step.
    step: usize,
    status: ObjectiveStatus,
    /// The time that is left beyond the expected work, in microseconds. Negative if the objective
    /// will be missed.
    slack: i64,
    /// Whether there is no slack to spare for a slow worker.
    is_tight: bool,
    /// The pace (observed over expected run time) of the slowest worker that still meets the
    /// objective.
    slowest_pace: f64,
}

impl ReadyStep {
    /// Computes the status and the slack of a step, assuming that it runs on the fastest worker.
    fn new(key: JobKey, slot: usize, job: &Job, paces: PaceRange, now: Time) -> Self {
        let step = &job.steps[slot];
        let spec = job.step_spec(slot);
        if spec.long_running {
            return ReadyStep::of_long_running(key, slot);
        }
        let critical_path = step.critical_path.as_micros() as f64;
        let left = |end: Time| {
            let left = end.as_micros() as i64 - now.as_micros() as i64;
            left - (critical_path * paces.fastest) as i64
        };
        let slack = left(step.objective);
        let status = if slack >= 0 {
            ObjectiveStatus::OnTime
        } else if left(step.late_limit) >= 0 {
            ObjectiveStatus::Late
        } else {
            ObjectiveStatus::Missed
        };
        // A gang needs many workers at once, so its choice isn't limited by pace.
        let limits_pace = status == ObjectiveStatus::OnTime && !spec.gang;
        let slowest_pace = if limits_pace {
            paces.fastest + slack as f64 / critical_path.max(1.0)
        } else {
            f64::INFINITY
        };
        ReadyStep {
            job: key,
            step: slot,
            status,
            slack,
            is_tight: status != ObjectiveStatus::Missed
                && (slack as f64) < critical_path * (paces.slowest * PACE_MARGIN - paces.fastest),
            slowest_pace,
        }
    }

    /// Creates a ready step of long-running tasks. They have no end that could be late and are
    /// needed at once, so their slack is zero.
    fn of_long_running(key: JobKey, slot: usize) -> Self {
        ReadyStep {
            job: key,
            step: slot,
            status: ObjectiveStatus::OnTime,
            slack: 0,
            is_tight: false,
            slowest_pace: f64::INFINITY,
        }
    }

    fn compare(&self, other: &ReadyStep) -> Ordering {
        (self.status, self.slack, self.step).cmp(&(other.status, other.slack, other.step))
    }
}

impl Cell {
    /// Runs one round of scheduling and returns the resulting actions.
    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        self.expire_workers(now);
        self.expire_tentative(now);
        self.stop_partial_gangs();
        self.settle_withdrawn_runs(now);
        self.open_occurrences(now);
        self.evacuate_long_running(now);
        self.send_stops(now);
        self.set_mean_pace(now);
        let mut pools = self.usable_workers(now);
        for ready in self.ready_steps(&pools, now) {
            let service = &self.jobs[ready.job].spec.policy.service;
            if let Some(pool) = pools.by_service.get_mut(service) {
                self.place_step(&ready, pool, now);
            }
        }
        self.start_speculative_runs(&mut pools, now);
        self.take_actions(now)
    }

    fn set_mean_pace(&mut self, now: Time) {
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.is_usable(now));
        let paces = workers.map(|worker| (worker.kind(), &worker.pace));
        self.run_times.set_level(paces, now);
    }

    /// Returns the workers that can take new work, grouped by service.
    fn usable_workers(&self, now: Time) -> WorkerPools {
        let mut pools = WorkerPools::default();
        for (key, worker) in &self.workers {
            if !worker.is_usable(now) {
                continue;
            }
            let service = &worker.registration.service;
            if !pools.by_service.contains_key(service) {
                pools
                    .by_service
                    .insert(Arc::clone(service), WorkerPool::default());
            }
            let Some(pool) = pools.by_service.get_mut(service) else {
                continue;
            };
            let pace = self.worker_pace(key, now);
            pool.indexes.insert(key, pool.candidates.len());
            pool.paces = Some(PaceRange::extend(pool.paces, pace));
            pool.candidates.push(Candidate {
                key,
                available: worker.available(),
                has_best_effort: worker.best_effort_runs > 0,
                has_latency_sensitive: worker.latency_sensitive_runs > 0,
                pace,
                pace_band: pace_band(pace),
            });
        }
        pools
    }

    /// Returns the steps with tasks to start, the most urgent first.
    fn ready_steps(&self, pools: &WorkerPools, now: Time) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for (key, job) in &self.jobs {
            if job.end.is_some() {
                continue;
            }
            let pool = pools.by_service.get(&job.spec.policy.service);
            let paces = pool.and_then(|pool| pool.paces).unwrap_or_default();
            for (slot, step) in job.steps.iter().enumerate() {
                if step.waiting == 0 || !job.is_ready(slot) {
                    continue;
                }
                // A gang restarts only after every run of its last attempt is settled.
                let is_gang = job.step_spec(slot).gang;
                let mut tasks = step.tasks.iter();
                if is_gang && !tasks.all(|task| task.is_free(now)) {
                    continue;
                }
                ready.push(ReadyStep::new(key, slot, job, paces, now));
            }
        }
        for step in &mut ready {
            step.is_tight &= self.uses(Mechanism::FastFirst);
            if !self.uses(Mechanism::PaceLimit) {
                step.slowest_pace = f64::INFINITY;
            }
        }
        ready.sort_by(ReadyStep::compare);
        ready
    }

    fn place_step(&mut self, ready: &ReadyStep, pool: &mut WorkerPool, now: Time) {
        self.expire_advice_call(ready.job, ready.step, now);
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        if !pool.has_capacity(spec.charged_resources()) {
            return;
        }
        let eligible = self.eligible_candidates(ready, pool, now);
        let is_placed = if eligible.is_empty() {
            false
        } else if spec.gang {
            self.place_gang(ready, &eligible, pool, now)
        } else {
            self.place_tasks(ready, &eligible, pool, now)
        };
        if !is_placed {
            self.request_advice(ready, pool, now);
        }
    }

    /// Returns the indexes of the workers that may run the step now and have capacity, best first.
    fn eligible_candidates(&self, ready: &ReadyStep, pool: &WorkerPool, now: Time) -> Vec<usize> {
        let spec = self.jobs[ready.job].step_spec(ready.step);
        let mut eligible = self.allowed_candidates(ready.job, ready.step, pool, now);
        eligible.retain(|candidate| pool.candidates[*candidate].pace <= ready.slowest_pace);
        eligible.sort_by(|a, b| {
            self.compare_candidates(&pool.candidates[*a], &pool.candidates[*b], ready, spec)
        });
        eligible
    }

    /// Returns the indexes of the workers that may run a step now and have capacity, unordered.
    pub(crate) fn allowed_candidates(
        &self,
        key: JobKey,
        step: usize,
        pool: &WorkerPool,
        now: Time,
    ) -> Vec<usize> {
        let job = &self.jobs[key];
        let spec = job.step_spec(step);
        let is_eligible = |candidate: &usize| {
            let candidate = &pool.candidates[*candidate];
            let is_excluded = spec.best_effort
                && candidate.has_latency_sensitive
                && self.uses(Mechanism::Isolation);
            candidate.available.task_capacity(spec.charged_resources()) > 0
                && !is_excluded
                && self.has_label(candidate.key, spec)
        };
        if job.spec.policy.advice.is_some() {
            let allowed = job.steps[step].tickets.allowed_workers(now);
            let indexes = allowed.filter_map(|key| pool.indexes.get(key).copied());
            indexes.filter(is_eligible).collect()
        } else {
            (0..pool.candidates.len()).filter(is_eligible).collect()
        }
    }

    /// Places a run of a task, given by its slot and index, on a worker and reserves the capacity
    /// for this round. Returns false if the run wasn't placed.
    pub(crate) fn start_on(
        &mut self,
        key: JobKey,
        place: (usize, usize),
        number: u32,
        (candidate, pool): (usize, &mut WorkerPool),
        now: Time,
    ) -> bool {
        let worker = pool.candidates[candidate].key;
        if self.place_run(key, place, number, worker, now).is_none() {
            return false;
        }
        let spec = self.jobs[key].step_spec(place.0);
        let is_latency_sensitive = spec.latency_sensitive;
        pool.reserve(candidate, spec.charged_resources(), 1);
        pool.candidates[candidate].has_best_effort |= spec.best_effort;
        pool.candidates[candidate].has_latency_sensitive |= is_latency_sensitive;
        if is_latency_sensitive && self.uses(Mechanism::Isolation) {
            self.stop_best_effort(worker);
        }
        true
    }

    pub(crate) fn has_label(&self, worker: WorkerKey, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else {
            return true;
        };
        self.workers[worker].registration.labels.contains(label)
    }

    fn rack(&self, worker: WorkerKey) -> Option<&Arc<str>> {
        self.workers[worker].registration.labels.get(RACK_LABEL)
    }

    /// Compares two workers for a step. Workers on the rack of its data come first. Among these,
    /// fast workers come first if slack is short and slow workers otherwise, then the workers with
    /// the least CPU left.
    fn compare_candidates(
        &self,
        a: &Candidate,
        b: &Candidate,
        ready: &ReadyStep,
        spec: &StepSpec,
    ) -> Ordering {
        let rack_order = match &spec.data_rack {
            None => Ordering::Equal,
            Some(rack) => {
                let is_near = |candidate: &Candidate| self.rack(candidate.key) == Some(rack);
                is_near(b).cmp(&is_near(a))
            }
        };
        // Latency-sensitive tasks avoid workers with best-effort tasks. Where that isn't possible,
        // the best-effort tasks are stopped.
        let isolation_order = if spec.latency_sensitive && self.uses(Mechanism::Isolation) {
            a.has_best_effort.cmp(&b.has_best_effort)
        } else {
            Ordering::Equal
        };
        let pace_order = a.pace_band.cmp(&b.pace_band);
        rack_order
            .then(isolation_order)
            .then(if ready.is_tight {
                pace_order
            } else {
                pace_order.reverse()
            })
            .then(a.available.cpu.cmp(&b.available.cpu))
            .then(a.key.cmp(&b.key))
    }

    /// Chooses a worker for each member of a gang, all on one rack if the step asks for it and they
    /// fit.
    fn choose_gang(
        &self,
        spec: &StepSpec,
        eligible: &[usize],
        pool: &WorkerPool,
        tasks: usize,
    ) -> Option<Vec<usize>> {
        if spec.same_rack {
            let rack_of = |candidate: &usize| self.rack(pool.candidates[*candidate].key);
            let mut racks: Vec<_> = eligible.iter().map(rack_of).collect();
            racks.sort();
            racks.dedup();
            for rack in racks {
                let on_rack = eligible
                    .iter()
                    .copied()
                    .filter(|candidate| rack_of(candidate) == rack);
                let candidates: Vec<usize> = on_rack.collect();
                if let Some(chosen) = assign_gang(spec, &candidates, pool, tasks) {
                    return Some(chosen);
                }
            }
        }
        assign_gang(spec, eligible, pool, tasks)
    }

    /// Starts as many tasks as fit. Returns whether no startable task is left.
    fn place_tasks(
        &mut self,
        ready: &ReadyStep,
        eligible: &[usize],
        pool: &mut WorkerPool,
        now: Time,
    ) -> bool {
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let charge = spec.charged_resources();
        let limit = spec.worker_limit.map_or(usize::MAX, usize::from);
        let startable: Vec<usize> = startable_tasks(&job.steps[ready.step].tasks, now);
        let mut counts = self.runs_per_worker(ready.job, ready.step);
        let mut left = startable.len();
        for index in startable {
            let avoid = self.jobs[ready.job].steps[ready.step].tasks[index].avoid_worker;
            let fits = |candidate: &&usize| {
                let candidate = &pool.candidates[**candidate];
                let count = counts.get(&candidate.key).copied().unwrap_or(0);
                count < limit && candidate.available.task_capacity(charge) > 0
            };
            let mut choices = eligible.iter().filter(fits);
            let Some(mut candidate) = choices.next() else {
                break;
            };
            if avoid == Some(pool.candidates[*candidate].key) {
                candidate = choices.next().unwrap_or(candidate);
            }
            let worker = pool.candidates[*candidate].key;
            let number = self.jobs[ready.job].last_run + 1;
            let place = (ready.step, index);
            if !self.start_on(ready.job, place, number, (*candidate, pool), now) {
                break;
            }
            *counts.entry(worker).or_default() += 1;
            left -= 1;
        }
        left == 0
    }

    /// Starts a whole gang if it fits. Otherwise reserves the available capacity for it, so that
    /// steps behind it can't starve it.
    fn place_gang(
        &mut self,
        ready: &ReadyStep,
        eligible: &[usize],
        pool: &mut WorkerPool,
        now: Time,
    ) -> bool {
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let charge = spec.charged_resources();
        let tasks = job.steps[ready.step].tasks.len();
        let Some(chosen) = self.choose_gang(spec, eligible, pool, tasks) else {
            if !self.uses(Mechanism::GangReservation) {
                return false;
            }
            let mut left = tasks as u64;
            for &candidate in eligible {
                let fits = pool.candidates[candidate]
                    .available
                    .task_capacity(charge)
                    .min(left);
                pool.reserve(candidate, charge, fits);
                left -= fits;
            }
            return false;
        };
        let number = job.last_run + 1;
        for (index, candidate) in chosen.into_iter().enumerate() {
            self.start_on(
                ready.job,
                (ready.step, index),
                number,
                (candidate, pool),
                now,
            );
        }
        true
    }

    /// Returns the number of runs of a step on each worker.
    pub(crate) fn runs_per_worker(&self, job: JobKey, step: usize) -> FxHashMap<WorkerKey, usize> {
        let mut counts = FxHashMap::default();
        for run in self.job_runs(job) {
            if self.jobs[job].slot(run.name) == step {
                *counts.entry(run.worker).or_default() += 1;
            }
        }
        counts
    }

    /// Requests advice about the workers that have capacity, provided the step could start on those
    /// of them that the adviser is likely to allow.
    fn request_advice(&mut self, ready: &ReadyStep, pool: &WorkerPool, now: Time) {
        let job = &self.jobs[ready.job];
        let Some(cost) = job.spec.policy.advice else {
            return;
        };
        let step = &job.steps[ready.step];
        let may_call = step.tickets.pending_until.is_none() && step.tickets.next_call <= now;
        if !may_call || !self.advice_callers.has_free(call_time(&cost, 1), now) {
            return;
        }
        let (workers, capacity) = self.advice_candidates(ready, pool, now);
        let spec = self.jobs[ready.job].step_spec(ready.step);
        let need = if spec.gang {
            step.tasks.len() as f64
        } else {
            1.0
        };
        if workers.is_empty() || capacity < need {
            self.jobs[ready.job].steps[ready.step].tickets.next_call = now + NO_CAPACITY_BACKOFF;
            return;
        }
        let duration = call_time(&cost, workers.len());
        let Some((instance, deadline)) = self.advice_callers.reserve(duration, now) else {
            return;
        };
        let name = job.task_name(ready.step, 0);
        let ids = workers
            .iter()
            .map(|key| Arc::clone(&self.workers[*key].registration.id))
            .collect();
        self.jobs[ready.job].steps[ready.step].tickets.pending_until = Some(deadline);
        let call = self.add_advice_call(ready.job, ready.step, workers, Arc::clone(&instance));
        self.actions.push(Action::RequestAdvice {
            call,
            instance,
            step: name.step_name(),
            workers: ids,
            deadline,
        });
    }

    /// Returns the workers to ask about next, and the number of tasks expected to fit on all
    /// workers that the adviser allows.
    fn advice_candidates(
        &self,
        ready: &ReadyStep,
        pool: &WorkerPool,
        now: Time,
    ) -> (Vec<WorkerKey>, f64) {
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let step = &job.steps[ready.step];
        let share = self.allowed_share(&job.spec.policy.queue);
        let limit = spec.worker_limit.map_or(u64::MAX, u64::from);
        // The first call for a gang names every worker. Which workers may run a step never changes,
        // so later calls name only the allowed ones.
        let is_first_of_gang = spec.gang && !step.tickets.has_verdicts();
        let mut rows = Vec::new();
        let mut capacity = 0.0;
        for candidate in &pool.candidates {
            let fits = candidate
                .available
                .task_capacity(spec.charged_resources())
                .min(limit) as f64;
            let is_useful = fits > 0.0 || is_first_of_gang;
            let is_fast_enough = candidate.pace <= ready.slowest_pace;
            if !is_useful || !is_fast_enough || !self.has_label(candidate.key, spec) {
                continue;
            }
            match step.tickets.verdict(candidate.key) {
                Some(Verdict::Denied) => {}
                Some(Verdict::Allowed { expires, .. }) if *expires > now => capacity += fits,
                Some(Verdict::Allowed { .. }) => rows.push((candidate, fits, 1.0)),
                None => rows.push((candidate, fits, share)),
            }
        }
        rows.sort_by(|a, b| {
            let verdict_order = b.2.total_cmp(&a.2);
            let capacity_order = if spec.gang {
                b.1.total_cmp(&a.1)
            } else {
                Ordering::Equal
            };
            verdict_order
                .then(capacity_order)
                .then_with(|| self.compare_candidates(a.0, b.0, ready, spec))
        });
        let wanted = step.waiting as f64 * CAPACITY_MARGIN;
        let mut requested = capacity;
        let mut workers = Vec::new();
        for (candidate, fits, chance) in rows {
            capacity += fits * chance;
            let is_enough =
                requested >= wanted && workers.len() >= MIN_CALL_WORKERS && !is_first_of_gang;
            if !is_enough && workers.len() < MAX_CALL_WORKERS {
                requested += fits * chance;
                workers.push(candidate.key);
            }
        }
        (workers, capacity)
    }
}

/// A worker that can take new work, with the capacity that is left for steps not yet placed in this
/// round.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    pub(crate) available: Resources,
    /// Whether best-effort or latency-sensitive tasks run on the worker.
    has_best_effort: bool,
    has_latency_sensitive: bool,
    /// Observed over expected run time; lower is faster.
    pub(crate) pace: f64,
    pace_band: i64,
}

/// Returns the band of a pace. Differences within a band say little, so that the packing decides
/// there.
fn pace_band(pace: f64) -> i64 {
    (pace.ln() / PACE_BAND).round() as i64
}

/// The pace of the fastest and of the slowest worker of a pool.
#[derive(Debug, Clone, Copy)]
struct PaceRange {
    fastest: f64,
    slowest: f64,
}

impl Default for PaceRange {
    fn default() -> Self {
        PaceRange {
            fastest: 1.0,
            slowest: 1.0,
        }
    }
}

impl PaceRange {
    fn extend(range: Option<PaceRange>, pace: f64) -> PaceRange {
        let range = range.unwrap_or(PaceRange {
            fastest: pace,
            slowest: pace,
        });
        PaceRange {
            fastest: range.fastest.min(pace),
            slowest: range.slowest.max(pace),
        }
    }
}

/// The usable workers of one service in one round of scheduling.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    pub(crate) candidates: Vec<Candidate>,
    indexes: SecondaryMap<WorkerKey, usize>,
    /// The pace of the fastest and of the slowest candidate, if there is any.
    paces: Option<PaceRange>,
}

/// The usable workers of one round of scheduling.
#[derive(Debug, Default)]
pub(crate) struct WorkerPools {
    pub(crate) by_service: FxHashMap<Arc<str>, WorkerPool>,
}

impl WorkerPool {
    /// Returns whether any worker has capacity for a task that takes `charge`.
    fn has_capacity(&self, charge: Resources) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.available.task_capacity(charge) > 0)
    }

    /// Reserves capacity for tasks that start or for a gang that waits for it.
    fn reserve(&mut self, candidate: usize, charge: Resources, tasks: u64) {
        let capacity = &mut self.candidates[candidate].available;
        for _ in 0..tasks {
            capacity.sub(charge);
        }
    }
}

fn assign_gang(
    spec: &StepSpec,
    eligible: &[usize],
    pool: &WorkerPool,
    tasks: usize,
) -> Option<Vec<usize>> {
    let limit = spec.worker_limit.map_or(usize::MAX, usize::from);
    let mut chosen = Vec::with_capacity(tasks);
    for &candidate in eligible {
        let fits = pool.candidates[candidate]
            .available
            .task_capacity(spec.charged_resources());
        let fits = usize::try_from(fits).unwrap_or(usize::MAX);
        let take = fits.min(limit).min(tasks - chosen.len());
        chosen.extend(std::iter::repeat_n(candidate, take));
    }
    (chosen.len() == tasks).then_some(chosen)
}

fn startable_tasks(tasks: &[Task], now: Time) -> Vec<usize> {
    let free = tasks
        .iter()
        .enumerate()
        .filter(|(_, task)| task.is_free(now));
    free.map(|(index, _)| index).collect()
}
