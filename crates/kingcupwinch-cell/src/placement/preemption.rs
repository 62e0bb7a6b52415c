//! Preemption: tasks of less urgent queues are stopped for a more urgent step that can still be in time
//! and finds no room.
//!
//! Only tasks are stopped whose jobs can still be in time after a restart, or are worth nothing any
//! more, and no members of gangs or long-running tasks. Those that lose the least work are first. The
//! work lost stays below that of the step, and within a budget.

use std::cmp::Reverse;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use super::moves::KeptPlace;
use super::ready::{ObjectiveStatus, ReadyStep};
use super::{WorkerPool, WorkerPools};
use crate::cell::Cell;
use crate::event::{CellEvent, StepPreempts};
use crate::fit::{Obstacle, StepDemand};
use crate::job::TaskState;
use crate::mechanism::Mechanism;
use crate::run::{RunKey, RunState};
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// How long a stop may take. The platform lets it take up to 0.9 s.
const STOP_TIME: Span = Span::from_millis(900);
/// How long a step waits before tasks are stopped for it: the time of a call to the adviser, in which
/// other room may come.
const MIN_WAIT: Span = Span::from_millis(1_000);
/// How long the room of a stopped task is kept, which is as for moves.
const KEEP_TIME: Span = Span::from_millis(2_000);
/// The share of a service's CPU that may be spent on work that is then discarded. It bounds what a
/// wrong forecast costs and is not derived from what callers need.
const DISCARD_SHARE: f64 = 0.02;
/// The time over which an unused budget adds up, which is the longest burst of all callers and more.
const DISCARD_WINDOW: Span = Span::from_millis(10_000);
/// The largest number of steps that a round looks for room for, which bounds its cost.
const MAX_STEPS: usize = 8;
/// The largest number of stopped runs that an event names.
const MAX_NAMED_RUNS: usize = 8;

/// What preemption may still discard on each service.
#[derive(Debug, Default)]
pub(super) struct DiscardBudget {
    by_service: FxHashMap<Arc<str>, Allowance>,
}

/// Work that may be discarded, in core-milliseconds, as of a time.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    core_ms: u64,
    at: Time,
}

impl DiscardBudget {
    /// Adds what the time since the last call allows on a service of some cores. The first call finds
    /// the whole budget.
    fn refill(&mut self, service: &Arc<str>, cores: f64, now: Time) -> &mut u64 {
        let earned = |span: Span| (cores * DISCARD_SHARE * span.as_millis() as f64) as u64;
        let most = earned(DISCARD_WINDOW);
        let allowance = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert(Allowance {
                core_ms: most,
                at: now,
            });
        let gain = earned(now.since(allowance.at));
        if gain > 0 {
            allowance.core_ms = most.min(allowance.core_ms + gain);
            allowance.at = now;
        }
        &mut allowance.core_ms
    }
}

/// A run that may be stopped.
#[derive(Debug, Clone, Copy)]
struct Victim {
    run: RunKey,
    priority: u32,
    charge: Resources,
    /// The work that is lost, in core-milliseconds.
    lost: u64,
}

/// The runs that may be stopped on each worker, those that lose the least first.
type Victims = FxHashMap<WorkerKey, Vec<Victim>>;

/// Room for one task: a worker and the runs to stop there.
#[derive(Debug)]
struct Room {
    worker: WorkerKey,
    victims: Vec<Victim>,
    lost: u64,
}

/// Room for tasks of a step, as far as it is chosen.
#[derive(Debug, Default)]
struct Choice {
    rooms: Vec<Room>,
    stopped: FxHashSet<RunKey>,
    /// The capacity of each worker beside its runs and what is chosen.
    available: FxHashMap<WorkerKey, Resources>,
}

impl ReadyStep {
    /// Returns whether tasks may be stopped for the step: it can still be in time after a stop, and has
    /// waited for other room.
    fn may_preempt(&self, now: Time) -> bool {
        let can_wait = self.slack >= STOP_TIME.as_micros() as i64;
        self.status == ObjectiveStatus::OnTime
            && !self.is_long_running
            && can_wait
            && self.waiting_since + MIN_WAIT <= now
    }
}

