//! What reading records does to an instance.

use super::state::{Excuse, SLOTS};
use super::{Id, Kind, Rules, State};

/// Moves an instance's view forward to `records` records.
pub(super) fn advance(rules: &Rules, state: &mut State, slot: usize, records: u8) {
    if records <= state.instances[slot].view {
        return;
    }
    let before = state.seen_by(slot).map(|r| r.owner);
    let record = state.log[records as usize - 1];
    let owns = record.owner == Id::live(slot);
    let me = &mut state.instances[slot];
    me.view = records;
    me.wait = match (owns, record.kind) {
        (false, _) | (true, Kind::HandOver) => 0,
        (true, Kind::TakeOver) => rules.wait,
        (true, Kind::Own) => me.wait,
    };
    if !owns {
        me.excuses = [Excuse::default(); SLOTS];
    }
    if before != Some(record.owner) {
        me.promise = 0;
    }
    me.owns = owns;
    me.support = false;
    me.own = None;
    me.hand = None;
    me.stopped = false;
}
