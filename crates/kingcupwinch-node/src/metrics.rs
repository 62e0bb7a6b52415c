//! Metrics of an instance in the OpenMetrics text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use kingcupwinch_cell::ForecastError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Labels of a call and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// Kind of call.
    pub call: &'static str,
    /// Status or outcome of the call.
    pub status: Arc<str>,
}

/// Label of how a job, a run, a worker or the search for a route ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabel {
    /// How it ended.
    pub how: &'static str,
}

/// Labels of the bytes that connections carried.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabel {
    /// What the connections are for.
    pub purpose: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Registry and handles of all metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of callers by kind and status.
    pub requests: Family<CallLabel, Counter>,
    /// Connections closed and requests refused to keep limits, by listener and reason.
    pub client_limits: Family<CallLabel, Counter>,
    /// Duration of callers' requests, in seconds.
    pub response_time: Histogram,
    /// Calls to the store by kind and outcome.
    pub store_calls: Family<CallLabel, Counter>,
    /// Duration of appends, in seconds.
    pub append_time: Histogram,
    /// Start and stop orders sent to workers, by kind and outcome.
    pub orders: Family<CallLabel, Counter>,
    /// Bytes sent and received, by purpose.
    pub traffic: Family<TrafficLabel, Counter>,
    /// Share of the link's bandwidth in use in the last second, in the busier direction.
    pub link_load: Gauge<f64, AtomicU64>,
    /// Ended runs, by how they ended.
    pub runs: Family<EndLabel, Counter>,
    /// Ended jobs, by how they ended.
    pub jobs: Family<EndLabel, Counter>,
    /// Crashes of workers that counted against tasks, by their evidence.
    pub crashes: Family<EndLabel, Counter>,
    /// Decisions whether to wait for faster workers, by their outcome.
    pub start_delays: Family<EndLabel, Counter>,
    /// Jobs that have not ended; set at the owner.
    pub live_jobs: Gauge,
    /// Steps that caps held back in the last round; set at the owner.
    pub cap_waiting: Gauge,
    /// Those of them that can never start under the cap.
    pub cap_excluded: Gauge,
    /// Memory of jobs, final states and cancellations, in bytes; set at the owner.
    pub held_bytes: Gauge,
    /// Requests that were refused for lack of room at the owner.
    pub no_room: Counter,
    /// CPU in use, in thousandths of a core; set at the owner.
    pub used_millicores: Gauge,
    /// Term of this instance's ownership; 0 if it is not the owner.
    pub owned_term: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Unix time as of which the configuration in force was the latest, in seconds.
    pub config_confirmed: Gauge<f64, AtomicU64>,
    /// Requests without a route, by whether the configuration was confirmed.
    pub no_route: Family<EndLabel, Counter>,
    /// Requests refused for their key or their customer, by reason.
    pub refused_access: Family<EndLabel, Counter>,
    /// Jobs refused by the forecast of their queue.
    pub forecast_refused: Counter,
    /// How much longer jobs waited for their first start than forecast, in seconds; set at the owner.
    pub forecast_low: Histogram,
    /// How much shorter they waited, in seconds.
    pub forecast_high: Histogram,
    /// Entries and records of others that were ignored or set aside, by kind.
    pub odd_inputs: Family<EndLabel, Counter>,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("kingcupwinch");
        let metrics = Metrics {
            registry: Registry::default(),
            requests: Family::default(),
            client_limits: Family::default(),
            response_time: Histogram::new(LATENCY_BUCKETS),
            store_calls: Family::default(),
            append_time: Histogram::new(LATENCY_BUCKETS),
            orders: Family::default(),
            traffic: Family::default(),
            link_load: Gauge::default(),
            runs: Family::default(),
            jobs: Family::default(),
            crashes: Family::default(),
            start_delays: Family::default(),
            live_jobs: Gauge::default(),
            cap_waiting: Gauge::default(),
            cap_excluded: Gauge::default(),
            held_bytes: Gauge::default(),
            no_room: Counter::default(),
            used_millicores: Gauge::default(),
            owned_term: Gauge::default(),
            config_version: Gauge::default(),
            config_confirmed: Gauge::default(),
            no_route: Family::default(),
            refused_access: Family::default(),
            forecast_refused: Counter::default(),
            forecast_low: Histogram::new(LATENCY_BUCKETS),
            forecast_high: Histogram::new(LATENCY_BUCKETS),
            odd_inputs: Family::default(),
        };
        let m = &metrics;
        registry.register("requests", "Requests of callers", m.requests.clone());
        registry.register(
            "client_limits",
            "Connections closed and requests refused to keep limits",
            m.client_limits.clone(),
        );
        registry.register(
            "answer_seconds",
            "Duration of callers' requests, in seconds",
            m.response_time.clone(),
        );
        registry.register("store_calls", "Calls to the store", m.store_calls.clone());
        registry.register(
            "append_seconds",
            "Duration of appends, in seconds",
            m.append_time.clone(),
        );
        registry.register(
            "orders",
            "Start and stop orders sent to workers",
            m.orders.clone(),
        );
        registry.register(
            "traffic_bytes",
            "Bytes sent and received on all connections",
            m.traffic.clone(),
        );
        registry.register(
            "link_load_ratio",
            "Share of the link's bandwidth in use, in the busier direction",
            m.link_load.clone(),
        );
        registry.register("runs", "Ended runs", m.runs.clone());
        registry.register("jobs", "Ended jobs", m.jobs.clone());
        registry.register(
            "crashes",
            "Crashes of workers that counted against tasks",
            m.crashes.clone(),
        );
        registry.register(
            "start_delays",
            "Decisions whether tasks wait for faster workers, by their outcome",
            m.start_delays.clone(),
        );
        registry.register("live_jobs", "Jobs that have not ended", m.live_jobs.clone());
        registry.register(
            "held_bytes",
            "Memory of jobs, final states and cancellations at the owner",
            m.held_bytes.clone(),
        );
        registry.register(
            "no_room",
            "Requests refused for lack of room at the owner",
            m.no_room.clone(),
        );
        registry.register(
            "cap_waiting_steps",
            "Steps held back by the caps of their customers",
            m.cap_waiting.clone(),
        );
        registry.register(
            "cap_excluded_steps",
            "Steps that can never start under the cap of their customer",
            m.cap_excluded.clone(),
        );
        registry.register(
            "used_millicores",
            "CPU in use, in thousandths of a core",
            m.used_millicores.clone(),
        );
        registry.register(
            "owned_term",
            "Term of this instance's ownership, 0 if it is not the owner",
            m.owned_term.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            m.config_version.clone(),
        );
        registry.register(
            "config_confirmed_timestamp_seconds",
            "Unix time as of which the configuration in force was the latest",
            m.config_confirmed.clone(),
        );
        registry.register(
            "no_route",
            "Requests without a route, by whether the configuration was confirmed",
            m.no_route.clone(),
        );
        registry.register(
            "refused_access",
            "Requests refused for their key or their customer, by reason",
            m.refused_access.clone(),
        );
        registry.register(
            "forecast_refused",
            "Jobs refused by the forecast of their queue",
            m.forecast_refused.clone(),
        );
        registry.register(
            "forecast_low_seconds",
            "How much longer than forecast jobs waited for their first start, in seconds",
            m.forecast_low.clone(),
        );
        registry.register(
            "forecast_high_seconds",
            "How much shorter than forecast jobs waited for their first start, in seconds",
            m.forecast_high.clone(),
        );
        registry.register(
            "odd_inputs",
            "Entries and records that were ignored or set aside, by kind",
            m.odd_inputs.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }

    /// Counts a call by its kind and status.
    pub fn count(family: &Family<CallLabel, Counter>, call: &'static str, status: &str) {
        let status = status.into();
        family.get_or_create(&CallLabel { call, status }).inc();
    }

    /// Counts the end of a job, a run, a worker or the search for a route.
    pub fn count_end(family: &Family<EndLabel, Counter>, how: &'static str) {
        family.get_or_create(&EndLabel { how }).inc();
    }

    /// Observes how far a forecast was too low or too high.
    pub(crate) fn observe_forecast(&self, error: ForecastError) {
        let ForecastError { forecast, wait } = error;
        if wait >= forecast {
            self.forecast_low.observe((wait - forecast).as_secs_f64());
        } else {
            self.forecast_high.observe((forecast - wait).as_secs_f64());
        }
    }

    /// Counts bytes that were sent and received for a purpose.
    pub fn count_bytes(
        family: &Family<TrafficLabel, Counter>,
        purpose: &'static str,
        sent: u64,
        received: u64,
    ) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let label = TrafficLabel { purpose, direction };
            family.get_or_create(&label).inc_by(bytes);
        }
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn render(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
