//! Counts events between scrapes, allowing for counter resets of restarted instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::sample::ClassSample;
use super::scrape::Scrape;

/// Numbers of events of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Events {
    /// Started work.
    pub(crate) starts: f64,
    /// Work that started within the bound on the waiting time.
    pub(crate) in_time: f64,
    /// Requests with an outcome.
    pub(crate) requests: f64,
    /// Requests that were refused without being run.
    pub(crate) not_run: f64,
    /// Requests with an unknown outcome.
    pub(crate) unknown: f64,
}

impl Events {
    /// Reads the counters of a sample; a bound between two buckets uses the lower bucket.
    fn from_sample(sample: &ClassSample, bound_s: f64) -> Self {
        let within = sample.buckets.iter().rev().find(|(le, _)| *le <= bound_s);
        let outcome = |name: &str| sample.outcomes.get(name).copied().unwrap_or_default();
        Events {
            starts: sample.buckets.last().map_or(0.0, |(_, count)| *count),
            in_time: within.map_or(0.0, |(_, count)| *count),
            requests: sample.outcomes.values().sum(),
            not_run: outcome("not_run"),
            unknown: outcome("unknown"),
        }
    }

    /// Combines two counts field by field with a function.
    fn zip_with(self, other: Events, combine: impl Fn(f64, f64) -> f64) -> Self {
        Events {
            starts: combine(self.starts, other.starts),
            in_time: combine(self.in_time, other.in_time),
            requests: combine(self.requests, other.requests),
            not_run: combine(self.not_run, other.not_run),
            unknown: combine(self.unknown, other.unknown),
        }
    }

    /// Returns the increase since `before`, or the whole count after a counter reset.
    ///
    /// A reset shows in the totals of starts and requests: their parts can't decrease alone.
    fn since(self, before: Events) -> Self {
        let is_reset = self.starts < before.starts || self.requests < before.requests;
        if is_reset {
            return self;
        }
        self.zip_with(before, |now, then| (now - then).max(0.0))
    }

    fn add_scaled(&mut self, other: Events, fraction: f64) {
        *self = self.zip_with(other, |sum, more| sum + more * fraction);
    }
}

/// Events of a class at an instance between two scrapes.
#[derive(Debug, Clone, Copy)]
struct Interval {
    from_ms: u64,
    to_ms: u64,
    events: Events,
}

impl Interval {
    /// Returns the fraction of the interval that lies after `start_ms` and up to `end_ms`.
    fn overlap(&self, start_ms: u64, end_ms: u64) -> f64 {
        let from = self.from_ms.max(start_ms);
        let to = self.to_ms.min(end_ms);
        let length = self.to_ms.saturating_sub(self.from_ms).max(1);
        to.saturating_sub(from) as f64 / length as f64
    }
}

/// Events of a class over time, summed over all instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventHistory {
    intervals: Vec<Interval>,
}

impl EventHistory {
    /// Builds the history of a class from scrapes in chronological order.
    ///
    /// `bound_ms` is the bound on the waiting time, in milliseconds.
    pub(crate) fn new(scrapes: &[Scrape], class: &str, bound_ms: u64) -> Self {
        let bound_s = bound_ms as f64 / 1_000.0;
        let mut last: BTreeMap<&Arc<str>, (u64, Events)> = BTreeMap::new();
        let mut intervals = Vec::new();
        for scrape in scrapes {
            let sample = scrape.sample.classes.get(class);
            let now = sample.map_or_else(Events::default, |s| Events::from_sample(s, bound_s));
            if let Some((from_ms, before)) = last.get(&scrape.instance) {
                intervals.push(Interval {
                    from_ms: *from_ms,
                    to_ms: scrape.taken_ms,
                    events: now.since(*before),
                });
            }
            last.insert(&scrape.instance, (scrape.taken_ms, now));
        }
        EventHistory { intervals }
    }

    /// Returns the events after `start_ms` and up to `end_ms`, counting partly covered intervals in
    /// proportion.
    pub(crate) fn events(&self, start_ms: u64, end_ms: u64) -> Events {
        let mut sum = Events::default();
        for interval in &self.intervals {
            let part = interval.overlap(start_ms, end_ms);
            if part > 0.0 {
                sum.add_scaled(interval.events, part);
            }
        }
        sum
    }
}
