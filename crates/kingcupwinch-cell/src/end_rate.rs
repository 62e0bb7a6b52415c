//! The rate at which ended runs free the CPU of workers, and when more is expected to become free.

use kingcupwinch_time::{Span, Time};

/// The time in which an observed end loses all but 1/e of its weight: a few run times of a short task, so
/// that the rate follows a change of load within seconds.
const MEMORY: Span = Span::from_secs(5);
/// The weight of ends below which a rate is unknown: after a takeover, on an idle service, or if ends
/// are no longer observed.
const MIN_ENDS: f64 = 3.0;
/// The width of a slice of the expected ends, and the number of slices. Ends beyond them are covered by
/// the observed rate.
const SLICE: Span = Span::from_millis(125);
const SLICES: usize = 32;

/// The ends of runs on one worker, as sums that decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndRate {
    ends: f64,
    /// The CPU that these ends freed, in thousandths of a core.
    cpu: f64,
    observed_at: Time,
}

impl EndRate {
    /// Counts the end of a run that occupied some CPU.
    pub(crate) fn observe(&mut self, cpu: u64, now: Time) {
        *self = self.decayed(now);
        self.ends += 1.0;
        self.cpu += cpu as f64;
        self.observed_at = now;
    }

    fn decayed(self, now: Time) -> Self {
        let age = now.since(self.observed_at).as_secs_f64();
        let rest = (-age / MEMORY.as_secs_f64()).exp();
        EndRate {
            ends: self.ends * rest,
            cpu: self.cpu * rest,
            ..self
        }
    }
}

/// The observed and the expected ends of runs on several workers.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndForecast {
    ends: f64,
    cpu: f64,
    observed_at: Time,
    /// The CPU that runs are expected to free in each slice of time from now on.
    expected: [u64; SLICES],
}

impl EndForecast {
    /// Adds the observed ends of a worker.
    pub(crate) fn add_worker(&mut self, rate: &EndRate, now: Time) {
        let rate = rate.decayed(now);
        self.ends += rate.ends;
        self.cpu += rate.cpu;
        self.observed_at = self.observed_at.max(rate.observed_at);
    }

    /// Adds a run by its expected end. An overdue run shows nothing about when it ends.
    pub(crate) fn add_run(&mut self, cpu: u64, end: Time, now: Time) {
        if end <= now {
            return;
        }
        let slice = end.since(now).as_micros() / SLICE.as_micros();
        let slice = usize::try_from(slice).unwrap_or(usize::MAX);
        if let Some(expected) = self.expected.get_mut(slice) {
            *expected = expected.saturating_add(cpu);
        }
    }

    /// Returns how long it is expected to take until `cpu` thousandths of a core have become free, or
    /// `None` if too few ends were observed of late.
    pub(crate) fn wait(&self, cpu: f64) -> Option<Span> {
        if self.ends < MIN_ENDS || self.cpu <= 0.0 {
            return None;
        }
        let mut freed = 0.0;
        for (passed, expected) in (1_u64..).zip(&self.expected) {
            freed += *expected as f64;
            if freed >= cpu {
                return Some(SLICE.times(passed));
            }
        }
        let seconds = cpu * MEMORY.as_secs_f64() / self.cpu;
        Some(Span::from_micros((seconds * 1_000_000.0) as u64))
    }

    /// Returns the time since the last observed end.
    pub(crate) fn age(&self, now: Time) -> Span {
        now.since(self.observed_at)
    }
}

#[cfg(test)]
mod tests;
