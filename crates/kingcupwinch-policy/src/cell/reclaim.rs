//! Taking lent capacity back: by throttle, else by checkpoint, else by stop.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use super::victims::Claimant;
use crate::decision::Decision;
use crate::key::{MachineKey, TaskKey};
use crate::resources::{Dimension, Resources};
use crate::task::{Asked, Claim, Phase};

/// How long a claim waits for others to leave.
pub(super) const CLAIM_LIFE: Span = Span::from_secs(5);
/// How long urgent work waits for others to end before it takes capacity back.
const URGENT_PATIENCE: Span = Span::from_millis(100);
/// How long other work does.
const PATIENCE: Span = Span::from_secs(5);
/// The wait between two searches for capacity to take back, by a class that isn't urgent.
const CALM: Span = Span::from_secs(1);
/// The same for a starved class, and for an urgent one whose search was in vain.
const SHORT_CALM: Span = Span::from_millis(50);
/// One machine in this many may have a claim of work that isn't urgent.
const CLAIMED_PART: usize = 32;
/// The same of a starved class.
const STARVED_PART: usize = 8;
/// The time between two tries to give throttled tasks their share back.
const RELIEF_EVERY: Span = Span::from_millis(100);

impl Cell {
    /// Clears a machine for a task if others hold capacity that is due to it; whether it has a claim.
    pub(super) fn take_back(
        &mut self,
        key: TaskKey,
        need: &Resources,
        now: Time,
        out: &mut Vec<Decision>,
    ) -> bool {
        if !self.may_take_back(key, now) {
            return false;
        }
        let claimant = self.claimant_of(key, need);
        let class = &mut self.classes[self.tasks[key].spec.class.index()];
        let urgent = class.is_urgent();
        let rest = if urgent || class.is_starved() {
            SHORT_CALM
        } else {
            CALM
        };
        class.calm = now + rest;
        class.wake_at(now + rest);
        let found = self.cheapest(&claimant, need, now);
        let found = found.or_else(|| self.soonest(&claimant, need, now));
        let Some((machine, victims)) = found else {
            return false;
        };
        if urgent {
            self.classes[claimant.class].calm = now;
        }
        self.claim(key, need, machine, now);
        for victim in victims {
            self.ask(victim.task, victim.means, now, out);
        }
        true
    }

    /// Whether a task has waited long enough, or is bound to, and its class may search again. If not,
    /// the class is tried again in time.
    fn may_take_back(&mut self, key: TaskKey, now: Time) -> bool {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        let urgent = class.is_urgent();
        let starved = class.is_starved();
        let patience = if urgent || starved {
            URGENT_PATIENCE
        } else {
            PATIENCE
        };
        let part = if starved { STARVED_PART } else { CLAIMED_PART };
        let due = (task.submitted + patience).max(class.calm);
        let bound_to_wait = urgent && class.calm <= now && class.likely_wait() > patience;
        let crowded = !urgent && self.claims.len() > self.fleet.len() / part;
        if (due <= now || bound_to_wait) && !crowded {
            return true;
        }
        let due = if crowded { now + SHORT_CALM } else { due };
        class.wake_at(due);
        false
    }

    fn claimant_of(&self, key: TaskKey, need: &Resources) -> Claimant {
        let task = &self.tasks[key];
        let class = self.class_of(task);
        let capacity = self.fleet.capacity();
        let customer = &self.customers[task.spec.customer.index()];
        let active = self.customers.iter().filter(|c| c.is_active());
        let weights: f64 = active.map(|c| c.spec.weight).sum();
        let fair = 1.0 / weights;
        let after = customer.used.plus(need).dominant_share(capacity) / customer.spec.weight;
        Claimant {
            band: class.spec.band,
            starved: class.is_starved(),
            fair: (after <= fair).then_some(fair),
            class: task.spec.class.index(),
        }
    }

    fn claim(&mut self, key: TaskKey, need: &Resources, machine: MachineKey, now: Time) {
        if let Phase::Queued(rank) = self.tasks[key].phase {
            let class = self.tasks[key].spec.class.index();
            self.classes[class].queue.remove(rank);
        }
        let until = now + CLAIM_LIFE;
        self.tasks[key].phase = Phase::Claiming(Claim { machine, until });
        self.claims.insert((until, key));
        self.fleet.claim(machine, key, *need);
    }

    /// Asks the movable work of lower bands on a machine to leave.
    pub(super) fn clear(
        &mut self,
        machine: MachineKey,
        band: u8,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let claimant = Claimant {
            band,
            starved: false,
            fair: None,
            class: usize::MAX,
        };
        let Some(running) = self.fleet.get(machine).map(|m| &m.running) else {
            return;
        };
        let victims = self.offers(running, &claimant, |t, r| self.leave_of(t, r, now));
        for victim in victims {
            self.ask(victim.task, victim.means, now, out);
        }
    }

    /// Gives throttled tasks their whole share back where it is free again.
    pub(super) fn restore_shares(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.relief.is_empty() || self.relief_due > now {
            return;
        }
        self.relief_due = now + RELIEF_EVERY;
        for machine in std::mem::take(&mut self.relief) {
            let Some(m) = self.fleet.get(machine) else {
                continue;
            };
            let running: SmallVec<[TaskKey; 16]> = m.running.iter().copied().collect();
            for key in running {
                self.restore(key, now, out);
            }
            if self.fleet.get(machine).is_some_and(|m| m.throttled > 0) {
                self.relief.insert(machine);
            }
        }
    }

    fn restore(&mut self, key: TaskKey, now: Time, out: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        let Some(run) = task.run().copied().filter(|r| r.asked == Asked::Throttled) else {
            return;
        };
        let whole = self.charge_of(task).get(Dimension::Millicores);
        let missing = whole.saturating_sub(run.charge.get(Dimension::Millicores));
        let free = self
            .fleet
            .get(run.machine)
            .map_or(Resources::ZERO, super::super::machine::Machine::free);
        let extra = Resources::ZERO.with(Dimension::Millicores, missing);
        if !extra.fits(&free)
            || !self.within_budget(key, run.machine, &extra, now)
            || !self.within_lids(key, &extra, 0)
        {
            return;
        }
        self.recharge(key, Dimension::Millicores, whole);
        self.set_asked(key, &run, Asked::Nothing, now);
        self.counters.throttles += 1;
        let target = self.placement(key, &run);
        out.push(Decision::Throttle { target, percent: 0 });
    }
}
