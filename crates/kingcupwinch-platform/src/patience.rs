//! How long to wait for an answer before the call is made again.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The least wait; answers of a store in good order take a tenth of it.
const LEAST: Duration = Duration::from_millis(150);
/// The longest wait.
const MOST: Duration = Duration::from_millis(2_000);
/// The wait in multiples of the time that answers usually take.
const MARGIN: u32 = 5;
/// The share of a new sample in the moving average.
const SAMPLE_SHARE: f64 = 0.25;
/// The part of a wait in vain that counts as a sample: the answer may be late or lost.
const VAIN_SHARE: f64 = 0.5;
/// The most doublings of the wait over the tries of one call.
const MOST_DOUBLINGS: u32 = 4;

/// Learns how long answers take, so that a lost one is noticed soon while the service is fast and
/// a late one is waited for while it is slow.
#[derive(Debug)]
pub struct Patience {
    usual: Mutex<Duration>,
}

impl Patience {
    /// Expects answers within the least wait.
    pub fn new() -> Self {
        Patience {
            usual: Mutex::new(LEAST / MARGIN),
        }
    }

    /// Returns how long to wait on a try of a call, counted from 0.
    pub fn wait(&self, tries: u32) -> Duration {
        let wait = (self.usual() * MARGIN).clamp(LEAST, MOST);
        (wait * (1 << tries.min(MOST_DOUBLINGS))).min(MOST)
    }

    /// Notes how long an answer took.
    pub fn answered(&self, took: Duration) {
        self.observe(took);
    }

    /// Notes that there was no answer within a wait.
    pub fn waited_in_vain(&self, wait: Duration) {
        self.observe(wait.mul_f64(VAIN_SHARE));
    }

    fn usual(&self) -> Duration {
        *self.usual.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self, sample: Duration) {
        let mut usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        *usual = usual.mul_f64(1.0 - SAMPLE_SHARE) + sample.min(MOST).mul_f64(SAMPLE_SHARE);
    }
}

impl Default for Patience {
    fn default() -> Self {
        Patience::new()
    }
}
