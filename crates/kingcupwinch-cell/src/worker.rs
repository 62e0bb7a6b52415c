use std::sync::Arc;

use kingcupwinch_time::{Drift, Span, Time};
use rustc_hash::FxHashSet;

use crate::estimate::PaceEstimate;
use crate::id::TaskName;
use crate::run::{RunEnd, RunKey};
use crate::spec::{Resources, StepSpec};

slotmap::new_key_type! {
    /// Names a worker of the cell.
    pub struct WorkerKey;
}

/// Which of a worker's labels names its rack; the one before names its kind.
pub(crate) const RACK_LABEL: usize = 1;
/// How far a worker's clock may run slow.
const WORKER_DRIFT: Drift = Drift::from_ppm(20_000);
/// Added to the time after which a lease has certainly lapsed: timers fire late.
const EXPIRY_MARGIN: Span = Span::from_millis(100);
/// How long a worker that left the list may still be used if it answers: a list that comes back
/// after an outage lacks live workers for about two seconds.
const UNLISTED_GRACE: Span = Span::from_millis(2_500);
/// Failures in a row, of different jobs, after which a worker is set aside.
const QUARANTINE_FAILURES: u32 = 2;
/// How long a worker is set aside for the first time; doubles with each further time.
const QUARANTINE_TIME: Span = Span::from_millis(2_500);
/// The most doublings.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// A worker as the directory lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Its id, which never names another life at another address.
    pub id: Arc<str>,
    /// Where it takes orders, `IP:PORT`.
    pub address: Arc<str>,
    /// The service that it runs.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// What it has in all.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Unix milliseconds of its start; `None` if it is known from an earlier owner's list only.
    pub started_ms: Option<u64>,
}

impl Registration {
    /// Makes the entry of a worker of which only this much is known; it gets nothing new.
    pub(crate) fn of_lost(id: &Arc<str>, address: Arc<str>) -> Self {
        Registration {
            id: Arc::clone(id),
            address,
            service: "".into(),
            domain: "".into(),
            draining: true,
            capacity: Resources::default(),
            labels: Vec::new(),
            started_ms: None,
        }
    }

    /// Returns whether a start is that of another life of the worker; one that is not known is not.
    pub(crate) fn is_restart(&self, born: Option<u64>) -> bool {
        self.started_ms
            .zip(born)
            .is_some_and(|(known, other)| known != other)
    }
}

/// A run as a worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// Per cent of the work done.
    pub percent: u8,
}

/// What a worker answered to a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Its own clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix milliseconds of its start; tells its lives apart.
    pub started_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and was not acknowledged; the oldest 500.
    pub ended: Vec<RunEnd>,
}

/// What is known of a worker that did not answer a look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// Nothing.
    Silent,
    /// It closed the connection in good order, or refused one. Its process may have ended, or a cut
    /// in the network refuses in its name.
    Closed,
}

/// What to ask of a worker with the next look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerPoll {
    /// Renews the leases until this time of the worker's clock, if set.
    pub lease_until: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub acked_through: u64,
    /// Whether the answer should wait for an end.
    pub long_poll: bool,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    clock_ms: u64,
    read_at: Time,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) registration: Registration,
    /// When it left the directory, if it did.
    pub(crate) unlisted_at: Option<Time>,
    pub(crate) used: Resources,
    /// Runs there that fill what others leave unused, and that serve users of their own.
    pub(crate) best_effort_runs: u32,
    pub(crate) latency_sensitive_runs: u32,
    pub(crate) runs: FxHashSet<RunKey>,
    clock_sample: Option<ClockSample>,
    /// When everything that runs there has certainly lost its lease.
    pub(crate) leases_expire: Time,
    /// Ends processed, and ends recorded.
    pub(crate) last_end_seen: u64,
    pub(crate) last_end_acked: u64,
    pub(crate) failed_polls: u32,
    /// When it last answered a look.
    last_answer: Time,
    /// Whether a look that it missed since then found the connection closed.
    is_connection_closed: bool,
    /// Not yet looked at under this owner's term.
    pub(crate) inherited: bool,
    /// Runs something of which this owner knows neither job nor size.
    pub(crate) has_unknown_runs: bool,
    pub(crate) pace: PaceEstimate,
    failure_streak: u32,
    quarantines: u32,
    pub(crate) quarantined_until: Time,
}