impl Choice {
    /// Finds the room for one more task that loses the least work.
    fn cheapest(
        &self,
        workers: &[WorkerKey],
        victims: &Victims,
        demand: &StepDemand,
    ) -> Option<Room> {
        let rooms = workers.iter().filter_map(|worker| {
            let mut available = self.available.get(worker).copied().unwrap_or_default();
            let mut room = Room {
                worker: *worker,
                victims: Vec::new(),
                lost: 0,
            };
            let free = victims.get(worker).map_or(&[][..], Vec::as_slice);
            let free = free
                .iter()
                .filter(|victim| !self.stopped.contains(&victim.run));
            for victim in free {
                if available.task_capacity(demand.charge) > 0 {
                    break;
                }
                available.add(victim.charge);
                room.lost += victim.lost;
                room.victims.push(*victim);
            }
            (available.task_capacity(demand.charge) > 0).then_some(room)
        });
        rooms.min_by_key(|room| (room.lost, room.victims.len(), room.worker))
    }

    fn add(&mut self, room: Room, charge: Resources) {
        let available = self.available.entry(room.worker).or_default();
        for victim in &room.victims {
            available.add(victim.charge);
            self.stopped.insert(victim.run);
        }
        available.sub(charge);
        self.rooms.push(room);
    }

    fn lost(&self) -> u64 {
        self.rooms.iter().map(|room| room.lost).sum()
    }
}

impl Cell {
    /// Stops tasks for more urgent steps that found no room in this round.
    pub(super) fn preempt(&mut self, steps: &[ReadyStep], pools: &mut WorkerPools, now: Time) {
        if !self.uses(Mechanism::Preemption) {
            return;
        }
        let waiting = |step: &&ReadyStep| {
            step.may_preempt(now) && self.jobs[step.job].steps[step.step].waiting > 0
        };
        let steps: Vec<&ReadyStep> = steps.iter().filter(waiting).take(MAX_STEPS).collect();
        if steps.is_empty() {
            return;
        }
        let mut victims = self.victims(pools, now);
        for ready in steps {
            if let Some(pool) = self.pool_of(ready.job, pools) {
                self.preempt_for(ready, pool, &mut victims, now);
            }
        }
    }

    /// Returns the runs that may be stopped, whatever for.
    fn victims(&self, pools: &WorkerPools, now: Time) -> Victims {
        let mut victims = Victims::default();
        for (key, run) in &self.runs {
            if run.state != RunState::Running {
                continue;
            }
            let job = &self.jobs[run.job];
            let slot = job.slot(run.name);
            let (spec, step) = (job.step_spec(slot), &job.steps[slot]);
            let task = &step.tasks[usize::from(run.name.index)];
            let is_only = task.state == TaskState::Active(key) && task.unsettled_runs == 1;
            // A task that was interrupted before is not stopped again.
            let is_stoppable = is_only
                && !spec.gang
                && !spec.long_running
                && spec.max_unavailable == 0
                && task.interrupted_at.is_none();
            let pool = pools.by_service.get(&job.spec.policy.service);
            let slowest = pool.and_then(|pool| pool.paces).unwrap_or_default().slowest;
            let work = (step.critical_path.as_micros() as f64 * slowest) as u64;
            let restarted = now + STOP_TIME + Span::from_micros(work);
            if !is_stoppable || (restarted > step.objective && now <= step.late_limit) {
                continue;
            }
            let charge = spec.charged_resources();
            let unsaved = now.since(run.unsaved_since());
            victims.entry(run.worker).or_default().push(Victim {
                run: key,
                priority: job.spec.policy.priority,
                charge,
                lost: core_ms(charge, unsaved),
            });
        }
        for runs in victims.values_mut() {
            runs.sort_by_key(|victim| (victim.lost, Reverse(victim.charge.cpu), victim.run));
        }
        victims
    }

