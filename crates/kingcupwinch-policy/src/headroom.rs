//! The capacity kept free for urgent work.
//!
//! Arrivals less ends of urgent work are counted in windows as long as it takes until other work
//! gives capacity back. Mean and variance of the windows are smoothed, and the headroom is the mean
//! growth plus a number of deviations.

use kingcupwinch_time::{Span, Time};

use crate::size::Size;

/// The length of one window.
const WINDOW: Span = Span::from_millis(200);
/// The weight of a new window.
const WEIGHT: f64 = 0.05;
/// Deviations over the mean when packing is all that counts.
const MIN_DEVIATIONS: f64 = 1.0;
/// Further deviations when waiting is all that counts.
const MORE_DEVIATIONS: f64 = 4.0;
/// Windows skipped at most after a silence.
const MAX_SILENCE: u64 = 200;

/// The forecast of how much one urgent class grows within a window.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Forecast {
    mean: f64,
    variance: f64,
    current: f64,
    window: u64,
}

impl Forecast {
    /// Takes in one arrival.
    pub(crate) fn note_arrival(&mut self, now: Time) {
        self.advance(now);
        self.current += 1.0;
    }

    /// Takes in one end.
    pub(crate) fn note_end(&mut self, now: Time) {
        self.advance(now);
        self.current -= 1.0;
    }

    /// Closes the windows that have passed.
    pub(crate) fn advance(&mut self, now: Time) {
        let window = now.as_micros() / WINDOW.as_micros();
        let passed = window.saturating_sub(self.window).min(MAX_SILENCE);
        for _ in 0..passed {
            let off = self.current - self.mean;
            self.mean += WEIGHT * off;
            self.variance = (1.0 - WEIGHT) * (self.variance + WEIGHT * off * off);
            self.current = 0.0;
        }
        self.window = window;
    }

    /// Returns the growth to be ready for, in tasks.
    pub(crate) fn expected(&self, urgency: f64) -> f64 {
        let deviations = MIN_DEVIATIONS + MORE_DEVIATIONS * urgency;
        self.mean.max(0.0) + deviations * self.variance.sqrt()
    }
}

/// Returns the capacity that this many typical tasks need.
pub(crate) fn room_for(typical: &Size, expected: f64) -> Size {
    typical.times(expected.ceil() as u64)
}
