//! At-most-once execution of non-idempotent requests, without a log write per request.
//!
//! [`Keys`] holds the idempotency keys of a home shard at its owner, which alone decides whether a
//! key runs. [`Runs`] holds the keys that an instance has dispatched, and answers the queries of a
//! new owner. A [`Token`] is the only permission to run a key; its type states ensure that `NotRun`
//! is reported only for a request that was never dispatched or that its worker refused.
//!
//! Eviction never lets a key run again: evicting a key raises a floor on issue times, and an
//! unknown key that was issued at or before the floor never runs.
//!
//! ```
//! use kingcupwinch_coord::dedupe::{Decision, Fingerprint, Keys, Limits, Request, RequestKey};
//! use kingcupwinch_coord::id::Term;
//! use kingcupwinch_time::{Time, WallTime};
//!
//! let mut keys = Keys::new(Term(1), WallTime::from_millis(0), Limits::new());
//! let wall = WallTime::from_millis(5_000);
//! let request = Request {
//!     key: RequestKey(uuid::Uuid::from_u128(7)),
//!     issued: wall,
//!     fingerprint: Fingerprint(42),
//!     deadline: Time::from_millis(9_000),
//! };
//! let Decision::Run(token) = keys.begin(&request, wall) else {
//!     panic!("a new key must run");
//! };
//! keys.finish(token.dispatch().ran(b"200 OK".as_slice().into()));
//! assert!(matches!(keys.begin(&request, wall), Decision::Remembered(_)));
//! ```

mod keys;
mod runs;
mod table;
mod token;

use kingcupwinch_time::{Span, Time, WallTime};
use uuid::Uuid;

use crate::id::{Attempt, ShardId, Term};

pub use keys::{Decision, Keys};
pub use runs::{RunDecision, Runs, SiblingAnswer};
pub use token::{Dispatched, Ended, Fresh, Outcome, OutcomeKind, Refusal, Token};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u32 = 1_000_000;

/// A caller's idempotency key, which is a version 7 UUID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub Uuid);

impl RequestKey {
    /// Returns the issue time in the key, or `None` if the key is not a version 7 UUID.
    pub fn issued(self) -> Option<WallTime> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = self.0.get_timestamp()?.to_unix();
        let millis = u64::from(nanos / NANOS_PER_MILLI);
        Some(WallTime::from_millis(secs * MILLIS_PER_SECOND + millis))
    }
}

/// A hash of a request's method, path and body, which detects a key that is reused for another
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// A request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// The idempotency key.
    pub key: RequestKey,
    /// Time at which the caller issued the key, on the caller's clock.
    pub issued: WallTime,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time at which the outcome becomes unknown if there is no answer by then.
    pub deadline: Time,
}

/// Permission to dispatch a key, sent by the owner of the key's home shard to the dispatching
/// instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The key.
    pub key: RequestKey,
    /// Time at which the caller issued the key.
    pub issued: WallTime,
    /// The home shard of the key.
    pub home: ShardId,
    /// The term in which the owner of the home shard issued the permit.
    pub term: Term,
    /// The number of the attempt; a higher number is used only after a certain `NotRun`.
    pub attempt: Attempt,
}

/// Limits of [`Keys`] and [`Runs`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    window: Span,
    clock_bound: Span,
    entries: usize,
    bytes: usize,
}

impl Limits {
    /// Creates the default limits: a window of ten minutes, a clock bound of two seconds, 65,536
    /// keys and 16 MiB.
    pub fn new() -> Self {
        Limits {
            window: Span::from_secs(600),
            clock_bound: Span::from_secs(2),
            entries: 1 << 16,
            bytes: 1 << 24,
        }
    }

    /// Sets the time for which outcomes are remembered after the issue of their keys.
    #[must_use]
    pub fn with_window(mut self, window: Span) -> Self {
        self.window = window;
        self
    }

    /// Sets the bound on the difference between the wall clocks of callers and instances.
    #[must_use]
    pub fn with_clock_bound(mut self, bound: Span) -> Self {
        self.clock_bound = bound;
        self
    }

    /// Sets the maximum number of keys and bytes to remember.
    #[must_use]
    pub fn with_memory(mut self, entries: usize, bytes: usize) -> Self {
        self.entries = entries;
        self.bytes = bytes;
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new()
    }
}
