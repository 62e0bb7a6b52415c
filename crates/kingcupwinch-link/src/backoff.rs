use std::time::Duration;

use rand::Rng;

/// Waits before attempts to connect: exponential, with full jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    least: Duration,
    most: Duration,
    bound: Duration,
}

impl Backoff {
    pub(crate) fn new(least: Duration, most: Duration) -> Self {
        Backoff {
            least,
            most,
            bound: least,
        }
    }

    pub(crate) fn reset(&mut self) {
        self.bound = self.least;
    }

    pub(crate) fn next(&mut self) -> Duration {
        let wait = self.bound.mul_f64(rand::rng().random());
        self.bound = (self.bound * 2).min(self.most);
        wait
    }
}
