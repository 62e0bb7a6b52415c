//! A token bucket whose tokens may be bytes or orders.

use kingcupwinch_time::Time;

/// Tokens that are added at a steady rate and taken in bursts.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Tokens per second that are added.
    rate: f64,
    /// Tokens that may be taken now; negative after more was spent than allowed.
    level: f64,
    /// The highest level, and the lowest one as its negative.
    most: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket with tokens for bursts of `burst_s` seconds.
    pub(crate) fn new(rate: f64, burst_s: f64, now: Time) -> Self {
        let most = rate * burst_s;
        TokenBucket {
            rate,
            level: most,
            most,
            refilled_at: now,
        }
    }

    /// Adds what time has brought, and subtracts what was spent for other purposes.
    pub(crate) fn refill(&mut self, spent: f64, now: Time) {
        let elapsed = now.since(self.refilled_at).as_micros() as f64 / 1e6;
        self.refilled_at = now;
        self.level = (self.level + self.rate * elapsed - spent).clamp(-self.most, self.most);
    }

    /// Takes tokens from the bucket; returns false, without taking any, if there are too few.
    pub(crate) fn take(&mut self, tokens: f64) -> bool {
        let is_left = self.level >= tokens;
        if is_left {
            self.level -= tokens;
        }
        is_left
    }
}
