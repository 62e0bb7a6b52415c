//! The scheduler state of one owner.

mod crashes;
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
use crate::crash::CrashLog;
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

/// Capacity of a machine reserved for work of unknown size.
#[derive(Debug, Clone, Copy)]
struct Hold {
    machine: MachineKey,
    size: Resources,
}

/// Schedules the tasks of one owner on its machines.
///
/// Every event is a method call with the current time. [`Cell::decide`] then appends the resulting
/// decisions; call it after each event or batch of events, and at [`Cell::next_deadline`].
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
    /// Number of tasks for which outstanding credits reserve capacity.
    credited: u64,
    /// Deadlines of waiting tasks, earliest first.
    deadlines: BTreeSet<(Time, TaskKey)>,
    /// Ends of retry backoffs, earliest first.
    backoffs: BTreeSet<(Time, TaskKey)>,
    /// Expiry times of claims, earliest first.
    claims: BTreeSet<(Time, TaskKey)>,
    /// Times at which unanswered requests to workers are sent again, earliest first.
    resends: BTreeSet<(Time, TaskKey)>,
    /// Expiry times of credits, earliest first.
    expiries: BTreeSet<(Time, CreditKey)>,
    /// Start times of health probes, earliest first.
    probes: BTreeSet<(Time, MachineKey)>,
    /// Machines claimed for a task on which capacity was released.
    ready_claims: Vec<MachineKey>,
    /// Machines with throttled tasks on which capacity was released.
    unthrottle: BTreeSet<MachineKey>,
    /// When the tasks on those machines are next considered for their full processor share.
    unthrottle_due: Time,
    /// Decisions caused by events, emitted by the next call of `decide`.
    pending: Vec<Decision>,
    reservations: Vec<Reservation>,
    health: CellHealth,
    crashes: CrashLog,
    /// Number of urgent task places to keep free.
    headroom: u64,
    rng: ChaCha8Rng,
    counters: Counters,
}

impl Cell {
    /// Creates a cell without machines. `seed` seeds its random number generator.
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
            crashes: CrashLog::default(),
            headroom: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        };
        cell.update_plan(plan, Time::ZERO)?;
        Ok(cell)
    }

    /// Replaces the plan. No task is lost: tasks of a class or customer that the new plan omits
    /// keep waiting and running, but no new ones are accepted for it.
    ///
    /// # Errors
    ///
    /// [`CellError::BadPlan`] if the plan fails [`Plan::check`] or the cell has seen too many
    /// classes or customers; the old plan then stays in force.
    pub fn update_plan(&mut self, plan: Plan, now: Time) -> Result<(), CellError> {
        plan.check()?;
        let entries = self.classes.len() + plan.classes.len();
        if entries.max(self.customers.len() + plan.customers.len()) > 2 * MAX_ENTRIES {
            return Err(CellError::BadPlan(
                "too many classes or customers over time",
            ));
        }
        self.weights = plan.weights;
        self.classes.iter_mut().for_each(|c| c.in_plan = false);
        for spec in plan.classes {
            match self.classes.iter_mut().find(|c| c.spec.name == spec.name) {
                Some(class) => class.update_spec(spec, now),
                None => self.classes.push(Class::new(spec, now)),
            }
        }
        self.customers.iter_mut().for_each(|c| c.in_plan = false);
        for spec in plan.customers {
            match self.customers.iter_mut().find(|c| c.spec.name == spec.name) {
                Some(customer) => customer.update_spec(spec, now),
                None => self.customers.push(Customer::new(spec, now)),
            }
        }
        let urgent = self.classes.iter().filter(|c| c.in_plan && c.is_urgent());
        let unit = urgent.fold(Resources::ZERO, |unit, c| unit.max(&c.spec.typical_size));
        self.fleet.set_unit(PlaceUnit::Urgent, unit);
        Ok(())
    }

    /// Returns the key of a class in the current plan.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        let index = self
            .classes
            .iter()
            .position(|c| c.in_plan && &*c.spec.name == name)?;
        u16::try_from(index).ok().map(ClassKey)
    }

    /// Returns the key of a customer in the current plan.
    pub fn customer(&self, name: &str) -> Option<CustomerKey> {
        let index = self
            .customers
            .iter()
            .position(|c| c.in_plan && &*c.spec.name == name)?;
        u16::try_from(index).ok().map(CustomerKey)
    }

    /// Returns the number of waiting tasks of a class; a gang counts as one task.
    pub fn queued(&self, class: ClassKey) -> usize {
        self.classes.get(class.index()).map_or(0, |c| c.queue.len())
    }

    /// Returns the number of running tasks of a class.
    pub fn running(&self, class: ClassKey) -> u32 {
        self.classes.get(class.index()).map_or(0, |c| c.running)
    }

    /// Returns the dominant share of the cell that a class uses, from 0 to 1.
    pub fn class_share(&self, class: ClassKey) -> f64 {
        let capacity = self.fleet.capacity();
        self.classes
            .get(class.index())
            .map_or(0.0, |c| c.share(capacity))
    }

    /// Returns the dominant share of the cell that a customer uses, from 0 to 1.
    pub fn customer_share(&self, customer: CustomerKey) -> f64 {
        let capacity = self.fleet.capacity();
        self.customers
            .get(customer.index())
            .map_or(0.0, |c| c.used.dominant_share(capacity))
    }

    /// Returns the ratio of the share that a customer uses to the share that it pays for. The ratio
    /// exceeds 1 while the customer borrows idle capacity. `None` if the customer pays for no
    /// share.
    pub fn contract_usage(&self, customer: CustomerKey) -> Option<f64> {
        let paid = self
            .customers
            .get(customer.index())?
            .spec
            .contract
            .paid_share;
        (paid > 0.0).then(|| self.customer_share(customer) / paid)
    }

    /// Returns the resources allocated on machines that are not gone.
    pub fn used(&self) -> Resources {
        *self.fleet.used()
    }

    /// Returns the total capacity of machines that are not gone.
    pub fn capacity(&self) -> Resources {
        *self.fleet.capacity()
    }

    /// Returns the number of tasks in the cell, waiting or running.
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the counters of a class.
    pub fn class_counters(&self, class: ClassKey) -> Option<&ClassCounters> {
        self.classes.get(class.index()).map(|c| &c.counters)
    }

    /// Returns the counters of the cell.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the time at which [`Cell::decide`] must be called again even if no event occurs
    /// before it.
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
