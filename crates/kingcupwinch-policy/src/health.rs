//! Worker health: outcomes of recent runs, quarantine and probes.

use kingcupwinch_time::{Span, Time};

/// The number of recent outcomes kept.
const WINDOW: u32 = 16;
/// The fewest outcomes that allow a verdict.
const MIN_OUTCOMES: u32 = 6;
/// The part of recent runs that must have failed for a quarantine.
const FAIL_PART: f64 = 0.7;
/// The cell's own failure rate at which no machine is blamed.
const MAX_CELL_RATE: f64 = 0.6;
/// Successful probes in a row that end a quarantine.
const PROBES: u32 = 3;
/// The wait before the first probe.
const FIRST_WAIT: Span = Span::from_secs(10);
/// The longest wait between probes.
const MAX_WAIT: Span = Span::from_secs(600);
/// The weight of a new outcome in the cell's failure rate.
const CELL_WEIGHT: f64 = 0.002;

/// The recent outcomes of one machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    bits: u32,
    count: u32,
    good_probes: u32,
    wait: Span,
    /// When the next probe may start.
    pub(crate) probe: Time,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            bits: 0,
            count: 0,
            good_probes: 0,
            wait: FIRST_WAIT,
            probe: Time::ZERO,
        }
    }
}

/// What an outcome of a probe means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The machine takes work again.
    Healed,
    /// Another probe is due later.
    Again,
}

impl Health {
    /// Takes in one outcome.
    pub(crate) fn note(&mut self, failed: bool) {
        self.bits = ((self.bits << 1) | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
    }

    /// Takes back one failure that was the task's own fault.
    pub(crate) fn forgive(&mut self) {
        if self.bits != 0 {
            self.bits &= self.bits - 1;
        }
    }

    /// Whether the machine fails far more than the cell does.
    pub(crate) fn is_bad(&self, cell: &CellHealth) -> bool {
        if self.count < MIN_OUTCOMES {
            return false;
        }
        let part = f64::from(self.bits.count_ones()) / f64::from(self.count);
        let midway = (1.0 + cell.rate) / 2.0;
        cell.rate < MAX_CELL_RATE && part >= FAIL_PART.max(midway)
    }

    /// Begins a quarantine.
    pub(crate) fn confine(&mut self, now: Time) {
        self.good_probes = 0;
        self.probe = now + self.wait;
    }

    /// Takes in the outcome of a probe.
    pub(crate) fn note_probe(&mut self, failed: bool, now: Time) -> Probe {
        if failed {
            self.good_probes = 0;
            self.wait = self.wait.times(2).min(MAX_WAIT);
            self.probe = now + self.wait;
            return Probe::Again;
        }
        self.good_probes += 1;
        if self.good_probes < PROBES {
            self.probe = now;
            return Probe::Again;
        }
        *self = Health::default();
        Probe::Healed
    }
}

/// The failure rate of the whole cell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CellHealth {
    rate: f64,
}

impl CellHealth {
    /// Takes in one outcome on a machine that is not in quarantine.
    pub(crate) fn note(&mut self, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.rate += CELL_WEIGHT * (seen - self.rate);
    }
}
