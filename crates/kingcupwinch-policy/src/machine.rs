//! One machine as the cell sees it.

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::health::Health;
use crate::index::IndexEntry;
use crate::key::{ClassKey, GangKey, RackKey, TaskKey};
use crate::resources::Resources;

/// The weight of a new observation of a machine's speed.
const SPEED_WEIGHT: f64 = 0.1;
/// The slowest speed that is believed.
const MIN_SPEED: f64 = 0.05;
/// The fastest speed that is believed.
const MAX_SPEED: f64 = 64.0;

/// A machine as the platform declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSpec {
    /// Its name in the platform's list.
    pub name: Arc<str>,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// What it can hold.
    pub capacity: Resources,
    /// Its declared speed, 1 for the reference machine.
    pub speed: f64,
}

impl MachineSpec {
    /// Makes a machine of speed 1.
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

/// Whether a machine takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It takes work.
    Active,
    /// It takes single probes until this deadline for the next one.
    Quarantined,
    /// It takes no new work and finishes what runs.
    Leaving,
    /// It is gone; its tasks wait for their leases to lapse.
    Gone,
}

/// The sizes of which a fleet counts how many fit.
pub(crate) const PLACE_UNITS: usize = 2;

/// A size of which a fleet counts how many fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceUnit {
    /// An urgent task.
    Urgent,
    /// A task of the gang that has a pledge.
    FloatingGang,
}

impl PlaceUnit {
    /// Every watch.
    pub(crate) const ALL: [PlaceUnit; PLACE_UNITS] = [PlaceUnit::Urgent, PlaceUnit::FloatingGang];
}

/// Who a machine's free capacity is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReservedFor {
    /// One task for which others are being moved.
    Task(TaskKey),
    /// A gang that gathers places and expects to start at this time.
    Gang(GangKey, Time),
}

/// A machine of the cell.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) spec: MachineSpec,
    pub(crate) rack: RackKey,
    pub(crate) standing: MachineState,
    /// Counted for tasks and holds.
    pub(crate) used: Resources,
    /// Kept for the task that has a claim here.
    pub(crate) claimed: Resources,
    /// Observed beyond what is counted.
    pub(crate) excess: Resources,
    /// When the last use was taken.
    pub(crate) observed: Time,
    pub(crate) running: Vec<TaskKey>,
    pub(crate) reserved_for: Option<ReservedFor>,
    /// How many of its running tasks are throttled.
    pub(crate) throttled: u32,
    pub(crate) health: Health,
    /// The task that runs as a probe of its health.
    pub(crate) probe: Option<TaskKey>,
    /// What the sums of free capacity hold for it.
    pub(crate) indexed_free: Resources,
    /// What the sums of places hold for it.
    pub(crate) places: [u64; PLACE_UNITS],
    /// Where it stands in an index of free capacity.
    pub(crate) entry: Option<IndexEntry>,
    /// Where it stands in the list of machines with work that can be moved.
    pub(crate) movable: Movable,
    speeds: Vec<f64>,
}

/// Running work that can be moved off a machine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Movable {
    /// How many running tasks can be moved.
    pub(crate) count: u32,
    /// The machine's position in the list.
    pub(crate) position: u32,
}

impl Machine {
    pub(crate) fn new(spec: MachineSpec, rack: RackKey) -> Self {
        Machine {
            spec,
            rack,
            standing: MachineState::Active,
            used: Resources::ZERO,
            claimed: Resources::ZERO,
            excess: Resources::ZERO,
            observed: Time::ZERO,
            running: Vec::new(),
            reserved_for: None,
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

    /// Returns what is neither counted nor seen in use.
    pub(crate) fn idle(&self) -> Resources {
        self.spec.capacity.minus(&self.used).minus(&self.excess)
    }

    /// Returns how many places for tasks of size `unit` it loses to work of size `need`.
    pub(crate) fn places_lost(&self, kind: PlaceUnit, unit: &Resources, need: &Resources) -> u64 {
        let left = self.indexed_free.minus(need);
        self.places[kind as usize].saturating_sub(unit.times_in(&left))
    }

    /// Returns what is idle and not claimed.
    pub(crate) fn free(&self) -> Resources {
        self.idle().minus(&self.claimed)
    }

    /// Returns the speed seen for a class, the declared one before any observation.
    pub(crate) fn speed(&self, class: ClassKey) -> f64 {
        match self.speeds.get(class.index()) {
            Some(speed) if *speed > 0.0 => *speed,
            _ => self.spec.speed,
        }
    }

    /// Takes in the speed of one run; the new speed.
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

    /// Returns the mean of the speeds seen, the declared one before any observation.
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
