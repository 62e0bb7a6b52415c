//! What reading records does to an instance.

use super::state::{Excuse, SLOTS};
use super::{Id, Instance, Kind, Record, Rules, State};

/// Moves an instance's view forward to `records` records.
pub(super) fn advance(rules: &Rules, state: &mut State, slot: usize, records: u8) {
    if records <= state.instances[slot].view {
        return;
    }
    let before = state.seen_by(slot).and_then(Record::holder);
    let record = state.log[records as usize - 1];
    let passed = &state.log[state.instances[slot].view as usize..records as usize];
    let new_term = passed.iter().any(|r| r.kind != Kind::Release);
    let owns = record.holder() == Some(Id::live(slot));
    let me = &mut state.instances[slot];
    me.view = records;
    me.wait = match (owns, record.kind) {
        (true, Kind::TakeOver) => rules.wait,
        (true, Kind::Own) => me.wait,
        _ => 0,
    };
    if !owns {
        me.excuses = [Excuse::default(); SLOTS];
    }
    if before != record.holder() {
        me.promise = 0;
    }
    me.owns = owns;
    if new_term {
        end_term(me);
    }
}

/// Drops what was in flight or promised for the term that ended.
fn end_term(me: &mut Instance) {
    me.support = false;
    me.own = None;
    me.hand = None;
    me.release = false;
    me.stopped = false;
}
