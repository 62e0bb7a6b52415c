//! Questions about room: what fits where, and how often.

use rand_chacha::ChaCha8Rng;

use super::{Fleet, RESERVED, TIERS};
use crate::index::Visit;
use crate::key::MachineKey;
use crate::machine::{Machine, PlaceUnit};
use crate::refusal::Refusal;
use crate::resources::Resources;

impl Fleet {
    /// Returns how many tasks of a watched size fit on open machines.
    pub(crate) fn places(&self, kind: PlaceUnit) -> u64 {
        self.places[kind as usize]
    }

    /// Returns a watched size.
    pub(crate) fn unit(&self, kind: PlaceUnit) -> &Resources {
        &self.units[kind as usize]
    }

    /// Changes a watched size and counts its places anew.
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

    /// Returns how many places of a watched size a machine loses to work of this size.
    pub(crate) fn places_lost(&self, key: MachineKey, kind: PlaceUnit, need: &Resources) -> u64 {
        let unit = self.unit(kind);
        self.get(key).map_or(0, |m| m.places_lost(kind, unit, need))
    }

    /// Visits open machines of a tier that may fit; see [`FreeIndex::visit`].
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

    /// Visits machines kept for a gang that may fit.
    pub(crate) fn visit_reserved(
        &self,
        need: &Resources,
        cap: usize,
        rng: &mut ChaCha8Rng,
        visitor: impl FnMut(MachineKey, &Machine, &Resources) -> bool,
    ) {
        self.visit(usize::from(RESERVED), need, cap, rng, visitor);
    }

    /// Returns a lower bound of how many tasks of this size fit on open machines.
    pub(crate) fn min_places(&self, need: &Resources) -> u64 {
        self.indexes[..TIERS]
            .iter()
            .filter(|i| i.len() > 0)
            .map(|i| i.min_places(&self.buckets, need))
            .sum()
    }

    /// Returns why no machine could ever hold this size.
    pub(crate) fn unplaceable(&self, need: &Resources) -> Option<Refusal> {
        let remote_shapes = self.remote_shapes.as_ref()?;
        let shapes = || self.shapes.keys().chain(remote_shapes);
        if shapes().any(|s| need.fits(s)) {
            return None;
        }
        let largest = shapes().fold(Resources::ZERO, |m, s| m.max(s));
        Some(
            need.exceeds(&largest)
                .map_or(Refusal::NoFittingMachine, Refusal::TooLarge),
        )
    }

    /// Returns how many tasks of this size the empty machines could hold.
    pub(crate) fn max_places(&self, need: &Resources) -> u64 {
        self.shapes
            .iter()
            .map(|(shape, count)| need.times_in(shape) * u64::from(*count))
            .sum()
    }
}
