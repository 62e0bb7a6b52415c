//! The rules as data, and the mutations that must violate a property.

/// A rule that is left out or broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A new owner runs every key that it does not remember.
    RunUnknownKeys,
    /// A new owner runs a key that no sibling knows.
    RunIfUnknownToSiblings,
    /// A new owner replies `not run` because a sibling did not run the key.
    ///
    /// Another sibling may still run it by a later attempt.
    TrustSiblingNotRun,
    /// Evicting a key does not raise the floor.
    EvictWithoutFloor,
    /// Refusing a key because the memory is full does not raise the floor.
    RefuseWithoutFloor,
    /// A key that may have run in an earlier term is refused as not run when the memory is full.
    RefuseOldKeyWhenFull,
    /// The home replies `not run` if the runner does not respond before the deadline.
    TimeoutMeansNotRun,
    /// The home starts another attempt if the runner does not respond before the deadline.
    RetryAfterTimeout,
    /// A late refusal of an earlier attempt is taken for a refusal of the current one.
    IgnoreAttemptNumber,
    /// A runner accepts a permit again after it has run the key.
    NoRunnerMemory,
    /// A permit that was sent before a restart of its runner is delivered after it.
    PermitSurvivesRestart,
    /// A runner reports `not run` if the worker does not respond before the deadline.
    WorkerTimeoutMeansNotRun,
}

/// The rules of the specification and the bounds of its exploration.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Number of terms in a run, up to three.
    pub terms: u8,
    /// Number of restarts in a run.
    pub restarts: u8,
    /// The mutation of the rules, if any.
    pub mutation: Option<Mutation>,
}

impl Rules {
    /// Creates the unbroken rules with bounds of three terms and two restarts.
    pub fn new() -> Self {
        Rules {
            terms: 3,
            restarts: 2,
            mutation: None,
        }
    }

    /// Sets the number of terms.
    #[must_use]
    pub fn with_terms(mut self, terms: u8) -> Self {
        self.terms = terms;
        self
    }

    /// Sets the number of restarts.
    #[must_use]
    pub fn with_restarts(mut self, restarts: u8) -> Self {
        self.restarts = restarts;
        self
    }

    /// Applies a mutation to the rules.
    #[must_use]
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.mutation = Some(mutation);
        self
    }

    pub(super) fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules::new()
    }
}
