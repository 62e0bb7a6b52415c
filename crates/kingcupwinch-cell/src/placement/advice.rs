//! Requests for advice: which workers to ask about, and when.

use std::cmp::Ordering;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::{CandidateRank, ReadyStep, Turn, WorkerPool, WorkerPools};
use crate::advice::{affordable_workers, call_time};
use crate::cell::{Action, AdviceCallId, Cell, NamedWorker};
use crate::fit::{Access, Obstacle, StepDemand};
use crate::job::Job;
use crate::spec::Resources;

/// The largest number of workers that one call to the adviser names.
const MAX_CALL_WORKERS: usize = 100;
/// The largest number of workers that the calls for one gang name together. The members of a gang start
/// at one moment, so their tickets have to be valid together.
const MAX_GANG_WORKERS: usize = 400;
/// The number of workers with room among which those of a call are chosen. More are looked at only as long
/// as they don't have room for a step: on thousands of workers, looking at each for each step would take
/// longer than the jobs have time. Gangs look at all: bounded, some of 15 to 18 tasks did not start within
/// 23 s on 3,000 workers that were mostly free.
const MAX_OPTIONS: usize = 800;
/// The capacity to ask about, as a multiple of the capacity needed, since other steps take some of
/// it before the response arrives.
const CAPACITY_MARGIN: f64 = 2.0;
/// The smallest number of workers that a call names, if that many are available.
const MIN_CALL_WORKERS: usize = 6;
/// Each call that led to no start doubles the workers that the next one names, this often at most.
const MAX_CALL_DOUBLINGS: u32 = 4;

/// How long a step waits for workers of which the adviser is likely to allow one. Then any worker
/// with room is worth a call, since the few that are left may be allowed.
const LIKELY_WORKER_WAIT: Span = Span::from_millis(1_000);
/// How long a long-running step waits before the room that its call asks about is kept for it. What
/// is left of the 3 s in which it has to start is enough for two calls.
const KEPT_ROOM_WAIT: Span = Span::from_millis(1_000);

/// How long to wait before considering a call for a step again after too little capacity was found.
const NO_CAPACITY_BACKOFF: Span = Span::from_millis(30);

/// A worker to ask about.
#[derive(Debug, Clone, Copy)]
struct Choice {
    /// The index in the pool.
    index: usize,
    /// The tasks for which it has room.
    fits: f64,
    /// The chance that the adviser allows it.
    chance: f64,
}

/// The number of tasks of a step for which there is room.
#[derive(Debug, Clone, Copy)]
struct StepCapacity {
    /// On the workers on which they can start without a further call.
    granted: f64,
    /// On all workers that the adviser is expected to allow.
    expected: f64,
}

/// Returns whether the adviser has not been asked about a gang yet. Its first calls name all workers or
/// enough of them. Which workers may run a step never changes, so later calls name only the allowed
/// ones.
fn is_first_call_of_gang(job: &Job, ready: &ReadyStep) -> bool {
    job.step_spec(ready.step).gang && !job.steps[ready.step].tickets.has_verdicts()
}

impl Cell {
    /// Requests advice about the workers that have capacity, provided the step could start on those
    /// of them that the adviser is likely to allow.
    pub(super) fn request_advice(
        &mut self,
        ready: &ReadyStep,
        demand: &StepDemand,
        pool: &mut WorkerPool,
        now: Time,
    ) {
        let job = &self.jobs[ready.job];
        let Some(cost) = job.spec.policy.advice else {
            return;
        };
        let step = &job.steps[ready.step];
        let may_call = !step.tickets.is_call_pending() && step.tickets.next_call <= now;
        if !may_call || !self.advice_callers.has_free(call_time(&cost, 1), now) {
            return;
        }
        let Some(ready) = &self.within_cap(ready) else {
            return;
        };
        let spec = job.step_spec(ready.step);
        let need = if spec.gang {
            step.tasks.len() as f64
        } else if ready.asks_ahead(spec) || ready.waiting_since + LIKELY_WORKER_WAIT <= now {
            0.0
        } else {
            1.0
        };
        let (options, capacity) = self.advice_options(ready, demand, pool, now);
        // On a full service most steps end here, so nothing is sorted before.
        let workers = if capacity.expected < need {
            Vec::new()
        } else {
            self.counters.ranked_workers += options.len() as u64;
            self.choose_options(ready, options, capacity.granted, pool)
        };
        let is_ahead = workers.iter().all(|choice| choice.fits == 0.0);
        let must_wait = is_ahead && !self.advice_callers.has_spare(now);
        if workers.is_empty() || must_wait {
            self.jobs[ready.job].steps[ready.step].tickets.next_call = now + NO_CAPACITY_BACKOFF;
            return;
        }
        let workers = name_workers(&workers, ready.tasks, demand.charge, pool);
        // Several instances ask about the workers of a large gang at once: the tickets of one call after
        // the other lapse before the last ones come.
        let per_call = if workers.len() > MAX_CALL_WORKERS {
            affordable_workers(cost).clamp(MIN_CALL_WORKERS, MAX_CALL_WORKERS)
        } else {
            MAX_CALL_WORKERS
        };
        let copies = if workers.len() > per_call {
            1
        } else {
            self.jobs[ready.job].steps[ready.step].tickets.call_copies()
        };
        for named in workers.chunks(per_call) {
            let duration = call_time(&cost, named.len());
            let Some(caller) = self.advice_callers.reserve(duration, now) else {
                return;
            };
            pool.expect(named);
            let original = self.call_adviser(ready, named, caller, None, now);
            for _ in 1..copies {
                let Some(caller) = self.advice_callers.reserve_idle(duration, now) else {
                    break;
                };
                self.call_adviser(ready, named, caller, Some(original), now);
            }
        }
    }

