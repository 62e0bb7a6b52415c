//! Limits on the rate of submissions, and the rate at which a queue drains.

use kingcupwinch_time::{Span, Time};

use crate::plan::RateLimit;

const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    rate: RateLimit,
    tokens: f64,
    refilled: Time,
}

impl TokenBucket {
    pub(crate) fn new(rate: RateLimit, now: Time) -> Self {
        TokenBucket {
            rate,
            tokens: rate.burst,
            refilled: now,
        }
    }

    /// Changes the rate and keeps the tokens up to the new burst.
    pub(crate) fn set_rate(&mut self, rate: RateLimit) {
        self.rate = rate;
        self.tokens = self.tokens.min(rate.burst);
    }

    /// Returns how long until `count` tokens are there, zero if they are; a count beyond the burst
    /// needs a full bucket.
    pub(crate) fn wait_for(&mut self, count: f64, now: Time) -> Span {
        let grown = now.since(self.refilled).as_secs_f64() * self.rate.per_second;
        self.tokens = (self.tokens + grown).min(self.rate.burst);
        self.refilled = now;
        let missing = count.min(self.rate.burst) - self.tokens;
        if missing <= 0.0 {
            return Span::ZERO;
        }
        Span::from_micros((missing / self.rate.per_second * MICROS_PER_SECOND).ceil() as u64)
    }

    /// Takes tokens; more than the burst leaves a debt.
    pub(crate) fn take(&mut self, count: f64) {
        self.tokens -= count;
    }
}

/// The rate at which a queue drains while work waits.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DrainRate {
    /// The mean time between two starts, in microseconds.
    interval: f64,
    last: Option<Time>,
}

/// The weight of a new interval.
const DRAIN_WEIGHT: f64 = 0.05;

impl DrainRate {
    /// Takes in one start; `waiting` says whether work was left waiting.
    pub(crate) fn record(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.last {
            let seen = now.since(last).as_micros() as f64;
            self.interval += DRAIN_WEIGHT * (seen - self.interval);
        }
        self.last = waiting.then_some(now);
    }

    /// Returns how long `ahead` tasks take to start.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Span {
        Span::from_micros((self.interval * ahead as f64) as u64)
    }
}
