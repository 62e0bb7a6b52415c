//! Idempotency keys that an instance has dispatched.

use std::sync::Arc;

use kingcupwinch_time::{Span, WallTime};
use rustc_hash::FxHashMap;

use super::table::{Evictable, Table};
use super::{Ended, Fresh, Limits, Outcome, OutcomeKind, Permit, RequestKey, Token};
use crate::id::{Attempt, ShardId, Term};

/// The decision of the dispatching instance about a permit.
#[derive(Debug)]
#[must_use]
pub enum RunDecision {
    /// The request is dispatched, with this token as the only permission.
    Start(Token<Fresh>),
    /// The key is already running on this instance.
    Running,
    /// The key has ended on this instance with this outcome.
    Remembered(Outcome),
    /// The permit is not used: its term was replaced, its key was issued at or before the floor, or
    /// there is no room for the key.
    Stale,
}

/// The answer of an instance to a new owner's query about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SiblingAnswer {
    /// The key ran on this instance, with this answer.
    Ran(Arc<[u8]>),
    /// The key is running on this instance.
    Running,
    /// This instance can't prove anything about the key. No permit of an earlier term will run it
    /// here from now on.
    Unproved,
}

#[derive(Debug)]
struct Entry {
    attempt: Attempt,
    outcome: Option<Outcome>,
}

impl Entry {
    fn allows(&self, attempt: Attempt) -> bool {
        let refused = self.outcome.as_ref().map(Outcome::kind) == Some(OutcomeKind::NotRun);
        refused && attempt > self.attempt
    }
}

impl Evictable for Entry {
    fn extra_bytes(&self) -> usize {
        self.outcome.as_ref().map_or(0, Outcome::len)
    }

    fn is_settled(&self) -> bool {
        self.outcome.is_some()
    }
}

/// The idempotency keys that one instance has dispatched, for all home shards.
#[derive(Debug)]
pub struct Runs {
    window: Span,
    fences: FxHashMap<ShardId, Term>,
    table: Table<Entry>,
}

impl Runs {
    /// Creates an empty set of keys.
    pub fn new(limits: Limits) -> Self {
        let floor = WallTime::from_millis(0);
        Runs {
            window: limits.window,
            fences: FxHashMap::default(),
            table: Table::new(floor, limits.entries, limits.bytes),
        }
    }

    /// Decides about a permit that arrives at wall-clock time `wall`.
    pub fn begin(&mut self, permit: &Permit, wall: WallTime) -> RunDecision {
        self.evict_expired(wall);
        if !self.raise_fence(permit.home, permit.term) {
            return RunDecision::Stale;
        }
        if let Some(entry) = self.table.get(permit.key) {
            if entry.allows(permit.attempt) {
                return self.start(permit);
            }
            return Self::decide_known(entry);
        }
        let has_room = self.table.make_room();
        if !has_room || permit.issued <= self.table.floor() {
            return RunDecision::Stale;
        }
        self.start(permit)
    }

    /// Records the outcome of a token.
    ///
    /// The entry keeps the attempt number of the permit, regardless of later attempts of the
    /// dispatcher.
    pub fn finish(&mut self, ended: Ended) {
        let Some(attempt) = self.table.get(ended.key).map(|e| e.attempt) else {
            return;
        };
        let entry = Entry {
            attempt,
            outcome: Some(ended.outcome),
        };
        self.table.replace(ended.key, entry);
    }

    /// Answers a query by the owner of `home` in `term`, and voids permits of earlier terms.
    pub fn answer(&mut self, key: RequestKey, home: ShardId, term: Term) -> SiblingAnswer {
        self.raise_fence(home, term);
        let Some(entry) = self.table.get(key) else {
            return SiblingAnswer::Unproved;
        };
        match entry.outcome.as_ref().map(Outcome::kind) {
            None => SiblingAnswer::Running,
            Some(OutcomeKind::Ran(answer)) => SiblingAnswer::Ran(answer.into()),
            Some(OutcomeKind::NotRun | OutcomeKind::Unknown) => SiblingAnswer::Unproved,
        }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no remembered keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn decide_known(entry: &Entry) -> RunDecision {
        match &entry.outcome {
            None => RunDecision::Running,
            Some(outcome) => RunDecision::Remembered(outcome.clone()),
        }
    }

    fn start(&mut self, permit: &Permit) -> RunDecision {
        let entry = Entry {
            attempt: permit.attempt,
            outcome: None,
        };
        self.table.put(permit.key, permit.issued, entry);
        RunDecision::Start(Token::new(permit.key, permit.attempt))
    }

    /// Raises the fence of a home shard to `term`, and returns `false` if a later term replaced it.
    fn raise_fence(&mut self, home: ShardId, term: Term) -> bool {
        let fence = self.fences.entry(home).or_default();
        *fence = (*fence).max(term);
        term == *fence
    }

    fn evict_expired(&mut self, wall: WallTime) {
        let oldest = wall.as_millis().saturating_sub(self.window.as_millis());
        self.table.raise_floor(WallTime::from_millis(oldest));
    }
}
