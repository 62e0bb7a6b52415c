//! The check that every start passes: what the cap of its customer lets start.

use std::sync::Arc;

use super::Cell;
use crate::cap::{CapRule, Unit, Usage};
use crate::customer::CustomerPolicy;
use crate::job::JobKey;
use crate::run::RunKey;

impl Cell {
    /// Sets the part of its cap by which a gang may exceed it while its customer has nothing else.
    pub fn with_cap_overage(mut self, overage: f64) -> Self {
        self.customers.overage = overage;
        self
    }

    /// Replaces the customers by those of the configuration in force.
    pub fn set_customers(&mut self, customers: &[CustomerPolicy]) {
        self.customers.update(customers);
    }

    /// Returns how many tasks of a step the cap of its customer lets start now. All members of a gang or
    /// none; `u64::MAX` without a cap.
    pub(crate) fn cap_room(&self, key: JobKey, slot: usize) -> u64 {
        if self.customers.is_unknown(self.customer(key)) {
            return 0;
        }
        let Some(rule) = self.cap_rule(key) else {
            return u64::MAX;
        };
        let unit = self.cap_unit(key, slot);
        let units = rule.room(self.cap_usage(key, slot), unit);
        units.saturating_mul(unit.tasks)
    }

    /// Returns whether a run may start or go on elsewhere beside all that its customer has.
    pub(crate) fn is_within_cap(&self, run: RunKey) -> bool {
        let (key, name) = (self.runs[run].job, self.runs[run].name);
        let slot = self.jobs[key].slot(name);
        if self.customers.is_unknown(self.customer(key)) {
            return false;
        }
        self.cap_rule(key)
            .is_none_or(|rule| rule.holds(self.cap_usage(key, slot), self.cap_unit(key, slot)))
    }

    pub(crate) fn cap_rule(&self, key: JobKey) -> Option<CapRule> {
        self.customers.rule(self.customer(key).as_ref())
    }

    pub(crate) fn customer(&self, key: JobKey) -> &Option<Arc<str>> {
        &self.jobs[key].spec.customer
    }

    /// Returns the tasks of a step that start together. Best-effort tasks count with their CPU: the cap
    /// limits what runs, whichever part of a worker it runs on.
    pub(crate) fn cap_unit(&self, key: JobKey, slot: usize) -> Unit {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        Unit {
            charge: spec.resources,
            tasks: if spec.gang { u64::from(spec.count) } else { 1 },
        }
    }

    /// Returns what the customer of a step has, with what is kept for tasks that move and have stopped.
    pub(crate) fn cap_usage(&self, key: JobKey, slot: usize) -> Usage {
        let mut usage = self.customers.usage(self.customer(key));
        for (job, step) in self.stopped_moves() {
            let is_other = (job, step) != (key, slot);
            if is_other && self.customer(job) == self.customer(key) {
                usage.add(self.jobs[job].step_spec(step).resources, 1);
            }
        }
        usage
    }

    /// Returns what the customer of a step has, with the waiting tasks of its other steps about which the
    /// adviser is being asked.
    pub(crate) fn cap_usage_with_asked(&self, key: JobKey, slot: usize) -> Usage {
        let mut usage = self.cap_usage(key, slot);
        let asked = self.other_asked_work(key, slot);
        usage.add(asked.used, asked.runs);
        usage
    }
}
