use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Capacity;
use kingcupwinch_wire::worker::Refusal;
use uuid::Uuid;

const FULL_SPEED_PERCENT: u64 = 100;

/// A worker as it is built.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// Its name.
    pub name: Arc<str>,
    /// What it can hold; a service that is not listed is refused.
    pub capacity: Capacity,
    /// Its speed, in percent of a usual worker's.
    pub speed_percent: u32,
    /// How long work runs on a usual worker unless it says itself.
    pub default_run: Span,
    /// The same by service or class.
    pub class_runs: BTreeMap<Arc<str>, Span>,
    /// How old its usage reports are.
    pub usage_lag: Span,
    /// The least time between two usage reports.
    pub report_interval: Span,
}

impl WorkerSpec {
    /// Makes a worker of usual speed whose work takes no time and whose reports do not lag.
    pub fn new(name: impl Into<Arc<str>>, capacity: Capacity) -> Self {
        WorkerSpec {
            name: name.into(),
            capacity,
            speed_percent: 100,
            default_run: Span::ZERO,
            class_runs: BTreeMap::new(),
            usage_lag: Span::ZERO,
            report_interval: Span::from_millis(20),
        }
    }

    /// Sets the speed, in percent of a usual worker's.
    pub fn with_speed(mut self, percent: u32) -> Self {
        self.speed_percent = percent;
        self
    }

    /// Sets how long work runs unless it says itself.
    pub fn with_run(mut self, run: Span) -> Self {
        self.default_run = run;
        self
    }

    /// Sets how long work of a service or class runs unless it says itself.
    pub fn with_class_run(mut self, class: impl Into<Arc<str>>, run: Span) -> Self {
        self.class_runs.insert(class.into(), run);
        self
    }

    /// Sets how old usage reports are.
    pub fn with_usage_lag(mut self, lag: Span) -> Self {
        self.usage_lag = lag;
        self
    }

    /// Returns how long work runs here at full speed.
    pub(crate) fn run_time(&self, class: &str, asked_ms: Option<u64>) -> Span {
        let usual = match asked_ms {
            Some(ms) => Span::from_millis(ms),
            None => *self.class_runs.get(class).unwrap_or(&self.default_run),
        };
        let speed = u64::from(self.speed_percent.max(1));
        usual.times(FULL_SPEED_PERCENT).divided_by(speed)
    }
}

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Everything it starts fails at once.
    pub fails: bool,
    /// How long it holds each answer back after the work ended.
    pub response_delay: Span,
    /// It closes the connection in place of each answer, after the work ran.
    pub drops_responses: bool,
    /// It refuses all work for this reason.
    pub refusal: Option<Refusal>,
    /// It refuses stale terms and late arrivals.
    pub checks_fencing: bool,
    /// It refuses work beyond its capacity; it counts such work in any case.
    pub enforces_limits: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        WorkerFaults {
            fails: false,
            response_delay: Span::ZERO,
            drops_responses: false,
            refusal: None,
            checks_fencing: true,
            enforces_limits: true,
        }
    }
}

/// A live request at its arrival.
#[derive(Debug, Clone)]
pub struct LiveStart {
    /// Its id.
    pub task: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// Until when it may start.
    pub not_after: Time,
    /// The service.
    pub service: Arc<str>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// The caller's own id of it.
    pub request: Option<Arc<str>>,
    /// How long it runs on a usual worker, in milliseconds.
    pub run_ms: Option<u64>,
}
