//! How many start orders an owner sends itself.

use kingcupwinch_time::Time;

use crate::token_bucket::TokenBucket;

#[cfg(test)]
mod tests;

/// Start orders per second that an owner sends itself for each core that it may use. A start with
/// everything around it takes 0.3 ms of processor time (docs/CAPACITY.md), so these take less than half
/// of the share and leave the rest for polls and decisions.
const STARTS_PER_CORE: f64 = 1_500.0;
/// Time over which bursts are evened out, in seconds: a wide gang, or the jobs that wait at a takeover, are
/// no reason for relays.
const BURST_S: f64 = 1.0;

/// Token bucket of the start orders that an owner sends itself. The others go through relays, in one
/// message for all tasks of a job.
#[derive(Debug)]
pub(super) struct StartRate {
    orders: TokenBucket,
}

impl StartRate {
    /// Creates a full bucket for an instance that may use this many cores.
    pub(super) fn new(cpu_share: f64, now: Time) -> Self {
        StartRate {
            orders: TokenBucket::new(cpu_share * STARTS_PER_CORE, BURST_S, now),
        }
    }

    /// Adds what time has brought.
    pub(super) fn refill(&mut self, now: Time) {
        self.orders.refill(0.0, now);
    }

    /// Takes one order from the bucket; returns false if it is empty.
    pub(super) fn take(&mut self) -> bool {
        self.orders.take(1.0)
    }
}
