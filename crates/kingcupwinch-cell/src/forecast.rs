//! Forecasts of the wait until the first start of a job that is submitted now, for each queue.
//!
//! The forecast is the smaller of two values. The first is the time that the jobs which wait now take
//! to start at the recent rate of first starts; it falls as soon as the queue drains. The second is
//! what jobs have lately waited; it stays low while there is room, however many jobs arrive at once.
//! Without enough starts to know the rate, the forecast is zero and all jobs are accepted.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::job::LATE_LIMIT_OBJECTIVES;
use crate::spec::JobSpec;

/// First starts of this time count. The shortest times of high load last as long.
const START_WINDOW: Span = Span::from_millis(3_000);
/// Earlier ones count too while there are fewer than this, as in a queue of one job a second.
const WINDOW_STARTS: usize = 8;
/// The age at which a start no longer counts.
const MAX_START_AGE: Span = Span::from_millis(12_000);
/// The shortest history from which a rate is computed.
const MIN_HISTORY: Span = Span::from_millis(1_000);
/// The smallest number of starts from which a rate is computed.
const MIN_STARTS: usize = 3;
/// The largest number of starts that are remembered for a queue, against unbounded memory.
const MAX_STARTS: usize = 4_096;
/// The percentile of the waits that counts: a tenth of the jobs may wait longer. With 75, 455 of 491 worthless
/// jobs were still accepted in the model of `MISSED_TIMEOUT`, instead of 251.
const WAIT_PERCENTILE: usize = 90;
/// The forecast is at most this multiple of the observed waits. While a queue grows by a steady rate,
/// a job that arrives now waits about twice as long as those that wait now have waited.
const GROWTH_LIMIT: u64 = 2;

/// The forecast of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueForecast {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The wait until the first start of a job submitted now.
    pub wait: Span,
}

/// The forecast at the submission of a job and what it waited until its first run was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastError {
    /// The forecast at the submission.
    pub forecast: Span,
    /// The wait until the first run was placed.
    pub wait: Span,
}

/// The jobs of a queue that wait for capacity.
#[derive(Debug, Default)]
pub(crate) struct WaitingJobs {
    /// How long those have waited that are still worth something.
    waits: Vec<Span>,
    /// The number of those that are worth nothing any more.
    missed: usize,
}

impl WaitingJobs {
    /// Adds a job that has waited for some time.
    pub(crate) fn add(&mut self, wait: Span, is_missed: bool) {
        if is_missed {
            self.missed += 1;
        } else {
            self.waits.push(wait);
        }
    }

    fn count(&self) -> usize {
        self.waits.len() + self.missed
    }
}

/// The first starts of one queue and its forecast.
#[derive(Debug, Default)]
struct QueueState {
    /// When jobs started, and how long those had waited that were still worth something.
    starts: VecDeque<(Time, Option<Span>)>,
    wait: Span,
}

impl QueueState {
    /// Computes the forecast from the jobs that wait for capacity.
    fn update(&mut self, waiting: &WaitingJobs, now: Time) {
        while let Some((at, _)) = self.starts.front()
            && is_past(*at, self.starts.len(), now)
        {
            self.starts.pop_front();
        }
        // The time before the first start says nothing about the rate: the queue may have been empty.
        let first = self.starts.front().map_or(now, |(at, _)| *at);
        let history = now.since(first);
        if waiting.count() == 0 || history < MIN_HISTORY || self.starts.len() < MIN_STARTS {
            self.wait = Span::ZERO;
            return;
        }
        let backlog_us = waiting.count() as u64 * history.as_micros() / self.starts.len() as u64;
        let started = self.starts.iter().filter_map(|(_, wait)| *wait);
        let mut waits: Vec<Span> = started.chain(waiting.waits.iter().copied()).collect();
        let rank = (waits.len() * WAIT_PERCENTILE).div_ceil(100);
        let observed = match rank.checked_sub(1) {
            Some(rank) => *waits.select_nth_unstable(rank).1,
            None => Span::ZERO,
        };
        self.wait = Span::from_micros(backlog_us).min(observed.times(GROWTH_LIMIT));
    }
}

/// Returns whether the oldest start of some no longer counts.
fn is_past(at: Time, starts: usize, now: Time) -> bool {
    let max_age = if starts > WINDOW_STARTS {
        START_WINDOW
    } else {
        MAX_START_AGE
    };
    now.since(at) > max_age
}

/// The forecasts of all queues of a cell.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    queues: FxHashMap<Arc<str>, QueueState>,
    /// The errors of the forecasts since they were last taken.
    errors: Vec<ForecastError>,
}

impl Forecasts {
    /// Returns the forecast of a queue, which is zero if there is none.
    pub(crate) fn wait(&self, queue: &str) -> Span {
        let state = self.queues.get(queue);
        state.map_or(Span::ZERO, |state| state.wait)
    }

    /// Notes the first start of a job of a queue, which may be worth nothing any more. Such jobs start last,
    /// so that their waits say nothing about a job submitted now.
    pub(crate) fn note_start(
        &mut self,
        queue: &Arc<str>,
        error: ForecastError,
        is_missed: bool,
        now: Time,
    ) {
        let state = self.queues.entry(Arc::clone(queue)).or_default();
        if state.starts.len() == MAX_STARTS {
            state.starts.pop_front();
        }
        let wait = Some(error.wait).filter(|_| !is_missed);
        state.starts.push_back((now, wait));
        if self.errors.len() < MAX_STARTS {
            self.errors.push(error);
        }
    }

    /// Computes the forecasts of all queues from the jobs that wait for capacity. Queues without any are
    /// forecast to have room.
    pub(crate) fn update(&mut self, waiting: &FxHashMap<Arc<str>, WaitingJobs>, now: Time) {
        for (queue, state) in &mut self.queues {
            state.update(waiting.get(queue).unwrap_or(&WaitingJobs::default()), now);
        }
        // Queues may be removed from the configuration.
        self.queues.retain(|_, state| !state.starts.is_empty());
    }

    /// Returns the forecasts that are not zero.
    pub(crate) fn rows(&self) -> Vec<QueueForecast> {
        let states = self.queues.iter();
        let states = states.filter(|(_, state)| state.wait > Span::ZERO);
        let row = |(queue, state): (&Arc<str>, &QueueState)| QueueForecast {
            queue: Arc::clone(queue),
            wait: state.wait,
        };
        states.map(row).collect()
    }

    pub(crate) fn take_errors(&mut self) -> Vec<ForecastError> {
        std::mem::take(&mut self.errors)
    }
}

impl JobSpec {
    /// Returns the longest wait until the first start with which the job still ends within its late
    /// limit, by its caller's estimates. `None` if the job has no such limit: it is scheduled, or has
    /// tasks without an end.
    pub fn latest_wait(&self) -> Option<Span> {
        if self.schedule.is_some() || self.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let durations = self.steps.iter();
        let durations = durations.map(|step| Span::from_millis(step.estimate_ms));
        let durations: SmallVec<[Span; 4]> = durations.collect();
        let longest_path = self.critical_paths(&durations).iter().copied().max()?;
        let stretched_us = (longest_path.as_micros() as f64 * self.policy.stretch) as u64;
        let objective = Span::from_micros(stretched_us) + Span::from_millis(self.policy.target_ms);
        let late_limit = objective.times(LATE_LIMIT_OBJECTIVES);
        Some(late_limit - longest_path)
    }
}
