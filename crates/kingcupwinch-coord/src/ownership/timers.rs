//! Settings of the ownership protocol.

use kingcupwinch_time::{Drift, Span};

const LEASE: Span = Span::from_millis(2_000);
const PROMISE: Span = Span::from_millis(2_000);
const GRACE: Span = Span::from_millis(500);
const DRIFT: Drift = Drift::from_ppm(1_000);
const HEARTBEAT: Span = Span::from_millis(500);
const SILENCE_TIMEOUT: Span = Span::from_millis(1_500);
const STAGGER: Span = Span::from_millis(300);
const SETTLE_DELAY: Span = Span::from_millis(1_000);
const LIST_LAG: Span = Span::from_secs(10);
const RESTART_LAG: Span = Span::from_secs(3);
const SNAPSHOT_INTERVAL: Span = Span::from_secs(600);
const SNAPSHOT_RECORDS: u64 = 1_000;
const MAX_VOTERS: usize = 7;
const APPEND_BACKOFF: Span = Span::from_millis(500);
const OFFER_TIMEOUT: Span = Span::from_millis(1_000);
const REFUSAL_BACKOFF: Span = Span::from_secs(10);

/// Lengths and bounds of the ownership protocol.
///
/// Every instance of a failure domain must run with the same `lease`, `promise`, `grace` and
/// `drift`: the wait of a new owner stands for the lease of the old one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timers {
    /// How long an owner dispatches on one view of the log, counted from when the read was sent.
    pub lease: Span,
    /// How long a voter's promise lasts.
    pub promise: Span,
    /// Added to the wait of a new owner, for the last dispatches of the old one to arrive.
    pub grace: Span,
    /// Bound on the difference of two instances' clock rates.
    pub drift: Drift,
    /// Interval of an owner's heartbeats to its voters.
    pub heartbeat: Span,
    /// How long an owner must be unheard before a voter supports a claim against it.
    pub silence_timeout: Span,
    /// Head start of each candidate over the next one.
    pub stagger: Span,
    /// How long the group and its owners must be unchanged before shards move.
    pub settle_delay: Span,
    /// How long the instance list must have dropped an instance before it counts as stopped. The
    /// list must be read at least four times as often.
    pub list_lag: Span,
    /// How long a newer incarnation of the same instance must have been a member before the older
    /// one counts as stopped.
    pub restart_lag: Span,
    /// Whether the instance list, or a newer incarnation of the same instance, is evidence that
    /// an instance has stopped.
    pub trust_list: bool,
    /// Longest time between two snapshots.
    pub snapshot_interval: Span,
    /// Most records between two snapshots.
    pub snapshot_records: u64,
    /// Most voters of a term.
    pub max_voters: usize,
    /// First pause before an append of unknown outcome is sent again; it doubles.
    pub append_backoff: Span,
    /// How long an owner waits for the answer to an offer.
    pub offer_timeout: Span,
    /// How long an instance that refused an offer gets no other one.
    pub refusal_backoff: Span,
}

impl Default for Timers {
    fn default() -> Self {
        Timers {
            lease: LEASE,
            promise: PROMISE,
            grace: GRACE,
            drift: DRIFT,
            heartbeat: HEARTBEAT,
            silence_timeout: SILENCE_TIMEOUT,
            stagger: STAGGER,
            settle_delay: SETTLE_DELAY,
            list_lag: LIST_LAG,
            restart_lag: RESTART_LAG,
            trust_list: true,
            snapshot_interval: SNAPSHOT_INTERVAL,
            snapshot_records: SNAPSHOT_RECORDS,
            max_voters: MAX_VOTERS,
            append_backoff: APPEND_BACKOFF,
            offer_timeout: OFFER_TIMEOUT,
            refusal_backoff: REFUSAL_BACKOFF,
        }
    }
}

impl Timers {
    /// Sets how long an owner dispatches on one view of the log.
    pub fn with_lease(mut self, lease: Span) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how long a promise lasts.
    pub fn with_promise(mut self, promise: Span) -> Self {
        self.promise = promise;
        self
    }

    /// Sets what is added to a new owner's wait.
    pub fn with_grace(mut self, grace: Span) -> Self {
        self.grace = grace;
        self
    }

    /// Sets the bound on clock drift.
    pub fn with_drift(mut self, drift: Drift) -> Self {
        self.drift = drift;
        self
    }

    /// Sets the interval of heartbeats and the silence after which an owner may be replaced.
    pub fn with_heartbeat(mut self, heartbeat: Span, silence_timeout: Span) -> Self {
        self.heartbeat = heartbeat;
        self.silence_timeout = silence_timeout;
        self
    }

    /// Sets the list's lag bound, or turns its evidence off with none.
    pub fn with_list_lag(mut self, lag: Option<Span>) -> Self {
        self.trust_list = lag.is_some();
        self.list_lag = lag.unwrap_or(LIST_LAG);
        self
    }

    /// Sets the longest time and the most records between two snapshots.
    pub fn with_snapshots(mut self, every: Span, records: u64) -> Self {
        self.snapshot_interval = every;
        self.snapshot_records = records;
        self
    }

    /// Sets the most voters of a term.
    pub fn with_max_voters(mut self, voters: usize) -> Self {
        self.max_voters = voters.max(1);
        self
    }

    /// Sets how long an owner waits for the answer to an offer.
    pub fn with_offer_timeout(mut self, wait: Span) -> Self {
        self.offer_timeout = wait;
        self
    }

    /// Returns how long a lease lasts for its holder.
    pub(crate) fn own_lease(&self) -> Span {
        self.drift.shorten(self.lease)
    }

    /// Returns how long a promise lasts for the one who asked for it.
    pub(crate) fn own_promise(&self) -> Span {
        self.drift.shorten(self.promise)
    }

    /// Returns how long a claim of another's shard waits after it was read back.
    pub(crate) fn claim_wait(&self) -> Span {
        self.drift.lengthen(self.lease.max(self.promise)) + self.grace
    }
}
