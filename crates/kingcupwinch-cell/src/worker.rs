use std::sync::Arc;

use kingcupwinch_time::{Drift, Span, Time};
use rustc_hash::FxHashSet;

use crate::id::TaskName;
use crate::run::{RunEnd, RunKey};
use crate::spec::{Resources, StepSpec};
use crate::speed::Ratio;

slotmap::new_key_type! {
    /// Names a worker of the cell.
    pub struct WorkerKey;
}

/// Which of a worker's labels names its rack; the one before names its kind.
pub(crate) const RACK_LABEL: usize = 1;
/// How far a worker's clock may run slow.
const WORKER_DRIFT: Drift = Drift::from_ppm(20_000);
/// Added to the time after which a lease has certainly lapsed: timers fire late.
const LAPSE_SLACK: Span = Span::from_millis(100);
/// How long a worker that left the list may still be used if it answers: a list that comes back
/// after an outage lacks live workers for about two seconds.
const UNLISTED_GRACE: Span = Span::from_millis(2_500);
/// Failures in a row, of different jobs, after which a worker is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 2;
/// How long a worker is set aside for the first time; doubles with each further time.
const SET_ASIDE: Span = Span::from_millis(2_500);
/// The most doublings.
const SET_ASIDE_DOUBLINGS: u32 = 3;

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
    pub(crate) fn is_other_life(&self, born: Option<u64>) -> bool {
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
    clock: u64,
    read: Time,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: Registration,
    /// When it left the directory, if it did.
    pub(crate) unlisted: Option<Time>,
    pub(crate) used: Resources,
    /// Runs there that fill what others leave unused, and that serve users of their own.
    pub(crate) filling: u32,
    pub(crate) serving: u32,
    pub(crate) runs: FxHashSet<RunKey>,
    clock: Option<ClockSample>,
    /// When everything that runs there has certainly lost its lease.
    pub(crate) lapsed: Time,
    /// Ends processed, and ends recorded.
    pub(crate) seen: u64,
    pub(crate) acked: u64,
    pub(crate) misses: u32,
    /// When it last answered a look.
    heard: Time,
    /// Whether a look that it missed since then found the connection closed.
    is_closed: bool,
    /// Not yet looked at under this owner's term.
    pub(crate) inherited: bool,
    /// Runs something of which this owner knows neither job nor size.
    pub(crate) has_foreign: bool,
    pub(crate) speed: Ratio,
    failures: u32,
    set_aside: u32,
    pub(crate) back: Time,
}

impl Worker {
    pub(crate) fn new(entry: Registration, inherited: bool, lapsed: Time) -> Self {
        Worker {
            entry,
            unlisted: None,
            used: Resources::default(),
            filling: 0,
            serving: 0,
            runs: FxHashSet::default(),
            clock: None,
            lapsed,
            seen: 0,
            acked: 0,
            misses: 0,
            heard: Time::ZERO,
            is_closed: false,
            inherited,
            has_foreign: false,
            speed: Ratio::default(),
            failures: 0,
            set_aside: 0,
            back: Time::ZERO,
        }
    }

    /// Returns whether new work may be sent there.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.entry.draining
            && !self.inherited
            && !self.has_foreign
            && self.clock.is_some()
            && self.misses == 0
            && self.back <= now
            && self.unlisted.is_none_or(|at| now < at + UNLISTED_GRACE)
    }

    /// Counts a run of a step.
    pub(crate) fn take(&mut self, step: &StepSpec) {
        self.used.add(step.charge());
        self.filling += u32::from(step.best_effort);
        self.serving += u32::from(step.latency_sensitive);
    }

    /// Counts a run of a step no longer.
    pub(crate) fn give_back(&mut self, step: &StepSpec) {
        self.used.sub(step.charge());
        self.filling -= u32::from(step.best_effort);
        self.serving -= u32::from(step.latency_sensitive);
    }

    pub(crate) fn room(&self) -> Resources {
        self.entry.capacity.remaining(self.used)
    }

    /// Notes an answer to a look, with the worker's clock.
    pub(crate) fn note_answer(&mut self, clock: u64, read: Time) {
        self.clock = Some(ClockSample { clock, read });
        self.heard = read;
        self.misses = 0;
        self.is_closed = false;
        self.inherited = false;
    }

    /// Notes that a look was not answered.
    pub(crate) fn note_missed(&mut self, missed: PollFailure) {
        self.misses += 1;
        self.is_closed |= missed == PollFailure::Closed;
    }

    /// Returns whether nothing runs there for certain: every lease has lapsed, or the process has
    /// ended.
    pub(crate) fn is_over(&self, left_within: Span, now: Time) -> bool {
        self.misses > 0 && (self.lapsed < now || self.has_ended(left_within))
    }

    /// Returns whether the process has ended: it closed its connections and took its entry away.
    /// The entry of one that is out of reach would outlive the last answer by longer.
    fn has_ended(&self, left_within: Span) -> bool {
        let has_left = self
            .unlisted
            .is_some_and(|at| at < self.heard + left_within);
        self.is_closed && has_left
    }

    /// Returns a lease's end on the worker's clock, and remembers when it has lapsed for certain.
    pub(crate) fn grant(&mut self, now: Time, lease: Span) -> Option<u64> {
        let sample = self.clock?;
        let worker_now = sample.clock + now.since(sample.read).as_millis();
        let until = worker_now + lease.as_millis();
        let length = Span::from_millis(until - sample.clock);
        let lapsed = sample.read + WORKER_DRIFT.lengthen(length) + LAPSE_SLACK;
        self.lapsed = self.lapsed.max(lapsed);
        Some(until)
    }

    pub(crate) fn note_done(&mut self) {
        self.failures = 0;
        self.set_aside = 0;
    }

    /// Counts a failed run; several in a row set the worker aside.
    pub(crate) fn note_failure(&mut self, now: Time) {
        // Runs from before it was set aside say nothing new.
        if self.back > now {
            return;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_SET_ASIDE {
            return;
        }
        let doublings = self.set_aside.min(SET_ASIDE_DOUBLINGS);
        self.back = now + SET_ASIDE.times(1 << doublings);
        self.set_aside += 1;
        // One more failure after its return sets it aside again.
        self.failures = FAILURES_TO_SET_ASIDE - 1;
    }
}
