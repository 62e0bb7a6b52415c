//! Idempotency keys of a home shard at its owner.

use std::collections::BTreeSet;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time, WallTime};

use super::table::{Evictable, Table};
use super::{Ended, Fingerprint, Fresh, Limits, Outcome, Request, RequestKey, Token};
use crate::id::{Attempt, Term};

/// The decision of the owner for a request.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// The request runs now, with this token as the only permission.
    Run(Token<Fresh>),
    /// The same request is running, or the siblings are being queried; its outcome follows later.
    Wait,
    /// The request may have run in an earlier term: query the siblings, then call
    /// [`Keys::record_sibling_answer`].
    AskSiblings,
    /// The request has ended with this outcome.
    Remembered(Outcome),
    /// The key is unknown and was issued at or before the floor, or there is no room to query the
    /// siblings about it; the request may have run.
    TooOld,
    /// The issue time is further ahead than the clock bound allows; the key is invalid.
    Ahead,
    /// The key was already used for another request.
    Mismatch,
    /// No memory is left. The request did not run, and its key never will.
    Full,
}

#[derive(Debug)]
enum State {
    Running,
    Asking,
    Settled(Outcome),
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    deadline: Time,
    state: State,
}

impl Entry {
    fn settled(&self, outcome: Outcome) -> Entry {
        Entry {
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            state: State::Settled(outcome),
        }
    }
}

impl Evictable for Entry {
    fn extra_bytes(&self) -> usize {
        match &self.state {
            State::Running | State::Asking => 0,
            State::Settled(outcome) => outcome.len(),
        }
    }

    fn is_settled(&self) -> bool {
        matches!(self.state, State::Settled(_))
    }
}

/// The idempotency keys of one home shard at its owner.
#[derive(Debug)]
pub struct Keys {
    term: Term,
    /// Keys issued up to this time may have run in an earlier term.
    earlier_until: WallTime,
    window: Span,
    clock_bound: Span,
    table: Table<Entry>,
    /// Deadlines of the unsettled keys, earliest first.
    open: BTreeSet<(Time, RequestKey)>,
}

impl Keys {
    /// Creates the keys of a new owner whose term became effective at `effective`.
    ///
    /// Keys issued up to `effective` plus the clock bound may have run in an earlier term.
    pub fn new(term: Term, effective: WallTime, limits: Limits) -> Self {
        let earlier_until = effective + limits.clock_bound;
        let floor = WallTime::from_millis(0);
        Keys {
            term,
            earlier_until,
            window: limits.window,
            clock_bound: limits.clock_bound,
            table: Table::new(floor, limits.entries, limits.bytes),
            open: BTreeSet::new(),
        }
    }

    /// Continues in a later term of the same owner, without another owner in between.
    pub fn advance_term(&mut self, term: Term) {
        self.term = term;
    }

    /// Returns the term of the owner.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no remembered keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory of the remembered keys in bytes.
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Decides about a request that arrives at wall-clock time `wall`.
    pub fn begin(&mut self, request: &Request, wall: WallTime) -> Decision {
        self.evict_expired(wall);
        if let Some(entry) = self.table.get(request.key) {
            return Self::decide_known(entry, request);
        }
        if request.issued > wall + self.clock_bound {
            return Decision::Ahead;
        }
        if request.issued <= self.table.floor() {
            return Decision::TooOld;
        }
        self.begin_new(request)
    }

    /// Records the outcome of a token.
    ///
    /// A late outcome replaces one that had become unknown.
    pub fn finish(&mut self, ended: Ended) {
        self.settle(ended.key, ended.outcome);
    }

    /// Records the result of querying the siblings: the answer with which the key ran, or `None`.
    ///
    /// Without an answer the outcome is unknown. A sibling's `NotRun` proves nothing, because a
    /// later attempt may have gone to another instance.
    pub fn record_sibling_answer(&mut self, key: RequestKey, answer: Option<Arc<[u8]>>) {
        let entry = self.table.get(key);
        let asking = entry.is_some_and(|e| matches!(e.state, State::Asking));
        if asking {
            self.settle(key, answer.map_or_else(Outcome::unknown, Outcome::ran));
        }
    }

    /// Sets the outcome of keys whose deadline has passed to unknown, and returns these keys.
    pub fn expire(&mut self, now: Time) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while let Some((deadline, key)) = self.open.first().copied() {
            if deadline > now {
                break;
            }
            self.settle(key, Outcome::unknown());
            expired.push(key);
        }
        expired
    }

    fn settle(&mut self, key: RequestKey, outcome: Outcome) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        self.open.remove(&(entry.deadline, key));
        let settled = entry.settled(outcome);
        self.table.replace(key, settled);
    }

    fn decide_known(entry: &Entry, request: &Request) -> Decision {
        if entry.fingerprint != request.fingerprint {
            return Decision::Mismatch;
        }
        match &entry.state {
            State::Running | State::Asking => Decision::Wait,
            State::Settled(outcome) => Decision::Remembered(outcome.clone()),
        }
    }

    fn begin_new(&mut self, request: &Request) -> Decision {
        let has_room = self.table.make_room();
        let is_earlier = request.issued <= self.earlier_until;
        if !has_room && !is_earlier {
            self.table.raise_floor(request.issued);
            return Decision::Full;
        }
        if !has_room || request.issued <= self.table.floor() {
            return Decision::TooOld;
        }
        if is_earlier {
            self.insert(request, State::Asking);
            return Decision::AskSiblings;
        }
        self.insert(request, State::Running);
        Decision::Run(Token::new(request.key, Attempt(1)))
    }

    fn insert(&mut self, request: &Request, state: State) {
        let entry = Entry {
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            state,
        };
        self.open.insert((request.deadline, request.key));
        self.table.put(request.key, request.issued, entry);
    }

    fn evict_expired(&mut self, wall: WallTime) {
        let oldest = wall.as_millis().saturating_sub(self.window.as_millis());
        self.table.raise_floor(WallTime::from_millis(oldest));
    }
}
