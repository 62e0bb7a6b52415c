//! The transitions.

use super::give;
use super::state::{ALL_LIVE, Excuse, Instance, SLOTS};
use super::view::advance;
use super::{Event, Evidence, Id, Kind, Record, Rules, State};

pub(super) type Visit<'a> = &'a mut dyn FnMut(Event, State);

/// Calls `visit` with every enabled event and the state that it leads to.
pub(super) fn for_each_next(rules: &Rules, state: &State, visit: Visit<'_>) {
    for_each_tick(rules, state, visit);
    for slot in 0..SLOTS {
        for_each_read(rules, state, slot, visit);
        for_each_relay(rules, state, slot, visit);
        for_each_promise(rules, state, slot, visit);
        support(rules, state, slot, visit);
        for_each_take_over(rules, state, slot, visit);
        for_each_own_claim(rules, state, slot, visit);
        give::for_each_next(rules, state, slot, visit);
        restart(rules, state, slot, visit);
    }
}

/// Passes a tick; `counted` says how many ticks each clock counts.
pub(super) fn tick(rules: &Rules, state: &State, counted: [u8; SLOTS]) -> State {
    let mut next = *state;
    next.older = [state.len, state.older[0]];
    for (me, ticks) in next.instances.iter_mut().zip(counted) {
        me.fresh = me.fresh.saturating_sub(ticks);
        me.wait = me.wait.saturating_sub(ticks);
        me.promise = me.promise.saturating_sub(ticks);
        for excuse in &mut me.excuses {
            excuse.left = excuse.left.saturating_sub(ticks);
            excuse.dead &= excuse.left > 0;
        }
        me.support &= rules.support_stands;
    }
    next
}

fn for_each_tick(rules: &Rules, state: &State, visit: Visit<'_>) {
    visit(Event::Tick, tick(rules, state, [1; SLOTS]));
    if state.drifts == 0 {
        return;
    }
    for slot in 0..SLOTS {
        for (ticks, event) in [(0, Event::SlowTick(slot)), (2, Event::FastTick(slot))] {
            let mut counted = [1; SLOTS];
            counted[slot] = ticks;
            let mut next = tick(rules, state, counted);
            next.drifts -= 1;
            visit(event, next);
        }
    }
}

/// Reads `records` records by a read sent `age` ticks ago.
pub(super) fn read(rules: &Rules, state: &State, slot: usize, records: u8, age: u8) -> State {
    let mut next = *state;
    advance(rules, &mut next, slot, records);
    let counted = if rules.age_from_sent { age } else { 0 };
    let me = &mut next.instances[slot];
    me.fresh = me.fresh.max(rules.lease.saturating_sub(counted));
    next.compact();
    next
}

fn for_each_read(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    for (age, older) in (0..).zip(state.older) {
        let first = state.instances[slot].view.max(older).max(1);
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
        me.fresh = me.fresh.max(theirs.fresh);
        next.compact();
        visit(Event::Relay { to, from }, next);
    }
}

fn for_each_promise(rules: &Rules, state: &State, owner: usize, visit: Visit<'_>) {
    if !state.instances[owner].owns {
        return;
    }
    for voter in (0..SLOTS).filter(|voter| *voter != owner) {
        let trusted = state.seen_by(voter).and_then(Record::holder);
        let trusts = trusted == Some(Id::live(owner));
        let me = &state.instances[voter];
        let refuses = me.leaving || (me.support && rules.support_ends_promises);
        if !trusts || refuses {
            continue;
        }
        let mut next = *state;
        next.instances[voter].promise = rules.promise;
        next.instances[owner].excuses[voter] = Excuse {
            left: rules.promise,
            dead: false,
        };
        visit(Event::Promise { voter, owner }, next);
    }
}

/// Returns the state after a voter's support, none if it may not support.
pub(super) fn supported(rules: &Rules, state: &State, slot: usize) -> Option<State> {
    let me = &state.instances[slot];
    let holder = state.newest().holder();
    let may_vote = holder.is_some_and(|id| id != Id::live(slot)) && !me.leaving;
    let fresh = me.fresh > 0 || !rules.fresh_support;
    let free = me.promise == 0 || !rules.promise_blocks;
    if !may_vote || !state.is_current(slot) || !fresh || !free {
        return None;
    }
    let mut next = *state;
    next.instances[slot].support = true;
    next.supported |= Id::live(slot).bit();
    Some(next)
}

