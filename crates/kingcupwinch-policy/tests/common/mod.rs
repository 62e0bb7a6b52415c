//! A small cell for tests.
#![allow(dead_code, clippy::unwrap_used)]

use kingcupwinch_policy::{
    Cell, ClassKey, ClassKind, ClassSpec, CustomerKey, CustomerSpec, Decision, Exit, MachineKey,
    MachineSpec, Outcome, Placement, Plan, Preemption, Resources, TaskSpec,
};
use kingcupwinch_time::{Span, Time};

/// One core and one gibibyte in one slot.
pub(crate) const UNIT: Resources = Resources::new(1_000, 1_024);

/// A cell with what tests look up often.
pub(crate) struct Bench {
    pub(crate) cell: Cell,
    pub(crate) now: Time,
}

impl Bench {
    /// Makes a cell of a plan with one customer `a` added.
    pub(crate) fn new(plan: Plan) -> Self {
        let plan = plan.with_customer(CustomerSpec::new("a", 1.0));
        Bench {
            cell: Cell::new(plan, 5).unwrap(),
            now: Time::from_millis(1),
        }
    }

    /// Makes a cell with one class of a kind without limits.
    pub(crate) fn with_kind(kind: ClassKind) -> Self {
        Bench::new(Plan::new().with_class(ClassSpec::new("work", kind, 1)))
    }

    pub(crate) fn class(&self, name: &str) -> ClassKey {
        self.cell.class(name).unwrap()
    }

    pub(crate) fn customer(&self, name: &str) -> CustomerKey {
        self.cell.customer(name).unwrap()
    }

    /// Adds a machine with room for `units` tasks of [`UNIT`].
    pub(crate) fn machine(&mut self, rack: &str, units: u64) -> MachineKey {
        let capacity = UNIT.times(units).with_connections(units);
        let spec = MachineSpec::new("m", "z", rack, capacity);
        self.cell.add_machine(spec, self.now).unwrap()
    }

    /// A task of `units` times [`UNIT`] that runs a second.
    pub(crate) fn spec(&self, class: &str, units: u64) -> TaskSpec {
        let size = UNIT.times(units);
        let customer = self.customer("a");
        TaskSpec::new(self.class(class), customer, size, Span::from_secs(1))
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now += Span::from_millis(millis);
    }

    pub(crate) fn decide(&mut self) -> Vec<Decision> {
        let mut out = Vec::new();
        self.cell.decide(self.now, &mut out);
        out
    }

    /// Decides, and returns the single starts.
    pub(crate) fn starts(&mut self) -> Vec<Placement> {
        let starts = self.decide().into_iter().filter_map(|d| match d {
            Decision::Start(place) => Some(place),
            _ => None,
        });
        starts.collect()
    }

    /// Submits a task, which must start at once.
    pub(crate) fn run(&mut self, spec: TaskSpec) -> Placement {
        let task = self.cell.submit(spec, self.now).unwrap();
        let starts = self.starts();
        *starts.iter().find(|p| p.task == task).unwrap()
    }

    pub(crate) fn end(
        &mut self,
        place: Placement,
        outcome: Outcome,
    ) -> kingcupwinch_policy::Disposition {
        let end = Exit::new(outcome, Span::from_secs(1));
        self.cell.ended(place, end, self.now).unwrap()
    }
}

/// What may be done to running work, all of it.
pub(crate) const ALL_PREEMPTION: Preemption = Preemption {
    throttle: 50,
    checkpoint: true,
    stop: true,
};

/// A plan with urgent live work and batch work that gives way by `means`.
pub(crate) fn urgent_and_batch(means: Preemption) -> Plan {
    let live =
        ClassSpec::new("live", ClassKind::Live, 0).with_typical_size(UNIT.with_connections(1));
    let batch = ClassSpec::new("batch", ClassKind::Batch, 1).with_preemption(means);
    Plan::new().with_class(live).with_class(batch)
}
