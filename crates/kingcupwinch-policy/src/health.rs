//! Worker health: outcomes of recent runs, quarantine and probes.

use kingcupwinch_time::{Span, Time};

/// The number of recent outcomes kept.
const WINDOW: u32 = 16;
/// The fewest outcomes that allow a verdict.
const MIN_OUTCOMES: u32 = 6;
/// The part of recent runs that must have failed for a quarantine.
const MIN_FAILURE_RATE: f64 = 0.7;
/// The cell's own failure failure_rate at which no machine is blamed.
const MAX_CELL_FAILURE_RATE: f64 = 0.6;
/// Successful probes in a row that end a quarantine.
const REQUIRED_PROBES: u32 = 3;
/// The wait before the first probe.
const INITIAL_PROBE_WAIT: Span = Span::from_secs(10);
/// The longest wait between probes.
const MAX_PROBE_WAIT: Span = Span::from_secs(600);
/// The weight of a new outcome in the cell's failure failure_rate.
const CELL_RATE_WEIGHT: f64 = 0.002;

/// The recent outcomes of one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    failures: u32,
    count: u32,
    passed_probes: u32,
    probe_wait: Span,
    /// When the next probe may start.
    pub(crate) next_probe: Time,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failures: 0,
            count: 0,
            passed_probes: 0,
            probe_wait: INITIAL_PROBE_WAIT,
            next_probe: Time::ZERO,
        }
    }
}

/// What an outcome of a probe means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    /// The machine takes work again.
    Recovered,
    /// Another probe is due later.
    Continue,
}

impl Health {
    /// Takes in one outcome.
    pub(crate) fn record(&mut self, failed: bool) {
        self.failures = ((self.failures << 1) | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
    }

    /// Takes back one failure that was the task's own fault.
    pub(crate) fn retract_failure(&mut self) {
        if self.failures != 0 {
            self.failures &= self.failures - 1;
        }
    }

    /// Whether the machine fails far more than the cell does.
    pub(crate) fn is_unhealthy(&self, cell: &CellHealth) -> bool {
        if self.count < MIN_OUTCOMES {
            return false;
        }
        let part = f64::from(self.failures.count_ones()) / f64::from(self.count);
        let midway = (1.0 + cell.failure_rate) / 2.0;
        cell.failure_rate < MAX_CELL_FAILURE_RATE && part >= MIN_FAILURE_RATE.max(midway)
    }

    /// Begins a quarantine.
    pub(crate) fn quarantine(&mut self, now: Time) {
        self.passed_probes = 0;
        self.next_probe = now + self.probe_wait;
    }

    /// Takes in the outcome of a probe.
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

/// The failure failure_rate of the whole cell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CellHealth {
    failure_rate: f64,
}

impl CellHealth {
    /// Takes in one outcome on a machine that is not in quarantine.
    pub(crate) fn record(&mut self, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failure_rate += CELL_RATE_WEIGHT * (seen - self.failure_rate);
    }
}