fn support(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if let Some(next) = supported(rules, state, slot) {
        visit(Event::Support(slot), next);
    }
}

/// Returns whether an instance may claim the next term from another owner or from nobody.
pub(super) fn may_take_over(rules: &Rules, state: &State, slot: usize) -> bool {
    let Some(record) = state.seen_by(slot) else {
        return false;
    };
    if !state.is_in_newest_term(slot) || state.instances[slot].leaving {
        return false;
    }
    let Some(owner) = record.holder() else {
        return true;
    };
    owner != Id::live(slot) && is_replaceable(rules, state, owner, record.voters)
}

fn is_replaceable(rules: &Rules, state: &State, owner: Id, voters: u8) -> bool {
    let dropped = match rules.evidence {
        Evidence::Ignored => false,
        Evidence::Trusted => owner.is_dead(),
        Evidence::Wrong => true,
    };
    let supporters = (state.supported & voters & !owner.bit()).count_ones();
    let enough = if rules.half {
        2 * supporters >= voters.count_ones()
    } else {
        supporters >= 1
    };
    dropped || enough
}

/// Appends a record and calls `visit`, if there is room for it.
pub(super) fn land(rules: &Rules, state: &State, slot: usize, record: Record, visit: Visit<'_>) {
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

/// The voters that a claimant may name: the running incarnations, or those of the term before,
/// for a claimant whose view of the group is old.
fn voter_choices(old: u8) -> impl Iterator<Item = u8> {
    [ALL_LIVE, old]
        .into_iter()
        .take(1 + usize::from(old != ALL_LIVE))
}

fn for_each_take_over(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if !may_take_over(rules, state, slot) {
        return;
    }
    let me = Id::live(slot);
    for voters in voter_choices(state.newest().voters | me.bit()) {
        let record = Record {
            owner: me,
            voters,
            kind: state.kind_over_newest(Kind::TakeOver),
        };
        land(rules, state, slot, record, visit);
    }
}

fn for_each_own_claim(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    let Some(voters) = me.own else {
        send_own_claim(rules, state, slot, visit);
        return;
    };
    let record = Record {
        owner: Id::live(slot),
        voters,
        kind: state.kind_over_newest(Kind::Own),
    };
    if state.is_in_newest_term(slot) && !me.gone {
        land(rules, state, slot, record, visit);
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

fn send_own_claim(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let me = &state.instances[slot];
    if !me.owns || me.leaving || !rules.own_claims {
        return;
    }
    for voters in voter_choices(Id::live(slot).bit()) {
        let mut next = *state;
        next.instances[slot].own = Some(voters);
        visit(Event::SendOwn { slot, voters }, next);
    }
}

fn restart(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    if state.restarts == 0 || state.names(Id::of(slot, true)) {
        return;
    }
    let mut next = *state;
    next.restarts -= 1;
    next.instances[slot] = Instance::default();
    if rules.fresh_incarnation {
        bury(&mut next, slot);
    }
    next.compact();
    visit(Event::Restart(slot), next);
}

/// Renames the incarnation that ran in `slot` to the dead one, wherever it is named.
fn bury(state: &mut State, slot: usize) {
    let rename = |id: Id| {
        if id == Id::live(slot) {
            Id::of(slot, true)
        } else {
            id
        }
    };
    let rename_in = |set: u8| {
        let moved = if set & Id::live(slot).bit() != 0 {
            Id::of(slot, true).bit()
        } else {
            0
        };
        (set & !Id::live(slot).bit()) | moved
    };
    for record in &mut state.log[..state.len as usize] {
        record.owner = rename(record.owner);
        record.voters = rename_in(record.voters);
    }
    state.supported = rename_in(state.supported);
    for instance in &mut state.instances {
        instance.own = instance.own.map(rename_in);
        instance.hand = instance.hand.map(rename);
        let excuse = &mut instance.excuses[slot];
        excuse.dead = excuse.left > 0;
    }
}
