//! Machine health: outcomes of recent runs, quarantine and probes.

use kingcupwinch_time::{Span, Time};

/// Number of recent outcomes kept per machine.
const WINDOW: u32 = 16;
/// Minimum number of outcomes before a machine can be judged unhealthy.
const MIN_OUTCOMES: u32 = 6;
/// Minimum failure rate of a machine for a quarantine.
const MIN_FAILURE_RATE: f64 = 0.7;
/// Failure rate of the whole cell at or above which no machine is quarantined.
const MAX_CELL_FAILURE_RATE: f64 = 0.6;
/// Consecutive successful probes that end a quarantine.
const REQUIRED_PROBES: u32 = 3;
/// Delay before the first probe.
const INITIAL_PROBE_WAIT: Span = Span::from_secs(10);
/// Maximum delay between probes.
const MAX_PROBE_WAIT: Span = Span::from_secs(600);
/// Weight of a new outcome in the failure rate of the cell.
const CELL_RATE_WEIGHT: f64 = 0.002;

/// Recent outcomes of one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Recent outcomes, one bit each; a set bit is a failure and the lowest bit is the latest.
    failure_bits: u32,
    /// Number of valid bits.
    count: u32,
    passed_probes: u32,
    probe_wait: Span,
    /// When the next probe may start.
    pub(crate) next_probe: Time,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_bits: 0,
            count: 0,
            passed_probes: 0,
            probe_wait: INITIAL_PROBE_WAIT,
            next_probe: Time::ZERO,
        }
    }
}

/// The consequence of a finished probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    /// The machine accepts tasks again.
    Recovered,
    /// The quarantine continues with another probe.
    Continue,
}

impl Health {
    /// Records one outcome.
    pub(crate) fn record(&mut self, failed: bool) {
        self.failure_bits = ((self.failure_bits << 1) | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
    }

    /// Removes one recorded failure that was caused by the task itself.
    pub(crate) fn retract_failure(&mut self) {
        if self.failure_bits != 0 {
            self.failure_bits &= self.failure_bits - 1;
        }
    }

    /// Returns whether the machine fails far more often than the whole cell.
    pub(crate) fn is_unhealthy(&self, cell: &CellHealth) -> bool {
        if self.count < MIN_OUTCOMES {
            return false;
        }
        let failure_rate = f64::from(self.failure_bits.count_ones()) / f64::from(self.count);
        let midway = (1.0 + cell.failure_rate) / 2.0;
        cell.failure_rate < MAX_CELL_FAILURE_RATE && failure_rate >= MIN_FAILURE_RATE.max(midway)
    }

    /// Begins a quarantine.
    pub(crate) fn quarantine(&mut self, now: Time) {
        self.passed_probes = 0;
        self.next_probe = now + self.probe_wait;
    }

    /// Records the outcome of a probe.
    pub(crate) fn record_probe(&mut self, failed: bool, now: Time) -> ProbeVerdict {
        if failed {
            self.passed_probes = 0;
            self.probe_wait = self.probe_wait.times(2).min(MAX_PROBE_WAIT);
            self.next_probe = now + self.probe_wait;
            return ProbeVerdict::Continue;
        }
        self.passed_probes += 1;
        if self.passed_probes < REQUIRED_PROBES {
            self.next_probe = now;
            return ProbeVerdict::Continue;
        }
        *self = Health::default();
        ProbeVerdict::Recovered
    }
}

/// Moving average of the failure rate of the whole cell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CellHealth {
    failure_rate: f64,
}

impl CellHealth {
    /// Records one outcome on a machine that is not quarantined.
    pub(crate) fn record(&mut self, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failure_rate += CELL_RATE_WEIGHT * (seen - self.failure_rate);
    }
}
