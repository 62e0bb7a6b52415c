//! How many start orders an owner sends itself.

use kingcupwinch_time::Time;

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
    /// Orders per second.
    rate: f64,
    /// Orders that may be sent now.
    level: f64,
    refilled_at: Time,
}

impl StartRate {
    /// Creates a full bucket for an instance that may use this many cores.
    pub(super) fn new(cpu_share: f64, now: Time) -> Self {
        let rate = cpu_share * STARTS_PER_CORE;
        StartRate {
            rate,
            level: rate * BURST_S,
            refilled_at: now,
        }
    }

    /// Adds what time has brought.
    pub(super) fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_micros() as f64 / 1e6;
        self.refilled_at = now;
        self.level = (self.level + self.rate * elapsed).min(self.rate * BURST_S);
    }

    /// Takes one order from the bucket; returns false if it is empty.
    pub(super) fn take(&mut self) -> bool {
        let is_left = self.level >= 1.0;
        if is_left {
            self.level -= 1.0;
        }
        is_left
    }
}
