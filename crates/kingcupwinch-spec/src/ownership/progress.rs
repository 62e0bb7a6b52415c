//! The progress property: some owner dispatches again once faults have stopped.
//!
//! The property is checked with one deterministic schedule. In each round every instance reads the
//! whole log, records in flight are appended, voters vote if the owner does not serve the shard,
//! the first instance that may take over does so, and a tick passes.

use super::handover::after_leave;
use super::state::{ALL_LIVE, SLOTS};
use super::step::{after_vote, may_take_over, read, tick};
use super::{Incarnation, Ownership, Record, RecordKind, State};

/// Number of rounds within which some owner must dispatch.
const MAX_ROUNDS: usize = 16;

/// Returns whether the schedule reaches a state in which an owner may dispatch.
pub(super) fn recovers(model: &Ownership, state: &State) -> bool {
    let mut current = *state;
    for _ in 0..MAX_ROUNDS {
        current = round(model, &current);
        if model.dispatchers(&current) > 0 {
            return true;
        }
        current = tick(model.rules(), &current, [1; SLOTS]);
    }
    false
}

fn round(model: &Ownership, state: &State) -> State {
    let mut current = read_all(model, state);
    if model.dispatchers(&current) > 0 {
        return current;
    }
    for slot in 0..SLOTS {
        current = append_leave(model, &current, slot);
        current = reclaim(model, &current, slot);
    }
    current = read_all(model, &current);
    let holder = current.newest().holder();
    let serves = |id: Incarnation| !id.is_dead() && current.instances[id.slot()].owns;
    if holder.is_some_and(serves) {
        return current;
    }
    for slot in 0..SLOTS {
        current = after_vote(model.rules(), &current, slot).unwrap_or(current);
    }
    read_all(model, &take_over(model, &current))
}

fn append_leave(model: &Ownership, state: &State, slot: usize) -> State {
    let me = &state.instances[slot];
    if !me.leaving || me.has_left {
        return *state;
    }
    after_leave(model.rules(), state, slot).unwrap_or(*state)
}

fn read_all(model: &Ownership, state: &State) -> State {
    let all = 0..SLOTS;
    all.fold(*state, |s, slot| read(model.rules(), &s, slot, s.len, 0))
}

/// Makes an owner that stopped for a handover or release claim the shard again.
fn reclaim(model: &Ownership, state: &State, slot: usize) -> State {
    let me = &state.instances[slot];
    if !(me.owns && me.stopped && state.is_up_to_date(slot) && !me.leaving) {
        return *state;
    }
    let record = Record {
        owner: Incarnation::live(slot),
        voters: me.reclaim.unwrap_or(ALL_LIVE),
        kind: RecordKind::Reclaim,
    };
    appended(model, state, record)
}

fn take_over(model: &Ownership, state: &State) -> State {
    let successor = (0..SLOTS).find(|slot| may_take_over(model.rules(), state, *slot));
    let Some(successor) = successor else {
        return *state;
    };
    let record = Record {
        owner: Incarnation::live(successor),
        voters: ALL_LIVE,
        kind: state.claim_kind(RecordKind::Takeover),
    };
    appended(model, state, record)
}

fn appended(model: &Ownership, state: &State, record: Record) -> State {
    let mut next = *state;
    next.append(model.rules(), record);
    next
}
