use std::time::Duration;

use rand::Rng;

/// Exponential backoff with full jitter between connection attempts.
#[derive(Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    ceiling: Duration,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Backoff {
            min,
            max,
            ceiling: min,
        }
    }

    pub(crate) fn reset(&mut self) {
        self.ceiling = self.min;
    }

    pub(crate) fn next(&mut self) -> Duration {
        let delay = self.ceiling.mul_f64(rand::rng().random());
        self.ceiling = (self.ceiling * 2).min(self.max);
        delay
    }
}
