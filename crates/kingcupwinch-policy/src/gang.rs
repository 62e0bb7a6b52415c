//! Gangs: tasks that start together or not at all.

use kingcupwinch_time::Time;

use crate::decision::TaskSpec;
use crate::key::{GangKey, MachineKey, RackKey, TaskKey};

/// Where the tasks of a gang may stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Spread {
    /// On one rack where they fit, else anywhere.
    PreferRack,
    /// On one rack only.
    OneRack,
    /// Anywhere.
    Anywhere,
}

/// A gang as submitted: `count` tasks like `task`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangSpec {
    /// What each task is like.
    pub task: TaskSpec,
    /// How many start together.
    pub count: u32,
    /// Where they may stand.
    pub spread: Spread,
}

impl GangSpec {
    /// Makes a gang that prefers one rack.
    pub const fn new(task: TaskSpec, count: u32) -> Self {
        GangSpec {
            task,
            count,
            spread: Spread::PreferRack,
        }
    }

    /// Sets where its tasks may stand.
    #[must_use]
    pub const fn with_spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }
}

/// A gang from its submission until its last task's end.
#[derive(Debug)]
pub(crate) struct Gang {
    pub(crate) spec: GangSpec,
    pub(crate) tasks: Vec<TaskKey>,
    /// How many of its tasks are in the cell.
    pub(crate) alive: u32,
    /// How many of its tasks are counted on machines.
    pub(crate) running: u32,
    /// Whether a task ended badly, so that the whole gang starts again.
    pub(crate) broken: bool,
    /// Before this time it doesn't reserve again.
    pub(crate) cooldown: Time,
    /// Urgent places that it would have taken where it last fitted.
    pub(crate) urgent_cost: u64,
    /// How often a reservation lapsed.
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

    /// Returns the task that stands in the queue for all.
    pub(crate) fn leader(&self) -> TaskKey {
        self.tasks[0]
    }
}

/// What is kept for a gang.
#[derive(Debug)]
pub(crate) enum ReservedCapacity {
    /// Places for all its tasks, anywhere.
    Floating,
    /// Machines of a rack.
    Machines(Vec<MachineKey>),
}

/// A gang that gathers its places.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) gang: GangKey,
    pub(crate) reserved: ReservedCapacity,
    /// When enough is expected to be free; shorter work fills the time until then.
    pub(crate) start: Time,
    /// When it lapses.
    pub(crate) expires: Time,
    /// When the places are next counted.
    pub(crate) next_check: Time,
    /// Whether movable work was asked to leave.
    pub(crate) preempting: bool,
}

impl Reservation {
    /// Whether places are kept anywhere, not on certain machines.
    pub(crate) fn is_floating(&self) -> bool {
        matches!(self.reserved, ReservedCapacity::Floating)
    }

    /// Returns the machines that are kept.
    pub(crate) fn machines(&self) -> &[MachineKey] {
        match &self.reserved {
            ReservedCapacity::Floating => &[],
            ReservedCapacity::Machines(machines) => machines,
        }
    }

    /// Takes a machine out.
    pub(crate) fn release(&mut self, machine: MachineKey) {
        if let ReservedCapacity::Machines(machines) = &mut self.reserved {
            machines.retain(|&m| m != machine);
        }
    }
}

/// Racks whose machines are counted one by one in a try.
pub(crate) const RACK_CANDIDATES: usize = 8;

/// A rack in the order in which a gang tries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackCandidate {
    /// Places by the sums of the rack, an upper bound.
    pub(crate) places: u64,
    /// The rack.
    pub(crate) rack: RackKey,
}
