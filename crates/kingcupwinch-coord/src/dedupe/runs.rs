//! The memory of the instance that dispatches.

use std::sync::Arc;

use kingcupwinch_time::{Span, WallTime};
use rustc_hash::FxHashMap;

use super::table::{Evictable, Table};
use super::{Ended, Fresh, Limits, Outcome, OutcomeKind, Permit, RequestKey, Token};
use crate::id::{Attempt, ShardId, Term};

/// What the instance does with a permit.
#[derive(Debug)]
#[must_use]
pub enum RunDecision {
    /// It dispatches, by this token alone.
    Start(Token<Fresh>),
    /// This attempt is already on its way.
    Running,
    /// The key has ended here.
    Remembered(Outcome),
    /// The permit is of a replaced term or older than the memory: it does not run by this permit.
    Stale,
}

/// What an instance tells a new home owner about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SiblingAnswer {
    /// It ran here, with this answer.
    Ran(Arc<[u8]>),
    /// It is running here.
    Running,
    /// Nothing is known of it here, and no permit of an older term will run it from now on.
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

/// The keys that one instance has dispatched, for any home shard.
#[derive(Debug)]
pub struct Runs {
    window: Span,
    fences: FxHashMap<ShardId, Term>,
    table: Table<Entry>,
}

impl Runs {
    /// Makes an empty memory.
    pub fn new(limits: Limits) -> Self {
        let floor = WallTime::from_millis(0);
        Runs {
            window: limits.window,
            fences: FxHashMap::default(),
            table: Table::new(floor, limits.entries, limits.bytes),
        }
    }

    /// Takes a permit that arrives at civil time `wall`.
    pub fn begin(&mut self, permit: &Permit, wall: WallTime) -> RunDecision {
        self.evict_expired(wall);
        if !self.raise_fence(permit.home, permit.term) {
            return RunDecision::Stale;
        }
        if let Some(entry) = self.table.get(permit.key) {
            if entry.allows(permit.attempt) {
                return self.start(permit);
            }
            return Self::known(entry);
        }
        let has_room = self.table.make_room();
        if !has_room || permit.issued <= self.table.floor() {
            return RunDecision::Stale;
        }
        self.start(permit)
    }

    /// Takes the end of a token.
    ///
    /// The entry keeps the number of the permit's attempt, whatever the runner tried since.
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

    /// Answers the owner of `home` in `term`; permits of older terms are void from now on.
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

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn known(entry: &Entry) -> RunDecision {
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

    /// Returns false if `term` is already replaced.
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
