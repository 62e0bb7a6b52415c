//! The machines of one owner and the work that waits and runs on them.

mod credits;
mod decide;
mod events;
mod gangs;
mod machines;
mod reclaim;
mod reclaim_requests;
mod reserve;
mod retries;
mod runs;
mod submit;
#[cfg(test)]
mod tests;
mod victims;

use std::collections::BTreeSet;

use kingcupwinch_time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::class::{Class, Customer};
use crate::counters::{ClassCounters, Counters};
use crate::decision::{Credit, Decision};
use crate::fleet::Fleet;
use crate::gang::{Gang, Reservation};
use crate::health::CellHealth;
use crate::key::{ClassKey, CreditKey, CustomerKey, GangKey, HoldKey, MachineKey, TaskKey};
use crate::machine::PlaceUnit;
use crate::plan::{MAX_ENTRIES, Plan, Weights};
use crate::refusal::CellError;
use crate::resources::Resources;
use crate::task::Task;

/// Capacity of a machine held for work of unknown extent.
#[derive(Debug, Clone, Copy)]
struct Hold {
    machine: MachineKey,
    size: Resources,
}

/// The machines of one owner and the work that waits and runs on them.
///
/// Every event is a call with the time. [`Cell::decide`] then appends what to do; call it after each
/// event or batch of events, and at [`Cell::next_deadline`].
#[derive(Debug)]
pub struct Cell {
    fleet: Fleet,
    classes: Vec<Class>,
    customers: Vec<Customer>,
    weights: Weights,
    tasks: SlotMap<TaskKey, Task>,
    gangs: SlotMap<GangKey, Gang>,
    holds: SlotMap<HoldKey, Hold>,
    credits: SlotMap<CreditKey, Credit>,
    /// Tasks that the credits stand for.
    credited: u64,
    /// Deadlines of waiting tasks.
    deadlines: BTreeSet<(Time, TaskKey)>,
    /// Ends of backoffs.
    backoffs: BTreeSet<(Time, TaskKey)>,
    /// Ends of claims.
    claims: BTreeSet<(Time, TaskKey)>,
    /// When orders without an answer are given again.
    resends: BTreeSet<(Time, TaskKey)>,
    /// Ends of credits.
    expiries: BTreeSet<(Time, CreditKey)>,
    /// Times of probes.
    probes: BTreeSet<(Time, MachineKey)>,
    /// Machines kept for a task on which capacity came free.
    ready_claims: Vec<MachineKey>,
    /// Machines with throttled tasks on which capacity came free.
    unthrottle: BTreeSet<MachineKey>,
    /// When their tasks are next considered for their whole share.
    unthrottle_due: Time,
    /// Decisions made by events.
    pending: Vec<Decision>,
    reservations: Vec<Reservation>,
    health: CellHealth,
    /// Places kept free for urgent tasks.
    headroom: u64,
    rng: ChaCha8Rng,
    counters: Counters,
}

impl Cell {
    /// Makes a cell without machines.
    ///
    /// # Errors
    ///
    /// [`CellError::BadPlan`] if the plan fails [`Plan::check`].
    pub fn new(plan: Plan, seed: u64) -> Result<Self, CellError> {
        let mut cell = Cell {
            fleet: Fleet::new(),
            classes: Vec::new(),
            customers: Vec::new(),
            weights: plan.weights,
            tasks: SlotMap::with_key(),
            gangs: SlotMap::with_key(),
            holds: SlotMap::with_key(),
            credits: SlotMap::with_key(),
            credited: 0,
            deadlines: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            claims: BTreeSet::new(),
            resends: BTreeSet::new(),
            expiries: BTreeSet::new(),
            probes: BTreeSet::new(),
            ready_claims: Vec::new(),
            unthrottle: BTreeSet::new(),
            unthrottle_due: Time::ZERO,
            pending: Vec::new(),
            reservations: Vec::new(),
            health: CellHealth::default(),
            headroom: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        };
        cell.update_plan(plan, Time::ZERO)?;
        Ok(cell)
    }

