//! What an owner knows of the leases on one worker.

use kingcupwinch_time::{Drift, Span, Time};

/// The largest rate by which a worker's clock is assumed to run slow.
const WORKER_DRIFT: Drift = Drift::from_ppm(20_000);
/// Added to the time after which a lease has certainly expired, since timers fire late.
const EXPIRY_MARGIN: Span = Span::from_millis(100);

/// Returns how long after it began a lease of this length has certainly expired.
fn certain_expiry(lease: Span) -> Span {
    WORKER_DRIFT.lengthen(lease) + EXPIRY_MARGIN
}

/// A reading of a worker's clock, and the local time at which it arrived.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    clock_ms: u64,
    read_at: Time,
}

/// The last lease that was granted to a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    /// The end on the clock of the process that it was granted to, in milliseconds.
    pub(crate) until_ms: u64,
    /// The start of this process in Unix milliseconds, if it is known.
    pub(crate) process: Option<u64>,
}

/// The leases on a worker, as far as this owner knows.
#[derive(Debug)]
pub(crate) struct WorkerLeases {
    clock: Option<ClockSample>,
    /// When all leases have certainly expired.
    expire: Time,
    last_grant: Option<Grant>,
    /// Until when the worker may hold a lease that was granted to an earlier process, if it may.
    late_until: Option<Time>,
}

impl WorkerLeases {
    /// Creates the leases of a worker of which earlier owners' leases have certainly expired at a time.
    pub(crate) fn new(expire: Time) -> Self {
        WorkerLeases {
            clock: None,
            expire,
            last_grant: None,
            late_until: None,
        }
    }

    /// Returns whether the worker's clock was read.
    pub(crate) fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns when all leases have certainly expired.
    pub(crate) fn expire(&self) -> Time {
        self.expire
    }

    /// Returns how long ago all leases have certainly expired, if they have.
    pub(crate) fn expired_age(&self, now: Time) -> Option<Span> {
        (self.expire < now).then(|| now.since(self.expire))
    }

    /// Returns the last lease that this owner granted, if there is one.
    pub(crate) fn last_grant(&self) -> Option<Grant> {
        self.last_grant
    }

    /// Returns whether the worker may hold a lease that was granted to an earlier process.
    pub(crate) fn has_late(&self) -> bool {
        self.late_until.is_some()
    }

    /// Forgets a lease that was granted to an earlier process once it has certainly expired.
    pub(crate) fn expire_late(&mut self, now: Time) {
        self.late_until = self.late_until.filter(|until| now <= *until);
    }

    /// Records a reading of the worker's clock in milliseconds.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, read_at: Time) {
        self.clock = Some(ClockSample { clock_ms, read_at });
    }

    /// Records that the process may have carried out an order for an earlier one by now. The end of such
    /// a lease lies on another clock; the worker shortens it to the longest lease that it allows.
    pub(crate) fn note_late(&mut self, longest: Span, now: Time) {
        let until = now + certain_expiry(longest);
        self.expire = self.expire.max(until);
        self.late_until = self.late_until.max(Some(until));
    }

    /// Grants a lease that begins now to a process. Returns its end on the worker's clock in
    /// milliseconds, or `None` if the clock is unknown or the lease has no length, and remembers when the
    /// lease has certainly expired.
    pub(crate) fn grant(&mut self, now: Time, lease: Span, process: Option<u64>) -> Option<u64> {
        let sample = self.clock.filter(|_| lease > Span::ZERO)?;
        let worker_now = sample.clock_ms + now.since(sample.read_at).as_millis();
        let until_ms = worker_now + lease.as_millis();
        let length = Span::from_millis(until_ms - sample.clock_ms);
        let expire = sample.read_at + certain_expiry(length);
        self.expire = self.expire.max(expire);
        self.last_grant = Some(Grant { until_ms, process });
        Some(until_ms)
    }
}
