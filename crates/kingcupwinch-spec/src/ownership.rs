//! Ownership of one shard: which instance may dispatch to its workers.
//!
//! The specification covers leases on a fresh view of the log, promises during an outage of the
//! log, takeovers with a wait, planned handovers, releases and restarts.
//!
//! Three instances share one shard and one log. Time is counted in ticks. Every step is optional:
//! a pause, a network partition, an outage, a lost message or a lost response is modeled by the
//! absence of the steps that it prevents. The response to a read may arrive up to one tick after
//! the read was sent, and shows the log as of a moment in between. Clocks deviate by whole ticks, a
//! bounded number of times in a run.
//!
//! The number of claims is unbounded, because records that every instance has read are dropped from
//! the state. Restarts don't add to the state either: of each slot, it distinguishes the running
//! incarnation and one dead incarnation that records or promises still refer to.

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

/// At most one instance may dispatch at any time.
pub const ONE_DISPATCHER: &str = "at most one instance may dispatch";
/// At most one instance wins a term.
pub const ONE_WINNER: &str = "a term has at most one winner";
/// Some owner dispatches again once faults have stopped.
pub const PROGRESS: &str = "some owner dispatches again after faults stop";

/// The ownership specification under a set of rules.
#[derive(Debug, Clone)]
pub struct Ownership {
    rules: Rules,
}

impl Ownership {
    /// Creates the specification.
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

    /// Returns whether the held promises allow the owner to dispatch without a fresh view.
    ///
    /// While a reclaim is in flight, majorities of both its voters and the current voters are
    /// required.
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
