//! Decides which tasks start on which workers.
//!
//! Ready steps are handled in order of the slack that is left until their job's objective, and by the
//! priority of their queue first if that is switched on (see [`order`]). Each
//! step starts as many tasks as fit on the workers it may use. If an adviser has to allow the
//! workers first, the adviser is asked about as many workers as the step is likely to need.

mod advice;
mod better_places;
mod caps;
mod delay;
mod gang_delay;
mod gangs;
mod moves;
mod order;
mod pool;
mod rank;
mod ready;
mod suspects;
mod waits;

use kingcupwinch_time::Time;

use crate::cell::{Action, Cell};
use crate::crash::Suspicion;
use crate::fit::StepDemand;
use crate::job::JobKey;
use crate::mechanism::Mechanism;

use pool::PaceRange;
use rank::CandidateRank;
use ready::{ReadyStep, Turn};
use waits::MAX_PATIENCE;

pub use caps::CapCounts;
pub(crate) use moves::KeptPlace;
pub(crate) use pool::{Candidate, WorkerPool, WorkerPools};
pub(crate) use waits::{WaitBudget, WaitState};

/// The largest number of tasks of a step that one round starts. The next round goes on, so that a
/// step of very many tasks leaves time for the others.
const MAX_STARTS_OF_STEP: usize = 1_024;

