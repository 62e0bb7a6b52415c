//! Counts for metrics.

use hdrhistogram::Histogram;
use kingcupwinch_time::Span;

/// The longest wait that is told apart, in microseconds: one day.
const MAX_WAIT_MICROS: u64 = 86_400_000_000;
/// Significant digits of waits.
const WAIT_DIGITS: u8 = 2;

/// Counts of one class.
#[derive(Debug, Clone)]
pub struct ClassCounters {
    /// Waits from submission until the first start, in microseconds.
    pub waiting: Histogram<u64>,
    /// Tasks submitted and accepted.
    pub accepted: u64,
    /// Submissions refused, and waiting tasks given up.
    pub refused: u64,
    /// Starts of tasks that had not been started before.
    pub started: u64,
    /// Starts again after a refusal by a worker, a failure or a loss.
    pub retried: u64,
    /// Good ends.
    pub done: u64,
    /// Bad ends for good.
    pub failed: u64,
    /// Cancelled while waiting or running.
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

    /// Returns starts per first start, 1 without retries.
    pub fn amplification(&self) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        (self.started + self.retried) as f64 / self.started as f64
    }
}

/// Counts of the whole cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls of `decide`.
    pub rounds: u64,
    /// Tasks started.
    pub starts: u64,
    /// Gangs started.
    pub gangs: u64,
    /// Tasks asked to run slower, or to run at full speed again.
    pub throttles: u64,
    /// Tasks asked to checkpoint.
    pub checkpoints: u64,
    /// Tasks asked to stop.
    pub stops: u64,
    /// Waiting tasks given up.
    pub given_up: u64,
    /// Placements tried.
    pub placement_attempts: u64,
    /// Machines that went into quarantine.
    pub quarantines: u64,
    /// Reservations of gangs that passed their deadline.
    pub expirations: u64,
}
