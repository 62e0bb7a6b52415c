//! Who may dispatch to a shard's workers: leases on a fresh view of the log, promises in an
//! outage, take-over with a wait, planned hand-over and restarts.
//!
//! Three instances share one shard and one log. Time moves in ticks; an instance acts at any
//! moment or not at all, so a pause, a cut, an outage, a lost message or a lost answer is the
//! absence of the step that it prevents. A read may be answered from a log as it was a tick ago.
//! Clocks deviate by whole ticks, a bounded number of times in a run.
//!
//! Claims are unbounded in number: records that every instance has read are dropped from the
//! state. So are restarts, as far as [`Rules`] allow: an incarnation is either the one that runs
//! in its slot or a dead one that records still name.

mod event;
mod handover;
mod progress;
mod rules;
mod state;
mod step;
mod symmetry;
mod view;

use crate::Model;

pub use event::Event;
pub use rules::{Evidence, Mutation, Rules};
pub use state::{Incarnation, Instance, Record, RecordKind, State};

/// At most one instance may dispatch.
pub const ONE_DISPATCHER: &str = "never two dispatchers";
/// At most one instance holds a term.
pub const ONE_WINNER: &str = "a claim's winner is unique";
/// Once faults stop, some owner dispatches again.
pub const PROGRESS: &str = "some owner dispatches again";

/// The specification under a set of rules.
#[derive(Debug, Clone)]
pub struct Ownership {
    rules: Rules,
}

impl Ownership {
    /// Makes the specification.
    pub fn new(rules: Rules) -> Self {
        Ownership { rules }
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns whether the instance in `slot` may dispatch now.
    pub fn may_dispatch(&self, state: &State, slot: usize) -> bool {
        let me = &state.instances[slot];
        let leaves = me.leaving && self.rules.leaver_stops;
        let acts = me.owns && me.wait_left == 0 && !me.stopped && !leaves;
        acts && (me.lease_left > 0 || self.has_promises(state, slot))
    }

    /// Returns whether the promises that the owner holds suffice without a fresh view.
    fn has_promises(&self, state: &State, slot: usize) -> bool {
        if !self.rules.needs_promises {
            return true;
        }
        let me = &state.instances[slot];
        let Some(record) = state.last_read(slot) else {
            return false;
        };
        let joint = me.reclaim.filter(|_| self.rules.joint_majority);
        let majority = |voters| self.has_majority(state, slot, voters);
        majority(record.voters) && joint.is_none_or(majority)
    }

    fn has_majority(&self, state: &State, slot: usize, voters: u8) -> bool {
        let me = &state.instances[slot];
        let mut promised = Incarnation::live(slot).bit();
        for (other, promise) in me.held_promises.iter().enumerate() {
            if promise.ticks_left > 0 {
                promised |= Incarnation::of(other, promise.voter_dead).bit();
            }
        }
        2 * (promised & voters).count_ones() > voters.count_ones()
    }

    fn dispatchers(&self, state: &State) -> usize {
        (0..state::SLOTS)
            .filter(|slot| self.may_dispatch(state, *slot))
            .count()
    }
}

impl Model for Ownership {
    type State = State;
    type Event = Event;

    fn initial(&self) -> State {
        State::new(&self.rules)
    }

    fn for_each_next(&self, state: &State, visit: &mut dyn FnMut(Event, State)) {
        step::for_each_next(&self.rules, state, visit);
    }

    fn canonical(&self, state: State) -> State {
        if self.rules.symmetry {
            symmetry::canonical(state)
        } else {
            state
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if self.dispatchers(state) > 1 {
            return Some(ONE_DISPATCHER);
        }
        if state.has_two_winners() {
            return Some(ONE_WINNER);
        }
        if self.rules.progress && !progress::recovers(self, state) {
            return Some(PROGRESS);
        }
        None
    }
}
