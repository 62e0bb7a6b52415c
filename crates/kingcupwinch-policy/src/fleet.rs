//! Machines of a cell, their racks and the indexes of their free capacity.

mod search;

use std::sync::Arc;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::index::{Buckets, FreeIndex};
use crate::key::{ClassKey, MachineKey, RackKey, TaskKey};
use crate::machine::{Machine, MachineSpec, MachineState, PLACE_UNITS, PlaceUnit, ReservedFor};
use crate::refusal::CellError;
use crate::resources::{Dimension, MAX_AMOUNT, Resources};

/// Number of speed tiers.
pub(crate) const TIERS: usize = 4;
/// Upper speed limits of all tiers but the fastest.
const TIER_SPEEDS: [f64; TIERS - 1] = [1.5, 3.0, 6.0];
/// Index of the machines reserved for a gang, after the speed tiers.
const RESERVED: u8 = TIERS as u8;

/// A rack and its free capacity.
#[derive(Debug)]
pub(crate) struct Rack {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) machines: Vec<MachineKey>,
    /// Free capacity of the machines that are open to every task.
    pub(crate) free: Resources,
}

/// The machines of a cell and totals over them.
#[derive(Debug)]
pub(crate) struct Fleet {
    machines: SlotMap<MachineKey, Machine>,
    racks: Vec<Rack>,
    /// Number of machines with each distinct capacity.
    capacities: FxHashMap<Resources, u32>,
    /// Number of times that a machine of a new capacity was added.
    shapes: u64,
    /// Capacities of the machines of other owners; `None` if they are unknown.
    remote_capacities: Option<Vec<Resources>>,
    buckets: Buckets,
    /// Open machines by speed tier, followed by the machines reserved for a gang.
    indexes: Vec<FreeIndex>,
    /// Machines with running tasks that can be moved.
    movable: Vec<MachineKey>,
    capacity: Resources,
    used: Resources,
    free: Resources,
    /// Size of each place unit; zero if the unit is unused.
    units: [Resources; PLACE_UNITS],
    /// Number of tasks of each unit that fit on open machines.
    places: [u64; PLACE_UNITS],
    quarantined: usize,
    max_speed: f64,
    /// Counter that increases with every release of capacity.
    releases: u64,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Fleet {
            machines: SlotMap::with_key(),
            racks: Vec::new(),
            capacities: FxHashMap::default(),
            shapes: 0,
            remote_capacities: Some(Vec::new()),
            buckets: Buckets::new(),
            indexes: (0..=RESERVED).map(FreeIndex::new).collect(),
            movable: Vec::new(),
            capacity: Resources::ZERO,
            used: Resources::ZERO,
            free: Resources::ZERO,
            units: [Resources::ZERO; PLACE_UNITS],
            places: [0; PLACE_UNITS],
            quarantined: 0,
            max_speed: 1.0,
            releases: 0,
        }
    }

    /// Returns the total capacity of machines that are not gone.
    pub(crate) fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns the resources allocated on machines that are not gone.
    pub(crate) fn used(&self) -> &Resources {
        &self.used
    }

    /// Returns the free capacity of open machines.
    pub(crate) fn free(&self) -> &Resources {
        &self.free
    }

    /// Returns a counter that increases with every release of capacity.
    pub(crate) fn releases(&self) -> u64 {
        self.releases
    }

    /// Increments the release counter, so that blocked queues are tried again.
    pub(crate) fn record_release(&mut self) {
        self.releases += 1;
    }

    /// Returns a counter that increases when a machine of a new capacity is added.
    pub(crate) fn shapes(&self) -> u64 {
        self.shapes
    }

    /// Returns the number of machines in quarantine.
    pub(crate) fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Returns the highest speed declared or observed.
    pub(crate) fn max_speed(&self) -> f64 {
        self.max_speed
    }

    /// Records the speed that a machine showed for a class.
    pub(crate) fn record_speed(&mut self, key: MachineKey, class: ClassKey, speed: f64) {
        let mut seen = 0.0;
        self.update(key, |machine| seen = machine.record_speed(class, speed));
        self.max_speed = self.max_speed.max(seen);
    }

    /// Returns the racks.
    pub(crate) fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Returns the machines with running tasks that can be moved.
    pub(crate) fn movable(&self) -> &[MachineKey] {
        &self.movable
    }

    /// Returns a machine.
    pub(crate) fn get(&self, key: MachineKey) -> Option<&Machine> {
        self.machines.get(key)
    }

    /// Returns every machine.
    #[cfg(test)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MachineKey, &Machine)> {
        self.machines.iter()
    }

    /// Returns the number of machines, including those that are gone but still have tasks.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a machine.
    ///
    /// # Errors
    ///
    /// [`CellError::BadCapacity`] or [`CellError::BadPlan`] for a capacity, a speed or a rack count
    /// out of range.
    pub(crate) fn add(&mut self, spec: MachineSpec) -> Result<MachineKey, CellError> {
        check_capacity(&spec.capacity)?;
        if !spec.speed.is_finite() || spec.speed <= 0.0 {
            return Err(CellError::BadPlan("a machine's speed must be above zero"));
        }
        let rack = self.rack_of(&spec)?;
        let capacity = spec.capacity;
        self.max_speed = self.max_speed.max(spec.speed);
        let key = self.machines.insert(Machine::new(spec, rack));
        self.racks[rack.index()].machines.push(key);
        let machines = self.capacities.entry(capacity).or_insert(0);
        *machines += 1;
        self.shapes += u64::from(*machines == 1);
        self.capacity = self.capacity.plus(&capacity);
        self.releases += 1;
        self.reindex(key);
        Ok(key)
    }

    fn rack_of(&mut self, spec: &MachineSpec) -> Result<RackKey, CellError> {
        let known = self
            .racks
            .iter()
            .position(|r| r.name == spec.rack && r.zone == spec.zone);
        let index = match known {
            Some(index) => index,
            None => {
                self.racks.push(Rack {
                    name: spec.rack.clone(),
                    zone: spec.zone.clone(),
                    machines: Vec::new(),
                    free: Resources::ZERO,
                });
                self.racks.len() - 1
            }
        };
        u16::try_from(index)
            .map(RackKey)
            .map_err(|_| CellError::BadPlan("too many racks"))
    }

    /// Changes the state of a machine.
    pub(crate) fn set_state(&mut self, key: MachineKey, state: MachineState) {
        let Some(machine) = self.machines.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut machine.state, state);
        if old == MachineState::Quarantined {
            self.quarantined -= 1;
        }
        if state == MachineState::Quarantined {
            self.quarantined += 1;
        }
        if state == MachineState::Active {
            self.releases += 1;
        }
        self.reindex(key);
    }

    /// Takes a machine out of service. Its tasks stay allocated on it until they end.
    pub(crate) fn retire(&mut self, key: MachineKey) {
        self.set_state(key, MachineState::Gone);
        let machine = &self.machines[key];
        let (capacity, used, rack) = (machine.spec.capacity, machine.used, machine.rack);
        self.capacity = self.capacity.minus(&capacity);
        self.used = self.used.minus(&used);
        self.racks[rack.index()].machines.retain(|&m| m != key);
        if let Some(count) = self.capacities.get_mut(&capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&capacity);
            }
        }
    }

    /// Removes a machine that is gone and has no tasks left.
    pub(crate) fn prune(&mut self, key: MachineKey) {
        let empty = self
            .get(key)
            .is_some_and(|m| m.state == MachineState::Gone && m.running.is_empty());
        if empty {
            self.machines.remove(key);
        }
    }

    /// Allocates `size` on a machine.
    pub(crate) fn allocate(&mut self, key: MachineKey, size: &Resources) {
        let machine = &mut self.machines[key];
        machine.used = machine.used.plus(size);
        if machine.state != MachineState::Gone {
            self.used = self.used.plus(size);
        }
        self.reindex(key);
    }

    /// Releases `size` on a machine.
    pub(crate) fn release(&mut self, key: MachineKey, size: &Resources) {
        let machine = &mut self.machines[key];
        machine.used = machine.used.minus(size);
        if machine.state != MachineState::Gone {
            self.used = self.used.minus(size);
        }
        self.releases += 1;
        self.reindex(key);
    }

    /// Adds a task to the list of a machine and returns its position.
    pub(crate) fn add_task(&mut self, key: MachineKey, task: TaskKey) -> u32 {
        let running = &mut self.machines[key].running;
        running.push(task);
        (running.len() - 1) as u32
    }

    /// Removes the task at a position and returns the task that took its position, if any.
    pub(crate) fn remove_task(&mut self, key: MachineKey, position: u32) -> Option<TaskKey> {
        let running = &mut self.machines[key].running;
        running.swap_remove(position as usize);
        running.get(position as usize).copied()
    }

    /// Increments (`increment`) or decrements the number of a machine's tasks that can be moved.
    pub(crate) fn adjust_movable(&mut self, key: MachineKey, increment: bool) {
        let machine = &mut self.machines[key];
        if increment {
            machine.movable.count += 1;
            if machine.movable.count == 1 {
                machine.movable.position = self.movable.len() as u32;
                self.movable.push(key);
            }
            return;
        }
        machine.movable.count -= 1;
        if machine.movable.count > 0 {
            return;
        }
        let position = machine.movable.position;
        self.movable.swap_remove(position as usize);
        if let Some(&moved) = self.movable.get(position as usize) {
            self.machines[moved].movable.position = position;
        }
    }

    /// Reserves the free capacity of a machine, or opens the machine again.
    pub(crate) fn set_reserved_for(&mut self, key: MachineKey, reserved_for: Option<ReservedFor>) {
        let Some(machine) = self.machines.get_mut(key) else {
            return;
        };
        machine.reserved_for = reserved_for;
        machine.claimed = Resources::ZERO;
        if reserved_for.is_none() {
            self.releases += 1;
        }
        self.reindex(key);
    }

    /// Claims capacity on a machine for one task; the claim includes capacity that is released
    /// later.
    pub(crate) fn claim(&mut self, key: MachineKey, task: TaskKey, need: Resources) {
        self.update(key, |machine| {
            machine.reserved_for = Some(ReservedFor::Task(task));
            machine.claimed = need;
        });
    }

    /// Applies `change` to a machine and updates the indexes.
    pub(crate) fn update(&mut self, key: MachineKey, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.machines.get_mut(key) {
            let before = machine.excess;
            change(machine);
            if !before.fits(&machine.excess) {
                self.releases += 1;
            }
            self.reindex(key);
        }
    }

    /// Sets the capacities of the machines of other owners; `None` if they are unknown.
    pub(crate) fn set_remote_capacities(&mut self, capacities: Option<Vec<Resources>>) {
        self.remote_capacities = capacities;
    }

    /// Updates the indexes and totals with the free capacity of a machine.
    fn reindex(&mut self, key: MachineKey) {
        let machine = &self.machines[key];
        let (tier, free) = (index_for(machine), machine.free());
        let open = matches!(tier, Some(t) if t != RESERVED);
        let indexed_free = if open { free } else { Resources::ZERO };
        self.update_free(key, indexed_free);
        let entry = self.machines[key].entry;
        if let (Some(entry), Some(tier)) = (entry, tier) {
            let index = &self.indexes[usize::from(tier)];
            if entry.tier == tier && index.in_same_bucket(&self.buckets, entry, &free) {
                return;
            }
        }
        if let Some(entry) = entry {
            let moved = self.indexes[usize::from(entry.tier)].remove(entry);
            if let Some(moved) = moved {
                self.machines[moved.machine].entry = Some(moved.entry);
            }
        }
        let place = tier.map(|t| self.indexes[usize::from(t)].insert(&self.buckets, key, &free));
        self.machines[key].entry = place;
    }

    fn update_free(&mut self, key: MachineKey, indexed_free: Resources) {
        let machine = &mut self.machines[key];
        let old = std::mem::replace(&mut machine.indexed_free, indexed_free);
        for kind in PlaceUnit::ALL {
            let index = kind as usize;
            let places = self.units[index].times_in(&indexed_free);
            self.places[index] += places;
            self.places[index] -= std::mem::replace(&mut machine.places[index], places);
        }
        let rack = &mut self.racks[machine.rack.index()];
        rack.free = rack.free.plus(&indexed_free).minus(&old);
        self.free = self.free.plus(&indexed_free).minus(&old);
    }
}

/// Returns the number of the index that a machine belongs to.
fn index_for(machine: &Machine) -> Option<u8> {
    if machine.state != MachineState::Active {
        return None;
    }
    match machine.reserved_for {
        Some(ReservedFor::Gang(..)) => Some(RESERVED),
        Some(ReservedFor::Task(_)) | None => {
            let speed = machine.mean_speed();
            Some(TIER_SPEEDS.iter().filter(|s| speed >= **s).count() as u8)
        }
    }
}

fn check_capacity(capacity: &Resources) -> Result<(), CellError> {
    if let Some(d) = Dimension::ALL
        .into_iter()
        .find(|&d| capacity.get(d) > MAX_AMOUNT)
    {
        return Err(CellError::BadCapacity(d));
    }
    if capacity.get(Dimension::Slots) == 0 {
        return Err(CellError::BadCapacity(Dimension::Slots));
    }
    Ok(())
}
