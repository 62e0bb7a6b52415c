//! Transitions of time, reads, messages, claims and restarts.

use super::handover;
use super::state::{ALL_LIVE, HeldPromise, Instance, SLOTS};
use super::view::advance;
use super::{Event, Evidence, Incarnation, Record, RecordKind, Rules, State};

pub(super) type Visit<'a> = &'a mut dyn FnMut(Event, State);

/// Calls `visit` with every enabled event and the state after it.
pub(super) fn for_each_next(rules: &Rules, state: &State, visit: Visit<'_>) {
    for_each_tick(rules, state, visit);
    for slot in 0..SLOTS {
        for_each_read(rules, state, slot, visit);
        for_each_relay(rules, state, slot, visit);
        for_each_promise(rules, state, slot, visit);
        vote(rules, state, slot, visit);
        for_each_take_over(rules, state, slot, visit);
        for_each_reclaim(rules, state, slot, visit);
        handover::for_each_next(rules, state, slot, visit);
        restart(rules, state, slot, visit);
    }
}

/// Returns the state after a tick, during which the clock of each slot advances by `counted` ticks.
pub(super) fn tick(rules: &Rules, state: &State, counted: [u8; SLOTS]) -> State {
    let mut next = *state;
    next.past_lens = [state.len, state.past_lens[0]];
    for (me, ticks) in next.instances.iter_mut().zip(counted) {
        me.lease_left = me.lease_left.saturating_sub(ticks);
        me.wait_left = me.wait_left.saturating_sub(ticks);
        me.promise_left = me.promise_left.saturating_sub(ticks);
        for promise in &mut me.held_promises {
            promise.ticks_left = promise.ticks_left.saturating_sub(ticks);
            promise.voter_dead &= promise.ticks_left > 0;
        }
        me.voted &= rules.lasting_votes;
    }
    next
}

fn for_each_tick(rules: &Rules, state: &State, visit: Visit<'_>) {
    visit(Event::Tick, tick(rules, state, [1; SLOTS]));
    if state.drifts_left == 0 {
        return;
    }
    for slot in 0..SLOTS {
        for (ticks, event) in [(0, Event::SlowTick(slot)), (2, Event::FastTick(slot))] {
            let mut counted = [1; SLOTS];
            counted[slot] = ticks;
            let mut next = tick(rules, state, counted);
            next.drifts_left -= 1;
            visit(event, next);
        }
    }
}

/// Returns the state after an instance has read `records` records by a read sent `age` ticks ago.
pub(super) fn read(rules: &Rules, state: &State, slot: usize, records: u8, age: u8) -> State {
    let mut next = *state;
    advance(rules, &mut next, slot, records);
    let counted = if rules.age_from_sent { age } else { 0 };
    let me = &mut next.instances[slot];
    me.lease_left = me.lease_left.max(rules.lease.saturating_sub(counted));
    next.compact();
    next
}

fn for_each_read(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    for (age, past_len) in (0..).zip(state.past_lens) {
        let first = state.instances[slot].view.max(past_len).max(1);
        for records in first..=state.len {
            let event = Event::Read { slot, records, age };
            visit(event, read(rules, state, slot, records, age));
        }
    }
}

fn for_each_relay(rules: &Rules, state: &State, to: usize, visit: Visit<'_>) {
    for from in (0..SLOTS).filter(|from| *from != to) {
        let theirs = state.instances[from];
        if theirs.view == 0 {
            continue;
        }
        let mut next = *state;
        advance(rules, &mut next, to, theirs.view);
        let me = &mut next.instances[to];
        me.lease_left = me.lease_left.max(theirs.lease_left);
        next.compact();
        visit(Event::Relay { to, from }, next);
    }
}

fn for_each_promise(rules: &Rules, state: &State, owner: usize, visit: Visit<'_>) {
    if !state.instances[owner].owns {
        return;
    }
    for voter in (0..SLOTS).filter(|voter| *voter != owner) {
        let trusted = state.last_read(voter).and_then(Record::holder);
        let trusts = trusted == Some(Incarnation::live(owner));
        let me = &state.instances[voter];
        let refuses = me.leaving || (me.voted && rules.binding_votes);
        if !trusts || refuses {
            continue;
        }
        let mut next = *state;
        next.instances[voter].promise_left = rules.promise;
        next.instances[owner].held_promises[voter] = HeldPromise {
            ticks_left: rules.promise,
            voter_dead: false,
        };
        visit(Event::Promise { voter, owner }, next);
    }
}

/// Returns the state after the vote of an instance, or `None` if it may not vote.
pub(super) fn after_vote(rules: &Rules, state: &State, slot: usize) -> Option<State> {
    let me = &state.instances[slot];
    let holder = state.newest().holder();
    let may_vote = holder.is_some_and(|id| id != Incarnation::live(slot)) && !me.leaving;
    let fresh = me.lease_left > 0 || !rules.fresh_votes;
    let free = me.promise_left == 0 || !rules.binding_promises;
    if !may_vote || !state.is_up_to_date(slot) || !fresh || !free {
        return None;
    }
    let mut next = *state;
    next.instances[slot].voted = true;
    next.votes |= Incarnation::live(slot).bit();
    Some(next)
}

