//! A moving average learned from the responses of advisers.

/// The weight of a new sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.15;
/// A moving average of a share of successes, starting from a prior.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareEstimate {
    mean: f64,
}

impl ShareEstimate {
    pub(crate) const fn new(prior: f64) -> Self {
        ShareEstimate { mean: prior }
    }

    pub(crate) fn observe(&mut self, part: usize, whole: usize) {
        if whole > 0 {
            let sample = part as f64 / whole as f64;
            self.mean += SMOOTHING_FACTOR * (sample - self.mean);
        }
    }

    /// Returns the share, but at least 0.05, so that a sum over workers does not vanish.
    pub(crate) fn mean(self) -> f64 {
        self.mean.max(0.05)
    }
}
