//! The capacity kept free for urgent work.
//!
//! The number of urgent tasks that run or wait is sampled. Its smoothed mean and deviation give the
//! level to be ready for, a number of deviations over the mean; what is missing between the tasks that
//! run now and that level is kept free. So other work doesn't fill the gap when urgent work is at a
//! low, and no more than needed is kept when it is at a high. The number of deviations follows the
//! misses: it grows with each urgent task that found no room at once and shrinks with each that did,
//! so that the part of misses settles at a target (a stochastic quantile tracker).

use kingcupwinch_time::{Span, Time};

/// The time between two samples.
const SAMPLE_EVERY: Span = Span::from_millis(100);
/// The weight of a new sample.
const WEIGHT: f64 = 0.02;
/// Samples made up for at most after a silence.
const MAX_CATCH_UP: u64 = 200;
/// Deviations over the mean before any observation.
const INITIAL_DEVIATIONS: f64 = 2.5;
const MAX_DEVIATIONS: f64 = 4.0;
/// The most that the variance counts for, against that of independent arrivals.
const MAX_DISPERSION: f64 = 9.0;
/// Deviations that a miss adds.
const STEP: f64 = 0.01;
/// The part of misses aimed at when waiting is all that counts.
const MIN_MISS_RATE: f64 = 0.002;
/// The part of misses aimed at when packing is all that counts.
const MAX_MISS_RATE: f64 = 0.1;
/// How late between the two the part of misses rises with the weight of packing.
const MISS_EXPONENT: i32 = 6;

/// The forecast of how many tasks of one urgent class run at a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    mean: f64,
    variance: f64,
    sample: u64,
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
    /// Takes in the number of tasks that run or wait, if a sample is due.
    pub(crate) fn record_level(&mut self, level: f64, now: Time) {
        let sample = now.as_micros() / SAMPLE_EVERY.as_micros();
        let due = sample.saturating_sub(self.sample).min(MAX_CATCH_UP);
        for _ in 0..due {
            let off = level - self.mean;
            self.mean += WEIGHT * off;
            self.variance = (1.0 - WEIGHT) * (self.variance + WEIGHT * off * off);
        }
        self.sample = sample;
    }

    /// Takes in the start of a task; `missed` if it found no room at once.
    pub(crate) fn record_start(&mut self, missed: bool, waiting_fraction: f64) {
        let target = miss_target(waiting_fraction);
        let change = if missed { 1.0 - target } else { -target };
        self.deviations = (self.deviations + STEP * change).clamp(0.0, MAX_DEVIATIONS);
    }

    /// Returns how many more tasks than the `running` ones to be ready for. The variance is at least
    /// that of independent arrivals, and at most a multiple of it, so that a ramp such as that after a
    /// start doesn't count as noise.
    pub(crate) fn headroom(&self, running: u32) -> u64 {
        let most = self.mean * MAX_DISPERSION;
        let deviation = self.variance.min(most).max(self.mean).sqrt();
        let level = self.mean + self.deviations * deviation;
        (level.round() as u64).saturating_sub(u64::from(running))
    }
}

/// Returns the part of misses aimed at. It stays under a hundredth, and so the waiting's 99th percentile
/// without a miss, until packing has most of the weight.
fn miss_target(waiting_fraction: f64) -> f64 {
    let packing = (1.0 - waiting_fraction).powi(MISS_EXPONENT);
    MIN_MISS_RATE * (MAX_MISS_RATE / MIN_MISS_RATE).powf(packing)
}
