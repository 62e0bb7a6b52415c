//! Selection of the running tasks that give capacity back: the cheapest method on the cheapest
//! machine.

use kingcupwinch_time::Time;
use rand::Rng;
use smallvec::SmallVec;

use super::Cell;
use super::reclaim::CLAIM_LIFETIME;
use crate::key::{MachineKey, TaskKey};
use crate::machine::Machine;
use crate::resources::{Dimension, Resources};
use crate::task::{ReclaimState, Run, Task};

/// Maximum number of machines compared for one claim.
const CANDIDATES: usize = 16;
/// Cost of a throttle.
const THROTTLE_COST: f64 = 1.0;
/// Cost of a checkpoint.
const CHECKPOINT_COST: f64 = 10.0;
/// Cost of a stop, in addition to the seconds of work that are lost.
const STOP_COST: f64 = 100.0;
/// Maximum number of racks searched for a machine that becomes free without preemption.
const DRAIN_RACKS: usize = 4;

/// Method by which a running task gives capacity back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReclaimAction {
    Throttle(u8),
    Checkpoint,
    Stop,
}

/// A running task that can give capacity back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim {
    pub(super) task: TaskKey,
    pub(super) action: ReclaimAction,
    pub(super) frees: Resources,
    pub(super) cost: f64,
}

pub(super) type Victims = SmallVec<[Victim; 8]>;

/// The task that reclaims capacity, and its entitlement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claimant {
    /// Priority band of its class.
    pub(super) band: u8,
    /// Whether its class is below its minimum share.
    pub(super) starved: bool,
    /// Fair share of the cell per unit of weight; `None` if the customer of the task would exceed
    /// it.
    pub(super) fair_share: Option<f64>,
    /// Index of its class.
    pub(super) class: usize,
}

impl Cell {
    /// Returns the machine, of a bounded number, on which capacity can be reclaimed at the lowest
    /// cost.
    pub(super) fn cheapest_machine(
        &mut self,
        claimant: &Claimant,
        need: &Resources,
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

    /// Returns the machine, of a bounded number, that is expected to have room soonest without
    /// preemption. Applies only to a starved class: short urgent tasks would otherwise use every
    /// released piece before a large task fits.
    pub(super) fn soonest_machine(
        &mut self,
        claimant: &Claimant,
        need: &Resources,
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
        let until = now + CLAIM_LIFETIME;
        let fitting = machines.filter(|(_, m)| {
            let open = m.reserved_for.is_none() && m.entry.is_some();
            open && need.fits(&self.free_at(m, until))
        });
        let missing = |m: &Machine| need.minus(&m.free()).total_share(&m.spec.capacity);
        let best = fitting.min_by(|a, b| missing(a.1).total_cmp(&missing(b.1)));
        best.map(|(key, _)| (key, Victims::new()))
    }

    /// Returns the cheapest victims on a machine whose release makes room for `need`; `None` if
    /// they do not suffice.
    fn victims_on(
        &self,
        key: MachineKey,
        claimant: &Claimant,
        need: &Resources,
        now: Time,
    ) -> Option<Victims> {
        let machine = self.fleet.get(key)?;
        if machine.entry.is_none() || machine.reserved_for.is_some() {
            return None;
        }
        let mut missing = need.minus(&machine.free());
        let mut victims: Victims = SmallVec::new();
        if missing.with(Dimension::Millicores, 0).is_zero() {
            let offers = self
                .preemption_offers(&machine.running, claimant, |t, r| self.throttle_offer(t, r));
            take_cheapest(offers, &mut missing, &mut victims);
        }
        if !missing.is_zero() {
            victims.clear();
            missing = need.minus(&machine.free());
            let offers = self.preemption_offers(&machine.running, claimant, |t, r| {
                self.eviction_offer(t, r, now)
            });
            take_cheapest(offers, &mut missing, &mut victims);
        }
        missing.is_zero().then_some(victims)
    }

    /// Returns the tasks among `running` that the claimant may preempt and that have no open
    /// request, each with the method, the released resources and the cost that `offer` returns;
    /// cheapest first.
    pub(super) fn preemption_offers(
        &self,
        running: &[TaskKey],
        claimant: &Claimant,
        offer: impl Fn(&Task, &Run) -> Option<(ReclaimAction, Resources, f64)>,
    ) -> Victims {
        let mut victims = Victims::new();
        for &task in running {
            let t = &self.tasks[task];
            let Some(run) = t
                .run()
                .filter(|r| matches!(r.reclaim, ReclaimState::None | ReclaimState::Throttled))
            else {
                continue;
            };
            if !self.is_movable(t) || !self.is_preemptible(t, claimant) {
                continue;
            }
            if let Some((action, frees, cost)) = offer(t, run) {
                victims.push(Victim {
                    task,
                    action,
                    frees,
                    cost,
                });
            }
        }
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        victims
    }

    /// Returns whether a running task may be preempted for a claimant. Tasks of a class within its
    /// minimum share may not.
    fn is_preemptible(&self, task: &Task, claimant: &Claimant) -> bool {
        let class = self.class_of(task);
        let capacity = self.fleet.capacity();
        let lent = class.share(capacity) > class.spec.min_share.fraction();
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
            .fair_share
            .is_some_and(|f| customer.weighted_share(capacity) > f);
        class.spec.band == claimant.band && over
    }

    /// Returns the throttle of a task, if its class allows that and the task is not throttled yet.
    fn throttle_offer(&self, task: &Task, run: &Run) -> Option<(ReclaimAction, Resources, f64)> {
        let percent = self.class_of(task).spec.preemption.throttle;
        if percent == 0 || run.reclaim != ReclaimState::None {
            return None;
        }
        let amount = run.allocated.get(Dimension::Millicores) * u64::from(percent) / 100;
        let frees = Resources::ZERO.with(Dimension::Millicores, amount);
        Some((ReclaimAction::Throttle(percent), frees, THROTTLE_COST))
    }

    /// Returns the checkpoint of a task or, if its class does not allow that, the stop; `None` if
    /// neither is allowed.
    pub(super) fn eviction_offer(
        &self,
        task: &Task,
        run: &Run,
        now: Time,
    ) -> Option<(ReclaimAction, Resources, f64)> {
        let preemption = self.class_of(task).spec.preemption;
        if preemption.checkpoint {
            return Some((ReclaimAction::Checkpoint, run.allocated, CHECKPOINT_COST));
        }
        let cost = STOP_COST + now.since(run.started).as_secs_f64();
        (preemption.stop && task.spec.idempotent).then_some((
            ReclaimAction::Stop,
            run.allocated,
            cost,
        ))
    }
}

/// Selects offers in ascending order of cost until nothing is missing, skipping those that release
/// nothing of what is missing.
fn take_cheapest(offers: Victims, missing: &mut Resources, victims: &mut Victims) {
    for offer in offers {
        if missing.is_zero() {
            return;
        }
        let rest = missing.minus(&offer.frees);
        if rest != *missing {
            *missing = rest;
            victims.push(offer);
        }
    }
}
