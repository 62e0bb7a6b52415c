//! Figures measured in one run.

use kingcupwinch_policy::{DIMENSIONS, Dimension, Resources};
use kingcupwinch_time::{Span, Time};

use super::DISPATCH_LATENCY;
use super::load::Rates;
use crate::scenario::Scenario;

/// Number of one-second samples over which a minimum share must hold.
const WINDOW_SAMPLES: usize = 60;

/// Figures of one stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamFigures {
    pub(crate) name: String,
    pub(crate) urgent: bool,
    pub(crate) submitted: u64,
    pub(crate) refused: u64,
    pub(crate) started: u64,
    pub(crate) done: u64,
    /// Time from submission to the first start in microseconds; sorted at the end of the run.
    pub(crate) waits: Vec<u64>,
    /// Lowest mean share over a minute with waiting tasks, relative to the declared minimum share.
    pub(crate) min_share_ratio: Option<f64>,
}

impl StreamFigures {
    /// Returns a quantile of the waits; `part` is from 0 to 1.
    pub(crate) fn wait(&self, part: f64) -> Span {
        let index = (self.waits.len() as f64 * part) as usize;
        let last = self.waits.len().saturating_sub(1);
        Span::from_micros(self.waits.get(index.min(last)).copied().unwrap_or(0))
    }
}

/// Figures of one run.
#[derive(Debug, Clone)]
pub(crate) struct Figures {
    pub(crate) scenario: Scenario,
    pub(crate) streams: Vec<StreamFigures>,
    /// Used fraction of the capacity in the dimension that the workload fills first.
    pub(crate) packing: f64,
    /// Used fraction of the capacity in the dimension that was fullest in this run.
    pub(crate) fullest: f64,
    /// Like `packing`, without the runs whose work was lost.
    pub(crate) useful: f64,
    /// Fraction of starts after which the true usage of the machine exceeded its capacity.
    pub(crate) overruns: f64,
    /// Ratio of all starts to first starts.
    pub(crate) amplification: f64,
    /// Attempted placements per start.
    pub(crate) placement_attempts: f64,
}

/// Collects the figures during a run.
pub(crate) struct Meter {
    warm_up: Time,
    bottleneck: Dimension,
    capacity: Resources,
    streams: Vec<StreamFigures>,
    used: Vec<Resources>,
    min_shares: Vec<f64>,
    shares: Vec<Vec<f64>>,
    last: Time,
    /// Time integrals of the usage, by dimension.
    usage_integral: [f64; DIMENSIONS],
    /// Time integrals of the capacity, by dimension.
    capacity_integral: [f64; DIMENSIONS],
    /// Time integral of the usage of lost runs, in the bottleneck dimension.
    lost_integral: f64,
    starts: u64,
    overruns: u64,
    first_starts: u64,
}

impl Meter {
    pub(crate) fn new(scenario: &Scenario, rates: &Rates) -> Self {
        let streams = &scenario.site.streams;
        let named = streams.iter().map(|s| StreamFigures {
            name: s.class.name.to_string(),
            urgent: s.is_urgent(),
            ..StreamFigures::default()
        });
        Meter {
            warm_up: Time::ZERO + scenario.warm_up,
            bottleneck: rates.bottleneck,
            capacity: rates.capacity,
            streams: named.collect(),
            used: vec![Resources::ZERO; streams.len()],
            min_shares: streams
                .iter()
                .map(|s| f64::from(s.class.min_share.0) / 1000.0)
                .collect(),
            shares: vec![Vec::new(); streams.len()],
            last: Time::ZERO,
            usage_integral: [0.0; DIMENSIONS],
            capacity_integral: [0.0; DIMENSIONS],
            lost_integral: 0.0,
            starts: 0,
            overruns: 0,
            first_starts: 0,
        }
    }

    /// Updates the time integrals of usage and capacity.
    pub(crate) fn advance(&mut self, now: Time) {
        let from = self.last.max(self.warm_up);
        let seconds = now.since(from).as_secs_f64();
        for d in Dimension::ALL {
            let used: u64 = self.used.iter().map(|s| s.get(d)).sum();
            self.usage_integral[d as usize] += seconds * used as f64;
            self.capacity_integral[d as usize] += seconds * self.capacity.get(d) as f64;
        }
        self.last = now;
    }