    /// Has an instance ask the adviser about workers for a step, until the call counts as lost.
    fn call_adviser(
        &mut self,
        ready: &ReadyStep,
        workers: &[NamedWorker],
        (instance, deadline): (Arc<str>, Time),
        original: Option<AdviceCallId>,
        now: Time,
    ) -> AdviceCallId {
        let name = self.jobs[ready.job].task_name(ready.step, 0);
        let ids = workers
            .iter()
            .map(|worker| Arc::clone(&self.workers[worker.key].registration.id))
            .collect();
        let tickets = &mut self.jobs[ready.job].steps[ready.step].tickets;
        tickets.note_call(now);
        self.add_asked_step(ready.job, ready.step);
        let caller = (Arc::clone(&instance), deadline);
        let workers = workers.to_vec();
        let call = self.add_advice_call(ready.job, ready.step, workers, caller, original);
        self.actions.push(Action::RequestAdvice {
            call,
            instance,
            step: name.step_name(),
            workers: ids,
            deadline,
        });
        call
    }

    /// Keeps the room that the calls of long-running steps ask about from the steps behind them, if
    /// the steps have waited for long. On busy workers, steps that need no call take whatever becomes
    /// free.
    pub(super) fn keep_asked_room(&self, steps: &[ReadyStep], pools: &mut WorkerPools, now: Time) {
        let keeps = |step: &&ReadyStep| {
            let is_long_wait = step.waiting_since + KEPT_ROOM_WAIT <= now;
            step.is_long_running && step.turn != Turn::Move && is_long_wait
        };
        for ready in steps.iter().filter(keeps) {
            if let Some(pool) = self.pool_of(ready.job, pools) {
                self.keep_room(ready, pool, now);
            }
        }
    }

    /// Keeps room on the workers that the call of a step names until the call is answered: as much as
    /// its tasks are expected to need, since the adviser denies some of the workers. Each response
    /// excludes or starts something, and none is expected after a lost call.
    pub(super) fn keep_room(&self, ready: &ReadyStep, pool: &mut WorkerPool, now: Time) {
        let job = &self.jobs[ready.job];
        if job.steps[ready.step].tickets.is_call_lost() {
            return;
        }
        let demand = self.step_demand(ready.job, ready.step);
        let Some(ready) = &self.within_cap(ready) else {
            return;
        };
        let share = self.allowed_share(&job.spec.policy.queue);
        let mut wanted = ready.tasks as f64;
        for worker in self.asked_workers(ready.job, ready.step) {
            let Some(index) = pool.index(worker) else {
                continue;
            };
            if wanted <= 0.0 {
                break;
            }
            if self.room_on(&demand, &pool.candidates[index]).is_err() {
                continue;
            }
            pool.reserve(index, demand.charge, 1);
            wanted -= match self.access(&demand, worker, now) {
                Access::Unknown => share,
                _ => 1.0,
            };
        }
    }

