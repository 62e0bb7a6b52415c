//! Run times learned from runs that ended.

/// The share of a new sample in a moving average.
const SAMPLE_SHARE: f64 = 0.15;
/// Bounds of one sample, against outliers.
const SAMPLE_RANGE: (f64, f64) = (0.1, 10.0);

/// A moving average of observed over expected time; 1.0 until something was observed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ratio {
    mean: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Ratio { mean: 1.0 }
    }
}

impl Ratio {
    pub(crate) fn observe(&mut self, sample: f64) {
        if sample.is_finite() {
            let sample = sample.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
            self.mean += SAMPLE_SHARE * (sample - self.mean);
        }
    }

    pub(crate) fn mean(self) -> f64 {
        self.mean
    }
}

/// A moving share of successes, starting from a prior.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    mean: f64,
}

impl Share {
    pub(crate) const fn new(prior: f64) -> Self {
        Share { mean: prior }
    }

    pub(crate) fn observe(&mut self, part: usize, whole: usize) {
        if whole > 0 {
            let sample = part as f64 / whole as f64;
            self.mean += SAMPLE_SHARE * (sample - self.mean);
        }
    }

    /// Returns the share, never so small that a sum over workers vanishes.
    pub(crate) fn mean(self) -> f64 {
        self.mean.max(0.05)
    }
}
