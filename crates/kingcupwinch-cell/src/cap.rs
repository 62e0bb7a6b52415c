//! What the cap of a customer lets start beside what the customer has running.

use crate::spec::Resources;

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

impl ResourceCap {
    /// Returns whether the cap limits nothing.
    pub(crate) fn is_unlimited(self) -> bool {
        self == ResourceCap::default()
    }

    /// Returns the cap raised by a part of itself.
    fn raised(self, overage: f64) -> ResourceCap {
        let raise = |limit: u64| (limit as f64 * (1.0 + overage)) as u64;
        ResourceCap {
            cpu: self.cpu.map(raise),
            memory: self.memory.map(raise),
            gpu: self.gpu.map(raise),
        }
    }

    fn limits(self) -> Resources {
        Resources {
            cpu: self.cpu.unwrap_or(u64::MAX),
            memory: self.memory.unwrap_or(u64::MAX),
            gpu: self.gpu.unwrap_or(u64::MAX),
        }
    }

    fn fits(self, amount: Resources) -> bool {
        self.limits().task_capacity(amount) > 0
    }
}

/// What a customer has on workers, or may have there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) used: Resources,
    pub(crate) runs: u64,
}

impl Usage {
    pub(crate) fn add(&mut self, used: Resources, runs: u64) {
        self.used.add(used);
        self.runs += runs;
    }

    pub(crate) fn remove(&mut self, used: Resources, runs: u64) {
        self.used.sub(used);
        self.runs = self.runs.saturating_sub(runs);
    }
}

/// Tasks that start together: the members of a gang, or a single task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unit {
    /// Resources of each task.
    pub(crate) charge: Resources,
    pub(crate) tasks: u64,
}

impl Unit {
    fn total(self) -> Resources {
        self.charge.times(self.tasks)
    }
}

/// The cap of a customer, with the part by which a gang that runs alone may exceed it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapRule {
    pub(crate) cap: ResourceCap,
    pub(crate) overage: f64,
}

impl CapRule {
    /// Returns how many units may start beside what the customer has.
    pub(crate) fn room(self, usage: Usage, unit: Unit) -> u64 {
        if usage.runs == 0 {
            let units = self.cap.limits().task_capacity(unit.total());
            return units.max(u64::from(self.holds_alone(unit)));
        }
        // Above one limit, nothing starts, even if it needs none of the exceeded resource.
        if !self.cap.fits(usage.used) {
            return 0;
        }
        let left = self.cap.limits().remaining(usage.used);
        left.task_capacity(unit.total())
    }

    /// Returns whether what the customer has, which includes a unit, is what the rule lets it have.
    pub(crate) fn holds(self, usage: Usage, unit: Unit) -> bool {
        let is_alone = usage.runs <= unit.tasks;
        self.cap.fits(usage.used) || is_alone && self.holds_alone(unit)
    }

    /// Returns whether a unit may run while the customer has nothing else. If not, it can never start.
    pub(crate) fn holds_alone(self, unit: Unit) -> bool {
        unit.tasks <= 1 || self.cap.raised(self.overage).fits(unit.total())
    }
}
