//! The owner's forecasts as this instance believes them, and the refusal of jobs by them.
//!
//! The owner publishes a table of forecasts in a header of its responses to siblings. An instance
//! believes a table until a deadline, and only while its maker is the owner. Without a table that it
//! believes, it accepts all jobs.

use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::header::{HeaderName, HeaderValue};
use kingcupwinch_cell::{JobId, JobSpec, QueueForecast};
use kingcupwinch_time::{Span, Time};
use rand::Rng;
use rustc_hash::{FxBuildHasher, FxHashMap};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Header of the owner's responses to siblings that holds its forecasts. Earlier versions ignore it.
pub(crate) const FORECAST_HEADER: HeaderName = HeaderName::from_static("x-forecast");

/// Time for which a forecast is believed after it was made. A queue that grows at 1.7 times its
/// capacity gains 1.4 s of wait in this time, less than the late limit of the shortest jobs.
const BELIEF_TIMEOUT: Span = Span::from_millis(2_000);
/// The shortest wait that is published. No job of the known deployments has a late limit that a shorter
/// wait decides, and calm queues add no bytes to responses.
const MIN_WAIT: Span = Span::from_millis(200);
/// Maximum size of the header's value, in bytes. Rows beyond it are not sent, the shortest waits first.
const MAX_HEADER_BYTES: usize = 1_024;
/// One of this many jobs is accepted whatever the forecast says, so that the owner keeps seeing the
/// queue.
const PROBE_INTERVAL: u64 = 16;
/// The longest time after which a refused caller is asked to retry, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;
/// Time between two log lines on refused jobs of one queue.
const LOG_INTERVAL: Span = Span::from_millis(1_000);
/// Maximum number of queues whose refusals are counted apart for the log.
const MAX_LOGGED_QUEUES: usize = 256;

/// Table of forecasts as it is sent to siblings.
#[derive(Debug, Serialize, Deserialize)]
struct WireTable {
    /// Age of the table when it is sent, in milliseconds. Clocks of instances differ.
    #[serde(rename = "a")]
    age_ms: u64,
    /// Names of queues and waits in milliseconds.
    #[serde(rename = "q", default)]
    queues: Vec<(Arc<str>, u64)>,
}

/// A table of forecasts that is believed until a deadline.
#[derive(Debug)]
struct ForecastTable {
    /// Instance that made it.
    owner: Arc<str>,
    queues: Vec<QueueForecast>,
    made_at: Time,
    valid_until: Time,
}

/// Refused jobs of a queue since the last log line.
#[derive(Debug)]
struct RefusalCount {
    jobs: u64,
    next_line: Time,
}

#[derive(Debug, Default)]
struct State {
    table: Option<ForecastTable>,
    refusals: FxHashMap<Arc<str>, RefusalCount>,
}

/// A refused job, and the forecast that decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ForecastRefusal {
    /// Wait until the first start by the forecast.
    pub(crate) wait: Span,
    /// Longest wait with which the job would have ended within its late limit.
    pub(crate) latest_wait: Span,
    pub(crate) age: Span,
    /// Jobs of the queue that were refused since the last log line, if a line is due.
    pub(crate) logged_jobs: Option<u64>,
}

impl ForecastRefusal {
    /// Returns when the caller should retry: when the wait has fallen to what the job can bear, with
    /// jitter of up to half of that time and at least a second, so that callers don't return together.
    pub(crate) fn retry_after_s(&self, random: &mut impl Rng) -> u32 {
        let excess = self.wait - self.latest_wait;
        let seconds = excess.as_millis().div_ceil(1_000).max(1);
        let seconds = seconds + random.random_range(0..=seconds.div_ceil(2));
        seconds.min(MAX_RETRY_AFTER_S) as u32
    }
}

/// The forecasts that this instance believes.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    state: Mutex<State>,
}

impl Forecasts {
    /// Sets the forecasts that this instance made as the owner.
    pub(crate) fn publish(&self, owner: Arc<str>, mut queues: Vec<QueueForecast>, now: Time) {
        queues.retain(|row| row.wait >= MIN_WAIT);
        queues.sort_by_key(|row| std::cmp::Reverse(row.wait));
        self.set(owner, queues, now, now + BELIEF_TIMEOUT);
    }

