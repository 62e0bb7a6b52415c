//! Machines that come, change and go.

use kingcupwinch_time::Time;

use super::{Cell, Hold};
use crate::decision::Usage;
use crate::key::{HoldKey, MachineKey, TaskKey};
use crate::machine::{MachineSpec, MachineState, ReservedFor};
use crate::refusal::CellError;
use crate::resources::{Dimension, Resources};

impl Cell {
    /// Adds a machine.
    ///
    /// # Errors
    ///
    /// [`CellError::BadCapacity`] or [`CellError::BadPlan`] for a capacity, a speed or a rack out of range.
    pub fn add_machine(&mut self, spec: MachineSpec, _now: Time) -> Result<MachineKey, CellError> {
        self.fleet.add(spec)
    }

    /// Sets the capacities of machines that other owners hold: a task that fits one of them waits
    /// here instead of being refused. None means that they are not known, so nothing is refused
    /// for its size; a new cell assumes that there are none.
    pub fn set_remote_capacities(&mut self, shapes: Option<Vec<Resources>>) {
        self.fleet.set_remote_capacities(shapes);
    }

    /// Returns whether a machine takes work.
    pub fn machine_state(&self, machine: MachineKey) -> Option<MachineState> {
        self.fleet.get(machine).map(|m| m.standing)
    }

    /// Returns what is counted on a machine.
    pub fn machine_used(&self, machine: MachineKey) -> Option<Resources> {
        self.fleet.get(machine).map(|m| m.used)
    }

    /// Returns the tasks that are counted on a machine.
    pub fn machine_tasks(&self, machine: MachineKey) -> &[TaskKey] {
        self.fleet.get(machine).map_or(&[], |m| &m.running)
    }

    /// Gives a machine no new work; what runs there goes on.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn set_leaving(&mut self, machine: MachineKey, _now: Time) -> Result<(), CellError> {
        self.check_known(machine)?;
        self.unreserve(machine);
        self.fleet.set_standing(machine, MachineState::Leaving);
        Ok(())
    }

    /// Takes a machine out of service. Its tasks, which are returned, stay until
    /// [`Cell::ended`] says that they ended or that their leases have certainly lapsed.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn remove_machine(
        &mut self,
        machine: MachineKey,
        _now: Time,
    ) -> Result<Vec<TaskKey>, CellError> {
        self.check_known(machine)?;
        self.unreserve(machine);
        self.holds.retain(|_, hold| hold.machine != machine);
        self.fleet.retire(machine);
        let tasks = self.machine_tasks(machine).to_vec();
        self.fleet.prune(machine);
        Ok(tasks)
    }

    /// Takes in a usage report: what is seen in use beyond what is counted is not given out. A report
    /// older than the last one is ignored.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn observe(&mut self, machine: MachineKey, usage: Usage) -> Result<(), CellError> {
        self.check_known(machine)?;
        self.fleet.update(machine, |m| {
            if usage.taken < m.observed {
                return;
            }
            m.observed = usage.taken;
            m.excess = usage
                .used
                .minus(&m.used)
                .with(Dimension::Slots, 0)
                .with(Dimension::Connections, 0);
        });
        Ok(())
    }

    /// Counts capacity on a machine for inherited work of unknown extent, as much as is free.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn occupy(&mut self, machine: MachineKey, size: Resources) -> Result<HoldKey, CellError> {
        self.check_known(machine)?;
        let free = self
            .fleet
            .get(machine)
            .map_or(Resources::ZERO, |m| m.spec.capacity.minus(&m.used));
        let size = size.min(&free);
        self.fleet.charge(machine, &size);
        Ok(self.holds.insert(Hold { machine, size }))
    }

    /// Ends a hold.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownHold`] if it was released or its machine is gone.
    pub fn release(&mut self, hold: HoldKey) -> Result<(), CellError> {
        let hold = self.holds.remove(hold).ok_or(CellError::UnknownHold)?;
        self.fleet.refund(hold.machine, &hold.size);
        self.record_release(hold.machine);
        Ok(())
    }

    pub(super) fn check_known(&self, machine: MachineKey) -> Result<(), CellError> {
        match self.machine_state(machine) {
            None | Some(MachineState::Gone) => Err(CellError::UnknownMachine),
            Some(_) => Ok(()),
        }
    }

    /// Ends a claim on a machine, or takes it out of a reservation.
    pub(super) fn unreserve(&mut self, machine: MachineKey) {
        match self.fleet.get(machine).and_then(|m| m.reserved_for) {
            Some(ReservedFor::Task(task)) => self.drop_claim(task),
            Some(ReservedFor::Gang(..)) => {
                for reservation in &mut self.reservations {
                    reservation.release(machine);
                }
                self.fleet.set_reserved_for(machine, None);
            }
            None => {}
        }
    }

    /// Remembers that capacity came free on a machine.
    pub(super) fn record_release(&mut self, machine: MachineKey) {
        let Some(m) = self.fleet.get(machine) else {
            return;
        };
        if let Some(ReservedFor::Task(_)) = m.reserved_for {
            self.ready_claims.push(machine);
        } else if m.throttled > 0 {
            self.unthrottle.insert(machine);
        }
    }
}
