//! Reclaims lent capacity by throttling, else by checkpointing, else by stopping tasks.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use super::victims::Claimant;
use crate::decision::Decision;
use crate::key::{MachineKey, TaskKey};
use crate::resources::{Dimension, Resources};
use crate::task::{Claim, Phase, ReclaimState};

/// Lifetime of a claim while other tasks leave the machine.
pub(super) const CLAIM_LIFETIME: Span = Span::from_secs(5);
/// How long urgent or starved tasks wait for free capacity before they reclaim some.
const URGENT_RECLAIM_DELAY: Span = Span::from_millis(100);
/// How long other tasks wait.
const RECLAIM_DELAY: Span = Span::from_secs(5);
/// Delay between two reclaim searches of a class that is neither urgent nor starved.
const COOLDOWN: Span = Span::from_secs(1);
/// Delay for a starved class, or for an urgent class whose search failed.
const SHORT_COOLDOWN: Span = Span::from_millis(50);
/// Tasks that are not urgent may claim at most one machine in this many.
const CLAIM_RATIO: usize = 32;
/// Limit for tasks of a starved class.
const STARVED_CLAIM_RATIO: usize = 8;
/// Interval between two attempts to restore the processor share of throttled tasks.
const UNTHROTTLE_INTERVAL: Span = Span::from_millis(100);

impl Cell {
    /// Claims a machine for a task if other tasks hold capacity that is due to it, and asks them to
    /// give it back. Returns whether the task now has a claim.
    pub(super) fn reclaim(
        &mut self,
        key: TaskKey,
        need: &Resources,
        now: Time,
        out: &mut Vec<Decision>,
    ) -> bool {
        if !self.may_reclaim(key, now) {
            return false;
        }
        let claimant = self.claimant_of(key, need);
        let class = &mut self.classes[self.tasks[key].spec.class.index()];
        let urgent = class.is_urgent();
        let pause = if urgent || class.is_starved() {
            SHORT_COOLDOWN
        } else {
            COOLDOWN
        };
        class.cooldown = now + pause;
        class.wake_at(now + pause);
        let found = self.cheapest_machine(&claimant, need, now);
        let found = found.or_else(|| self.soonest_machine(&claimant, need, now));
        let Some((machine, victims)) = found else {
            return false;
        };
        if urgent {
            self.classes[claimant.class].cooldown = now;
        }
        self.claim(key, need, machine, now);
        for victim in victims {
            self.request_reclaim(victim.task, victim.action, now, out);
        }
        true
    }

    /// Returns whether a task has waited long enough, or is expected to, and its class may search
    /// again. Otherwise schedules the next try of the class.
    fn may_reclaim(&mut self, key: TaskKey, now: Time) -> bool {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        let urgent = class.is_urgent();
        let starved = class.is_starved();
        let delay = if urgent || starved {
            URGENT_RECLAIM_DELAY
        } else {
            RECLAIM_DELAY
        };
        let ratio = if starved {
            STARVED_CLAIM_RATIO
        } else {
            CLAIM_RATIO
        };
        let due = (task.submitted + delay).max(class.cooldown);
        let will_wait = urgent && class.cooldown <= now && class.expected_wait() > delay;
        let at_limit = !urgent && self.claims.len() > self.fleet.len() / ratio;
        if (due <= now || will_wait) && !at_limit {
            return true;
        }
        let due = if at_limit { now + SHORT_COOLDOWN } else { due };
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
        let fair_share = 1.0 / weights;
        let after = customer.used.plus(need).dominant_share(capacity) / customer.spec.weight;
        Claimant {
            band: class.spec.band,
            starved: class.is_starved(),
            fair_share: (after <= fair_share).then_some(fair_share),
            class: task.spec.class.index(),
        }
    }

    fn claim(&mut self, key: TaskKey, need: &Resources, machine: MachineKey, now: Time) {
        if let Phase::Queued(rank) = self.tasks[key].phase {
            let class = self.tasks[key].spec.class.index();
            self.classes[class].queue.remove(rank);
        }
        let expires = now + CLAIM_LIFETIME;
        self.tasks[key].phase = Phase::Claiming(Claim { machine, expires });
        self.claims.insert((expires, key));
        self.fleet.claim(machine, key, *need);
    }

    /// Asks the movable tasks of lower-priority bands on a machine to leave.
    pub(super) fn preempt_on(
        &mut self,
        machine: MachineKey,
        band: u8,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let claimant = Claimant {
            band,
            starved: false,
            fair_share: None,
            class: usize::MAX,
        };
        let Some(running) = self.fleet.get(machine).map(|m| &m.running) else {
            return;
        };
        let victims =
            self.preemption_offers(running, &claimant, |t, r| self.eviction_offer(t, r, now));
        for victim in victims {
            self.request_reclaim(victim.task, victim.action, now, out);
        }
    }

    /// Restores the full processor share of throttled tasks where it is free again.
    pub(super) fn unthrottle_tasks(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.unthrottle.is_empty() || self.unthrottle_due > now {
            return;
        }
        self.unthrottle_due = now + UNTHROTTLE_INTERVAL;
        for machine in std::mem::take(&mut self.unthrottle) {
            let Some(m) = self.fleet.get(machine) else {
                continue;
            };
            let running: SmallVec<[TaskKey; 16]> = m.running.iter().copied().collect();
            for key in running {
                self.unthrottle_task(key, now, out);
            }
            if self.fleet.get(machine).is_some_and(|m| m.throttled > 0) {
                self.unthrottle.insert(machine);
            }
        }
    }

    fn unthrottle_task(&mut self, key: TaskKey, now: Time, out: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        let Some(run) = task
            .run()
            .copied()
            .filter(|r| r.reclaim == ReclaimState::Throttled)
        else {
            return;
        };
        let whole = self.corrected_size(task).get(Dimension::Millicores);
        let missing = whole.saturating_sub(run.allocated.get(Dimension::Millicores));
        let free = self
            .fleet
            .get(run.machine)
            .map_or(Resources::ZERO, super::super::machine::Machine::free);
        let extra = Resources::ZERO.with(Dimension::Millicores, missing);
        if !extra.fits(&free)
            || !self.within_budget(key, run.machine, &extra, now)
            || !self.within_limits(key, &extra, 0)
        {
            return;
        }
        self.resize(key, Dimension::Millicores, whole);
        self.set_reclaim(key, &run, ReclaimState::None, now);
        self.counters.throttles += 1;
        let target = self.placement(key, &run);
        out.push(Decision::Throttle { target, percent: 0 });
    }
}
