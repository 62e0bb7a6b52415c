//! Faster workers that are not free, as alternatives to slower ones that are.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::delay::{DelayDecision, PlaceChoice};
use super::pool::pace_band;
use super::{ReadyStep, Turn, WorkerPool};
use crate::advice::{Verdict, call_time};
use crate::cell::Cell;
use crate::end_rate::EndForecast;
use crate::event::{CellEvent, StartDelay};
use crate::fit::{Access, StepDemand};
use crate::job::JobKey;
use crate::mechanism::Mechanism;
use crate::worker::WorkerKey;

/// The wait of the tasks of a step for better workers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StepDelay {
    /// When the tasks start on other workers at the latest.
    pub(super) until: Option<Time>,
    /// Whether a decision to wait, and one to start, was reported.
    has_waited: bool,
    has_started: bool,
}

/// The workers of one band of the pace, free or not.
#[derive(Debug)]
struct PlaceClass {
    band: i64,
    /// The pace of the slowest of them.
    pace: f64,
    workers: usize,
    forecast: EndForecast,
}

/// The workers of one band of the pace that have room for a step.
#[derive(Debug, Clone, Copy)]
struct FreePlaces {
    band: i64,
    /// The pace of the slowest of them.
    pace: f64,
    /// The number of tasks for which they have room, as far as the adviser is expected to allow them.
    tasks: f64,
}

/// The workers of a service in bands of the pace, by the label that a step requires.
#[derive(Debug, Default)]
pub(super) struct BetterPlaces {
    classes: FxHashMap<Option<Arc<str>>, Arc<[PlaceClass]>>,
    /// The CPU of the tasks that wait for better places in this round so far, in thousandths of a core.
    pub(super) awaited: u64,
}

/// How the adviser limits the use of a class of workers.
#[derive(Debug, Clone, Copy)]
struct Usability {
    /// The share of the workers that the step may use.
    share: f64,
    /// When the last ticket expires, if the step holds any for these workers.
    until: Option<Time>,
    /// How long a call takes that has to come before a start.
    call: Span,
}

impl Cell {
    /// Returns when a run that is placed now is expected to end, or zero if that is not needed.
    pub(crate) fn expected_end(
        &self,
        key: JobKey,
        slot: usize,
        worker: WorkerKey,
        now: Time,
    ) -> Time {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        if !self.uses(Mechanism::DelayScheduling) || spec.long_running {
            return Time::ZERO;
        }
        let work = &job.steps[slot].work;
        let work = self.run_times.task(&job.spec.policy, spec, work);
        now + scaled(work, self.worker_pace(worker, now))
    }

    /// Returns the pace (observed over expected run time) of the slowest worker on which tasks of a step
    /// start in this round. With delay scheduling, tasks wait for faster workers as long as it pays.
    pub(super) fn slowest_pace(
        &mut self,
        ready: &ReadyStep,
        demand: &StepDemand,
        pool: &mut WorkerPool,
        now: Time,
    ) -> f64 {
        let spec = self.jobs[ready.job].step_spec(ready.step);
        // Gangs need many workers at once, and best-effort tasks take no CPU that becomes free.
        let is_exempt = spec.gang || spec.long_running || demand.charge.cpu == 0;
        let has_bands = pool
            .paces
            .is_some_and(|paces| pace_band(paces.fastest) < pace_band(paces.slowest));
        let decides = self.uses(Mechanism::DelayScheduling) && ready.turn == Turn::Start;
        if !decides || is_exempt || !has_bands {
            return ready.slowest_pace;
        }
        let free = self.free_places(demand, pool, now);
        let classes = self.place_classes(spec.required_label.clone(), pool, now);
        let mut limit = ready.slowest_pace;
        let mut waits = false;
        for (nth, place) in free.iter().enumerate() {
            // If this place is used, so are the faster ones.
            let admitted = if nth == 0 {
                ready.slowest_pace
            } else {
                place.pace
            };
            let faster_room: f64 = free[nth + 1..].iter().map(|faster| faster.tasks).sum();
            let waiting = (ready.tasks as f64 - faster_room).max(0.0).ceil() as u64;
            let ahead = pool.places.awaited;
            let cpu = demand.charge.cpu.saturating_mul(waiting);
            let better = classes.iter().filter(|class| class.band < place.band);
            let choices = better.map(|class| {
                let usability = self.usability(ready, class, pool, now);
                let needed = cpu.saturating_add(ahead) as f64 / usability.share;
                let expected_wait = if waiting == 0 {
                    Some(Span::ZERO)
                } else {
                    class.forecast.wait(needed)
                };
                (
                    self.place_choice(ready, place, class, usability, expected_wait),
                    class,
                )
            });
            let total = |choice: &PlaceChoice| {
                let wait = choice.expected_wait.unwrap_or(choice.here);
                wait + choice.better
            };
            let Some((choice, class)) = choices.min_by_key(|(choice, _)| total(choice)) else {
                return admitted;
            };
            // With room for all on faster workers there is nothing to wait for.
            if waiting == 0 {
                if choice.here <= choice.better {
                    return admitted;
                }
                limit = class.pace;
                continue;
            }
            let decision = choice.decide(now);
            let age = class.forecast.age(now);
            self.note_decision(ready, (&choice, decision), (age, ahead), now);
            if matches!(decision, DelayDecision::Start(_)) {
                return admitted;
            }
            if !waits {
                pool.places.awaited = ahead.saturating_add(cpu);
                waits = true;
            }
            limit = class.pace;
        }
        limit
    }

