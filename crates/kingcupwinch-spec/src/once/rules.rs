//! The rules as data, and the flaws that must break them.

/// One rule left out or broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// A new owner runs every key that it does not remember.
    NoNewTermRule,
    /// A new owner runs a key that no sibling knows.
    UnseenMeansNew,
    /// A new owner passes a sibling's `not run` on.
    SiblingNotRun,
    /// Forgetting a key leaves no floor.
    NoFloor,
    /// A refusal for want of memory leaves no floor.
    FullWithoutFloor,
    /// A key of an earlier term is refused as not run for want of memory.
    FullInNewTerm,
    /// Silence from the runner is answered as not run.
    SilenceMeansNotRun,
    /// Silence from the runner is retried.
    RetryOnSilence,
    /// A retried attempt's late refusal counts for the newer attempt.
    UnmatchedAttempt,
    /// A runner starts a permit that it has already taken.
    NoRunnerMemory,
    /// A permit reaches the next incarnation of its runner.
    PermitOutlivesRunner,
    /// A runner takes silence from the worker for a refusal.
    RunnerSilence,
}

/// The rules and bounds of the specification.
#[derive(Debug, Clone)]
pub struct OnceRules {
    /// Terms in a run.
    pub terms: u8,
    /// Restarts in a run.
    pub restarts: u8,
    /// The broken rule, if any.
    pub flaw: Option<Flaw>,
}

impl OnceRules {
    /// Makes the rules with the bounds that tests explore.
    pub fn new() -> Self {
        OnceRules {
            terms: 3,
            restarts: 2,
            flaw: None,
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
    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = Some(flaw);
        self
    }

    pub(super) fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }
}

impl Default for OnceRules {
    fn default() -> Self {
        OnceRules::new()
    }
}
