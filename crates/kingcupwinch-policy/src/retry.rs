//! Retry budgets and exponential backoff with full jitter.
//!
//! Each success adds a fraction of a retry to the budget, so that retries remain a fixed fraction
//! of the load no matter how much fails (Brooker, "Fixing retries with token buckets and circuit
//! breakers", 2022). The delay is drawn uniformly from zero to an exponentially growing limit
//! (Brooker, "Exponential backoff and jitter", 2015).

use kingcupwinch_time::Span;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::plan::RetryPolicy;

/// Maximum number of retries in the budget.
const MAX_BALANCE: f64 = 10.0;
/// Maximum exponent of the backoff.
const MAX_DOUBLINGS: u32 = 20;

/// Retry budget of a class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    /// Available retries, including a fraction of the next one.
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            balance: MAX_BALANCE,
        }
    }
}

impl Budget {
    /// Adds the retry fraction that one success earns.
    pub(crate) fn earn(&mut self, retry: &RetryPolicy) {
        self.balance = (self.balance + retry.budget_ratio).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub(crate) fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Draws the delay before the next attempt after `attempts` starts.
pub(crate) fn backoff(retry: &RetryPolicy, attempts: u32, rng: &mut ChaCha8Rng) -> Span {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = retry.base_delay.times(1 << doublings).min(retry.max_delay);
    delay_up_to(bound, rng)
}

/// Draws a delay uniformly from zero to `bound`.
pub(crate) fn delay_up_to(bound: Span, rng: &mut ChaCha8Rng) -> Span {
    Span::from_micros(rng.random_range(0..=bound.as_micros()))
}
