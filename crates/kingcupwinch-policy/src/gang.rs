//! Gangs: groups of tasks that start together or not at all.

use kingcupwinch_time::Time;

use crate::decision::TaskSpec;
use crate::key::{GangKey, MachineKey, RackKey, TaskKey};

/// Rack constraint of the tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Spread {
    /// On one rack if they fit there, else on any machines.
    PreferRack,
    /// On one rack only.
    OneRack,
    /// On any machines.
    Anywhere,
}

/// A gang as submitted: `count` tasks, each described by `task`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangSpec {
    /// The description of each task.
    pub task: TaskSpec,
    /// The number of tasks.
    pub count: u32,
    /// The rack constraint.
    pub spread: Spread,
}

impl GangSpec {
    /// Creates a gang that prefers one rack.
    pub const fn new(task: TaskSpec, count: u32) -> Self {
        GangSpec {
            task,
            count,
            spread: Spread::PreferRack,
        }
    }

    /// Sets the rack constraint.
    #[must_use]
    pub const fn with_spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }
}

/// A gang between its submission and the end of its last task.
#[derive(Debug)]
pub(crate) struct Gang {
    pub(crate) spec: GangSpec,
    pub(crate) tasks: Vec<TaskKey>,
    /// Number of its tasks that are still in the cell.
    pub(crate) alive: u32,
    /// Number of its tasks that run.
    pub(crate) running: u32,
    /// Whether a task failed, so that the whole gang is stopped and started again.
    pub(crate) broken: bool,
    /// Until this time the gang is neither tried nor gets a reservation.
    pub(crate) cooldown: Time,
    /// Number of urgent places that the gang would have used in the last allocation found for it.
    pub(crate) urgent_cost: u64,
    /// Number of its reservations that expired.
    pub(crate) expirations: u32,
}

impl Gang {
    pub(crate) fn new(spec: GangSpec, tasks: Vec<TaskKey>) -> Self {
        Gang {
            spec,
            alive: spec.count,
            tasks,
            running: 0,
            broken: false,
            urgent_cost: 0,
            cooldown: Time::ZERO,
            expirations: 0,
        }
    }

    /// Returns the task that represents the gang in the queue.
    pub(crate) fn leader(&self) -> TaskKey {
        self.tasks[0]
    }
}

/// Capacity reserved for a gang.
#[derive(Debug)]
pub(crate) enum ReservedCapacity {
    /// Places for all of its tasks on any machines.
    Floating,
    /// Certain machines of one rack.
    Machines(Vec<MachineKey>),
}

/// Capacity that is set aside for a gang until the gang can start.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) gang: GangKey,
    pub(crate) reserved: ReservedCapacity,
    /// When enough capacity is expected to be free. Tasks that end before this time may use the
    /// reserved capacity (backfill).
    pub(crate) start: Time,
    /// When the reservation expires.
    pub(crate) expires: Time,
    /// When the free places are next counted.
    pub(crate) next_check: Time,
    /// Whether movable tasks have been asked to leave.
    pub(crate) preempting: bool,
}

impl Reservation {
    /// Returns whether the reservation is for a number of places rather than for certain machines.
    pub(crate) fn is_floating(&self) -> bool {
        matches!(self.reserved, ReservedCapacity::Floating)
    }

    /// Returns the reserved machines.
    pub(crate) fn machines(&self) -> &[MachineKey] {
        match &self.reserved {
            ReservedCapacity::Floating => &[],
            ReservedCapacity::Machines(machines) => machines,
        }
    }

    /// Removes a machine from the reservation.
    pub(crate) fn release(&mut self, machine: MachineKey) {
        if let ReservedCapacity::Machines(machines) = &mut self.reserved {
            machines.retain(|&m| m != machine);
        }
    }
}

/// Maximum number of racks examined machine by machine in one try.
pub(crate) const RACK_CANDIDATES: usize = 8;

/// A candidate rack; candidates are tried in ascending order of their places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackCandidate {
    /// Upper bound of the places, from the total free capacity of the rack.
    pub(crate) places: u64,
    /// The rack.
    pub(crate) rack: RackKey,
}