    /// Returns the header for a response to a sibling; `None` if all queues have room or the forecasts
    /// are old.
    pub(crate) fn to_header(&self, now: Time) -> Option<HeaderValue> {
        let state = self.lock();
        let table = state.table.as_ref();
        let table = table.filter(|table| !table.queues.is_empty() && now < table.valid_until)?;
        let row = |row: &QueueForecast| (Arc::clone(&row.queue), row.wait.as_millis());
        let mut wire = WireTable {
            age_ms: now.since(table.made_at).as_millis(),
            queues: table.queues.iter().map(row).collect(),
        };
        loop {
            let text = serde_json::to_vec(&wire).ok()?;
            if text.len() <= MAX_HEADER_BYTES {
                return HeaderValue::from_bytes(&text).ok();
            }
            wire.queues.pop()?;
        }
    }

    /// Takes the forecasts of a response of the owner. A response without any tells that all queues have
    /// room, or that the owner makes none.
    ///
    /// # Errors
    ///
    /// Fails if the header can't be decoded; no forecast is believed then.
    pub(crate) fn receive(
        &self,
        owner: &Arc<str>,
        header: Option<&HeaderValue>,
        now: Time,
    ) -> Result<(), serde_json::Error> {
        let decoded = header.map(|value| serde_json::from_slice::<WireTable>(value.as_bytes()));
        let wire = match decoded.transpose() {
            Ok(wire) => wire,
            Err(error) => {
                self.lock().table = None;
                return Err(error);
            }
        };
        let Some(wire) = wire else {
            self.lock().table = None;
            return Ok(());
        };
        let age = Span::from_millis(wire.age_ms).min(BELIEF_TIMEOUT);
        let row = |(queue, wait_ms)| QueueForecast {
            queue,
            wait: Span::from_millis(wait_ms),
        };
        let queues = wire.queues.into_iter().map(row).collect();
        self.set(Arc::clone(owner), queues, now, now + (BELIEF_TIMEOUT - age));
        Ok(())
    }

    /// Checks a job against the forecast of its queue. `owner` is the instance that holds the cell, as
    /// far as is known. `Err` holds the reason if the job would end after its late limit.
    pub(crate) fn check(
        &self,
        id: JobId,
        spec: &JobSpec,
        owner: Option<&str>,
        now: Time,
    ) -> Result<(), ForecastRefusal> {
        let mut state = self.lock();
        let table = state.table.as_ref();
        let Some(table) =
            table.filter(|table| now < table.valid_until && owner == Some(&*table.owner))
        else {
            return Ok(());
        };
        let queue = &spec.policy.queue;
        let row = table.queues.iter().find(|row| row.queue == *queue);
        let (Some(row), Some(latest_wait)) = (row, spec.latest_wait()) else {
            return Ok(());
        };
        if row.wait <= latest_wait || FxBuildHasher.hash_one(id).is_multiple_of(PROBE_INTERVAL) {
            return Ok(());
        }
        let (wait, age) = (row.wait, now.since(table.made_at));
        Err(ForecastRefusal {
            wait,
            latest_wait,
            age,
            logged_jobs: state.count_refusal(queue, now),
        })
    }

    fn set(&self, owner: Arc<str>, queues: Vec<QueueForecast>, now: Time, valid_until: Time) {
        let age = BELIEF_TIMEOUT - valid_until.since(now).min(BELIEF_TIMEOUT);
        self.lock().table = Some(ForecastTable {
            owner,
            queues,
            made_at: now - age,
            valid_until,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a refused job; returns the jobs refused since the last log line if a line is due.
    fn count_refusal(&mut self, queue: &Arc<str>, now: Time) -> Option<u64> {
        if self.refusals.len() >= MAX_LOGGED_QUEUES {
            self.refusals.retain(|_, count| now < count.next_line);
        }
        let count = self.refusals.entry(Arc::clone(queue));
        let count = count.or_insert(RefusalCount {
            jobs: 0,
            next_line: now,
        });
        count.jobs += 1;
        if now < count.next_line {
            return None;
        }
        count.next_line = now + LOG_INTERVAL;
        Some(std::mem::take(&mut count.jobs))
    }
}
