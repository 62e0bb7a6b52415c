//! At-most-once execution of one non-idempotent key across retries, takeovers and lost answers.
//!
//! A caller issues one key and sends its request any number of times. In each term one slot is the
//! home of the key and decides whether the key runs; any slot may run it. Messages stay in flight
//! forever, so they may arrive late, twice or never. A slot that restarts loses its memory. Permits
//! of an earlier term may still be in flight after a takeover.
//!
//! Wall-clock time is reduced to the order of a key's issue time and the floors of the terms. The
//! clock bound ensures that a key is at or below the initial floor of every term after the one in
//! which it was issued; it may be on either side of the floor of its own term.

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
/// A key that was refused as not run never runs.
pub const NOT_RUN_IS_FINAL: &str = "a key refused as not run never runs";
/// A key is answered as run only if it ran.
pub const RAN_IS_TRUE: &str = "a key answered as run has run";

/// The at-most-once specification under a set of rules.
#[derive(Debug, Clone)]
pub struct AtMostOnce {
    rules: Rules,
}

impl AtMostOnce {
    /// Creates the specification.
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
