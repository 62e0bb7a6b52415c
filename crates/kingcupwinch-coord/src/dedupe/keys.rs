//! The key memory of a home shard's owner.

use std::collections::BTreeSet;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time, WallTime};

use super::table::{Evictable, Table};
use super::{Ended, Fingerprint, Fresh, Limits, Outcome, Request, RequestKey, Token};
use crate::id::{Attempt, Term};

/// What the owner decides for a request.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// It runs now, by this token alone.
    Run(Token<Fresh>),
    /// The same request is running or being asked about; its outcome comes later.
    Wait,
    /// An earlier term may have run it: ask the siblings, then call [`Keys::learn`].
    AskSiblings,
    /// It has ended.
    Remembered(Outcome),
    /// The key is older than the memory or its term, and not remembered; the request may have run.
    TooOld,
    /// The key's time lies beyond the clock bound; it is not a valid key.
    Ahead,
    /// The key was used for another request.
    Mismatch,
    /// No memory is left; the request did not run, and its key never will.
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

/// The keys of one home shard in one term of its owner.
#[derive(Debug)]
pub struct Keys {
    term: Term,
    earlier_until: WallTime,
    window: Span,
    clock_bound: Span,
    table: Table<Entry>,
    open: BTreeSet<(Time, RequestKey)>,
}

impl Keys {
    /// Makes the memory of a new owner whose term took effect at `effect`.
    ///
    /// Keys issued up to `effect` plus the clock bound may have run in an earlier term.
    pub fn new(term: Term, effect: WallTime, limits: Limits) -> Self {
        let earlier_until = effect + limits.clock_bound;
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

    /// Goes on in a later term of the same owner, with no other owner in between.
    pub fn continue_in(&mut self, term: Term) {
        self.term = term;
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes that the keys take.
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Decides for a request that arrives at civil time `wall`.
    pub fn begin(&mut self, request: &Request, wall: WallTime) -> Decision {
        self.evict_expired(wall);
        if let Some(entry) = self.table.get(request.key) {
            return Self::known(entry, request);
        }
        if request.issued > wall + self.clock_bound {
            return Decision::Ahead;
        }
        if request.issued <= self.table.floor() {
            return Decision::TooOld;
        }
        self.begin_new(request)
    }

    /// Takes the end of a token.
    ///
    /// An outcome that had become unknown is replaced by what was heard late.
    pub fn finish(&mut self, ended: Ended) {
        self.settle(ended.key, ended.outcome);
    }

    /// Takes what the siblings know of a key that was asked about: the answer with which it ran,
    /// or none. A sibling's `NotRun` proves nothing, because a later attempt may have gone to
    /// another instance; so without an answer the outcome is unknown.
    pub fn learn(&mut self, key: RequestKey, answer: Option<Arc<[u8]>>) {
        let entry = self.table.get(key);
        let asking = entry.is_some_and(|e| matches!(e.state, State::Asking));
        if asking {
            self.settle(key, answer.map_or_else(Outcome::unknown, Outcome::ran));
        }
    }

    /// Turns keys whose deadline has passed into unknown ones, and returns them.
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

    fn known(entry: &Entry, request: &Request) -> Decision {
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
