//! Counters and latencies, in the Prometheus text format.

use std::sync::Arc;

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

/// The labels of a call and how it ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// What was called.
    pub call: &'static str,
    /// The status, or `none` without an answer.
    pub status: Arc<str>,
}

/// The label of a kind of end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabel {
    /// How it ended.
    pub how: &'static str,
}

/// Everything that is measured.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by method and status.
    pub requests: Family<CallLabel, Counter>,
    /// Time to answer callers.
    pub response_time: Histogram,
    /// Calls to the store by kind and outcome.
    pub store_calls: Family<CallLabel, Counter>,
    /// Time of appends.
    pub append_time: Histogram,
    /// Orders to workers by kind and outcome.
    pub orders: Family<CallLabel, Counter>,
    /// Runs by how they ended.
    pub runs: Family<EndLabel, Counter>,
    /// Jobs by how they ended.
    pub jobs: Family<EndLabel, Counter>,
    /// Jobs that have not ended, at the owner.
    pub live_jobs: Gauge,
    /// Thousandths of cores in use, at the owner.
    pub used_millicores: Gauge,
    /// The term of this instance's ownership, 0 without.
    pub owned_term: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
}

impl Metrics {
    /// Makes every metric and registers it.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("kingcupwinch");
        let metrics = Metrics {
            registry: Registry::default(),
            requests: Family::default(),
            response_time: Histogram::new(LATENCY_BUCKETS),
            store_calls: Family::default(),
            append_time: Histogram::new(LATENCY_BUCKETS),
            orders: Family::default(),
            runs: Family::default(),
            jobs: Family::default(),
            live_jobs: Gauge::default(),
            used_millicores: Gauge::default(),
            owned_term: Gauge::default(),
            config_version: Gauge::default(),
        };
        let m = &metrics;
        registry.register("requests", "Callers' requests", m.requests.clone());
        registry.register(
            "answer_seconds",
            "Time to answer callers",
            m.response_time.clone(),
        );
        registry.register("store_calls", "Calls to the store", m.store_calls.clone());
        registry.register("append_seconds", "Time of appends", m.append_time.clone());
        registry.register("orders", "Orders to workers", m.orders.clone());
        registry.register("runs", "Ended runs", m.runs.clone());
        registry.register("jobs", "Ended jobs", m.jobs.clone());
        registry.register("live_jobs", "Jobs that have not ended", m.live_jobs.clone());
        registry.register(
            "used_millicores",
            "Cores in use, in thousandths",
            m.used_millicores.clone(),
        );
        registry.register("owned_term", "The term of ownership", m.owned_term.clone());
        registry.register(
            "config_version",
            "The configuration in force",
            m.config_version.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }

    /// Counts a call and how it ended.
    pub fn count(family: &Family<CallLabel, Counter>, call: &'static str, status: &str) {
        let status = status.into();
        family.get_or_create(&CallLabel { call, status }).inc();
    }

    /// Counts an end.
    pub fn count_end(family: &Family<EndLabel, Counter>, how: &'static str) {
        family.get_or_create(&EndLabel { how }).inc();
    }

    /// Writes all of them as text.
    ///
    /// # Errors
    ///
    /// Fails only if the text can't be written.
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
