//! The pairs of windows that an alert looks at.

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// The period that an objective's budget is for, 30 days.
pub(crate) const BUDGET_MS: u64 = 30 * DAY_MS;

/// A long and a short window with the burn rate that raises the alert in both.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WindowPair {
    /// The alert's name.
    pub(crate) name: &'static str,
    /// The long window: enough of the budget is gone to matter.
    pub(crate) long_ms: u64,
    /// The short window: it is still going on.
    pub(crate) short_ms: u64,
    /// The burn rate from which the alert is raised.
    pub(crate) threshold: f64,
}

/// The pairs, fastest first: 2 % of the budget in an hour, 5 % in six hours, 10 % in three days.
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

/// Multiplies a length of time, at least 1 ms.
pub(crate) fn scale_ms(length_ms: u64, scale: f64) -> u64 {
    ((length_ms as f64 * scale) as u64).max(1)
}
