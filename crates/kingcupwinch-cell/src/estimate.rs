//! Moving averages learned from runs that ended and from the responses of advisers.

/// The weight of a new sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.15;
/// The bounds to which a sample is clamped, against outliers.
const SAMPLE_RANGE: (f64, f64) = (0.1, 10.0);

/// A moving average of the ratio of observed to expected run time. It is 1.0 before the first
/// sample.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceEstimate {
    mean: f64,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        PaceEstimate { mean: 1.0 }
    }
}

impl PaceEstimate {
    pub(crate) fn observe(&mut self, sample: f64) {
        if sample.is_finite() {
            let sample = sample.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
            self.mean += SMOOTHING_FACTOR * (sample - self.mean);
        }
    }

    pub(crate) fn mean(self) -> f64 {
        self.mean
    }
}

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
