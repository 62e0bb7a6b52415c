use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Capacity;
use kingcupwinch_wire::worker::Refusal;
use uuid::Uuid;

const FULL_SPEED_PERCENT: u64 = 100;

/// The specification of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// The worker's name.
    pub name: Arc<str>,
    /// The worker's capacity; requests for a service that is not listed are refused.
    pub capacity: Capacity,
    /// The speed in percent of a standard worker.
    pub speed_percent: u32,
    /// The run time on a standard worker of work that declares none.
    pub default_run: Span,
    /// The run time on a standard worker by service or class, for work that declares none.
    pub class_runs: BTreeMap<Arc<str>, Span>,
    /// The age at which usage reports become visible.
    pub usage_lag: Span,
    /// The minimum interval between two usage reports.
    pub report_interval: Span,
}

impl WorkerSpec {
    /// Creates a worker of standard speed with no run time and no report lag.
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

    /// Sets the speed in percent of a standard worker.
    pub fn with_speed(mut self, percent: u32) -> Self {
        self.speed_percent = percent;
        self
    }

    /// Sets the run time of work that declares none.
    pub fn with_run(mut self, run: Span) -> Self {
        self.default_run = run;
        self
    }

    /// Sets the run time of work of a service or class that declares none.
    pub fn with_class_run(mut self, class: impl Into<Arc<str>>, run: Span) -> Self {
        self.class_runs.insert(class.into(), run);
        self
    }

    /// Sets the age at which usage reports become visible.
    pub fn with_usage_lag(mut self, lag: Span) -> Self {
        self.usage_lag = lag;
        self
    }

    /// Returns the run time on this worker without throttling.
    pub(crate) fn run_time(&self, class: &str, declared_ms: Option<u64>) -> Span {
        let standard = match declared_ms {
            Some(ms) => Span::from_millis(ms),
            None => *self.class_runs.get(class).unwrap_or(&self.default_run),
        };
        let speed = u64::from(self.speed_percent.max(1));
        standard.times(FULL_SPEED_PERCENT).divided_by(speed)
    }
}

/// Injected faults and checks of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Fails all started work immediately.
    pub fails: bool,
    /// Delays each response by this time after the work has ended.
    pub response_delay: Span,
    /// Closes the connection instead of responding, after the work has run.
    pub drops_responses: bool,
    /// Refuses all work for this reason.
    pub refusal: Option<Refusal>,
    /// Refuses stale terms and work that arrives after its start deadline.
    pub checks_fencing: bool,
    /// Refuses work beyond the capacity; such work is counted in any case.
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

/// A live request on arrival.
#[derive(Debug, Clone)]
pub struct LiveStart {
    /// The request's ID.
    pub task: Uuid,
    /// The attempt number.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// The start deadline.
    pub not_after: Time,
    /// The service name.
    pub service: Arc<str>,
    /// The idempotency key.
    pub key: Option<Arc<str>>,
    /// The caller's ID of the request.
    pub request: Option<Arc<str>>,
    /// The run time on a standard worker, in milliseconds.
    pub run_ms: Option<u64>,
}
