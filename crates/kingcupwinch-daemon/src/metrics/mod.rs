//! Metrics for waiting time, packing and control cost, in the Prometheus text format.

use std::fmt;
use std::sync::Arc;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the waiting buckets, in seconds.
const WAITING_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 10.0, 60.0, 600.0,
    3_600.0,
];

/// Upper bounds of the decision buckets, in seconds.
const DECISION_BUCKETS: [f64; 9] = [
    0.000_005, 0.000_01, 0.000_025, 0.000_05, 0.000_1, 0.000_25, 0.001, 0.01, 0.1,
];

/// The label of a class of work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// The class, one of those configured.
    pub class: Arc<str>,
}

/// The labels of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The class, one of those configured.
    pub class: Arc<str>,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The worker answered.
    Ran,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and failed.
    Failed,
}

impl Outcome {
    /// Returns the value of the metrics label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        }
    }
}

impl EncodeLabelValue for Outcome {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        EncodeLabelValue::encode(&self.as_str(), encoder)
    }
}

/// Constructor of the histograms of waiting time.
#[derive(Debug, Clone, Copy)]
pub struct WaitingBuckets;

impl MetricConstructor<Histogram> for WaitingBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(WAITING_BUCKETS)
    }
}

/// All metrics of the daemon; `docs/METRICS.md` lists them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from arrival to dispatch, in seconds.
    pub waiting_seconds: Family<ClassLabel, Histogram, WaitingBuckets>,
    /// Answered requests.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Dispatches beyond a request's first.
    pub retries: Family<ClassLabel, Counter>,
    /// Answers of attempts that had already ended.
    pub late_answers: Counter,
    /// Runs of tasks that ended with the crash of their worker.
    pub crashed_runs: Counter,
    /// Queued tasks and live requests.
    pub queued_tasks: Family<ClassLabel, Gauge>,
    /// Tasks and live requests running on this instance's workers.
    pub running_tasks: Family<ClassLabel, Gauge>,
    /// Slots of this instance's workers.
    pub worker_slots: Gauge,
    /// Slots in use.
    pub busy_slots: Gauge,
    /// Duration of one round of decisions, in seconds.
    pub decision_seconds: Histogram,
    /// Shards that this instance may dispatch to.
    pub owned_shards: Gauge,
    /// Appends to the log.
    pub log_appends: Counter,
    /// Records read from the log.
    pub log_records: Counter,
    /// Whether the last read of the log succeeded.
    pub log_readable: Gauge,
    /// Sibling messages sent.
    pub link_messages: Counter,
    /// Version of the active configuration.
    pub config_version: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("kingcupwinch"),
            waiting_seconds: Family::new_with_constructor(WaitingBuckets),
            requests: Family::default(),
            retries: Family::default(),
            late_answers: Counter::default(),
            crashed_runs: Counter::default(),
            queued_tasks: Family::default(),
            running_tasks: Family::default(),
            worker_slots: Gauge::default(),
            busy_slots: Gauge::default(),
            decision_seconds: Histogram::new(DECISION_BUCKETS),
            owned_shards: Gauge::default(),
            log_appends: Counter::default(),
            log_records: Counter::default(),
            log_readable: Gauge::default(),
            link_messages: Counter::default(),
            config_version: Gauge::default(),
        };
        metrics.register_requests();
        metrics.register_capacity();
        metrics.register_control();
        metrics
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "waiting_seconds",
            "Time from arrival to dispatch",
            self.waiting_seconds.clone(),
        );
        registry.register("requests", "Answered requests", self.requests.clone());
        registry.register(
            "retries",
            "Dispatches beyond a request's first",
            self.retries.clone(),
        );
        registry.register(
            "late_answers",
            "Answers of attempts that had already ended",
            self.late_answers.clone(),
        );
        registry.register(
            "crashed_runs",
            "Runs of tasks that ended with the crash of their worker",
            self.crashed_runs.clone(),
        );
        registry.register(
            "queued_tasks",
            "Queued tasks and live requests",
            self.queued_tasks.clone(),
        );
    }

    fn register_capacity(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "running_tasks",
            "Running tasks and live requests",
            self.running_tasks.clone(),
        );
        registry.register(
            "worker_slots",
            "Slots of this instance's workers",
            self.worker_slots.clone(),
        );
        registry.register(
            "worker_slots_busy",
            "Slots in use on this instance's workers",
            self.busy_slots.clone(),
        );
        registry.register(
            "owned_shards",
            "Shards that this instance may dispatch to",
            self.owned_shards.clone(),
        );
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "decision_seconds",
            "Duration of one round of decisions",
            self.decision_seconds.clone(),
        );
        registry.register(
            "log_appends",
            "Appends to the log",
            self.log_appends.clone(),
        );
        registry.register(
            "log_records",
            "Records read from the log",
            self.log_records.clone(),
        );
        registry.register(
            "log_readable",
            "Whether the last read of the log succeeded",
            self.log_readable.clone(),
        );
        registry.register(
            "link_messages",
            "Sibling messages sent",
            self.link_messages.clone(),
        );
        registry.register(
            "config_version",
            "Version of the active configuration",
            self.config_version.clone(),
        );
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns [`fmt::Error`] if a label can't be written.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Counts an answered request.
    pub fn count(&self, class: &Arc<str>, outcome: Outcome) {
        let label = OutcomeLabel {
            class: Arc::clone(class),
            outcome,
        };
        self.requests.get_or_create(&label).inc();
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
