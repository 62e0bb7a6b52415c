//! Retry budgets and backoff with full jitter.
//!
//! The budget earns a part of a retry with each success, so that retries stay a fixed part of the
//! load however much fails (Brooker, "Fixing retries with token buckets and circuit breakers",
//! 2022). The delay is drawn evenly from zero to a doubling bound (Brooker, "Exponential backoff
//! and jitter", 2015).

use kingcupwinch_time::Span;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::plan::RetryPolicy;

/// Retries that a class may save up.
const MAX_SAVED: f64 = 10.0;
/// The largest exponent of the backoff.
const MAX_DOUBLINGS: u32 = 20;

/// The retries that a class may still make.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Earns a part of a retry.
    pub(crate) fn earn(&mut self, retry: &RetryPolicy) {
        self.saved = (self.saved + retry.budget_ratio).min(MAX_SAVED);
    }

    /// Spends one retry; whether there was one.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Draws the delay before the attempt after `attempts`.
pub(crate) fn backoff(retry: &RetryPolicy, attempts: u32, rng: &mut ChaCha8Rng) -> Span {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = retry.base_delay.times(1 << doublings).min(retry.max_delay);
    delay_up_to(bound, rng)
}

/// Draws a delay evenly from zero to `bound`.
pub(crate) fn delay_up_to(bound: Span, rng: &mut ChaCha8Rng) -> Span {
    Span::from_micros(rng.random_range(0..=bound.as_micros()))
}
