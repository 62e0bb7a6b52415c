//! The place of each customer while capacity is short: its use against its weighted share.
//!
//! A customer's use is its dominant share, the largest part of any resource that it uses. Its weighted
//! share is its part of the weights of all customers that have work. What some of them leave unused is
//! lent to the others, but for a reserve that the customer furthest over its share leaves to the others.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::cell::Cell;
use crate::spec::Resources;
use crate::worker::Worker;

/// Part of the capacity that the customer furthest over its share leaves free, as a divisor. A twentieth
/// is room for four steps of 25 tasks on deployment N, whose other customers send 17 such steps a second
/// at their usual load, while what was lent to one of them gives back a step in 50 ms.
const RESERVE_DIVISOR: u64 = 20;

/// The place of a customer's next task; the lowest comes first. Equal for all customers that are within
/// their shares, and else the use in percent of the share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareRank(u32);

impl ShareRank {
    /// Returns whether the customer uses more than its share.
    pub fn is_over(self) -> bool {
        self.0 > 0
    }
}

#[derive(Debug)]
struct Row {
    weight: f64,
    used: Resources,
}

/// What the customers that have work use, and their weights. `None` stands for all jobs without a
/// customer.
#[derive(Debug, Default)]
pub struct ShareTable {
    capacity: Resources,
    total_weight: f64,
    /// Highest dominant share of a customer over its weight.
    highest: f64,
    rows: FxHashMap<Option<Arc<str>>, Row>,
}

impl ShareTable {
    /// Creates a table without customers for workers of a total capacity.
    pub fn new(capacity: Resources) -> Self {
        ShareTable {
            capacity,
            ..ShareTable::default()
        }
    }

    /// Adds a customer that has work, once.
    pub fn with_customer(
        mut self,
        customer: Option<Arc<str>>,
        weight: f64,
        used: Resources,
    ) -> Self {
        self.total_weight += weight;
        let row = Row { weight, used };
        self.highest = self.highest.max(self.level(&row));
        self.rows.insert(customer, row);
        self
    }

    /// Counts tasks that are placed before those that are ranked next.
    pub fn add(&mut self, customer: &Option<Arc<str>>, demand: Resources) {
        if let Some(row) = self.rows.get_mut(customer) {
            row.used.add(demand);
        }
        if let Some(row) = self.rows.get(customer) {
            self.highest = self.highest.max(self.level(row));
        }
    }

    /// Returns whether a customer may take more while `free` is left of the capacity. Only the one that is
    /// furthest over its share may not, if little is left for what the others send next.
    pub fn may_take(&self, customer: &Option<Arc<str>>, free: Resources) -> bool {
        let row = self.rows.get(customer);
        let is_furthest = row.is_some_and(|row| self.level(row) >= self.highest);
        if !is_furthest || !self.rank(customer).is_over() {
            return true;
        }
        let leaves = |free: u64, all: u64| all == 0 || free > all / RESERVE_DIVISOR;
        leaves(free.cpu, self.capacity.cpu)
            && leaves(free.memory, self.capacity.memory)
            && leaves(free.gpu, self.capacity.gpu)
    }

    fn dominant(&self, used: Resources) -> f64 {
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        part(used.cpu, self.capacity.cpu)
            .max(part(used.memory, self.capacity.memory))
            .max(part(used.gpu, self.capacity.gpu))
    }

    fn level(&self, row: &Row) -> f64 {
        self.dominant(row.used) / row.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the place of a customer. All count alike while only one has work.
    pub fn rank(&self, customer: &Option<Arc<str>>) -> ShareRank {
        let Some(row) = self.rows.get(customer) else {
            return ShareRank::default();
        };
        let dominant = self.dominant(row.used);
        let share = row.weight / self.total_weight.max(f64::MIN_POSITIVE);
        if self.rows.len() < 2 || dominant <= share {
            return ShareRank::default();
        }
        // A customer of weight zero comes after all others. The conversion stops at the largest number.
        ShareRank((dominant / share * 100.0).ceil() as u32)
    }
}

impl Cell {
    /// Builds the table of the customers that have work. It is empty while no customer is known, so that
    /// all steps count alike.
    #[expect(
        dead_code,
        reason = "the order by shares served callers worse when it was measured"
    )]
    pub(crate) fn share_table(&self) -> ShareTable {
        if !self.customers.has_any() {
            return ShareTable::default();
        }
        let mut capacity = Resources::default();
        let listed = |worker: &&Worker| worker.unlisted_at.is_none();
        for worker in self.workers.values().filter(listed) {
            capacity.add(worker.registration.capacity);
        }
        let mut table = ShareTable::new(capacity);
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            let customer = &job.spec.customer;
            if !table.rows.contains_key(customer) {
                let weight = self.customers.weight(customer.as_ref());
                let used = self.customers.usage(customer).used;
                table = table.with_customer(customer.clone(), weight, used);
            }
        }
        table
    }
}
