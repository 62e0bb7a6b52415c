//! What is measured in one run.

use kingcupwinch_policy::{DIMENSIONS, Dimension, Resources};
use kingcupwinch_time::{Span, Time};

use super::LINK;
use super::load::Rates;
use crate::scenario::Scenario;

/// Samples of one second over which a least share must hold.
const MINUTE: usize = 60;

/// Figures of one stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamFigures {
    pub(crate) name: String,
    pub(crate) urgent: bool,
    pub(crate) submitted: u64,
    pub(crate) refused: u64,
    pub(crate) started: u64,
    pub(crate) done: u64,
    /// Waits until the first start, in microseconds, sorted at the end.
    pub(crate) waits: Vec<u64>,
    /// The least mean share over a minute with work waiting, over the declared least share.
    pub(crate) least: Option<f64>,
}

impl StreamFigures {
    /// Returns a quantile of the waits.
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
    /// Used part of the paid capacity, in the dimension that the mix fills first.
    pub(crate) packing: f64,
    /// Used part of the paid capacity in the dimension that was fullest in this run.
    pub(crate) fullest: f64,
    /// The same, less runs whose work was lost.
    pub(crate) useful: f64,
    /// Starts of machines' tasks that brought the true use over the capacity, over all starts.
    pub(crate) overruns: f64,
    /// Starts over first starts.
    pub(crate) amplification: f64,
    /// Placements tried for each start.
    pub(crate) steps: f64,
}

/// Counts while a run goes on.
pub(crate) struct Meter {
    warm: Time,
    tight: Dimension,
    capacity: Resources,
    streams: Vec<StreamFigures>,
    used: Vec<Resources>,
    leasts: Vec<f64>,
    shares: Vec<Vec<f64>>,
    last: Time,
    busy: [f64; DIMENSIONS],
    paid: [f64; DIMENSIONS],
    lost: f64,
    starts: u64,
    overruns: u64,
    firsts: u64,
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
            warm: Time::ZERO + scenario.warm,
            tight: rates.tight,
            capacity: rates.capacity,
            streams: named.collect(),
            used: vec![Resources::ZERO; streams.len()],
            leasts: streams
                .iter()
                .map(|s| f64::from(s.class.min_share.0) / 1000.0)
                .collect(),
            shares: vec![Vec::new(); streams.len()],
            last: Time::ZERO,
            busy: [0.0; DIMENSIONS],
            paid: [0.0; DIMENSIONS],
            lost: 0.0,
            starts: 0,
            overruns: 0,
            firsts: 0,
        }
    }

    /// Brings the sums over time up to date.
    pub(crate) fn advance(&mut self, now: Time) {
        let from = self.last.max(self.warm);
        let seconds = now.since(from).as_secs_f64();
        for d in Dimension::ALL {
            let used: u64 = self.used.iter().map(|s| s.get(d)).sum();
            self.busy[d as usize] += seconds * used as f64;
            self.paid[d as usize] += seconds * self.capacity.get(d) as f64;
        }
        self.last = now;
    }

    fn counts(&mut self, stream: usize, arrived: Time) -> Option<&mut StreamFigures> {
        (arrived >= self.warm).then(|| &mut self.streams[stream])
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

    /// A task started for the first time; `counted` if it stands for its arrival.
    pub(crate) fn started(&mut self, stream: usize, arrived: Time, counted: bool, now: Time) {
        self.firsts += 1;
        if !counted {
            return;
        }
        if let Some(s) = self.counts(stream, arrived) {
            s.started += 1;
            s.waits.push((now.since(arrived) + LINK).as_micros());
        }
    }

    pub(crate) fn done(&mut self, stream: usize, arrived: Time) {
        if let Some(s) = self.counts(stream, arrived) {
            s.done += 1;
        }
    }

    /// A run began; `over` says whether its machine's true use is now over the capacity.
    pub(crate) fn began(&mut self, over: bool) {
        self.starts += 1;
        self.overruns += u64::from(over);
    }

    /// This much came into use.
    pub(crate) fn ran(&mut self, stream: usize, size: &Resources, now: Time) {
        self.advance(now);
        self.used[stream] = self.used[stream].plus(size);
    }

    /// This much is no longer in use.
    pub(crate) fn stopped_using(&mut self, stream: usize, size: &Resources, now: Time) {
        self.advance(now);
        self.used[stream] = self.used[stream].minus(size);
    }

    /// The work of a run was lost.
    pub(crate) fn lost(&mut self, size: &Resources, since: Time, now: Time) {
        let seconds = now.since(since.max(self.warm)).as_secs_f64();
        self.lost += seconds * size.get(self.tight) as f64;
    }

    /// A machine is lost.
    pub(crate) fn lose(&mut self, capacity: &Resources, now: Time) {
        self.advance(now);
        self.capacity = self.capacity.minus(capacity);
    }

    /// Takes a sample of the shares of the classes with a least share.
    pub(crate) fn sample(&mut self, queued: &[usize], now: Time) {
        self.advance(now);
        if now < self.warm {
            return;
        }
        for (stream, &waiting) in queued.iter().enumerate() {
            if waiting == 0 || self.leasts[stream] == 0.0 {
                self.shares[stream].clear();
                continue;
            }
            let share = self.used[stream].dominant_share(&self.capacity);
            let shares = &mut self.shares[stream];
            shares.push(share);
            if shares.len() > MINUTE {
                shares.remove(0);
            }
            if shares.len() == MINUTE {
                let mean = shares.iter().sum::<f64>() / MINUTE as f64;
                let ratio = mean / self.leasts[stream];
                let least = &mut self.streams[stream].least;
                *least = Some(least.map_or(ratio, |l| l.min(ratio)));
            }
        }
    }

    pub(crate) fn figures(mut self, scenario: &Scenario, steps: u64, retries: u64) -> Figures {
        for stream in &mut self.streams {
            stream.waits.sort_unstable();
        }
        let starts = self.starts.max(1) as f64;
        let tight = self.tight as usize;
        let shares = self.busy.iter().zip(self.paid).filter(|(_, p)| *p > 0.0);
        let fullest = shares.map(|(b, p)| b / p).fold(0.0, f64::max);
        Figures {
            scenario: scenario.clone(),
            streams: self.streams,
            packing: self.busy[tight] / self.paid[tight],
            fullest,
            useful: (self.busy[tight] - self.lost) / self.paid[tight],
            overruns: self.overruns as f64 / starts,
            amplification: (self.firsts + retries) as f64 / self.firsts.max(1) as f64,
            steps: steps as f64 / starts,
        }
    }
}
