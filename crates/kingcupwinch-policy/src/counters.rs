//! Counters for metrics.

use hdrhistogram::Histogram;
use kingcupwinch_time::Span;

/// Largest recorded wait in microseconds: one day. Longer waits are recorded as this value.
const MAX_WAIT_MICROS: u64 = 86_400_000_000;
/// Significant decimal digits of recorded waits.
const WAIT_DIGITS: u8 = 2;

/// Counters of one class.
#[derive(Debug, Clone)]
pub struct ClassCounters {
    /// Time from submission to the first start, in microseconds.
    pub waiting: Histogram<u64>,
    /// Accepted tasks.
    pub accepted: u64,
    /// Refused submissions and waiting tasks that were given up.
    pub refused: u64,
    /// First starts of tasks.
    pub started: u64,
    /// Restarts after a refusal by a worker, a failure or a loss.
    pub retried: u64,
    /// Tasks that ended successfully.
    pub done: u64,
    /// Tasks that failed permanently.
    pub failed: u64,
    /// Tasks cancelled while waiting or running.
    pub cancelled: u64,
}

impl ClassCounters {
    pub(crate) fn new() -> Self {
        let waiting = Histogram::new_with_max(MAX_WAIT_MICROS, WAIT_DIGITS);
        ClassCounters {
            waiting: waiting.expect("the bounds are constants in range"),
            accepted: 0,
            refused: 0,
            started: 0,
            retried: 0,
            done: 0,
            failed: 0,
            cancelled: 0,
        }
    }

    pub(crate) fn record_wait(&mut self, wait: Span) {
        self.waiting.saturating_record(wait.as_micros());
    }

    /// Returns the ratio of all starts to first starts; 1 without retries.
    pub fn amplification(&self) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        (self.started + self.retried) as f64 / self.started as f64
    }
}

/// Counters of the whole cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls of [`Cell::decide`](crate::Cell::decide).
    pub rounds: u64,
    /// Started tasks.
    pub starts: u64,
    /// Started gangs.
    pub gangs: u64,
    /// Requests to throttle a task or to restore its full processor share.
    pub throttles: u64,
    /// Requests to checkpoint a task.
    pub checkpoints: u64,
    /// Requests to stop a task.
    pub stops: u64,
    /// Waiting tasks that were given up.
    pub given_up: u64,
    /// Attempted placements of tasks.
    pub placement_attempts: u64,
    /// Number of times a machine was quarantined.
    pub quarantines: u64,
    /// Runs that ended with the crash of their machine.
    pub crashes: u64,
    /// Gang reservations that expired.
    pub expirations: u64,
}
