//! Effects of reading records on an instance.

use super::state::{HeldPromise, SLOTS};
use super::{Incarnation, Instance, Record, RecordKind, Rules, State};

/// Advances the view of an instance to the first `records` records, unless it has read more.
pub(super) fn advance(rules: &Rules, state: &mut State, slot: usize, records: u8) {
    if records <= state.instances[slot].view {
        return;
    }
    let before = state.last_read(slot).and_then(Record::holder);
    let record = state.log[records as usize - 1];
    let passed = &state.log[state.instances[slot].view as usize..records as usize];
    let new_term = passed.iter().any(|r| r.kind != RecordKind::Release);
    let owns = record.holder() == Some(Incarnation::live(slot));
    let me = &mut state.instances[slot];
    me.view = records;
    me.wait_left = match (owns, record.kind) {
        (true, RecordKind::Takeover) => rules.wait,
        (true, RecordKind::Reclaim) => me.wait_left,
        _ => 0,
    };
    if !owns {
        me.held_promises = [HeldPromise::default(); SLOTS];
    }
    if before != record.holder() {
        me.promise_left = 0;
    }
    me.owns = owns;
    if new_term {
        end_term(me);
    }
}

/// Discards votes and appends in flight of the term that has ended.
fn end_term(me: &mut Instance) {
    me.voted = false;
    me.reclaim = None;
    me.successor = None;
    me.release_sent = false;
    me.stopped = false;
}
