//! A call timeout that adapts to observed response times.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The minimum timeout; a healthy service responds within a tenth of it.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum timeout.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The timeout as a multiple of the average response time.
const TIMEOUT_FACTOR: u32 = 5;
/// The weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// The share of an expired timeout that is recorded as a sample, since the response may be late or
/// lost.
const TIMEOUT_SAMPLE_RATIO: f64 = 0.5;
/// Maximum number of doublings of the timeout over the attempts of one call.
const MAX_DOUBLINGS: u32 = 4;

/// A timeout derived from a moving average of response times: short while the service is fast, so
/// that a lost response is detected soon, and long while it is slow, so that a late response is
/// still received.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    average: Mutex<Duration>,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts at the minimum.
    pub fn new() -> Self {
        AdaptiveTimeout {
            average: Mutex::new(MIN_TIMEOUT / TIMEOUT_FACTOR),
        }
    }

    /// Returns the timeout for an attempt of a call; attempts count from 0.
    pub fn timeout(&self, attempt: u32) -> Duration {
        let timeout = (self.average() * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        (timeout * (1 << attempt.min(MAX_DOUBLINGS))).min(MAX_TIMEOUT)
    }

    /// Records the response time of a call.
    pub fn record_response(&self, took: Duration) {
        self.observe(took);
    }

    /// Records a call without a response within `wait`.
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