fn vote(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if let Some(next) = after_vote(rules, state, slot) {
        visit(Event::Vote(slot), next);
    }
}

/// Returns whether an instance may claim an unowned shard or the shard of another owner.
pub(super) fn may_take_over(rules: &Rules, state: &State, slot: usize) -> bool {
    let Some(record) = state.last_read(slot) else {
        return false;
    };
    if !state.is_in_newest_term(slot) || state.instances[slot].leaving {
        return false;
    }
    let Some(owner) = record.holder() else {
        return true;
    };
    owner != Incarnation::live(slot) && is_replaceable(rules, state, owner, record.voters)
}

fn is_replaceable(rules: &Rules, state: &State, owner: Incarnation, voters: u8) -> bool {
    let dropped = match rules.evidence {
        Evidence::Ignored => false,
        Evidence::Trusted => owner.is_dead(),
        Evidence::Wrong => true,
    };
    let votes = (state.votes & voters & !owner.bit()).count_ones();
    let enough = if rules.half_quorum {
        2 * votes >= voters.count_ones()
    } else {
        votes >= 1
    };
    dropped || enough
}

/// Appends a record and calls `visit`, unless the log is full.
pub(super) fn append_record(
    rules: &Rules,
    state: &State,
    slot: usize,
    record: Record,
    visit: Visit<'_>,
) {
    let mut next = *state;
    if next.append(rules, record) {
        let Record {
            owner,
            kind,
            voters,
        } = record;
        let event = Event::Append {
            slot,
            owner,
            kind,
            voters,
        };
        visit(event, next);
    }
}

/// Returns the sets of voters that a claimant may choose: all running incarnations, or `old` for a
/// claimant whose view of the membership is stale.
fn voter_choices(old: u8) -> impl Iterator<Item = u8> {
    [ALL_LIVE, old]
        .into_iter()
        .take(1 + usize::from(old != ALL_LIVE))
}

fn for_each_take_over(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if !may_take_over(rules, state, slot) {
        return;
    }
    let me = Incarnation::live(slot);
    for voters in voter_choices(state.newest().voters | me.bit()) {
        let record = Record {
            owner: me,
            voters,
            kind: state.claim_kind(RecordKind::Takeover),
        };
        append_record(rules, state, slot, record, visit);
    }
}

fn for_each_reclaim(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    let Some(voters) = me.reclaim else {
        send_reclaim(rules, state, slot, visit);
        return;
    };
    let record = Record {
        owner: Incarnation::live(slot),
        voters,
        kind: state.claim_kind(RecordKind::Reclaim),
    };
    if state.is_in_newest_term(slot) && !me.has_left {
        append_record(rules, state, slot, record, visit);
    } else if !rules.first_wins && me.view + 1 == state.len {
        let mut next = *state;
        next.log[me.view as usize] = record;
        let event = Event::Append {
            slot,
            owner: record.owner,
            kind: record.kind,
            voters,
        };
        visit(event, next);
    }
}

fn send_reclaim(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if !me.owns || me.leaving || !rules.reclaims {
        return;
    }
    for voters in voter_choices(Incarnation::live(slot).bit()) {
        let mut next = *state;
        next.instances[slot].reclaim = Some(voters);
        visit(Event::SendReclaim { slot, voters }, next);
    }
}

fn restart(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if state.restarts_left == 0 || state.references(Incarnation::of(slot, true)) {
        return;
    }
    let mut next = *state;
    next.restarts_left -= 1;
    next.instances[slot] = Instance::default();
    if rules.new_incarnation {
        mark_dead(&mut next, slot);
    }
    next.compact();
    visit(Event::Restart(slot), next);
}

/// Replaces the running incarnation of `slot` by the dead one in all records, votes and promises.
fn mark_dead(state: &mut State, slot: usize) {
    let rename = |id: Incarnation| {
        if id == Incarnation::live(slot) {
            Incarnation::of(slot, true)
        } else {
            id
        }
    };
    let rename_in = |set: u8| {
        let moved = if set & Incarnation::live(slot).bit() != 0 {
            Incarnation::of(slot, true).bit()
        } else {
            0
        };
        (set & !Incarnation::live(slot).bit()) | moved
    };
    for record in &mut state.log[..state.len as usize] {
        record.owner = rename(record.owner);
        record.voters = rename_in(record.voters);
    }
    state.votes = rename_in(state.votes);
    for instance in &mut state.instances {
        instance.reclaim = instance.reclaim.map(rename_in);
        instance.successor = instance.successor.map(rename);
        let promise = &mut instance.held_promises[slot];
        promise.voter_dead = promise.ticks_left > 0;
    }
}
