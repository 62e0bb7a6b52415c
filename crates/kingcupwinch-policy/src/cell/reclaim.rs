//! Taking lent capacity back: by throttle, else by checkpoint, else by stop.

use kingcupwinch_time::{Span, Time};
use rand::Rng;
use smallvec::SmallVec;

use super::Cell;
use crate::decision::Decision;
use crate::key::{MachineKey, TaskKey};
use crate::machine::Machine;
use crate::size::{Dimension, Size};
use crate::task::{Asked, Claim, Phase, Run, Task};

/// Machines compared for one claim.
const CANDIDATES: usize = 16;
/// How long a claim waits for others to leave.
const CLAIM_LIFE: Span = Span::from_secs(5);
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
/// Racks of which the machines are compared for one that comes free by itself.
const DRAIN_RACKS: usize = 4;
/// The time between two tries to give throttled tasks their share back.
const RELIEF_EVERY: Span = Span::from_millis(100);
/// The cost of a throttle.
const THROTTLE_COST: f64 = 1.0;
/// The cost of a checkpoint.
const CHECKPOINT_COST: f64 = 10.0;
/// The cost of a stop besides the seconds of work that it loses.
const STOP_COST: f64 = 100.0;

/// How one running task gives capacity back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Means {
    Throttle(u8),
    Checkpoint,
    Stop,
}

/// One running task that gives capacity back.
#[derive(Debug, Clone, Copy)]
struct Victim {
    task: TaskKey,
    means: Means,
    gives: Size,
    cost: f64,
}

type Victims = SmallVec<[Victim; 8]>;

/// Who wants capacity back, and on what ground.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    band: u8,
    /// Its class is under its least share.
    starved: bool,
    /// The fair share of the cell for each unit of weight, if its customer is below its own.
    fair: Option<f64>,
    class: usize,
}

