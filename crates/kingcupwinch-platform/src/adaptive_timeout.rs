//! How long to wait for an answer before the call is made again.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The least wait; answers of a store in good order take a tenth of it.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// The longest wait.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The wait in multiples of the time that answers usually take.
const TIMEOUT_FACTOR: u32 = 5;
/// The share of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// The part of a wait in vain that counts as a sample: the answer may be late or lost.
const TIMEOUT_SAMPLE_RATIO: f64 = 0.5;
/// The most doublings of the wait over the attempt of one call.
const MOST_DOUBLINGS: u32 = 4;

/// Learns how long answers take, so that a lost one is noticed soon while the service is fast and
/// a late one is waited for while it is slow.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    average: Mutex<Duration>,
}

impl AdaptiveTimeout {
    /// Expects answers within the least wait.
    pub fn new() -> Self {
        AdaptiveTimeout {
            average: Mutex::new(MIN_TIMEOUT / TIMEOUT_FACTOR),
        }
    }

    /// Returns how long to wait on a try of a call, counted from 0.
    pub fn timeout(&self, attempt: u32) -> Duration {
        let wait = (self.average() * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        (wait * (1 << attempt.min(MOST_DOUBLINGS))).min(MAX_TIMEOUT)
    }

    /// Notes how long an answer took.
    pub fn record_response(&self, took: Duration) {
        self.observe(took);
    }

    /// Notes that there was no answer within a wait.
    pub fn record_timeout(&self, wait: Duration) {
        self.observe(wait.mul_f64(TIMEOUT_SAMPLE_RATIO));
    }

    fn average(&self) -> Duration {
        *self.average.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self, sample: Duration) {
        let mut average = self.average.lock().unwrap_or_else(PoisonError::into_inner);
        *average =
            average.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.min(MAX_TIMEOUT).mul_f64(SAMPLE_WEIGHT);
    }
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        AdaptiveTimeout::new()
    }
}
