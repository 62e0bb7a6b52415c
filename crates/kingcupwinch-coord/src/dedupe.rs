//! At most once for non-idempotent requests, with no write to the log per request.
//!
//! [`Keys`] is the memory of a home shard's owner: it alone decides whether a key runs. [`Runs`]
//! is the memory of the instance that dispatches, which answers a new owner's questions. A
//! [`Token`] is the one permission to run a key; its life cycle makes sure that `NotRun` is only
//! ever said of a request that was never dispatched or that its worker refused.
//!
//! Neither memory can forget a key in a way that lets it run again: whatever is dropped raises a
//! floor, and an unremembered key issued at or before the floor never runs.
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
//!     panic!("the key is new");
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

/// A caller's idempotency key, a version 7 UUID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub Uuid);

impl RequestKey {
    /// Returns the time that the key carries, none unless it is a version 7 UUID.
    pub fn issued(self) -> Option<WallTime> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = self.0.get_timestamp()?.to_unix();
        let millis = u64::from(nanos / NANOS_PER_MILLI);
        Some(WallTime::from_millis(secs * MILLIS_PER_SECOND + millis))
    }
}

/// A hash of a request's method, path and body, to notice a key used for two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// A request that arrives under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its key.
    pub key: RequestKey,
    /// When the caller issued the key, by the caller's clock.
    pub issued: WallTime,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// When its outcome becomes unknown if nothing was heard.
    pub deadline: Time,
}

/// A home owner's permission to dispatch a key, sent to the instance that dispatches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The key.
    pub key: RequestKey,
    /// When the caller issued the key.
    pub issued: WallTime,
    /// The key's home shard.
    pub home: ShardId,
    /// The term in which the home's owner decided.
    pub term: Term,
    /// The number of the attempt; a higher one follows only a certain `NotRun`.
    pub attempt: Attempt,
}

/// Bounds of a key memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    window: Span,
    clock_bound: Span,
    entries: usize,
    bytes: usize,
}

impl Limits {
    /// Makes the default limits: ten minutes, clocks within two seconds, 65,536 keys, 16 MiB.
    pub fn new() -> Self {
        Limits {
            window: Span::from_secs(600),
            clock_bound: Span::from_secs(2),
            entries: 1 << 16,
            bytes: 1 << 24,
        }
    }

    /// Sets how long outcomes are remembered after their keys were issued.
    #[must_use]
    pub fn with_window(mut self, window: Span) -> Self {
        self.window = window;
        self
    }

    /// Sets by how much the civil clocks of callers and instances may differ.
    #[must_use]
    pub fn with_clock_bound(mut self, bound: Span) -> Self {
        self.clock_bound = bound;
        self
    }

    /// Sets the most keys and bytes remembered.
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
