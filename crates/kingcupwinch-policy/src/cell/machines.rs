//! Registration, changes and removal of machines.

use kingcupwinch_time::Time;

use super::{Cell, Hold};
use crate::decision::Usage;
use crate::key::{HoldKey, MachineKey, TaskKey};
use crate::machine::{Machine, MachineSpec, MachineState, ReservedFor};
use crate::refusal::CellError;
use crate::resources::{Dimension, Resources};

impl Cell {
    /// Adds a machine.
    ///
    /// # Errors
    ///
    /// [`CellError::BadCapacity`] or [`CellError::BadPlan`] for a capacity, a speed or a rack count
    /// out of range.
    pub fn add_machine(&mut self, spec: MachineSpec, _now: Time) -> Result<MachineKey, CellError> {
        self.fleet.add(spec)
    }

    /// Sets the capacities of the machines of other owners. A task that fits only one of them waits
    /// in this cell instead of being refused. `None` means that they are unknown, so that no task
    /// is refused for its size; a new cell assumes that there are none.
    pub fn set_remote_capacities(&mut self, capacities: Option<Vec<Resources>>) {
        self.fleet.set_remote_capacities(capacities);
    }

    /// Returns the state of a machine; `None` if it is unknown.
    pub fn machine_state(&self, machine: MachineKey) -> Option<MachineState> {
        self.fleet.get(machine).map(|m| m.state)
    }

    /// Returns the resources allocated on a machine.
    pub fn machine_used(&self, machine: MachineKey) -> Option<Resources> {
        self.fleet.get(machine).map(|m| m.used)
    }

    /// Returns the tasks that run on a machine.
    pub fn machine_tasks(&self, machine: MachineKey) -> &[TaskKey] {
        self.fleet.get(machine).map_or(&[], |m| &m.running)
    }

    /// Stops assigning tasks to a machine; its running tasks continue.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn set_leaving(&mut self, machine: MachineKey, _now: Time) -> Result<(), CellError> {
        self.check_known(machine)?;
        self.unreserve(machine);
        self.fleet.set_state(machine, MachineState::Leaving);
        self.fleet.update(machine, |m| m.drained = true);
        Ok(())
    }

    /// Takes a machine out of service and returns its tasks. They stay in the cell until
    /// [`Cell::ended`] reports that they ended or that their leases have expired.
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

    /// Records a usage report. Usage in excess of the allocation is not available to other tasks. A
    /// report older than the last one is ignored.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn observe(&mut self, machine: MachineKey, usage: Usage) -> Result<(), CellError> {
        self.check_known(machine)?;
        self.fleet.update(machine, |m| {
            if usage.taken < m.observed_at {
                return;
            }
            m.observed_at = usage.taken;
            m.excess = usage
                .used
                .minus(&m.used)
                .with(Dimension::Slots, 0)
                .with(Dimension::Connections, 0);
        });
        Ok(())
    }

    /// Holds capacity on a machine for inherited work of unknown size, up to what is free.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn occupy(&mut self, machine: MachineKey, size: Resources) -> Result<HoldKey, CellError> {
        self.check_known(machine)?;
        let free = self
            .fleet
            .get(machine)
            .map_or(Resources::ZERO, Machine::unallocated);
        let size = size.min(&free);
        self.fleet.allocate(machine, &size);
        Ok(self.holds.insert(Hold { machine, size }))
    }

    /// Holds capacity for one inherited run of known slots and connections, which it uses even if they
    /// are not free. The rest of its size is held up to what is free.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownMachine`] if it is unknown or gone.
    pub fn hold_run(&mut self, machine: MachineKey, size: Resources) -> Result<HoldKey, CellError> {
        self.check_known(machine)?;
        let free = self
            .fleet
            .get(machine)
            .map_or(Resources::ZERO, Machine::unallocated);
        let held = size.min(&free);
        let held = [Dimension::Slots, Dimension::Connections]
            .into_iter()
            .fold(held, |held, d| held.with(d, size.get(d)));
        self.fleet.allocate(machine, &held);
        Ok(self.holds.insert(Hold {
            machine,
            size: held,
        }))
    }

    /// Releases a hold.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownHold`] if it was released or its machine is gone.
    pub fn release(&mut self, hold: HoldKey) -> Result<(), CellError> {
        let hold = self.holds.remove(hold).ok_or(CellError::UnknownHold)?;
        self.fleet.release(hold.machine, &hold.size);
        self.record_release(hold.machine);
        Ok(())
    }

    pub(super) fn check_known(&self, machine: MachineKey) -> Result<(), CellError> {
        match self.machine_state(machine) {
            None | Some(MachineState::Gone) => Err(CellError::UnknownMachine),
            Some(_) => Ok(()),
        }
    }

    /// Ends a claim on a machine, or removes it from a gang reservation.
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

    /// Records that capacity was released on a machine, so that a later decision round tries to
    /// start the claiming task or to restore the processor share of the throttled tasks there.
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