impl Worker {
    pub(crate) fn new(entry: Registration, inherited: bool, lapsed: Time) -> Self {
        Worker {
            registration: entry,
            unlisted_at: None,
            used: Resources::default(),
            best_effort_runs: 0,
            latency_sensitive_runs: 0,
            runs: FxHashSet::default(),
            clock_sample: None,
            leases_expire: lapsed,
            last_end_seen: 0,
            last_end_acked: 0,
            failed_polls: 0,
            last_answer: Time::ZERO,
            is_connection_closed: false,
            inherited,
            has_unknown_runs: false,
            pace: PaceEstimate::default(),
            failure_streak: 0,
            quarantines: 0,
            quarantined_until: Time::ZERO,
        }
    }

    /// Returns whether new work may be sent there.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.registration.draining
            && !self.inherited
            && !self.has_unknown_runs
            && self.clock_sample.is_some()
            && self.failed_polls == 0
            && self.quarantined_until <= now
            && self.unlisted_at.is_none_or(|at| now < at + UNLISTED_GRACE)
    }

    /// Counts a run of a step.
    pub(crate) fn add_run(&mut self, step: &StepSpec) {
        self.used.add(step.charged_resources());
        self.best_effort_runs += u32::from(step.best_effort);
        self.latency_sensitive_runs += u32::from(step.latency_sensitive);
    }

    /// Counts a run of a step no longer.
    pub(crate) fn remove_run(&mut self, step: &StepSpec) {
        self.used.sub(step.charged_resources());
        self.best_effort_runs -= u32::from(step.best_effort);
        self.latency_sensitive_runs -= u32::from(step.latency_sensitive);
    }

    pub(crate) fn available(&self) -> Resources {
        self.registration.capacity.remaining(self.used)
    }

    /// Notes an answer to a look, with the worker's clock.
    pub(crate) fn note_answer(&mut self, clock: u64, read: Time) {
        self.clock_sample = Some(ClockSample {
            clock_ms: clock,
            read_at: read,
        });
        self.last_answer = read;
        self.failed_polls = 0;
        self.is_connection_closed = false;
        self.inherited = false;
    }

    /// Notes that a look was not answered.
    pub(crate) fn note_poll_failure(&mut self, missed: PollFailure) {
        self.failed_polls += 1;
        self.is_connection_closed |= missed == PollFailure::Closed;
    }

    /// Returns whether nothing runs there for certain: every lease has lapsed, or the process has
    /// ended.
    pub(crate) fn has_no_runs(&self, left_within: Span, now: Time) -> bool {
        self.failed_polls > 0 && (self.leases_expire < now || self.has_exited(left_within))
    }

    /// Returns whether the process has ended: it closed its connections and took its entry away.
    /// The entry of one that is out of reach would outlive the last answer by longer.
    fn has_exited(&self, left_within: Span) -> bool {
        let has_left = self
            .unlisted_at
            .is_some_and(|at| at < self.last_answer + left_within);
        self.is_connection_closed && has_left
    }

    /// Returns a lease's end on the worker's clock, and remembers when it has lapsed for certain.
    pub(crate) fn grant_lease(&mut self, now: Time, lease: Span) -> Option<u64> {
        let sample = self.clock_sample?;
        let worker_now = sample.clock_ms + now.since(sample.read_at).as_millis();
        let until = worker_now + lease.as_millis();
        let length = Span::from_millis(until - sample.clock_ms);
        let lapsed = sample.read_at + WORKER_DRIFT.lengthen(length) + EXPIRY_MARGIN;
        self.leases_expire = self.leases_expire.max(lapsed);
        Some(until)
    }

    pub(crate) fn note_done(&mut self) {
        self.failure_streak = 0;
        self.quarantines = 0;
    }

    /// Counts a failed run; several in a row set the worker aside.
    pub(crate) fn note_failure(&mut self, now: Time) {
        // Runs from before it was set aside say nothing new.
        if self.quarantined_until > now {
            return;
        }
        self.failure_streak += 1;
        if self.failure_streak < QUARANTINE_FAILURES {
            return;
        }
        let doublings = self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantined_until = now + QUARANTINE_TIME.times(1 << doublings);
        self.quarantines += 1;
        // One more failure after its return sets it aside again.
        self.failure_streak = QUARANTINE_FAILURES - 1;
    }
}