    /// Stops tasks for a step, if that is worth it: for all members of a gang or none, for as many
    /// tasks of another step as the budget allows.
    fn preempt_for(
        &mut self,
        ready: &ReadyStep,
        pool: &WorkerPool,
        victims: &mut Victims,
        now: Time,
    ) {
        let job = &self.jobs[ready.job];
        let (spec, step) = (job.step_spec(ready.step), &job.steps[ready.step]);
        let policy = &job.spec.policy;
        let kept = self.kept_places.iter();
        let kept: Vec<usize> = kept
            .filter_map(|place| place.index_in(ready.job, ready.step))
            .collect();
        let free: Vec<usize> = step
            .tasks
            .free(now)
            .filter(|index| !kept.contains(index))
            .collect();
        if free.is_empty() || spec.gang && !kept.is_empty() {
            return;
        }
        let demand = self
            .step_demand(ready.job, ready.step)
            .with_slowest_pace(ready.slowest_pace)
            .with_tickets_until(now + STOP_TIME);
        let mut choice = Choice::default();
        let mut workers = Vec::new();
        for candidate in &pool.candidates {
            let has_ticket = self.access(&demand, candidate.key, now).is_granted();
            let room = self.room_on(&demand, candidate);
            if has_ticket && matches!(room, Ok(_) | Err(Obstacle::Capacity)) {
                workers.push(candidate.key);
                // What waits for a gang is reserved in this round, and is its own.
                let available = if spec.gang {
                    self.workers[candidate.key].available()
                } else {
                    candidate.available
                };
                choice.available.insert(candidate.key, available);
            }
        }
        let priority = policy.priority;
        let below: Victims = workers
            .iter()
            .filter_map(|worker| Some((*worker, victims.get(worker)?)))
            .map(|(worker, runs)| {
                let runs = runs.iter().filter(|victim| victim.priority > priority);
                (worker, runs.copied().collect())
            })
            .collect();
        let work = self.run_times.task(policy, spec, &step.work);
        let gain = core_ms(demand.charge, work);
        let service = Arc::clone(&policy.service);
        let cores = pool.total_cpu() as f64 / 1_000.0;
        let budget = *self.budgets.discards.refill(&service, cores, now);
        let is_gang = spec.gang;
        for _ in &free {
            let Some(room) = choice.cheapest(&workers, &below, &demand) else {
                break;
            };
            if room.lost > gain || choice.lost() + room.lost > budget {
                break;
            }
            choice.add(room, demand.charge);
        }
        let is_whole = choice.rooms.len() == free.len();
        if choice.stopped.is_empty() || is_gang && !is_whole {
            return;
        }
        *self.budgets.discards.refill(&service, cores, now) -= choice.lost();
        for runs in victims.values_mut() {
            runs.retain(|victim| !choice.stopped.contains(&victim.run));
        }
        self.report_preemption(ready, &choice, budget - choice.lost(), now);
        for (room, index) in choice.rooms.iter().zip(free) {
            for victim in &room.victims {
                self.stop_run(victim.run);
            }
            if let Some(last) = room.victims.last() {
                let place = (ready.step, index);
                let expires = now + KEEP_TIME;
                let place = KeptPlace::new(ready.job, place, last.run, room.worker, expires);
                self.kept_places.push(place);
            }
        }
    }

    fn report_preemption(&mut self, ready: &ReadyStep, choice: &Choice, left: u64, now: Time) {
        let job = &self.jobs[ready.job];
        let runs = choice.rooms.iter().flat_map(|room| &room.victims);
        let names = runs.map(|victim| self.runs[victim.run].name);
        let ages = choice.rooms.iter();
        let ages = ages.filter_map(|room| self.workers[room.worker].response_age(now));
        self.push_event(CellEvent::StepPreempts(StepPreempts {
            step: job.task_name(ready.step, 0).step_name(),
            queue: Arc::clone(&job.spec.policy.queue),
            priority: job.spec.policy.priority,
            slack: Span::from_micros(ready.slack.unsigned_abs()),
            tasks: choice.rooms.len(),
            stopped: choice.stopped.len(),
            runs: names.take(MAX_NAMED_RUNS).collect(),
            lost_core_ms: choice.lost(),
            left_core_ms: left,
            response_age: ages.max().unwrap_or_default(),
        }));
    }
}

/// Returns the CPU of a charge over some time, in core-milliseconds.
fn core_ms(charge: Resources, time: Span) -> u64 {
    charge.cpu.saturating_mul(time.as_millis()) / 1_000
}