    /// Returns the workers that the adviser can be asked about, unordered, and the capacity that counts
    /// for the step.
    fn advice_options(
        &self,
        ready: &ReadyStep,
        demand: &StepDemand,
        pool: &WorkerPool,
        now: Time,
    ) -> (Vec<Choice>, StepCapacity) {
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let share = self.allowed_share(&job.spec.policy.queue);
        let is_first_of_gang = is_first_call_of_gang(job, ready);
        let asks_ahead = ready.asks_ahead(spec);
        let mut options = Vec::new();
        let mut granted = 0.0;
        let mut likely = 0.0;
        // Each step begins elsewhere, so that those of one round don't all ask about the same workers.
        let roomy = pool.with_cpu(demand.charge);
        let first = job.id.as_u64() as usize % roomy.max(1);
        let full = if is_first_of_gang || asks_ahead {
            roomy..pool.candidates.len()
        } else {
            roomy..roomy
        };
        for place in (first..roomy).chain(0..first).chain(full) {
            let is_enough = options.len() >= MAX_OPTIONS && !spec.gang;
            if is_enough && likely >= ready.tasks as f64 * CAPACITY_MARGIN {
                break;
            }
            let index = pool.nth_by_cpu(place);
            let candidate = &pool.candidates[index];
            let fits = match self.room_on(demand, candidate) {
                Ok(fits) => fits as f64,
                Err(obstacle) if is_first_of_gang && !obstacle.is_permanent() => 0.0,
                Err(Obstacle::Capacity)
                    if asks_ahead && self.fits_when_idle(demand, candidate.key, now) > 0 =>
                {
                    0.0
                }
                Err(_) => continue,
            };
            let chance = match self.access(demand, candidate.key, now) {
                Access::Denied => continue,
                Access::Open | Access::Ticket => {
                    granted += fits;
                    continue;
                }
                Access::Expired => 1.0,
                Access::Unknown => share,
            };
            likely += fits * chance;
            options.push(Choice {
                index,
                fits,
                chance,
            });
        }
        let expected = granted + likely;
        (options, StepCapacity { granted, expected })
    }

    /// Chooses those of the workers that the next calls name, best first.
    fn choose_options(
        &self,
        ready: &ReadyStep,
        options: Vec<Choice>,
        granted: f64,
        pool: &WorkerPool,
    ) -> Vec<Choice> {
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let options = options.into_iter();
        let ranked = options.map(|choice| {
            let rank = self.rank(&pool.candidates[choice.index], ready, spec);
            (choice, rank)
        });
        let mut ranked: Vec<(Choice, CandidateRank)> = ranked.collect();
        let compare = |(a, a_rank): &(Choice, CandidateRank),
                       (b, b_rank): &(Choice, CandidateRank)| {
            let capacity_order = if spec.gang {
                b.fits.total_cmp(&a.fits)
            } else {
                Ordering::Equal
            };
            (b.fits > 0.0)
                .cmp(&(a.fits > 0.0))
                .then(b.chance.total_cmp(&a.chance))
                .then(capacity_order)
                .then_with(|| a_rank.cmp(b_rank))
        };
        let most = if spec.gang {
            MAX_GANG_WORKERS
        } else {
            MAX_CALL_WORKERS
        };
        // With thousands of workers most of the cost of a call would be the order of those that it
        // does not name.
        if ranked.len() > most {
            ranked.select_nth_unstable_by(most, compare);
            ranked.truncate(most);
        }
        ranked.sort_unstable_by(compare);
        let step = &job.steps[ready.step];
        let factor = 1_u32 << step.tickets.calls_without_start.min(MAX_CALL_DOUBLINGS);
        let wanted = ready.tasks as f64 * CAPACITY_MARGIN * f64::from(factor);
        let min_workers = MIN_CALL_WORKERS * factor as usize;
        let affordable = job.spec.policy.advice.map_or(0, affordable_workers);
        let max_ahead = affordable.max(MIN_CALL_WORKERS);
        let is_first_of_gang = is_first_call_of_gang(job, ready);
        let mut requested = granted;
        let mut count = 0;
        let is_needed = |choice: &Choice| {
            let is_enough = if is_first_of_gang {
                requested >= wanted && count >= MAX_CALL_WORKERS
            } else if choice.fits > 0.0 {
                requested >= wanted && count >= min_workers
            } else {
                requested >= wanted || count >= max_ahead
            };
            requested += choice.fits * choice.chance;
            count += 1;
            !is_enough
        };
        let chosen = ranked.into_iter().map(|(choice, _)| choice);
        chosen.take_while(is_needed).collect()
    }
}

/// Spreads the tasks that a step is expected to place over the workers that its call names.
fn name_workers(
    choices: &[Choice],
    tasks: usize,
    charge: Resources,
    pool: &WorkerPool,
) -> Vec<NamedWorker> {
    let tasks = tasks as f64;
    let expected = |choice: &Choice| choice.fits.min(tasks) * choice.chance;
    let total: f64 = choices.iter().map(expected).sum();
    let share = (tasks * CAPACITY_MARGIN / total.max(f64::MIN_POSITIVE)).min(1.0);
    let to_named = |choice: &Choice| NamedWorker {
        key: pool.candidates[choice.index].key,
        load: charge.scaled(expected(choice) * share),
        has_capacity: choice.fits > 0.0,
    };
    choices.iter().map(to_named).collect()
}
