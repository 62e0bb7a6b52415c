//! Gangs: tasks that start together or not at all.

use kingcupwinch_time::{Span, Time};

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
    pub(crate) calm: Time,
    /// How often a reservation lapsed.
    pub(crate) lapses: u32,
}

impl Gang {
    pub(crate) fn new(spec: GangSpec, tasks: Vec<TaskKey>) -> Self {
        Gang {
            spec,
            alive: spec.count,
            tasks,
            running: 0,
            broken: false,
            calm: Time::ZERO,
            lapses: 0,
        }
    }

    /// Returns the task that stands in the queue for all.
    pub(crate) fn leader(&self) -> TaskKey {
        self.tasks[0]
    }
}

/// Machines that a gang gathers its places on. A cell has one at a time, so that two gangs never
/// wait for each other.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) gang: GangKey,
    pub(crate) machines: Vec<MachineKey>,
    /// When enough places are expected to be free; shorter work fills the time until then.
    pub(crate) start: Time,
    /// When it lapses.
    pub(crate) until: Time,
    /// When the places are next counted.
    pub(crate) check: Time,
    /// Whether movable work on the machines was asked to leave.
    pub(crate) asked: bool,
}

/// The shortest life of a reservation.
pub(crate) const MIN_LIFE: Span = Span::from_secs(10);
/// The first horizon that a plan looks ahead; it doubles up to the last.
pub(crate) const FIRST_HORIZON: Span = Span::from_secs(1);
/// The last horizon that a plan looks ahead.
pub(crate) const LAST_HORIZON: Span = Span::from_secs(1024);
/// The time between two counts of the places.
pub(crate) const CHECK_EVERY: Span = Span::from_millis(50);

/// Racks whose machines are counted one by one in a try.
pub(crate) const RACK_CANDIDATES: usize = 8;

/// A rack in the order in which a gang tries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackChoice {
    /// Places by the sums of the rack, an upper bound.
    pub(crate) places: u64,
    /// The rack.
    pub(crate) rack: RackKey,
}
