//! Customers, whose work is counted together, and what each has running.

use std::sync::Arc;

use kingcupwinch_time::Time;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::cap::{CapRule, ResourceCap, Usage};
use crate::job::JobKey;
use crate::placement::CapCounts;
use crate::spec::Resources;

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

/// Weight of jobs without a customer, and of a customer that the configuration no longer names.
pub(crate) const DEFAULT_WEIGHT: f64 = 1.0;

/// The customers of the configuration in force, and what each has on workers.
#[derive(Debug, Default)]
pub(crate) struct Customers {
    policies: FxHashMap<Arc<str>, CustomerPolicy>,
    /// Whether a version of the configuration was read.
    is_known: bool,
    /// Part of a cap by which a gang that runs alone may exceed it.
    pub(crate) overage: f64,
    /// Jobs without a customer count together.
    usage: FxHashMap<Option<Arc<str>>, Usage>,
    /// Customers whose work that can never start was reported under the version in force.
    excluded: FxHashSet<Arc<str>>,
    /// When a customer at its cap may be reported again.
    next_reports: FxHashMap<Arc<str>, Time>,
    pub(crate) counts: CapCounts,
    /// Steps whose calls were answered since the last round, which starts their tasks.
    pub(crate) answered: FxHashSet<(JobKey, usize)>,
}

impl Customers {
    /// Replaces the policies by those of a new version. A customer that it doesn't name keeps its cap,
    /// since its jobs that were accepted before are still served.
    pub(crate) fn update(&mut self, customers: &[CustomerPolicy]) {
        for policy in self.policies.values_mut() {
            policy.weight = DEFAULT_WEIGHT;
        }
        let row = |policy: &CustomerPolicy| (Arc::clone(&policy.name), policy.clone());
        self.policies.extend(customers.iter().map(row));
        self.excluded.clear();
        self.is_known = true;
    }

    /// Returns whether the cap of a customer may exist and is not known, since this owner has read no
    /// configuration yet.
    pub(crate) fn is_unknown(&self, customer: &Option<Arc<str>>) -> bool {
        !self.is_known && customer.is_some()
    }

    /// Returns whether any version in force so far has named a customer.
    pub(crate) fn has_any(&self) -> bool {
        !self.policies.is_empty()
    }

    pub(crate) fn weight(&self, customer: Option<&Arc<str>>) -> f64 {
        let policy = customer.and_then(|name| self.policies.get(name));
        policy.map_or(DEFAULT_WEIGHT, |policy| policy.weight)
    }

    /// Returns the cap of a customer, if it has one.
    pub(crate) fn rule(&self, customer: Option<&Arc<str>>) -> Option<CapRule> {
        let cap = self.policies.get(customer?)?.cap;
        (!cap.is_unlimited()).then_some(CapRule {
            cap,
            overage: self.overage,
        })
    }

    pub(crate) fn usage(&self, customer: &Option<Arc<str>>) -> Usage {
        self.usage.get(customer).copied().unwrap_or_default()
    }

    pub(crate) fn add_runs(&mut self, customer: &Option<Arc<str>>, used: Resources, runs: u64) {
        let usage = self.usage.entry(customer.clone()).or_default();
        usage.add(used, runs);
    }

    pub(crate) fn remove_runs(&mut self, customer: &Option<Arc<str>>, used: Resources, runs: u64) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.remove(used, runs);
            if usage.runs == 0 {
                self.usage.remove(customer);
            }
        }
    }

    /// Returns whether work of a customer that can never start is reported for the first time under the
    /// version in force.
    pub(crate) fn note_excluded(&mut self, customer: &Arc<str>) -> bool {
        self.excluded.insert(Arc::clone(customer))
    }

    /// Takes a report of a customer at its cap. Returns false if it is not due yet.
    pub(crate) fn take_report(&mut self, customer: &Arc<str>, next: Time, now: Time) -> bool {
        let due = self.next_reports.get(customer);
        let is_due = due.is_none_or(|due| *due <= now);
        if is_due {
            self.next_reports.insert(Arc::clone(customer), next);
        }
        is_due
    }
}
