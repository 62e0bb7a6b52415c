//! Transitions of handovers and releases by an owner, and of leaving members.

use super::state::{ALL_LIVE, SLOTS};
use super::step::{Visit, append_record};
use super::{Event, Incarnation, Record, RecordKind, Rules, State};

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
    if let Some(successor) = state.instances[slot].successor {
        append_hand_over(rules, state, slot, successor, visit);
        return;
    }
    if !may_relinquish(rules, state, slot) {
        return;
    }
    for successor in
        (0..SLOTS).filter(|successor| *successor != slot && !state.instances[*successor].leaving)
    {
        let mut next = *state;
        next.instances[slot].successor = Some(Incarnation::live(successor));
        next.instances[slot].stopped = rules.stop_first;
        visit(Event::SendHandOver { slot, successor }, next);
    }
}

/// Returns whether the owner may stop dispatching in order to hand over or release the shard.
fn may_relinquish(rules: &Rules, state: &State, slot: usize) -> bool {
    let me = &state.instances[slot];
    let in_effect = me.wait_left == 0 || !rules.effective_first;
    me.owns && in_effect && !me.leaving && !me.release_sent
}

fn append_hand_over(
    rules: &Rules,
    state: &State,
    slot: usize,
    successor: Incarnation,
    visit: Visit<'_>,
) {
    let is_member = successor.is_dead() || !state.instances[successor.slot()].has_left;
    if !state.is_up_to_date(slot) || !is_member {
        return;
    }
    let record = Record {
        owner: successor,
        voters: ALL_LIVE,
        kind: RecordKind::HandOver,
    };
    append_record(rules, state, slot, record, visit);
}

fn release(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if me.release_sent && state.is_up_to_date(slot) {
        append_record(rules, state, slot, release_record(state, slot), visit);
    }
    if may_relinquish(rules, state, slot) && me.successor.is_none() {
        let mut next = *state;
        next.instances[slot].release_sent = true;
        next.instances[slot].stopped = rules.stop_first;
        visit(Event::SendRelease(slot), next);
    }
}

/// Returns the record that leaves the newest term without an owner.
pub(super) fn release_record(state: &State, slot: usize) -> Record {
    Record {
        owner: Incarnation::live(slot),
        voters: state.newest().voters,
        kind: RecordKind::Release,
    }
}

fn leave(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if me.leaving && !me.has_left {
        if let Some(next) = after_leave(rules, state, slot) {
            visit(Event::Leave(slot), next);
        }
        return;
    }
    let may_leave = me.view > 0 && !me.owns && !me.leaving && state.restarts_left > 0;
    if may_leave {
        let mut next = *state;
        next.restarts_left -= 1;
        next.instances[slot].leaving = true;
        visit(Event::SendLeave(slot), next);
    }
}

/// Returns the state after a leave record is appended, or `None` if the log is full.
///
/// If the member became the owner in the meantime, the shard is released.
pub(super) fn after_leave(rules: &Rules, state: &State, slot: usize) -> Option<State> {
    let mut next = *state;
    next.instances[slot].has_left = true;
    if state.newest().holder() != Some(Incarnation::live(slot)) {
        return Some(next);
    }
    next.append(rules, release_record(state, slot))
        .then_some(next)
}
