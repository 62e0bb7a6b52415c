//! Type states of the permission to run a key, and its outcomes.

use std::marker::PhantomData;
use std::sync::Arc;

use super::RequestKey;
use crate::id::Attempt;

/// State of a token of which no byte has been dispatched.
#[derive(Debug)]
pub struct Fresh(());

/// State of a token whose dispatch may have reached the worker.
#[derive(Debug)]
pub struct Dispatched(());

/// A worker's reason for refusing a request, which proves that the request did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker is leaving.
    Leaving,
    /// The worker has no capacity left.
    Full,
    /// The worker has seen a newer term.
    StaleTerm,
    /// The dispatch arrived after its deadline.
    Late,
    /// The worker does not run the service.
    UnknownService,
}

/// The outcome of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome(Kind);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Kind {
    NotRun,
    Ran(Arc<[u8]>),
    Unknown,
}

/// The public view of an [`Outcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind<'a> {
    /// The request certainly did not run.
    NotRun,
    /// The request ran; these are the bytes of its answer.
    Ran(&'a [u8]),
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome of a request that may or may not have run.
    pub const fn unknown() -> Self {
        Outcome(Kind::Unknown)
    }

    pub(super) fn ran(answer: Arc<[u8]>) -> Self {
        Outcome(Kind::Ran(answer))
    }

    /// Returns the kind of the outcome.
    pub fn kind(&self) -> OutcomeKind<'_> {
        match &self.0 {
            Kind::NotRun => OutcomeKind::NotRun,
            Kind::Ran(answer) => OutcomeKind::Ran(answer),
            Kind::Unknown => OutcomeKind::Unknown,
        }
    }

    /// Returns the length of the answer in bytes.
    pub(super) fn len(&self) -> usize {
        match &self.0 {
            Kind::Ran(answer) => answer.len(),
            Kind::NotRun | Kind::Unknown => 0,
        }
    }
}

/// The only permission to run a key.
///
/// A token can't be cloned. Dropping it leaves the key unsettled until its deadline, when the
/// outcome becomes unknown.
#[derive(Debug)]
#[must_use]
pub struct Token<S> {
    key: RequestKey,
    attempt: Attempt,
    state: PhantomData<S>,
}

impl<S> Token<S> {
    /// Returns the key.
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Returns the number of the attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    fn end(self, kind: Kind) -> Ended {
        Ended {
            key: self.key,
            outcome: Outcome(kind),
        }
    }
}

impl Token<Fresh> {
    pub(super) fn new(key: RequestKey, attempt: Attempt) -> Self {
        Token {
            key,
            attempt,
            state: PhantomData,
        }
    }

    /// Marks the token as dispatched.
    ///
    /// Must be called before the first byte of the dispatch is written.
    pub fn dispatch(self) -> Token<Dispatched> {
        Token {
            key: self.key,
            attempt: self.attempt,
            state: PhantomData,
        }
    }

    /// Ends the token without a dispatch.
    pub fn not_run(self) -> Ended {
        self.end(Kind::NotRun)
    }
}

impl Token<Dispatched> {
    /// Ends the token with the worker's answer.
    pub fn ran(self, answer: Arc<[u8]>) -> Ended {
        self.end(Kind::Ran(answer))
    }

    /// Ends the token without an answer.
    pub fn unknown(self) -> Ended {
        self.end(Kind::Unknown)
    }

    /// Returns the token of the next attempt after the worker refused this one.
    pub fn refused(self, _proof: Refusal) -> Token<Fresh> {
        Token::new(self.key, Attempt(self.attempt.0 + 1))
    }
}

/// The end of a token, to be passed to the [`Keys`](super::Keys) or [`Runs`](super::Runs) that
/// issued the token.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub struct Ended {
    pub(super) key: RequestKey,
    pub(super) outcome: Outcome,
}

impl Ended {
    /// Returns the key.
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Returns the outcome.
    pub fn outcome(&self) -> &Outcome {
        &self.outcome
    }
}
