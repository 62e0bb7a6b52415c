//! The rules as data, and the flaws that must break them.

/// One rule left out or broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A new owner runs every key that it does not remember.
    RunUnknownKeys,
    /// A new owner runs a key that no sibling knows.
    RunIfUnknownToSiblings,
    /// A new owner passes a sibling's `not run` on.
    TrustSiblingNotRun,
    /// Forgetting a key leaves no floor.
    EvictWithoutFloor,
    /// A refusal for want of memory leaves no floor.
    RefuseWithoutFloor,
    /// A key of an earlier term is refused as not run for want of memory.
    RefuseOldKeyWhenFull,
    /// Silence from the runner is answered as not run.
    TimeoutMeansNotRun,
    /// Silence from the runner is retried.
    RetryAfterTimeout,
    /// A retried attempt's late refusal counts for the newer attempt.
    IgnoreAttemptNumber,
    /// A runner starts a permit that it has already taken.
    NoRunnerMemory,
    /// A permit reaches the next incarnation of its runner.
    PermitSurvivesRestart,
    /// A runner takes silence from the worker for a refusal.
    WorkerTimeoutMeansNotRun,
}

/// The rules and bounds of the specification.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Terms in a run.
    pub terms: u8,
    /// Restarts in a run.
    pub restarts: u8,
    /// The broken rule, if any.
    pub mutation: Option<Mutation>,
}

impl Rules {
    /// Makes the rules with the bounds that tests explore.
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

    /// Breaks one rule.
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
