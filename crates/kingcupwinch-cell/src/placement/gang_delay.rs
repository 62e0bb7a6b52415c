//! Gangs that have room on several racks only, and the racks that they wait for.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::better_places::scaled;
use super::delay::{DelayDecision, PlaceChoice};
use super::{ReadyStep, WorkerPool};
use crate::advice::Verdict;
use crate::cell::Cell;
use crate::end_rate::EndForecast;
use crate::fit::StepDemand;
use crate::mechanism::Mechanism;

/// The workers of a rack that a gang may use.
#[derive(Debug, Default)]
struct Rack {
    candidates: Vec<usize>,
    /// The number of members for which there is room now, and with nothing else running there.
    room: u64,
    idle_room: u64,
    /// The pace of the slowest worker.
    pace: f64,
    forecast: EndForecast,
    /// When the first ticket expires.
    usable_until: Option<Time>,
}

impl Cell {
    /// Sets the run time of a gang on several racks as a multiple of that on one rack. Without it, gangs
    /// don't wait for a rack.
    pub fn with_far_factor(mut self, factor: Option<f64>) -> Self {
        self.run_times.far_factor = factor;
        self
    }

    /// Returns the workers of the rack that a gang waits for, or `None` if it starts on the chosen ones.
    pub(super) fn awaited_rack(
        &mut self,
        ready: &ReadyStep,
        demand: &StepDemand,
        chosen: &[usize],
        pool: &mut WorkerPool,
        now: Time,
    ) -> Option<Vec<usize>> {
        let factor = self.run_times.far_factor.filter(|factor| *factor > 1.0)?;
        let job = &self.jobs[ready.job];
        let spec = job.step_spec(ready.step);
        let decides = self.uses(Mechanism::DelayScheduling) && spec.same_rack;
        if !decides || demand.charge.cpu == 0 {
            return None;
        }
        let rack_of = |candidate: &usize| self.rack(pool.candidates[*candidate].key);
        let first = rack_of(chosen.first()?);
        if chosen.iter().all(|candidate| rack_of(candidate) == first) {
            return None;
        }
        let step = &job.steps[ready.step];
        let policy = &job.spec.policy;
        let work = self.run_times.longest_task(policy, spec, &step.work);
        let rest = step.critical_path - work;
        let pace = chosen.iter().map(|index| pool.candidates[*index].pace);
        let here = scaled(work, pace.fold(0.0, f64::max) * factor) + rest;
        let ahead = pool.places.awaited;
        let tasks = chosen.len() as u64;
        let racks = self.racks(demand, pool, now).into_values();
        let choices = racks.filter(|rack| rack.idle_room >= tasks).map(|rack| {
            let missing = tasks.saturating_sub(rack.room).max(1);
            let cpu = demand.charge.cpu.saturating_mul(missing);
            let choice = PlaceChoice {
                here,
                better: scaled(work, rack.pace) + rest,
                expected_wait: rack.forecast.wait(cpu.saturating_add(ahead) as f64),
                objective: step.objective,
                late_limit: step.late_limit,
                until: step.wait.delay.until,
                usable_until: rack.usable_until,
            };
            (choice, cpu, rack)
        });
        let total = |choice: &PlaceChoice| choice.expected_wait.unwrap_or(here) + choice.better;
        let (choice, cpu, rack) = choices.min_by_key(|(choice, ..)| total(choice))?;
        let decision = choice.decide(now);
        let age: Span = rack.forecast.age(now);
        self.note_decision(ready, (&choice, decision), (age, ahead), now);
        if matches!(decision, DelayDecision::Start(_)) {
            return None;
        }
        pool.places.awaited = ahead.saturating_add(cpu);
        Some(rack.candidates)
    }

    /// Returns the racks with the workers on which members of a gang may start without a call to the
    /// adviser.
    fn racks(&self, demand: &StepDemand, pool: &WorkerPool, now: Time) -> BTreeMap<Arc<str>, Rack> {
        let tickets = &self.jobs[demand.job].steps[demand.step].tickets;
        let mut racks: BTreeMap<Arc<str>, Rack> = BTreeMap::new();
        for (index, candidate) in pool.candidates.iter().enumerate() {
            let idle_room = self.fits_when_idle(demand, candidate.key, now);
            let is_usable = idle_room > 0 && !candidate.is_quarantined;
            let is_granted = self.access(demand, candidate.key, now).is_granted();
            let Some(name) = self.rack(candidate.key).filter(|_| is_usable && is_granted) else {
                continue;
            };
            let rack = racks.entry(Arc::clone(name)).or_default();
            rack.candidates.push(index);
            rack.room += self.room_on(demand, candidate).unwrap_or(0);
            rack.idle_room = rack.idle_room.saturating_add(idle_room);
            rack.pace = rack.pace.max(candidate.pace);
            self.add_to_forecast(&mut rack.forecast, candidate.key, now);
            if let Some(Verdict::Allowed { expires, .. }) = tickets.verdict(candidate.key) {
                let first = rack.usable_until.unwrap_or(*expires);
                rack.usable_until = Some(first.min(*expires));
            }
        }
        racks
    }
}
