//! Pairs of windows of the burn-rate alerts.

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Budget period of an objective, 30 days in milliseconds.
pub(crate) const BUDGET_MS: u64 = 30 * DAY_MS;

/// A long and a short window, and the burn rate that raises an alert when both reach it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WindowPair {
    /// Name of the alert.
    pub(crate) name: &'static str,
    /// Length of the long window in milliseconds; it shows that a relevant part of the budget is
    /// spent.
    pub(crate) long_ms: u64,
    /// Length of the short window in milliseconds; it shows that the problem persists.
    pub(crate) short_ms: u64,
    /// Minimum burn rate of the alert.
    pub(crate) threshold: f64,
}

/// Pairs of windows, fastest first; the alerts correspond to 2 % of the budget spent in an hour,
/// 5 % in six hours and 10 % in three days.
pub(crate) const WINDOW_PAIRS: [WindowPair; 3] = [
    WindowPair {
        name: "fast",
        long_ms: HOUR_MS,
        short_ms: 5 * MINUTE_MS,
        threshold: 14.4,
    },
    WindowPair {
        name: "medium",
        long_ms: 6 * HOUR_MS,
        short_ms: 30 * MINUTE_MS,
        threshold: 6.0,
    },
    WindowPair {
        name: "slow",
        long_ms: 3 * DAY_MS,
        short_ms: 6 * HOUR_MS,
        threshold: 1.0,
    },
];

impl WindowPair {
    /// Returns the pair with both windows multiplied by `scale`, at least 1 ms each.
    pub(crate) fn with_scale(self, scale: f64) -> Self {
        WindowPair {
            long_ms: scale_ms(self.long_ms, scale),
            short_ms: scale_ms(self.short_ms, scale),
            ..self
        }
    }
}

/// Multiplies a duration in milliseconds by `scale`, with a minimum of 1 ms.
pub(crate) fn scale_ms(length_ms: u64, scale: f64) -> u64 {
    ((length_ms as f64 * scale) as u64).max(1)
}
