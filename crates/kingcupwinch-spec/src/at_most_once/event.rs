//! Events and their text in traces.

use std::fmt;

use super::{Attempt, RunOutcome};

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The caller issues the key.
    Issue {
        /// Whether the issue time is at or below the floor of the current term.
        below_floor: bool,
    },
    /// The request arrives at its home.
    Request,
    /// The home refuses the request because its memory is full.
    RefuseFull,
    /// The home sends a permit.
    SendPermit {
        /// The number of the attempt.
        attempt: Attempt,
        /// The slot of the runner.
        slot: usize,
    },
    /// The home ends the key as not run without having sent a permit of the current attempt.
    GiveUp,
    /// A runner's result arrives at the home.
    ReceiveResult {
        /// The number of the attempt.
        attempt: Attempt,
        /// The reported outcome.
        outcome: RunOutcome,
    },
    /// The deadline of the home passes without a result.
    HomeTimeout,
    /// The home starts another attempt after a time-out, which only a mutation allows.
    RetryAfterTimeout,
    /// The home queries the sibling in a slot.
    QuerySibling(usize),
    /// The home has queried its siblings and none of them ran the key.
    EndQuery,
    /// The home evicts the key.
    Evict,
    /// A permit arrives at a runner.
    ReceivePermit {
        /// The number of the attempt.
        attempt: Attempt,
        /// The slot of the runner.
        slot: usize,
        /// The term in which the permit was sent.
        term: u8,
    },
    /// The runner in a slot dispatches to the worker.
    Dispatch(usize),
    /// The worker runs a dispatch of the runner in a slot.
    WorkerRuns(usize),
    /// The worker runs a dispatch whose sender has restarted.
    OrphanRuns,
    /// The worker refuses a dispatch of the runner in a slot.
    WorkerRefuses(usize),
    /// The worker's answer arrives at the runner in a slot.
    ReceiveAnswer(usize),
    /// The worker's refusal arrives at the runner in a slot.
    ReceiveRefusal(usize),
    /// The deadline of the runner in a slot passes.
    RunnerTimeout(usize),
    /// A slot restarts.
    Restart(usize),
    /// A slot becomes the home in the next term.
    Takeover(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Issue { below_floor: true } => {
                write!(f, "the caller issues the key below the floor of the term")
            }
            Event::Issue { below_floor: false } => write!(f, "the caller issues the key"),
            Event::Request => write!(f, "the request arrives at the home"),
            Event::RefuseFull => write!(f, "the home refuses the request for lack of memory"),
            Event::SendPermit { attempt, slot } => {
                write!(
                    f,
                    "the home sends a permit to slot {slot}, attempt {attempt}"
                )
            }
            Event::GiveUp => write!(f, "the home gives up without sending a permit"),
            Event::ReceiveResult { attempt, outcome } => {
                write!(
                    f,
                    "the home receives the result of attempt {attempt}: {outcome:?}"
                )
            }
            Event::HomeTimeout => write!(f, "the home's deadline passes"),
            Event::RetryAfterTimeout => write!(f, "the home retries after a time-out"),
            Event::QuerySibling(slot) => write!(f, "the home queries slot {slot}"),
            Event::EndQuery => write!(f, "the home has queried all reachable siblings"),
            Event::Evict => write!(f, "the home evicts the key"),
            Event::ReceivePermit {
                attempt,
                slot,
                term,
            } => {
                write!(
                    f,
                    "a permit of term {term} arrives at slot {slot}, attempt {attempt}"
                )
            }
            Event::Dispatch(slot) => write!(f, "slot {slot} dispatches to the worker"),
            Event::WorkerRuns(slot) => write!(f, "the worker runs slot {slot}'s dispatch"),
            Event::OrphanRuns => write!(f, "the worker runs the dispatch of a dead incarnation"),
            Event::WorkerRefuses(slot) => write!(f, "the worker refuses slot {slot}'s dispatch"),
            Event::ReceiveAnswer(slot) => write!(f, "slot {slot} receives the worker's answer"),
            Event::ReceiveRefusal(slot) => write!(f, "slot {slot} receives the worker's refusal"),
            Event::RunnerTimeout(slot) => write!(f, "slot {slot}'s deadline passes"),
            Event::Restart(slot) => write!(f, "slot {slot} restarts"),
            Event::Takeover(slot) => write!(f, "slot {slot} becomes the home in the next term"),
        }
    }
}
