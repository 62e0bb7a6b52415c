//! Corrects declared run times and sizes from observed values.
//!
//! Each class keeps a histogram of the ratio of observed to declared values in logarithmic bins.
//! All counts are halved regularly, so that old observations lose weight. Quantiles of the
//! histogram correct later declarations.

use kingcupwinch_time::Span;

use crate::resources::{Dimension, Resources};

/// Number of bins per doubling of the ratio.
const BINS_PER_OCTAVE: f64 = 4.0;
/// Doublings covered on each side of a ratio of 1.
const OCTAVES: f64 = 6.0;
const BINS: usize = 49;
/// Total count at which every bin is halved.
const HALVE_AT: u32 = 1024;
/// Minimum number of observations before a correction applies.
const MIN_COUNT: u32 = 20;
/// Number of observations between two computations of the quantiles.
const REFRESH_INTERVAL: u32 = 8;
const MEDIAN: f64 = 0.5;
const HIGH_QUANTILE: f64 = 0.95;

/// A decaying histogram of the ratio of observed to declared values.
#[derive(Debug, Clone)]
pub(crate) struct RatioHistogram {
    bins: [u32; BINS],
    count: u32,
    /// Observations since the quantiles were computed.
    since_refresh: u32,
    median: f64,
    high: f64,
}

impl Default for RatioHistogram {
    fn default() -> Self {
        RatioHistogram {
            bins: [0; BINS],
            count: 0,
            since_refresh: 0,
            median: 1.0,
            high: 1.0,
        }
    }
}

impl RatioHistogram {
    /// Records one observation.
    pub(crate) fn record(&mut self, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let octave = ratio.log2().clamp(-OCTAVES, OCTAVES);
        let bin = ((octave + OCTAVES) * BINS_PER_OCTAVE).ceil() as usize;
        self.bins[bin.min(BINS - 1)] += 1;
        self.count += 1;
        self.since_refresh += 1;
        if self.count >= HALVE_AT {
            self.halve();
        }
        if self.since_refresh >= REFRESH_INTERVAL && self.count >= MIN_COUNT {
            self.refresh();
        }
    }

    /// Returns the median ratio; 1 before there are enough observations.
    pub(crate) fn median(&self) -> f64 {
        self.median
    }

    /// Returns the 95th percentile of the ratio; 1 before there are enough observations.
    pub(crate) fn high(&self) -> f64 {
        self.high
    }

    fn halve(&mut self) {
        for bin in &mut self.bins {
            *bin /= 2;
        }
        self.count = self.bins.iter().sum();
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.median = self.quantile(MEDIAN);
        self.high = self.quantile(HIGH_QUANTILE);
    }

    /// Returns the upper edge of the bin that contains a quantile, given from 0 to 1.
    fn quantile(&self, quantile: f64) -> f64 {
        let target = (quantile * f64::from(self.count)).ceil() as u32;
        let mut seen = 0;
        for (bin, count) in self.bins.iter().enumerate() {
            seen += count;
            if seen >= target {
                return (bin as f64 / BINS_PER_OCTAVE - OCTAVES).exp2();
            }
        }
        OCTAVES.exp2()
    }
}

/// Correction factors of a class.
#[derive(Debug, Clone, Default)]
pub(crate) struct Estimates {
    run: RatioHistogram,
    millicores: RatioHistogram,
    memory: RatioHistogram,
}

impl Estimates {
    /// Records the observed duration of a run on a machine of the given speed.
    pub(crate) fn record_run(&mut self, declared: Span, observed: Span, speed: f64) {
        self.run
            .record(observed.as_secs_f64() * speed / declared.as_secs_f64());
    }

    /// Records the peak usage of a run.
    pub(crate) fn record_peak(&mut self, declared: &Resources, peak: &Resources) {
        let ratio = |d| peak.get(d) as f64 / declared.get(d) as f64;
        self.millicores.record(ratio(Dimension::Millicores));
        self.memory.record(ratio(Dimension::Memory));
    }

    /// Returns the median run time for a declared run time.
    pub(crate) fn expected_run(&self, declared: Span) -> Span {
        scale_span(declared, self.run.median())
    }

    /// Returns the 95th percentile of the run time for a declared run time.
    pub(crate) fn high_run(&self, declared: Span) -> Span {
        scale_span(declared, self.run.high())
    }

    /// Returns the resources to allocate for a declared size: the 95th percentile of the usage.
    pub(crate) fn correct(&self, declared: &Resources) -> Resources {
        let corrected = [
            (Dimension::Millicores, self.millicores.high()),
            (Dimension::Memory, self.memory.high()),
        ];
        corrected.into_iter().fold(*declared, |size, (d, ratio)| {
            let amount = (declared.get(d) as f64 * ratio).ceil() as u64;
            size.with(d, amount)
        })
    }
}

fn scale_span(span: Span, ratio: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * ratio) as u64)
}