impl Cell {
    /// Clears a machine for a task if others hold capacity that is due to it; whether it has a claim.
    pub(super) fn take_back(
        &mut self,
        key: TaskKey,
        need: &Size,
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
            self.ask(victim.task, victim.means, out);
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

    fn claimant_of(&self, key: TaskKey, need: &Size) -> Claimant {
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

    /// Returns the machine that is cleared at the least cost, of a bounded number.
    fn cheapest(
        &mut self,
        claimant: &Claimant,
        need: &Size,
        now: Time,
    ) -> Option<(MachineKey, Victims)> {
        let mut best: Option<(f64, MachineKey, Victims)> = None;
        let count = self.fleet.movable().len();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        for i in 0..count.min(CANDIDATES) {
            let machine = self.fleet.movable()[(start + i) % count];
            let Some(victims) = self.victims_on(machine, claimant, need, now) else {
                continue;
            };
            let cost = victims.iter().map(|v| v.cost).sum();
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, machine, victims));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// Returns the machine, of a bounded number, that is expected to come free soonest for a class that
    /// is starved: short urgent work would otherwise take every piece before a large task fits.
    fn soonest(
        &mut self,
        claimant: &Claimant,
        need: &Size,
        now: Time,
    ) -> Option<(MachineKey, Victims)> {
        if !claimant.starved || self.fleet.racks().is_empty() {
            return None;
        }
        let racks = self.fleet.racks();
        let start = self.rng.random_range(0..racks.len());
        let machines = (0..racks.len().min(DRAIN_RACKS))
            .flat_map(|i| &racks[(start + i) % racks.len()].machines)
            .filter_map(|&key| Some((key, self.fleet.get(key)?)));
        let until = now + CLAIM_LIFE;
        let fitting = machines.filter(|(_, m)| {
            let open = m.keep.is_none() && m.spot.is_some();
            open && need.fits(&self.free_at(m, until))
        });
        let missing = |m: &Machine| need.minus(&m.free()).total_share(&m.spec.capacity);
        let best = fitting.min_by(|a, b| missing(a.1).total_cmp(&missing(b.1)));
        best.map(|(key, _)| (key, Victims::new()))
    }

    /// Returns the cheapest victims on a machine that make room for `need`, if there are enough.
    fn victims_on(
        &self,
        key: MachineKey,
        claimant: &Claimant,
        need: &Size,
        now: Time,
    ) -> Option<Victims> {
        let machine = self.fleet.get(key)?;
        if machine.spot.is_none() || machine.keep.is_some() {
            return None;
        }
        let mut missing = need.minus(&machine.free());
        let mut victims: Victims = SmallVec::new();
        if missing.with(Dimension::Millicores, 0).is_zero() {
            let offers = self.offers(&machine.running, claimant, |t, r| self.throttle_of(t, r));
            take_cheapest(offers, &mut missing, &mut victims);
        }
        if !missing.is_zero() {
            victims.clear();
            missing = need.minus(&machine.free());
            let offers = self.offers(&machine.running, claimant, |t, r| self.leave_of(t, r, now));
            take_cheapest(offers, &mut missing, &mut victims);
        }
        missing.is_zero().then_some(victims)
    }

    fn offers(
        &self,
        running: &[TaskKey],
        claimant: &Claimant,
        offer: impl Fn(&Task, &Run) -> Option<(Means, Size, f64)>,
    ) -> Victims {
        let mut victims = Victims::new();
        for &task in running {
            let t = &self.tasks[task];
            let Some(run) = t
                .run()
                .filter(|r| matches!(r.asked, Asked::Nothing | Asked::Throttled))
            else {
                continue;
            };
            if !self.is_movable(t) || !self.yields(t, claimant) {
                continue;
            }
            if let Some((means, gives, cost)) = offer(t, run) {
                victims.push(Victim {
                    task,
                    means,
                    gives,
                    cost,
                });
            }
        }
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        victims
    }

    /// Whether running work gives way to a claimant. Work of a class within its least share does not.
    fn yields(&self, task: &Task, claimant: &Claimant) -> bool {
        let class = self.class_of(task);
        let capacity = self.fleet.capacity();
        let lent = class.share(capacity) > class.spec.least.fraction();
        if !lent {
            return false;
        }
        if class.spec.band > claimant.band {
            return true;
        }
        if task.spec.class.index() != claimant.class && claimant.starved {
            return true;
        }
        let customer = &self.customers[task.spec.customer.index()];
        let over = claimant
            .fair
            .is_some_and(|f| customer.weighted_share(capacity) > f);
        class.spec.band == claimant.band && over
    }

    fn throttle_of(&self, task: &Task, run: &Run) -> Option<(Means, Size, f64)> {
        let percent = self.class_of(task).spec.means.throttle;
        if percent == 0 || run.asked != Asked::Nothing {
            return None;
        }
        let amount = run.charge.get(Dimension::Millicores) * u64::from(percent) / 100;
        let gives = Size::ZERO.with(Dimension::Millicores, amount);
        Some((Means::Throttle(percent), gives, THROTTLE_COST))
    }

    fn leave_of(&self, task: &Task, run: &Run, now: Time) -> Option<(Means, Size, f64)> {
        let means = self.class_of(task).spec.means;
        if means.checkpoint {
            return Some((Means::Checkpoint, run.charge, CHECKPOINT_COST));
        }
        let cost = STOP_COST + now.since(run.since).as_secs_f64();
        (means.stop && task.spec.idempotent).then_some((Means::Stop, run.charge, cost))
    }

    fn claim(&mut self, key: TaskKey, need: &Size, machine: MachineKey, now: Time) {
        if let Phase::Queued(rank) = self.tasks[key].phase {
            let class = self.tasks[key].spec.class.index();
            self.classes[class].queue.remove(rank);
        }
        let until = now + CLAIM_LIFE;
        self.tasks[key].phase = Phase::Claiming(Claim { machine, until });
        self.claims.insert((until, key));
        self.fleet.claim(machine, key, *need);
    }

    fn ask(&mut self, key: TaskKey, means: Means, out: &mut Vec<Decision>) {
        let Some(run) = self.tasks[key].run().copied() else {
            return;
        };
        let target = self.placement(key, &run);
        let (asked, decision) = match means {
            Means::Throttle(percent) => {
                self.counters.throttles += 1;
                (
                    Asked::Throttle(percent),
                    Decision::Throttle { target, percent },
                )
            }
            Means::Checkpoint => {
                self.counters.checkpoints += 1;
                (Asked::Leave, Decision::Checkpoint(target))
            }
            Means::Stop => {
                self.counters.stops += 1;
                (Asked::Leave, Decision::Stop(target))
            }
        };
        self.set_asked(key, &run, asked);
        out.push(decision);
    }

    /// Changes what was asked of a running task; a throttled one that leaves counts as such no more.
    pub(super) fn set_asked(&mut self, key: TaskKey, run: &Run, asked: Asked) {
        if run.asked == Asked::Throttled && asked != Asked::Throttled {
            self.fleet.update(run.machine, |m| m.throttled -= 1);
        }
        if let Phase::Running(run) = &mut self.tasks[key].phase {
            run.asked = asked;
        }
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
            self.ask(victim.task, victim.means, out);
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
            .map_or(Size::ZERO, super::super::machine::Machine::free);
        let extra = Size::ZERO.with(Dimension::Millicores, missing);
        if !extra.fits(&free)
            || !self.within_budget(key, run.machine, &extra, now)
            || !self.within_lids(key, &extra, 0)
        {
            return;
        }
        self.recharge(key, Dimension::Millicores, whole);
        self.set_asked(key, &run, Asked::Nothing);
        self.counters.throttles += 1;
        let target = self.placement(key, &run);
        out.push(Decision::Throttle { target, percent: 0 });
    }
}

/// Takes offers from the cheapest on until nothing is missing, skipping those that give nothing
/// that is missing.
fn take_cheapest(offers: Victims, missing: &mut Size, victims: &mut Victims) {
    for offer in offers {
        if missing.is_zero() {
            return;
        }
        let rest = missing.minus(&offer.gives);
        if rest != *missing {
            *missing = rest;
            victims.push(offer);
        }
    }
}
