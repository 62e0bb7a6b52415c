//! The transitions by which an owner gives a shard up and a member leaves.

use super::state::{ALL_LIVE, SLOTS};
use super::step::{Visit, land};
use super::{Event, Id, Kind, Record, Rules, State};

pub(super) fn for_each_next(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if rules.hand_over {
        for_each_hand_over(rules, state, slot, visit);
    }
    if rules.releases {
        release(rules, state, slot, visit);
        leave(rules, state, slot, visit);
    }
}

fn for_each_hand_over(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if let Some(heir) = state.instances[slot].hand {
        land_hand_over(rules, state, slot, heir, visit);
        return;
    }
    if !may_give(rules, state, slot) {
        return;
    }
    for heir in (0..SLOTS).filter(|heir| *heir != slot && !state.instances[*heir].leaving) {
        let mut next = *state;
        next.instances[slot].hand = Some(Id::live(heir));
        next.instances[slot].stopped = rules.hand_over_stops;
        visit(Event::SendHandOver { slot, heir }, next);
    }
}

/// Returns whether the owner may stop and give the shard up.
fn may_give(rules: &Rules, state: &State, slot: usize) -> bool {
    let me = &state.instances[slot];
    let in_effect = me.wait == 0 || !rules.hand_over_in_effect;
    me.owns && in_effect && !me.leaving && !me.release
}

fn land_hand_over(rules: &Rules, state: &State, slot: usize, heir: Id, visit: Visit<'_>) {
    let is_member = heir.is_dead() || !state.instances[heir.slot()].gone;
    if !state.is_current(slot) || !is_member {
        return;
    }
    let record = Record {
        owner: heir,
        voters: ALL_LIVE,
        kind: Kind::HandOver,
    };
    land(rules, state, slot, record, visit);
}

fn release(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if me.release && state.is_current(slot) {
        land(rules, state, slot, released(state, slot), visit);
    }
    if may_give(rules, state, slot) && me.hand.is_none() {
        let mut next = *state;
        next.instances[slot].release = true;
        next.instances[slot].stopped = rules.hand_over_stops;
        visit(Event::SendRelease(slot), next);
    }
}

/// The record by which the newest term loses its owner.
pub(super) fn released(state: &State, slot: usize) -> Record {
    Record {
        owner: Id::live(slot),
        voters: state.newest().voters,
        kind: Kind::Release,
    }
}

fn leave(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if me.leaving && !me.gone {
        if let Some(next) = left(rules, state, slot) {
            visit(Event::Leave(slot), next);
        }
        return;
    }
    let may_leave = me.view > 0 && !me.owns && !me.leaving && state.restarts > 0;
    if may_leave {
        let mut next = *state;
        next.restarts -= 1;
        next.instances[slot].leaving = true;
        visit(Event::SendLeave(slot), next);
    }
}

/// Returns the state after a leave has landed: what the member owned meanwhile is free.
pub(super) fn left(rules: &Rules, state: &State, slot: usize) -> Option<State> {
    let mut next = *state;
    next.instances[slot].gone = true;
    if state.newest().holder() != Some(Id::live(slot)) {
        return Some(next);
    }
    next.append(rules, released(state, slot)).then_some(next)
}
