//! Parses the counters of a scrape.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use prometheus_parse::{HistogramCount, Labels, Value};

/// Histogram of the time that work waited before it started.
const WAITING_METRIC: &str = "kingcupwinch_waiting_seconds";

/// Counter of requests by outcome.
const REQUESTS_METRIC: &str = "kingcupwinch_requests_total";

/// Counters of a class at an instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ClassSample {
    /// Cumulative counts of starts by upper bound of the waiting time in seconds, ascending.
    pub(crate) buckets: Vec<(f64, f64)>,
    /// Number of requests by outcome.
    pub(crate) outcomes: BTreeMap<Arc<str>, f64>,
}

impl ClassSample {
    fn add_buckets(&mut self, counts: &[HistogramCount]) {
        for count in counts {
            match self
                .buckets
                .iter_mut()
                .find(|(le, _)| *le == count.less_than)
            {
                Some((_, total)) => *total += count.count,
                None => self.buckets.push((count.less_than, count.count)),
            }
        }
        self.buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
}

/// Counters of all classes at an instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Sample {
    pub(crate) classes: BTreeMap<Arc<str>, ClassSample>,
}

/// Parses the counters from the text of a scrape; other metrics are ignored.
pub(crate) fn parse_scrape(text: &str) -> io::Result<Sample> {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let scrape = prometheus_parse::Scrape::parse(lines)?;
    let mut sample = Sample::default();
    for entry in scrape.samples {
        let Some(class) = entry.labels.get("class").map(Arc::from) else {
            continue;
        };
        match (entry.metric.as_str(), entry.value) {
            (WAITING_METRIC, Value::Histogram(counts)) => {
                sample
                    .classes
                    .entry(class)
                    .or_default()
                    .add_buckets(&counts);
            }
            (REQUESTS_METRIC, Value::Counter(n) | Value::Untyped(n)) => {
                add_outcome(sample.classes.entry(class).or_default(), &entry.labels, n);
            }
            _ => {}
        }
    }
    Ok(sample)
}

fn add_outcome(class: &mut ClassSample, labels: &Labels, count: f64) {
    if let Some(outcome) = labels.get("outcome") {
        *class.outcomes.entry(Arc::from(outcome)).or_default() += count;
    }
}