impl Cell {
    /// Runs one round of scheduling and returns the resulting actions.
    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        self.expire_workers(now);
        self.release_left_runs(now);
        self.expire_tentative(now);
        self.expire_advice_calls(now);
        self.probe_callers(now);
        self.judge_suspects(now);
        self.stop_partial_gangs();
        self.settle_withdrawn_runs(now);
        self.open_occurrences(now);
        self.customers.counts = CapCounts::default();
        let mut pools = self.usable_workers(now);
        self.mark_suspect_workers(&mut pools);
        self.reserve_kept_places(&mut pools, now);
        self.count_asked_work();
        let steps = self.ready_steps(&pools, now);
        let is_other = |step: &ReadyStep| !step.is_long_running;
        let first_other = steps.iter().position(is_other).unwrap_or(steps.len());
        let (long_running, others) = steps.split_at(first_other);
        let first_start = long_running.partition_point(|step| step.turn == Turn::Restart);
        let (restarts, starts) = long_running.split_at(first_start);
        self.place_restarts(restarts, &mut pools, now);
        self.place_steps(starts, &mut pools, now);
        self.keep_asked_room(starts, &mut pools, now);
        self.place_steps(others, &mut pools, now);
        self.start_speculative_runs(&mut pools, now);
        self.send_stops(now);
        self.customers.answered.clear();
        self.take_actions(now)
    }

    /// Returns the usable workers of a job's service, if there are any.
    pub(crate) fn pool_of<'a>(
        &self,
        job: JobKey,
        pools: &'a mut WorkerPools,
    ) -> Option<&'a mut WorkerPool> {
        let service = &self.jobs[job].spec.policy.service;
        pools.by_service.get_mut(service)
    }

    /// Starts or moves what fits of each step, in this order.
    fn place_steps(&mut self, steps: &[ReadyStep], pools: &mut WorkerPools, now: Time) {
        for ready in steps {
            match self.pool_of(ready.job, pools) {
                Some(pool) if ready.turn == Turn::Move => self.move_tasks(ready, pool, now),
                Some(pool) => self.place_step(ready, pool, now),
                None => {}
            }
            if ready.turn != Turn::Move {
                let pool = self.pool_of(ready.job, pools);
                self.note_wait(ready, pool.as_deref(), now);
            }
        }
    }

    /// Starts what fits of steps that run again, the longest-waiting first, and keeps the room that
    /// their calls to the adviser ask about. A step that has just asked comes last for the next call,
    /// but not for the room.
    fn place_restarts(&mut self, steps: &[ReadyStep], pools: &mut WorkerPools, now: Time) {
        let mut by_wait: Vec<&ReadyStep> = steps.iter().collect();
        by_wait.sort_by_key(|ready| ready.waiting_since);
        let mut left = Vec::new();
        for ready in by_wait {
            let Some(pool) = self.pool_of(ready.job, pools) else {
                continue;
            };
            if let Some(demand) = self.place_granted(ready, pool, now) {
                left.push((ready, demand));
            }
        }
        left.sort_by(|(a, _), (b, _)| a.compare(b));
        for (ready, demand) in &left {
            if let Some(pool) = self.pool_of(ready.job, pools) {
                self.request_advice(ready, demand, pool, now);
            }
        }
        for ready in steps {
            let pool = self.pool_of(ready.job, pools);
            self.note_wait(ready, pool.as_deref(), now);
        }
        for (ready, _) in left {
            if let Some(pool) = self.pool_of(ready.job, pools) {
                self.keep_room(ready, pool, now);
            }
        }
    }

    fn place_step(&mut self, ready: &ReadyStep, pool: &mut WorkerPool, now: Time) {
        if let Some(demand) = self.place_granted(ready, pool, now) {
            self.request_advice(ready, &demand, pool, now);
        }
    }

    /// Starts what fits of a step without a further call to the adviser. Returns the demand of the
    /// tasks that are left, unless no worker has capacity for one and the step does not ask ahead.
    fn place_granted(
        &mut self,
        ready: &ReadyStep,
        pool: &mut WorkerPool,
        now: Time,
    ) -> Option<StepDemand> {
        if self.is_held_by_cap(ready, now) {
            return None;
        }
        self.release_kept_places(ready.job, ready.step, pool);
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let has_capacity = pool.has_capacity(spec.charged_resources());
        if !has_capacity && !ready.asks_ahead(spec) {
            return None;
        }
        let demand = self.step_demand(ready.job, ready.step);
        let slowest_pace = self.slowest_pace(ready, &demand, pool, now);
        let mut demand = demand.with_slowest_pace(slowest_pace);
        self.count_kept_places(&mut demand);
        if !has_capacity {
            return Some(demand);
        }
        let mut is_placed = self.place_demand(ready, &mut demand, pool, now);
        let shares = self.jobs[ready.job].step_spec(ready.step).best_effort
            && ready.waiting_since + MAX_PATIENCE <= now;
        if !is_placed && shares {
            demand = demand.with_sharing();
            is_placed = self.place_demand(ready, &mut demand, pool, now);
        }
        if !is_placed && self.has_only_quarantined(&demand, pool, now) {
            demand = demand.with_quarantined();
            is_placed = self.place_demand(ready, &mut demand, pool, now);
        }
        (!is_placed).then_some(demand)
    }

    /// Starts what fits of a step on the workers that suit its demand. Returns whether no startable
    /// task is left.
    fn place_demand(
        &mut self,
        ready: &ReadyStep,
        demand: &mut StepDemand,
        pool: &mut WorkerPool,
        now: Time,
    ) -> bool {
        let eligible = self.eligible_candidates(ready, demand, pool, now);
        self.counters.ranked_workers += eligible.len() as u64;
        if eligible.is_empty() {
            false
        } else if self.jobs[ready.job].step_spec(ready.step).gang {
            self.place_gang(ready, demand, &eligible, pool, now)
        } else {
            self.place_tasks(ready, demand, &eligible, pool, now)
        }
    }

    /// Returns the indexes of the workers on which tasks of the step can start now, best first.
    fn eligible_candidates(
        &self,
        ready: &ReadyStep,
        demand: &StepDemand,
        pool: &WorkerPool,
        now: Time,
    ) -> Vec<usize> {
        let spec = self.jobs[ready.job].step_spec(ready.step);
        let mut eligible = self.startable_candidates(demand, pool, now);
        eligible.sort_by_cached_key(|index| self.rank(&pool.candidates[*index], ready, spec));
        eligible
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
        let is_gang = self.jobs[key].step_spec(place.0).gang;
        if !is_gang && self.cap_room(key, place.0) == 0 {
            return false;
        }
        if self.place_run(key, place, number, worker, now).is_none() {
            return false;
        }
        self.note_asked_start(key, place.0);
        let spec = self.jobs[key].step_spec(place.0);
        let is_latency_sensitive = spec.latency_sensitive;
        let is_sharing = spec.best_effort && pool.candidates[candidate].has_latency_sensitive;
        pool.reserve(candidate, spec.charged_resources(), 1);
        pool.candidates[candidate].has_best_effort |= spec.best_effort;
        pool.candidates[candidate].has_latency_sensitive |= is_latency_sensitive;
        let suspicion = self.suspicion(key, place);
        let known = &mut pool.candidates[candidate].suspicion;
        *known = suspicion.max(*known);
        if is_sharing {
            self.begin_sharing(worker, now);
        }
        if is_latency_sensitive && self.uses(Mechanism::Isolation) {
            self.isolate(worker, now);
        }
        true
    }

    /// Starts as many tasks as fit. Returns whether no startable task is left.
    fn place_tasks(
        &mut self,
        ready: &ReadyStep,
        demand: &mut StepDemand,
        eligible: &[usize],
        pool: &mut WorkerPool,
        now: Time,
    ) -> bool {
        let job = &self.jobs[ready.job];
        let tasks = &job.steps[ready.step].tasks;
        let startable = tasks.free(now);
        let startable = startable.filter(|index| ready.includes(job, &tasks[*index]));
        let mut startable: Vec<usize> = startable.take(MAX_STARTS_OF_STEP).collect();
        let mut left = startable.len();
        if demand.accepts_quarantined && !job.step_spec(ready.step).long_running {
            let limit = job.spec.policy.max_attempts as usize;
            startable.retain(|index| tasks[*index].failed_runs.len() + 1 < limit);
        }
        for index in startable {
            let avoid = self.jobs[ready.job].steps[ready.step].tasks[index].avoid_worker;
            let fits = |candidate: &&usize| {
                let candidate = &pool.candidates[**candidate];
                self.room_on(demand, candidate).is_ok()
            };
            let is_suspect = self.suspicion(ready.job, (ready.step, index)) > Suspicion::None;
            if is_suspect && self.is_held_back(ready.job, (ready.step, index), now) {
                continue;
            }
            let separate = is_suspect.then(|| {
                let place = (ready.step, index);
                self.separate_candidates(ready.job, place, eligible, pool, now)
            });
            let mut choices = separate.as_deref().unwrap_or(eligible).iter().filter(fits);
            let Some(mut candidate) = choices.next() else {
                if is_suspect {
                    continue;
                }
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
            demand.add_run(worker);
            left -= 1;
        }
        left == 0
    }
}
