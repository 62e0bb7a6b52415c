//! The life cycle of a permission to run, and the outcomes that it can end in.

use std::marker::PhantomData;
use std::sync::Arc;

use super::RequestKey;
use crate::id::Attempt;

/// No byte of the dispatch was written.
#[derive(Debug)]
pub struct Fresh(());

/// The dispatch may have reached the worker.
#[derive(Debug)]
pub struct Dispatched(());

/// A worker's own statement that the work did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker is leaving.
    Leaving,
    /// It has no capacity left.
    Full,
    /// It has seen a newer term.
    StaleTerm,
    /// The dispatch arrived after its deadline.
    Late,
    /// It does not run the service.
    UnknownService,
}

/// How a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome(Kind);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Kind {
    NotRun,
    Ran(Arc<[u8]>),
    Unknown,
}

/// An outcome as its readers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind<'a> {
    /// It certainly did not run.
    NotRun,
    /// It ran; the caller's bytes tell with what answer.
    Ran(&'a [u8]),
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Makes the outcome of which nothing is certain.
    pub const fn unknown() -> Self {
        Outcome(Kind::Unknown)
    }

    pub(super) fn ran(answer: Arc<[u8]>) -> Self {
        Outcome(Kind::Ran(answer))
    }

    /// Returns what the outcome says.
    pub fn kind(&self) -> OutcomeKind<'_> {
        match &self.0 {
            Kind::NotRun => OutcomeKind::NotRun,
            Kind::Ran(answer) => OutcomeKind::Ran(answer),
            Kind::Unknown => OutcomeKind::Unknown,
        }
    }

    /// Returns the bytes that the outcome's answer takes.
    pub(super) fn len(&self) -> usize {
        match &self.0 {
            Kind::Ran(answer) => answer.len(),
            Kind::NotRun | Kind::Unknown => 0,
        }
    }
}

/// The one permission to run a key.
///
/// It can't be cloned, and dropping it leaves the key undecided until its deadline, when the
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

    /// Notes that the dispatch starts; call it before the first byte is written.
    pub fn dispatch(self) -> Token<Dispatched> {
        Token {
            key: self.key,
            attempt: self.attempt,
            state: PhantomData,
        }
    }

    /// Gives up without a dispatch.
    pub fn not_run(self) -> Ended {
        self.end(Kind::NotRun)
    }
}

impl Token<Dispatched> {
    /// Ends with the worker's answer.
    pub fn ran(self, answer: Arc<[u8]>) -> Ended {
        self.end(Kind::Ran(answer))
    }

    /// Ends with nothing heard.
    pub fn unknown(self) -> Ended {
        self.end(Kind::Unknown)
    }

    /// Takes the worker's refusal; the next attempt may be dispatched.
    pub fn refused(self, _proof: Refusal) -> Token<Fresh> {
        Token::new(self.key, Attempt(self.attempt.0 + 1))
    }
}

/// A token's end, to be given back to the memory that made the token.
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
