//! Capacity queries: where a task fits and how many fit.

use rand_chacha::ChaCha8Rng;

use super::{Fleet, RESERVED, TIERS};
use crate::index::Visit;
use crate::key::MachineKey;
use crate::machine::{Machine, PlaceUnit};
use crate::refusal::Refusal;
use crate::resources::Resources;

impl Fleet {
    /// Returns how many tasks of a place unit fit on open machines.
    pub(crate) fn places(&self, kind: PlaceUnit) -> u64 {
        self.places[kind as usize]
    }

    /// Returns the size of a place unit.
    pub(crate) fn unit(&self, kind: PlaceUnit) -> &Resources {
        &self.units[kind as usize]
    }

    /// Changes the size of a place unit and recounts its places.
    pub(crate) fn set_unit(&mut self, kind: PlaceUnit, unit: Resources) {
        let index = kind as usize;
        if self.units[index] == unit {
            return;
        }
        self.units[index] = unit;
        self.places[index] = 0;
        for machine in self.machines.values_mut() {
            machine.places[index] = unit.times_in(&machine.indexed_free);
            self.places[index] += machine.places[index];
        }
    }

    /// Returns how many places of a unit a machine loses to a task of size `need`.
    pub(crate) fn places_lost(&self, key: MachineKey, kind: PlaceUnit, need: &Resources) -> u64 {
        let unit = self.unit(kind);
        self.get(key).map_or(0, |m| m.places_lost(kind, unit, need))
    }

    /// Visits open machines of a tier with room for `need`, see [`FreeIndex::visit`]. The visitor
    /// returns whether to continue.
    pub(crate) fn visit(
        &self,
        tier: usize,
        need: &Resources,
        cap: usize,
        rng: &mut ChaCha8Rng,
        mut visitor: impl FnMut(MachineKey, &Machine, &Resources) -> bool,
    ) {
        self.indexes[tier].visit(&self.buckets, need, cap, rng, |key| {
            let machine = &self.machines[key];
            let free = machine.free();
            if !need.fits(&free) {
                return Visit::TooSmall;
            }
            if visitor(key, machine, &free) {
                Visit::Fits
            } else {
                Visit::Stop
            }
        });
    }

    /// Visits machines that are reserved for a gang and have room for `need`.
    pub(crate) fn visit_reserved(
        &self,
        need: &Resources,
        cap: usize,
        rng: &mut ChaCha8Rng,
        visitor: impl FnMut(MachineKey, &Machine, &Resources) -> bool,
    ) {
        self.visit(usize::from(RESERVED), need, cap, rng, visitor);
    }

    /// Returns a lower bound of the number of tasks of size `need` that fit on open machines.
    pub(crate) fn min_places(&self, need: &Resources) -> u64 {
        self.indexes[..TIERS]
            .iter()
            .filter(|i| i.len() > 0)
            .map(|i| i.min_places(&self.buckets, need))
            .sum()
    }

    /// Returns the refusal if no machine, even when empty, can hold `need`.
    pub(crate) fn unplaceable(&self, need: &Resources) -> Option<Refusal> {
        let remote_capacities = self.remote_capacities.as_ref()?;
        let capacities = || self.capacities.keys().chain(remote_capacities);
        if capacities().any(|s| need.fits(s)) {
            return None;
        }
        let largest = capacities().fold(Resources::ZERO, |m, s| m.max(s));
        Some(
            need.exceeds(&largest)
                .map_or(Refusal::NoFittingMachine, Refusal::TooLarge),
        )
    }

    /// Returns whether a machine of the cell can hold `need` when it is empty.
    pub(crate) fn fits_when_empty(&self, need: &Resources) -> bool {
        self.capacities.keys().any(|shape| need.fits(shape))
    }

    /// Returns how many tasks of size `need` the machines could hold if they were empty.
    pub(crate) fn max_places(&self, need: &Resources) -> u64 {
        self.capacities
            .iter()
            .map(|(shape, count)| need.times_in(shape) * u64::from(*count))
            .sum()
    }
}
