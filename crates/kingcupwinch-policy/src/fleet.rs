//! The machines of a cell, their racks and the indexes of their free capacity.

mod search;

use std::sync::Arc;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::index::{Buckets, FreeIndex};
use crate::key::{ClassKey, MachineKey, RackKey, TaskKey};
use crate::machine::{Machine, MachineSpec, MachineState, PLACE_UNITS, PlaceUnit, ReservedFor};
use crate::refusal::CellError;
use crate::resources::{Dimension, MAX_AMOUNT, Resources};

/// The number of speed tiers.
pub(crate) const TIERS: usize = 4;
/// The upper speeds of all tiers but the last.
const TIER_SPEEDS: [f64; TIERS - 1] = [1.5, 3.0, 6.0];
/// The tier number of machines kept for a gang.
const RESERVED: u8 = TIERS as u8;

/// A rack and what is free on it.
#[derive(Debug)]
pub(crate) struct Rack {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) machines: Vec<MachineKey>,
    /// Free on its open machines.
    pub(crate) free: Resources,
}

/// The machines of a cell.
#[derive(Debug)]
pub(crate) struct Fleet {
    machines: SlotMap<MachineKey, Machine>,
    racks: Vec<Rack>,
    shapes: FxHashMap<Resources, u32>,
    /// Capacities of machines that others own; none means that they are not known.
    remote_shapes: Option<Vec<Resources>>,
    buckets: Buckets,
    /// Open machines by speed tier, then machines kept for a gang.
    indexes: Vec<FreeIndex>,
    movable: Vec<MachineKey>,
    capacity: Resources,
    used: Resources,
    free: Resources,
    /// The watched sizes; nothing where none is watched.
    units: [Resources; PLACE_UNITS],
    /// How many tasks of the watched sizes fit on open machines.
    places: [u64; PLACE_UNITS],
    quarantined: usize,
    max_speed: f64,
    releases: u64,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Fleet {
            machines: SlotMap::with_key(),
            racks: Vec::new(),
            shapes: FxHashMap::default(),
            remote_shapes: Some(Vec::new()),
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

    /// Returns the capacity of all machines that are not gone.
    pub(crate) fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns what is counted on machines that are not gone.
    pub(crate) fn used(&self) -> &Resources {
        &self.used
    }

    /// Returns what is free on open machines.
    pub(crate) fn free(&self) -> &Resources {
        &self.free
    }

    /// Returns a number that grows with every release of capacity.
    pub(crate) fn releases(&self) -> u64 {
        self.releases
    }

    /// Counts a change by which work that found no room may now find some.
    pub(crate) fn record_release(&mut self) {
        self.releases += 1;
    }

    /// Returns the number of machines in quarantine.
    pub(crate) fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Returns the highest speed declared or seen.
    pub(crate) fn max_speed(&self) -> f64 {
        self.max_speed
    }

    /// Takes in the speed that a machine showed on a class.
    pub(crate) fn record_speed(&mut self, key: MachineKey, class: ClassKey, speed: f64) {
        let mut seen = 0.0;
        self.update(key, |machine| seen = machine.record_speed(class, speed));
        self.max_speed = self.max_speed.max(seen);
    }

    /// Returns the racks.
    pub(crate) fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Returns the machines with running work that can be moved.
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

    /// Returns the number of machines, those that are gone included.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a machine.
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
        *self.shapes.entry(capacity).or_insert(0) += 1;
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

    /// Changes a machine's standing.
    pub(crate) fn set_standing(&mut self, key: MachineKey, standing: MachineState) {
        let Some(machine) = self.machines.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut machine.standing, standing);
        if old == MachineState::Quarantined {
            self.quarantined -= 1;
        }
        if standing == MachineState::Quarantined {
            self.quarantined += 1;
        }
        if standing == MachineState::Active {
            self.releases += 1;
        }
        self.reindex(key);
    }

    /// Takes a machine out of service; its tasks stay counted on it until they end.
    pub(crate) fn retire(&mut self, key: MachineKey) {
        self.set_standing(key, MachineState::Gone);
        let machine = &self.machines[key];
        let (capacity, used, rack) = (machine.spec.capacity, machine.used, machine.rack);
        self.capacity = self.capacity.minus(&capacity);
        self.used = self.used.minus(&used);
        self.racks[rack.index()].machines.retain(|&m| m != key);
        if let Some(count) = self.shapes.get_mut(&capacity) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&capacity);
            }
        }
    }

    /// Drops a machine that is gone and empty.
    pub(crate) fn prune(&mut self, key: MachineKey) {
        let empty = self
            .get(key)
            .is_some_and(|m| m.standing == MachineState::Gone && m.running.is_empty());
        if empty {
            self.machines.remove(key);
        }
    }

    /// Counts `size` on a machine.
    pub(crate) fn charge(&mut self, key: MachineKey, size: &Resources) {
        let machine = &mut self.machines[key];
        machine.used = machine.used.plus(size);
        if machine.standing != MachineState::Gone {
            self.used = self.used.plus(size);
        }
        self.reindex(key);
    }

    /// Counts `size` no longer on a machine.
    pub(crate) fn refund(&mut self, key: MachineKey, size: &Resources) {
        let machine = &mut self.machines[key];
        machine.used = machine.used.minus(size);
        if machine.standing != MachineState::Gone {
            self.used = self.used.minus(size);
        }
        self.releases += 1;
        self.reindex(key);
    }

    /// Adds a task to a machine's list; its position.
    pub(crate) fn add_task(&mut self, key: MachineKey, task: TaskKey) -> u32 {
        let running = &mut self.machines[key].running;
        running.push(task);
        (running.len() - 1) as u32
    }

    /// Removes the task at a position; the one that took its place, if any.
    pub(crate) fn remove_task(&mut self, key: MachineKey, position: u32) -> Option<TaskKey> {
        let running = &mut self.machines[key].running;
        running.swap_remove(position as usize);
        running.get(position as usize).copied()
    }

    /// Adds to or takes from the number of a machine's tasks that can be moved.
    pub(crate) fn adjust_movable(&mut self, key: MachineKey, more: bool) {
        let machine = &mut self.machines[key];
        if more {
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

    /// Keeps a machine's free capacity for a gang, or opens it again.
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

    /// Claims capacity on a machine for one task, as it comes free.
    pub(crate) fn claim(&mut self, key: MachineKey, task: TaskKey, need: Resources) {
        self.update(key, |machine| {
            machine.reserved_for = Some(ReservedFor::Task(task));
            machine.claimed = need;
        });
    }

    /// Changes a machine by `change` and brings the indexes up to date.
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

    /// Sets the capacities of machines that others own; none if they are not known.
    pub(crate) fn set_remote_capacities(&mut self, shapes: Option<Vec<Resources>>) {
        self.remote_shapes = shapes;
    }

    /// Brings indexes and sums up to date with a machine's free capacity.
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

/// Returns the index that a machine belongs in.
fn index_for(machine: &Machine) -> Option<u8> {
    if machine.standing != MachineState::Active {
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
