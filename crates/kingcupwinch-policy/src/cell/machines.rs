//! Machines that come, change and go.

use kingcupwinch_time::Time;

use super::{Cell, Hold};
use crate::decision::Usage;
use crate::key::{HoldKey, MachineKey, TaskKey};
use crate::machine::{Keep, MachineSpec, Standing};
use crate::refusal::Fault;
use crate::size::{Dimension, Size};

impl Cell {
    /// Adds a machine.
    ///
    /// # Errors
    ///
    /// [`Fault::BadCapacity`] or [`Fault::BadPlan`] for a capacity, a speed or a rack out of range.
    pub fn add_machine(&mut self, spec: MachineSpec, _now: Time) -> Result<MachineKey, Fault> {
        self.fleet.add(spec)
    }

    /// Sets the capacities of machines that other owners hold: a task that fits one of them waits
    /// here instead of being refused. None means that they are not known, so nothing is refused
    /// for its size; a new cell assumes that there are none.
    pub fn set_elsewhere(&mut self, shapes: Option<Vec<Size>>) {
        self.fleet.set_elsewhere(shapes);
    }

    /// Returns whether a machine takes work.
    pub fn standing(&self, machine: MachineKey) -> Option<Standing> {
        self.fleet.get(machine).map(|m| m.standing)
    }

    /// Returns what is counted on a machine.
    pub fn machine_used(&self, machine: MachineKey) -> Option<Size> {
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
    /// [`Fault::UnknownMachine`] if it is unknown or gone.
    pub fn set_leaving(&mut self, machine: MachineKey, _now: Time) -> Result<(), Fault> {
        self.known(machine)?;
        self.drop_keep(machine);
        self.fleet.set_standing(machine, Standing::Leaving);
        Ok(())
    }

    /// Takes a machine out of service. Its tasks, which are returned, stay until
    /// [`Cell::ended`] says that they ended or that their leases have certainly lapsed.
    ///
    /// # Errors
    ///
    /// [`Fault::UnknownMachine`] if it is unknown or gone.
    pub fn remove_machine(
        &mut self,
        machine: MachineKey,
        _now: Time,
    ) -> Result<Vec<TaskKey>, Fault> {
        self.known(machine)?;
        self.drop_keep(machine);
        self.holds.retain(|_, hold| hold.machine != machine);
        self.fleet.retire(machine);
        let tasks = self.machine_tasks(machine).to_vec();
        self.fleet.forget(machine);
        Ok(tasks)
    }

    /// Takes in a usage report: what is seen in use beyond what is counted is not given out. A report
    /// older than the last one is ignored.
    ///
    /// # Errors
    ///
    /// [`Fault::UnknownMachine`] if it is unknown or gone.
    pub fn observe(&mut self, machine: MachineKey, usage: Usage) -> Result<(), Fault> {
        self.known(machine)?;
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
    /// [`Fault::UnknownMachine`] if it is unknown or gone.
    pub fn occupy(&mut self, machine: MachineKey, size: Size) -> Result<HoldKey, Fault> {
        self.known(machine)?;
        let free = self
            .fleet
            .get(machine)
            .map_or(Size::ZERO, |m| m.spec.capacity.minus(&m.used));
        let size = size.min(&free);
        self.fleet.charge(machine, &size);
        Ok(self.holds.insert(Hold { machine, size }))
    }

    /// Ends a hold.
    ///
    /// # Errors
    ///
    /// [`Fault::UnknownHold`] if it was released or its machine is gone.
    pub fn release(&mut self, hold: HoldKey) -> Result<(), Fault> {
        let hold = self.holds.remove(hold).ok_or(Fault::UnknownHold)?;
        self.fleet.refund(hold.machine, &hold.size);
        self.note_release(hold.machine);
        Ok(())
    }

    pub(super) fn known(&self, machine: MachineKey) -> Result<(), Fault> {
        match self.standing(machine) {
            None | Some(Standing::Gone) => Err(Fault::UnknownMachine),
            Some(_) => Ok(()),
        }
    }

    /// Ends a claim on a machine, or takes it out of a reservation.
    pub(super) fn drop_keep(&mut self, machine: MachineKey) {
        match self.fleet.get(machine).and_then(|m| m.keep) {
            Some(Keep::Task(task)) => self.drop_claim(task),
            Some(Keep::Gang(..)) => {
                for reservation in &mut self.reservations {
                    reservation.release(machine);
                }
                self.fleet.keep(machine, None);
            }
            None => {}
        }
    }

    /// Remembers that capacity came free on a machine.
    pub(super) fn note_release(&mut self, machine: MachineKey) {
        let Some(m) = self.fleet.get(machine) else {
            return;
        };
        if let Some(Keep::Task(_)) = m.keep {
            self.ready.push(machine);
        } else if m.throttled > 0 {
            self.relief.insert(machine);
        }
    }
}
