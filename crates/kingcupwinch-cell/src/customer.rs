//! Customers, whose work is counted together, and what each may use.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::cell::Cell;

/// Limits of what a customer may have running at one time; `None` is no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceCap {
    /// CPU in thousandths of a core.
    pub cpu: Option<u64>,
    /// Memory in megabytes.
    pub memory: Option<u64>,
    /// Number of accelerators.
    pub gpu: Option<u64>,
}

/// What the configuration in force says of a customer.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerPolicy {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Share of the customer relative to others while capacity is short. It is also the number of jobs
    /// a second that the customer is entitled to submit.
    pub weight: f64,
    /// What the customer may have running across all workers.
    pub cap: ResourceCap,
}

/// The customers of the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Customers {
    policies: FxHashMap<Arc<str>, CustomerPolicy>,
}

impl Customers {
    /// Returns the policy of a customer, unless the configuration does not name it.
    #[expect(dead_code, reason = "no decision depends on customers yet")]
    pub(crate) fn policy(&self, name: &str) -> Option<&CustomerPolicy> {
        self.policies.get(name)
    }
}

impl Cell {
    /// Replaces the customers by those of the configuration in force.
    pub fn set_customers(&mut self, customers: &[CustomerPolicy]) {
        let row = |policy: &CustomerPolicy| (Arc::clone(&policy.name), policy.clone());
        self.customers.policies = customers.iter().map(row).collect();
    }
}
