//! Machines of a cell.

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::health::Health;
use crate::index::IndexEntry;
use crate::key::{ClassKey, GangKey, RackKey, TaskKey};
use crate::resources::Resources;

/// Weight of a new observation in the moving average of a speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Lower limit of observed speeds.
const MIN_SPEED: f64 = 0.05;
/// Upper limit of observed speeds.
const MAX_SPEED: f64 = 64.0;

/// A machine as declared by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSpec {
    /// Its name in the platform's list of workers.
    pub name: Arc<str>,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Its capacity.
    pub capacity: Resources,
    /// Its declared speed relative to the reference machine.
    pub speed: f64,
}

impl MachineSpec {
    /// Creates a machine of speed 1.
    pub fn new(name: &str, zone: &str, rack: &str, capacity: Resources) -> Self {
        MachineSpec {
            name: Arc::from(name),
            zone: Arc::from(zone),
            rack: Arc::from(rack),
            capacity,
            speed: 1.0,
        }
    }

    /// Sets the declared speed.
    #[must_use]
    pub fn with_speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }
}

/// Availability of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Accepts tasks.
    Active,
    /// Accepts only single probe tasks until enough of them succeed.
    Quarantined,
    /// Accepts no new tasks; running tasks continue.
    Leaving,
    /// Out of service; its tasks stay in the cell until their leases have expired.
    Gone,
}

/// Number of place units.
pub(crate) const PLACE_UNITS: usize = 2;

/// A task size for which the fleet keeps count of the free places, that is, of the tasks of this
/// size that fit on open machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceUnit {
    /// An urgent task.
    Urgent,
    /// A task of the gang that holds the floating reservation.
    FloatingGang,
}

impl PlaceUnit {
    /// All place units.
    pub(crate) const ALL: [PlaceUnit; PLACE_UNITS] = [PlaceUnit::Urgent, PlaceUnit::FloatingGang];
}

/// The holder of a reservation of a whole machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReservedFor {
    /// One task, while other tasks are moved off the machine.
    Task(TaskKey),
    /// A gang, with the time at which it expects to start.
    Gang(GangKey, Time),
}

/// A machine of the cell and its usage.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) spec: MachineSpec,
    pub(crate) rack: RackKey,
    pub(crate) state: MachineState,
    /// Allocated to tasks and holds.
    pub(crate) used: Resources,
    /// Claimed by the task for which the machine is reserved.
    pub(crate) claimed: Resources,
    /// Observed usage in excess of the allocation.
    pub(crate) excess: Resources,
    /// When the last usage report was measured.
    pub(crate) observed_at: Time,
    pub(crate) running: Vec<TaskKey>,
    pub(crate) reserved_for: Option<ReservedFor>,
    /// Number of running tasks under which a machine has crashed.
    pub(crate) suspects: u32,
    /// Whether the machine was announced to leave.
    pub(crate) drained: bool,
    /// Number of throttled tasks.
    pub(crate) throttled: u32,
    pub(crate) health: Health,
    /// The task that runs as a health probe.
    pub(crate) probe: Option<TaskKey>,
    /// Free capacity that the totals of the fleet include for this machine.
    pub(crate) indexed_free: Resources,
    /// Free places that the totals of the fleet include for this machine.
    pub(crate) places: [u64; PLACE_UNITS],
    /// Location in an index of free capacity; `None` unless active.
    pub(crate) entry: Option<IndexEntry>,
    /// Number of tasks that can be moved, and position in the list of machines with such tasks.
    pub(crate) movable: Movable,
    speeds: Vec<f64>,
}

/// Movable tasks of a machine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Movable {
    /// Number of running tasks that can be moved.
    pub(crate) count: u32,
    /// Position in the list of machines with movable tasks.
    pub(crate) position: u32,
}

impl Machine {
    pub(crate) fn new(spec: MachineSpec, rack: RackKey) -> Self {
        Machine {
            spec,
            rack,
            state: MachineState::Active,
            used: Resources::ZERO,
            claimed: Resources::ZERO,
            excess: Resources::ZERO,
            observed_at: Time::ZERO,
            running: Vec::new(),
            reserved_for: None,
            suspects: 0,
            drained: false,
            throttled: 0,
            health: Health::default(),
            probe: None,
            indexed_free: Resources::ZERO,
            places: [0; PLACE_UNITS],
            entry: None,
            movable: Movable::default(),
            speeds: Vec::new(),
        }
    }

    /// Returns whether the machine is out of service.
    pub(crate) fn is_gone(&self) -> bool {
        self.state == MachineState::Gone
    }

    /// Returns the capacity that is not allocated.
    pub(crate) fn unallocated(&self) -> Resources {
        self.spec.capacity.minus(&self.used)
    }

    /// Returns the capacity that is neither allocated nor observed to be in use.
    pub(crate) fn idle(&self) -> Resources {
        self.unallocated().minus(&self.excess)
    }

    /// Returns how many places of size `unit` the machine loses to a task of size `need`.
    pub(crate) fn places_lost(&self, kind: PlaceUnit, unit: &Resources, need: &Resources) -> u64 {
        let left = self.indexed_free.minus(need);
        self.places[kind as usize].saturating_sub(unit.times_in(&left))
    }

    /// Returns the idle capacity without the claimed part.
    pub(crate) fn free(&self) -> Resources {
        self.idle().minus(&self.claimed)
    }

    /// Returns the observed speed for a class; the declared speed before any observation.
    pub(crate) fn speed(&self, class: ClassKey) -> f64 {
        match self.speeds.get(class.index()) {
            Some(speed) if *speed > 0.0 => *speed,
            _ => self.spec.speed,
        }
    }

    /// Records the speed of one run and returns the new moving average.
    pub(crate) fn record_speed(&mut self, class: ClassKey, speed: f64) -> f64 {
        let old = self.speed(class);
        let seen = speed.clamp(MIN_SPEED, MAX_SPEED);
        let new = old + SPEED_WEIGHT * (seen - old);
        if self.speeds.len() <= class.index() {
            self.speeds.resize(class.index() + 1, 0.0);
        }
        self.speeds[class.index()] = new;
        new
    }

    /// Returns the mean of the observed speeds over all classes; the declared speed before any
    /// observation.
    pub(crate) fn mean_speed(&self) -> f64 {
        let seen = self.speeds.iter().filter(|s| **s > 0.0);
        let (sum, count) = seen.fold((0.0, 0u32), |(s, n), v| (s + v, n + 1));
        if count == 0 {
            self.spec.speed
        } else {
            sum / f64::from(count)
        }
    }
}
