//! Symmetry reduction: states that differ only by a permutation of the instances are explored once.

use super::state::{SLOTS, State};
use super::{Incarnation, Instance};

const PERMUTATIONS: [[usize; SLOTS]; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

/// Returns the smallest of the states that result from permuting the slots.
pub(super) fn canonical(state: State) -> State {
    let all = PERMUTATIONS.iter().map(|to| permute(&state, to));
    all.min().unwrap_or(state)
}

fn permute(state: &State, to: &[usize; SLOTS]) -> State {
    let mut next = *state;
    for record in &mut next.log[..state.len as usize] {
        record.owner = permute_incarnation(record.owner, to);
        record.voters = permute_set(record.voters, to);
    }
    next.votes = permute_set(state.votes, to);
    for (slot, instance) in state.instances.iter().enumerate() {
        next.instances[to[slot]] = permute_instance(instance, to);
    }
    next
}

fn permute_instance(instance: &Instance, to: &[usize; SLOTS]) -> Instance {
    let mut next = *instance;
    for (slot, promise) in instance.held_promises.iter().enumerate() {
        next.held_promises[to[slot]] = *promise;
    }
    next.reclaim = instance.reclaim.map(|set| permute_set(set, to));
    next.successor = instance.successor.map(|id| permute_incarnation(id, to));
    next
}

fn permute_incarnation(id: Incarnation, to: &[usize; SLOTS]) -> Incarnation {
    Incarnation::of(to[id.slot()], id.is_dead())
}

fn permute_set(set: u8, to: &[usize; SLOTS]) -> u8 {
    let ids = (0..2 * SLOTS as u8).map(Incarnation);
    let members = ids.filter(|id| set & id.bit() != 0);
    members.fold(0, |all, id| all | permute_incarnation(id, to).bit())
}
