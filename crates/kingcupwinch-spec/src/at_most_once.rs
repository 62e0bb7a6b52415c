//! At most once for one non-idempotent key, across retries, take-over and lost answers.
//!
//! A caller issues one key and sends its request any number of times. In each term one slot is the
//! key's home; it decides, and any slot may run. A message stays in flight for ever: it may arrive
//! late, twice or never. Slots restart and forget. Terms follow one another; an older home's
//! permits may still be on their way.
//!
//! The civil clocks are abstract: a key issued in a term lies at or before every later term's
//! floor, which is the clock bound's doing, and before or after the floor of its own term.

mod event;
mod home;
mod rules;
mod runner;
mod state;

use crate::Model;

pub use event::Event;
pub use rules::{Mutation, Rules};
pub use state::{Attempt, Home, Run, RunOutcome, Runner, State};

/// A key runs at most once.
pub const AT_MOST_ONCE: &str = "a key runs at most once";
/// What was refused as not run never runs.
pub const NOT_RUN_IS_FINAL: &str = "a key refused as not run never runs";
/// Only what ran is answered as run.
pub const RAN_IS_TRUE: &str = "a key answered as run has run";

/// The specification under a set of rules.
#[derive(Debug, Clone)]
pub struct AtMostOnce {
    rules: Rules,
}

impl AtMostOnce {
    /// Makes the specification.
    pub fn new(rules: Rules) -> Self {
        AtMostOnce { rules }
    }
}

impl Model for AtMostOnce {
    type State = State;
    type Event = Event;

    fn initial(&self) -> State {
        State::new(&self.rules)
    }

    fn for_each_next(&self, state: &State, visit: &mut dyn FnMut(Event, State)) {
        home::for_each_next(&self.rules, state, visit);
        runner::for_each_next(&self.rules, state, visit);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.executions > 1 {
            return Some(AT_MOST_ONCE);
        }
        if state.replies.not_run && state.executions > 0 {
            return Some(NOT_RUN_IS_FINAL);
        }
        if state.replies.ran && state.executions == 0 {
            return Some(RAN_IS_TRUE);
        }
        None
    }
}