    /// Returns the workers with room for a step by bands of the pace, the slowest first.
    fn free_places(
        &self,
        demand: &StepDemand,
        pool: &WorkerPool,
        now: Time,
    ) -> SmallVec<[FreePlaces; 8]> {
        let share = self.allowed_share(&self.jobs[demand.job].spec.policy.queue);
        let mut free: SmallVec<[FreePlaces; 8]> = SmallVec::new();
        for place in 0..pool.with_cpu(demand.charge) {
            let candidate = &pool.candidates[pool.nth_by_cpu(place)];
            let Ok(room) = self.room_on(demand, candidate) else {
                continue;
            };
            let tasks = match self.access(demand, candidate.key, now) {
                Access::Denied => continue,
                Access::Unknown => room as f64 * share,
                Access::Open | Access::Ticket | Access::Expired => room as f64,
            };
            let same = |known: &&mut FreePlaces| known.band == candidate.pace_band;
            match free.iter_mut().find(same) {
                Some(known) => {
                    known.tasks += tasks;
                    known.pace = known.pace.max(candidate.pace);
                }
                None => free.push(FreePlaces {
                    band: candidate.pace_band,
                    pace: candidate.pace,
                    tasks,
                }),
            }
        }
        free.sort_by_key(|places| std::cmp::Reverse(places.band));
        free
    }

    /// Returns the workers with a label by bands of the pace, computed once in a round.
    fn place_classes(
        &self,
        label: Option<Arc<str>>,
        pool: &mut WorkerPool,
        now: Time,
    ) -> Arc<[PlaceClass]> {
        if let Some(known) = pool.places.classes.get(&label) {
            return Arc::clone(known);
        }
        let mut classes: Vec<PlaceClass> = Vec::new();
        for candidate in &pool.candidates {
            let worker = &self.workers[candidate.key];
            let labels = &worker.registration.labels;
            let has_label = label.as_ref().is_none_or(|label| labels.contains(label));
            if !has_label || candidate.is_quarantined {
                continue;
            }
            let band = candidate.pace_band;
            let known = classes.iter().position(|class| class.band == band);
            let index = known.unwrap_or_else(|| {
                classes.push(PlaceClass {
                    band,
                    pace: candidate.pace,
                    workers: 0,
                    forecast: EndForecast::default(),
                });
                classes.len() - 1
            });
            let class = &mut classes[index];
            class.workers += 1;
            class.pace = class.pace.max(candidate.pace);
            self.add_to_forecast(&mut class.forecast, candidate.key, now);
        }
        let classes: Arc<[PlaceClass]> = classes.into();
        pool.places.classes.insert(label, Arc::clone(&classes));
        classes
    }

