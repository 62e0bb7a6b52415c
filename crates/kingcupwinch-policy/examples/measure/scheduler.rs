//! What the driver needs of a scheduler.

use kingcupwinch_policy::{
    Cell, Decision, Disposition, Exit, GangSpec, GangTicket, MachineKey, MachineSpec, Placement,
    Refusal, Resources, TaskKey, TaskSpec, Usage,
};
use kingcupwinch_time::Time;

/// A scheduler under measurement.
pub(crate) trait Scheduler {
    fn add_machine(&mut self, spec: MachineSpec, now: Time) -> Option<MachineKey>;
    fn remove_machine(&mut self, machine: MachineKey, now: Time);
    fn observe(&mut self, machine: MachineKey, used: Resources, taken: Time);
    fn submit(&mut self, spec: TaskSpec, now: Time) -> Result<TaskKey, Refusal>;
    fn submit_gang(&mut self, gang: GangSpec, now: Time) -> Result<GangTicket, Refusal>;
    fn cancel(&mut self, task: TaskKey, now: Time);
    fn ended(&mut self, place: Placement, end: Exit, now: Time) -> Disposition;
    fn throttled(&mut self, place: Placement, now: Time);
    fn decide(&mut self, now: Time, out: &mut Vec<Decision>);
    fn next_deadline(&self) -> Option<Time>;
    /// How many tasks of a class wait; a gang counts as one.
    fn queued(&self, class: usize) -> usize;
    /// Placements tried so far.
    fn steps(&self) -> u64;
    /// Started again after a failure, and first starts.
    fn retries(&self) -> u64;
}

/// The policy with the keys of its classes.
pub(crate) struct Policy {
    cell: Cell,
    classes: Vec<kingcupwinch_policy::ClassKey>,
}

impl Policy {
    pub(crate) fn new(cell: Cell, names: &[&str]) -> Self {
        let classes = names.iter().filter_map(|n| cell.class(n)).collect();
        Policy { cell, classes }
    }
}

impl Scheduler for Policy {
    fn add_machine(&mut self, spec: MachineSpec, now: Time) -> Option<MachineKey> {
        self.cell.add_machine(spec, now).ok()
    }

    fn remove_machine(&mut self, machine: MachineKey, now: Time) {
        let _ = self.cell.remove_machine(machine, now);
    }

    fn observe(&mut self, machine: MachineKey, used: Resources, taken: Time) {
        let _ = self.cell.observe(machine, Usage { used, taken });
    }

    fn submit(&mut self, spec: TaskSpec, now: Time) -> Result<TaskKey, Refusal> {
        self.cell.submit(spec, now)
    }

    fn submit_gang(&mut self, gang: GangSpec, now: Time) -> Result<GangTicket, Refusal> {
        self.cell.submit_gang(gang, now)
    }

    fn cancel(&mut self, task: TaskKey, now: Time) {
        let _ = self.cell.cancel(task, now);
    }

    fn ended(&mut self, place: Placement, end: Exit, now: Time) -> Disposition {
        self.cell
            .ended(place, end, now)
            .unwrap_or(Disposition::Left)
    }

    fn throttled(&mut self, place: Placement, now: Time) {
        let _ = self.cell.throttled(place, now);
    }

    fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.cell.decide(now, out);
    }

    fn next_deadline(&self) -> Option<Time> {
        self.cell.next_deadline()
    }

    fn queued(&self, class: usize) -> usize {
        self.cell.queued(self.classes[class])
    }

    fn steps(&self) -> u64 {
        self.cell.counters().placement_attempts
    }

    fn retries(&self) -> u64 {
        let counters = self
            .classes
            .iter()
            .filter_map(|c| self.cell.class_counters(*c));
        counters.map(|c| c.retried).sum()
    }
}
