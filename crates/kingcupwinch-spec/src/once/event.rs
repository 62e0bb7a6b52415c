//! Events and their names in traces.

use std::fmt;

use super::{Attempt, Reply};

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The caller issues the key.
    Issue {
        /// Whether the key lies at or before the term's floor.
        early: bool,
    },
    /// The request arrives at its home.
    Request,
    /// The home has no memory left for the key.
    Full,
    /// The home sends a permit.
    Permit {
        /// The attempt.
        attempt: Attempt,
        /// The runner's slot.
        slot: usize,
    },
    /// The home gives up without having sent a permit.
    GiveUp,
    /// A runner's result arrives at the home.
    Result {
        /// The attempt.
        attempt: Attempt,
        /// The outcome.
        reply: Reply,
    },
    /// The home heard nothing until its deadline.
    HomeTimeout,
    /// The home retries an attempt of which it heard nothing.
    HomeRetry,
    /// The home asks a sibling.
    Ask(usize),
    /// The home ends its questions without an answer.
    AskedAll,
    /// The home forgets the key.
    Forget,
    /// A permit arrives at a runner.
    Start {
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
    TakeAnswer(usize),
    /// A runner takes the worker's refusal.
    TakeRefusal(usize),
    /// A runner heard nothing until its deadline.
    RunnerTimeout(usize),
    /// A slot restarts.
    Restart(usize),
    /// The next term takes effect.
    TakeOver(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Issue { early: true } => {
                write!(f, "the caller issues the key, early in the term")
            }
            Event::Issue { early: false } => write!(f, "the caller issues the key"),
            Event::Request => write!(f, "the request arrives at its home"),
            Event::Full => write!(f, "the request arrives and no memory is left"),
            Event::Permit { attempt, slot } => {
                write!(
                    f,
                    "the home sends a permit to slot {slot}, attempt {attempt}"
                )
            }
            Event::GiveUp => write!(f, "the home gives up without a permit"),
            Event::Result { attempt, reply } => {
                write!(f, "the home hears of attempt {attempt}: {reply:?}")
            }
            Event::HomeTimeout => write!(f, "the home's deadline passes"),
            Event::HomeRetry => write!(f, "the home retries on silence"),
            Event::Ask(slot) => write!(f, "the home asks slot {slot}"),
            Event::AskedAll => write!(f, "the home has asked everyone it can reach"),
            Event::Forget => write!(f, "the home forgets the key"),
            Event::Start {
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
            Event::TakeAnswer(slot) => write!(f, "slot {slot} takes the worker's answer"),
            Event::TakeRefusal(slot) => write!(f, "slot {slot} takes the worker's refusal"),
            Event::RunnerTimeout(slot) => write!(f, "slot {slot}'s deadline passes"),
            Event::Restart(slot) => write!(f, "slot {slot} restarts"),
            Event::TakeOver(slot) => write!(f, "slot {slot} becomes home in the next term"),
        }
    }
}
