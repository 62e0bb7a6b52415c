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

/// Durations and limits of the ownership protocol.
///
/// Every instance of a failure domain must run with the same `lease`, `promise`, `grace` and
/// `drift`, because a new owner computes its wait from them on behalf of the old owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timers {
    /// Time for which an owner may dispatch on one view of the log, measured from the time at which
    /// the read was sent.
    pub lease: Span,
    /// Validity of a voter's promise.
    pub promise: Span,
    /// Addition to the wait of a new owner, within which the last dispatches of the old owner
    /// arrive.
    pub grace: Span,
    /// Bound on the difference between the clock rates of two instances.
    pub drift: Drift,
    /// Interval between an owner's heartbeats to its voters.
    pub heartbeat: Span,
    /// Time without contact after which a voter may vote for a claim against an owner.
    pub silence_timeout: Span,
    /// Delay between the attempts of successive candidates.
    pub stagger: Span,
    /// Time for which members and owners must be unchanged before shards move.
    pub settle_delay: Span,
    /// Time for which an instance must be absent from the instance list before it counts as
    /// stopped. The interval between reads of the list must be at most a quarter of this.
    pub list_lag: Span,
    /// Time for which a newer incarnation of the same instance must be a member before the older
    /// one counts as stopped.
    pub restart_lag: Span,
    /// Whether the instance list and newer incarnations of the same instance are evidence that an
    /// instance has stopped.
    pub trust_list: bool,
    /// Maximum time between two snapshots.
    pub snapshot_interval: Span,
    /// Maximum number of records between two snapshots.
    pub snapshot_records: u64,
    /// Maximum number of voters of a term.
    pub max_voters: usize,
    /// Initial back-off before an append with an unknown result is retried; it doubles on each
    /// failure.
    pub append_backoff: Span,
    /// Time for which an owner waits for the reply to an offer.
    pub offer_timeout: Span,
    /// Time for which an instance that refused an offer receives no other one.
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
    /// Sets the time for which an owner may dispatch on one view of the log.
    pub fn with_lease(mut self, lease: Span) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the validity of a promise.
    pub fn with_promise(mut self, promise: Span) -> Self {
        self.promise = promise;
        self
    }

    /// Sets the addition to the wait of a new owner.
    pub fn with_grace(mut self, grace: Span) -> Self {
        self.grace = grace;
        self
    }

    /// Sets the bound on clock drift.
    pub fn with_drift(mut self, drift: Drift) -> Self {
        self.drift = drift;
        self
    }

    /// Sets the heartbeat interval and the silence time-out after which an owner may be replaced.
    pub fn with_heartbeat(mut self, heartbeat: Span, silence_timeout: Span) -> Self {
        self.heartbeat = heartbeat;
        self.silence_timeout = silence_timeout;
        self
    }

    /// Sets the lag bound of the instance list; `None` disables the evidence from it.
    pub fn with_list_lag(mut self, lag: Option<Span>) -> Self {
        self.trust_list = lag.is_some();
        self.list_lag = lag.unwrap_or(LIST_LAG);
        self
    }

    /// Sets the maximum time and the maximum number of records between two snapshots.
    pub fn with_snapshots(mut self, every: Span, records: u64) -> Self {
        self.snapshot_interval = every;
        self.snapshot_records = records;
        self
    }

    /// Sets the maximum number of voters of a term; at least one is used.
    pub fn with_max_voters(mut self, voters: usize) -> Self {
        self.max_voters = voters.max(1);
        self
    }

    /// Sets the time for which an owner waits for the reply to an offer.
    pub fn with_offer_timeout(mut self, wait: Span) -> Self {
        self.offer_timeout = wait;
        self
    }

    /// Returns the lease as measured by its holder, shortened by the drift bound.
    pub(crate) fn own_lease(&self) -> Span {
        self.drift.shorten(self.lease)
    }

    /// Returns the validity of a promise as measured by its requester, shortened by the drift
    /// bound.
    pub(crate) fn own_promise(&self) -> Span {
        self.drift.shorten(self.promise)
    }

    /// Returns how long an instance waits after reading back its claim of another owner's shard.
    pub(crate) fn claim_wait(&self) -> Span {
        self.drift.lengthen(self.lease.max(self.promise)) + self.grace
    }
}
