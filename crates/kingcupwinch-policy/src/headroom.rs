//! Capacity kept free for urgent tasks.
//!
//! The number of urgent tasks that run or wait is sampled. The moving average plus a multiple of
//! the standard deviation is the number to be prepared for; the difference between it and the
//! number of running tasks is kept free. Other work therefore does not fill the gap while urgent
//! load is low, and no more than needed is kept free while it is high.
//!
//! The multiple is adjusted by a stochastic quantile tracker: it increases with each urgent task
//! that found no free capacity and decreases with each one that did, so that the miss rate
//! converges to a target.

use kingcupwinch_time::{Span, Time};

/// Interval between two samples.
const SAMPLE_INTERVAL: Span = Span::from_millis(100);
/// Weight of a new sample in the moving average.
const WEIGHT: f64 = 0.02;
/// Maximum number of missed samples that are filled in after a pause.
const MAX_CATCH_UP: u64 = 200;
/// Multiple of the standard deviation before any observation.
const INITIAL_DEVIATIONS: f64 = 2.5;
/// Upper limit of that multiple.
const MAX_DEVIATIONS: f64 = 4.0;
/// Upper limit of the variance, as a multiple of the variance of independent arrivals.
const MAX_DISPERSION: f64 = 9.0;
/// Step size of the quantile tracker, in standard deviations.
const STEP: f64 = 0.01;
/// Target miss rate if only waiting has a weight.
const MIN_MISS_RATE: f64 = 0.002;
/// Target miss rate if only packing has a weight.
const MAX_MISS_RATE: f64 = 0.1;
/// Exponent of the packing weight; the larger it is, the later the miss rate rises with that
/// weight.
const MISS_EXPONENT: i32 = 6;

/// Forecast of the number of concurrent tasks of one urgent class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    mean: f64,
    variance: f64,
    /// Number of the latest sample.
    sample: u64,
    /// Multiple of the standard deviation to be prepared for.
    deviations: f64,
}

impl Default for Forecast {
    fn default() -> Self {
        Forecast {
            mean: 0.0,
            variance: 0.0,
            sample: 0,
            deviations: INITIAL_DEVIATIONS,
        }
    }
}

impl Forecast {
    /// Samples the number of tasks that run or wait, if a sample is due.
    pub(crate) fn record_level(&mut self, level: f64, now: Time) {
        let sample = now.as_micros() / SAMPLE_INTERVAL.as_micros();
        let due = sample.saturating_sub(self.sample).min(MAX_CATCH_UP);
        for _ in 0..due {
            let error = level - self.mean;
            self.mean += WEIGHT * error;
            self.variance = (1.0 - WEIGHT) * (self.variance + WEIGHT * error * error);
        }
        self.sample = sample;
    }

    /// Records the start of a task; `missed` means that it found no free capacity on arrival.
    pub(crate) fn record_start(&mut self, missed: bool, waiting_fraction: f64) {
        let target = miss_target(waiting_fraction);
        let change = if missed { 1.0 - target } else { -target };
        self.deviations = (self.deviations + STEP * change).clamp(0.0, MAX_DEVIATIONS);
    }

    /// Returns how many tasks beyond the `running` ones to keep capacity for.
    ///
    /// The variance is at least that of independent arrivals. It is limited to a multiple of that,
    /// so that a ramp, such as after a start, does not count as noise.
    pub(crate) fn headroom(&self, running: u32) -> u64 {
        let max_variance = self.mean * MAX_DISPERSION;
        let deviation = self.variance.min(max_variance).max(self.mean).sqrt();
        let level = self.mean + self.deviations * deviation;
        (level.round() as u64).saturating_sub(u64::from(running))
    }
}

/// Returns the target miss rate. It stays below 1 % until packing has most of the weight, so that
/// the 99th percentile of the waiting time contains no miss.
fn miss_target(waiting_fraction: f64) -> f64 {
    let packing = (1.0 - waiting_fraction).powi(MISS_EXPONENT);
    MIN_MISS_RATE * (MAX_MISS_RATE / MIN_MISS_RATE).powf(packing)
}