    fn counts(&mut self, stream: usize, arrived: Time) -> Option<&mut StreamFigures> {
        (arrived >= self.warm_up).then(|| &mut self.streams[stream])
    }

    pub(crate) fn submitted(&mut self, stream: usize, now: Time) {
        if let Some(s) = self.counts(stream, now) {
            s.submitted += 1;
        }
    }

    pub(crate) fn refused(&mut self, stream: usize, now: Time) {
        if let Some(s) = self.counts(stream, now) {
            s.refused += 1;
        }
    }

    /// Records the first start of a task; `counted` if it represents its arrival.
    pub(crate) fn started(&mut self, stream: usize, arrived: Time, counted: bool, now: Time) {
        self.first_starts += 1;
        if !counted {
            return;
        }
        if let Some(s) = self.counts(stream, arrived) {
            s.started += 1;
            s.waits
                .push((now.since(arrived) + DISPATCH_LATENCY).as_micros());
        }
    }

    pub(crate) fn done(&mut self, stream: usize, arrived: Time) {
        if let Some(s) = self.counts(stream, arrived) {
            s.done += 1;
        }
    }

    /// Records the start of a run; `overrun` tells whether the true usage of its machine now
    /// exceeds the capacity.
    pub(crate) fn run_started(&mut self, overrun: bool) {
        self.starts += 1;
        self.overruns += u64::from(overrun);
    }

    /// Records that `size` came into use.
    pub(crate) fn started_using(&mut self, stream: usize, size: &Resources, now: Time) {
        self.advance(now);
        self.used[stream] = self.used[stream].plus(size);
    }

    /// Records that `size` is no longer in use.
    pub(crate) fn stopped_using(&mut self, stream: usize, size: &Resources, now: Time) {
        self.advance(now);
        self.used[stream] = self.used[stream].minus(size);
    }

    /// Records that the work of a run was lost.
    pub(crate) fn work_lost(&mut self, size: &Resources, since: Time, now: Time) {
        let seconds = now.since(since.max(self.warm_up)).as_secs_f64();
        self.lost_integral += seconds * size.get(self.bottleneck) as f64;
    }

    /// Records the loss of a machine.
    pub(crate) fn machine_lost(&mut self, capacity: &Resources, now: Time) {
        self.advance(now);
        self.capacity = self.capacity.minus(capacity);
    }

    /// Samples the shares of the classes with a minimum share.
    pub(crate) fn sample(&mut self, queued: &[usize], now: Time) {
        self.advance(now);
        if now < self.warm_up {
            return;
        }
        for (stream, &waiting) in queued.iter().enumerate() {
            if waiting == 0 || self.min_shares[stream] == 0.0 {
                self.shares[stream].clear();
                continue;
            }
            let share = self.used[stream].dominant_share(&self.capacity);
            let shares = &mut self.shares[stream];
            shares.push(share);
            if shares.len() > WINDOW_SAMPLES {
                shares.remove(0);
            }
            if shares.len() == WINDOW_SAMPLES {
                let mean = shares.iter().sum::<f64>() / WINDOW_SAMPLES as f64;
                let ratio = mean / self.min_shares[stream];
                let min_share_ratio = &mut self.streams[stream].min_share_ratio;
                *min_share_ratio = Some(min_share_ratio.map_or(ratio, |l| l.min(ratio)));
            }
        }
    }

    pub(crate) fn figures(
        mut self,
        scenario: &Scenario,
        placement_attempts: u64,
        retries: u64,
    ) -> Figures {
        for stream in &mut self.streams {
            stream.waits.sort_unstable();
        }
        let starts = self.starts.max(1) as f64;
        let bottleneck = self.bottleneck as usize;
        let shares = self
            .usage_integral
            .iter()
            .zip(self.capacity_integral)
            .filter(|(_, c)| *c > 0.0);
        let fullest = shares.map(|(u, c)| u / c).fold(0.0, f64::max);
        Figures {
            scenario: scenario.clone(),
            streams: self.streams,
            packing: self.usage_integral[bottleneck] / self.capacity_integral[bottleneck],
            fullest,
            useful: (self.usage_integral[bottleneck] - self.lost_integral)
                / self.capacity_integral[bottleneck],
            overruns: self.overruns as f64 / starts,
            amplification: (self.first_starts + retries) as f64 / self.first_starts.max(1) as f64,
            placement_attempts: placement_attempts as f64 / starts,
        }
    }
}
