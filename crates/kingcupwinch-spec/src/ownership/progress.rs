//! Progress: from a state in which faults stop, a plain schedule leads to a dispatch.
//!
//! The schedule needs no luck: in each round everyone reads the log's end, what is in flight
//! lands, voters support where the owner can't act, the first that may take over does, and a
//! tick passes.

use super::give::left;
use super::state::{ALL_LIVE, SLOTS};
use super::step::{may_take_over, read, supported, tick};
use super::{Id, Kind, Ownership, Record, State};

/// Rounds within which some owner must dispatch.
const ROUNDS: usize = 16;

/// Returns whether the schedule reaches a state in which an owner may dispatch.
pub(super) fn recovers(model: &Ownership, state: &State) -> bool {
    let mut at = *state;
    for _ in 0..ROUNDS {
        at = round(model, &at);
        if model.dispatchers(&at) > 0 {
            return true;
        }
        at = tick(model.rules(), &at, [1; SLOTS]);
    }
    false
}

fn round(model: &Ownership, state: &State) -> State {
    let mut at = read_all(model, state);
    if model.dispatchers(&at) > 0 {
        return at;
    }
    for slot in 0..SLOTS {
        at = land_leave(model, &at, slot);
        at = resume(model, &at, slot);
    }
    at = read_all(model, &at);
    let holder = at.newest().holder();
    let serves = |id: Id| !id.is_dead() && at.instances[id.slot()].owns;
    if holder.is_some_and(serves) {
        return at;
    }
    for slot in 0..SLOTS {
        at = supported(model.rules(), &at, slot).unwrap_or(at);
    }
    read_all(model, &take_over(model, &at))
}

fn land_leave(model: &Ownership, state: &State, slot: usize) -> State {
    let me = &state.instances[slot];
    if !me.leaving || me.gone {
        return *state;
    }
    left(model.rules(), state, slot).unwrap_or(*state)
}

fn read_all(model: &Ownership, state: &State) -> State {
    let all = 0..SLOTS;
    all.fold(*state, |at, slot| read(model.rules(), &at, slot, at.len, 0))
}

/// Lets an owner that stopped to give the shard up claim again for itself.
fn resume(model: &Ownership, state: &State, slot: usize) -> State {
    let me = &state.instances[slot];
    if !(me.owns && me.stopped && state.is_current(slot) && !me.leaving) {
        return *state;
    }
    let record = Record {
        owner: Id::live(slot),
        voters: me.own.unwrap_or(ALL_LIVE),
        kind: Kind::Own,
    };
    appended(model, state, record)
}

fn take_over(model: &Ownership, state: &State) -> State {
    let heir = (0..SLOTS).find(|slot| may_take_over(model.rules(), state, *slot));
    let Some(heir) = heir else {
        return *state;
    };
    let record = Record {
        owner: Id::live(heir),
        voters: ALL_LIVE,
        kind: state.kind_over_newest(Kind::TakeOver),
    };
    appended(model, state, record)
}

fn appended(model: &Ownership, state: &State, record: Record) -> State {
    let mut next = *state;
    next.append(model.rules(), record);
    next
}