    /// Puts a new plan in force. No task is lost: work of a class or customer that the plan no longer
    /// has runs and waits on, but nothing new is accepted for it.
    ///
    /// # Errors
    ///
    /// [`CellError::BadPlan`]; the old plan then stays in force.
    pub fn update_plan(&mut self, plan: Plan, now: Time) -> Result<(), CellError> {
        plan.check()?;
        let room = self.classes.len() + plan.classes.len();
        if room.max(self.customers.len() + plan.customers.len()) > 2 * MAX_ENTRIES {
            return Err(CellError::BadPlan(
                "too many classes or customers over time",
            ));
        }
        self.weights = plan.weights;
        self.classes.iter_mut().for_each(|c| c.in_plan = false);
        for spec in plan.classes {
            match self.classes.iter_mut().find(|c| c.spec.name == spec.name) {
                Some(class) => class.replan(spec, now),
                None => self.classes.push(Class::new(spec, now)),
            }
        }
        self.customers.iter_mut().for_each(|c| c.in_plan = false);
        for spec in plan.customers {
            match self.customers.iter_mut().find(|c| c.spec.name == spec.name) {
                Some(customer) => customer.replan(spec, now),
                None => self.customers.push(Customer::new(spec, now)),
            }
        }
        let urgent = self.classes.iter().filter(|c| c.in_plan && c.is_urgent());
        let unit = urgent.fold(Resources::ZERO, |unit, c| unit.max(&c.spec.typical_size));
        self.fleet.set_unit(PlaceUnit::Urgent, unit);
        Ok(())
    }

    /// Returns the key of a class of the plan.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        let index = self
            .classes
            .iter()
            .position(|c| c.in_plan && &*c.spec.name == name)?;
        u16::try_from(index).ok().map(ClassKey)
    }

    /// Returns the key of a customer of the plan.
    pub fn customer(&self, name: &str) -> Option<CustomerKey> {
        let index = self
            .customers
            .iter()
            .position(|c| c.in_plan && &*c.spec.name == name)?;
        u16::try_from(index).ok().map(CustomerKey)
    }

    /// Returns the number of waiting tasks of a class; a gang counts as one.
    pub fn queued(&self, class: ClassKey) -> usize {
        self.classes.get(class.index()).map_or(0, |c| c.queue.len())
    }

    /// Returns the number of running tasks of a class.
    pub fn running(&self, class: ClassKey) -> u32 {
        self.classes.get(class.index()).map_or(0, |c| c.running)
    }

    /// Returns the dominant share of the cell that a class uses.
    pub fn class_share(&self, class: ClassKey) -> f64 {
        let capacity = self.fleet.capacity();
        self.classes
            .get(class.index())
            .map_or(0.0, |c| c.share(capacity))
    }

    /// Returns the dominant share of the cell that a customer uses.
    pub fn customer_share(&self, customer: CustomerKey) -> f64 {
        let capacity = self.fleet.capacity();
        self.customers
            .get(customer.index())
            .map_or(0.0, |c| c.used.dominant_share(capacity))
    }

    /// Returns the part of its paid share that a customer uses, over 1 where it is lent more; none if
    /// it has paid for nothing.
    pub fn paid_use(&self, customer: CustomerKey) -> Option<f64> {
        let paid = self
            .customers
            .get(customer.index())?
            .spec
            .contract
            .paid_share;
        (paid > 0.0).then(|| self.customer_share(customer) / paid)
    }

    /// Returns what is counted on machines that are not gone.
    pub fn used(&self) -> Resources {
        *self.fleet.used()
    }

    /// Returns the capacity of machines that are not gone, all of it paid for.
    pub fn capacity(&self) -> Resources {
        *self.fleet.capacity()
    }

    /// Returns the number of tasks that wait or run.
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the counts of a class.
    pub fn class_counters(&self, class: ClassKey) -> Option<&ClassCounters> {
        self.classes.get(class.index()).map(|c| &c.counters)
    }

    /// Returns the counts of the cell.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns when `decide` has something to do even if nothing happens until then.
    pub fn next_deadline(&self) -> Option<Time> {
        let firsts = [
            self.deadlines.first().map(|d| d.0),
            self.backoffs.first().map(|d| d.0),
            self.claims.first().map(|d| d.0),
            self.resends.first().map(|d| d.0),
            self.expiries.first().map(|d| d.0),
            self.probes.first().map(|d| d.0),
            (!self.unthrottle.is_empty()).then_some(self.unthrottle_due),
            self.reservations.iter().map(|r| r.next_check).min(),
            self.classes.iter().filter_map(|c| c.wakeup).min(),
        ];
        firsts.into_iter().flatten().min()
    }

    fn class_of(&self, task: &Task) -> &Class {
        &self.classes[task.spec.class.index()]
    }
}
