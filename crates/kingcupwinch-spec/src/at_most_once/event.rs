//! Events and their names in traces.

use std::fmt;

use super::{Attempt, RunOutcome};

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The caller issues the key.
    Issue {
        /// Whether the key lies at or before the term's floor.
        below_floor: bool,
    },
    /// The request arrives at its home.
    Request,
    /// The home has no memory left for the key.
    RefuseFull,
    /// The home sends a permit.
    SendPermit {
        /// The attempt.
        attempt: Attempt,
        /// The runner's slot.
        slot: usize,
    },
    /// The home gives up without having sent a permit.
    GiveUp,
    /// A runner's result arrives at the home.
    ReceiveResult {
        /// The attempt.
        attempt: Attempt,
        /// The outcome.
        outcome: RunOutcome,
    },
    /// The home heard nothing until its deadline.
    HomeTimeout,
    /// The home retries an attempt of which it heard nothing.
    RetryAfterTimeout,
    /// The home asks a sibling.
    QuerySibling(usize),
    /// The home ends its questions without an answer.
    EndQuery,
    /// The home forgets the key.
    Evict,
    /// A permit arrives at a runner.
    ReceivePermit {
        /// The attempt.
        attempt: Attempt,
        /// The runner's slot.
        slot: usize,
        /// The term in which the permit was sent.
        term: u8,
    },
    /// A runner writes the dispatch.
    Dispatch(usize),
    /// The worker runs what it received.
    WorkerRuns(usize),
    /// The worker runs what a dead incarnation sent.
    OrphanRuns,
    /// The worker refuses what it received.
    WorkerRefuses(usize),
    /// A runner takes the worker's answer.
    ReceiveAnswer(usize),
    /// A runner takes the worker's refusal.
    ReceiveRefusal(usize),
    /// A runner heard nothing until its deadline.
    RunnerTimeout(usize),
    /// A slot restarts.
    Restart(usize),
    /// The next term takes effect.
    Takeover(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Issue { below_floor: true } => {
                write!(f, "the caller issues the key, early in the term")
            }
            Event::Issue { below_floor: false } => write!(f, "the caller issues the key"),
            Event::Request => write!(f, "the request arrives at its home"),
            Event::RefuseFull => write!(f, "the request arrives and no memory is left"),
            Event::SendPermit { attempt, slot } => {
                write!(
                    f,
                    "the home sends a permit to slot {slot}, attempt {attempt}"
                )
            }
            Event::GiveUp => write!(f, "the home gives up without a permit"),
            Event::ReceiveResult { attempt, outcome } => {
                write!(f, "the home hears of attempt {attempt}: {outcome:?}")
            }
            Event::HomeTimeout => write!(f, "the home's deadline passes"),
            Event::RetryAfterTimeout => write!(f, "the home retries on silence"),
            Event::QuerySibling(slot) => write!(f, "the home asks slot {slot}"),
            Event::EndQuery => write!(f, "the home has asked everyone it can reach"),
            Event::Evict => write!(f, "the home forgets the key"),
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
            Event::Dispatch(slot) => write!(f, "slot {slot} writes the dispatch"),
            Event::WorkerRuns(slot) => write!(f, "the worker runs what slot {slot} sent"),
            Event::OrphanRuns => write!(f, "the worker runs what a dead incarnation sent"),
            Event::WorkerRefuses(slot) => write!(f, "the worker refuses what slot {slot} sent"),
            Event::ReceiveAnswer(slot) => write!(f, "slot {slot} takes the worker's answer"),
            Event::ReceiveRefusal(slot) => write!(f, "slot {slot} takes the worker's refusal"),
            Event::RunnerTimeout(slot) => write!(f, "slot {slot}'s deadline passes"),
            Event::Restart(slot) => write!(f, "slot {slot} restarts"),
            Event::Takeover(slot) => write!(f, "slot {slot} becomes home in the next term"),
        }
    }
}