    /// Adds the ends of a worker's runs to a forecast.
    pub(super) fn add_to_forecast(&self, forecast: &mut EndForecast, key: WorkerKey, now: Time) {
        let worker = &self.workers[key];
        forecast.add_worker(&worker.end_rate, now);
        for run in worker.runs.iter().map(|run| &self.runs[*run]) {
            let job = &self.jobs[run.job];
            let charge = job.step_spec(job.slot(run.name)).charged_resources();
            forecast.add_run(charge.cpu, run.expected_end, now);
        }
    }

    /// Returns how the adviser limits the use of a class of workers by a step.
    fn usability(
        &self,
        ready: &ReadyStep,
        class: &PlaceClass,
        pool: &WorkerPool,
        now: Time,
    ) -> Usability {
        let job = &self.jobs[ready.job];
        let Some(cost) = job.spec.policy.advice else {
            return Usability {
                share: 1.0,
                until: None,
                call: Span::ZERO,
            };
        };
        let tickets = &job.steps[ready.step].tickets;
        let in_class = |worker: &WorkerKey| {
            let index = pool.index(*worker);
            index.is_some_and(|index| pool.candidates[index].pace_band == class.band)
        };
        let mut held = 0;
        let mut until = None;
        for worker in tickets.allowed_workers(now).filter(in_class) {
            held += 1;
            if let Some(Verdict::Allowed { expires, .. }) = tickets.verdict(worker) {
                until = until.max(Some(*expires));
            }
        }
        if held > 0 {
            return Usability {
                share: f64::from(held) / class.workers.max(1) as f64,
                until,
                call: Span::ZERO,
            };
        }
        Usability {
            share: self.allowed_share(&job.spec.policy.queue),
            until: None,
            call: call_time(&cost, class.workers),
        }
    }

    fn place_choice(
        &self,
        ready: &ReadyStep,
        place: &FreePlaces,
        class: &PlaceClass,
        usability: Usability,
        expected_wait: Option<Span>,
    ) -> PlaceChoice {
        let job = &self.jobs[ready.job];
        let step = &job.steps[ready.step];
        let spec = job.step_spec(ready.step);
        let work = self
            .run_times
            .longest_task(&job.spec.policy, spec, &step.work);
        let rest = step.critical_path - work;
        PlaceChoice {
            here: scaled(work, place.pace) + rest,
            better: scaled(work, class.pace) + usability.call + rest,
            expected_wait,
            objective: step.objective,
            late_limit: step.late_limit,
            until: step.wait.delay.until,
            usable_until: usability.until,
        }
    }

    /// Stores the deadline of a wait, and reports the first decision of each kind for the tasks that wait.
    /// `rate_age` is the age of the rate, `ahead` the CPU for which other steps wait.
    pub(super) fn note_decision(
        &mut self,
        ready: &ReadyStep,
        (choice, decision): (&PlaceChoice, DelayDecision),
        (rate_age, ahead): (Span, u64),
        now: Time,
    ) {
        let job = &mut self.jobs[ready.job];
        let delay = &mut job.steps[ready.step].wait.delay;
        let (outcome, until, reported) = match decision {
            DelayDecision::Wait(until) => {
                delay.until = Some(until);
                ("wait", Some(until), &mut delay.has_waited)
            }
            DelayDecision::Start(cause) => (cause.as_str(), None, &mut delay.has_started),
        };
        if std::mem::replace(reported, true) {
            return;
        }
        let report = StartDelay {
            step: job.task_name(ready.step, 0).step_name(),
            queue: Arc::clone(&job.spec.policy.queue),
            tasks: ready.tasks,
            outcome,
            deadline_in: until.map(|until| until - now),
            here: choice.here,
            better: choice.better,
            expected_wait: choice.expected_wait,
            rate_age,
            ahead,
            objective_in: choice.objective - now,
            is_logged: self.delay_budget.take(now),
        };
        self.push_event(CellEvent::StartDelayed(report));
    }
}

/// Returns a multiple of a span.
pub(super) fn scaled(span: Span, factor: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * factor) as u64)
}
