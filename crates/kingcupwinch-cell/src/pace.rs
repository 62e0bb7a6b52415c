//! The pace of best-effort tasks beside latency-sensitive ones.
//!
//! A worker's best-effort tasks share one limit. It starts low, grows slowly while the tails of all
//! latency-sensitive tasks there are well below their targets, and falls at once when one isn't.

use kingcupwinch_time::{Span, Time};

/// The full pace, in percent.
pub(crate) const FULL_PACE: u8 = 100;
/// The pace at which tasks begin to share a worker.
const FIRST_PACE: u8 = 10;
/// What a raise adds.
const RAISE: u8 = 5;
/// The time between two changes: a worker reports its tails over the last half second.
const CHANGE_INTERVAL: Span = Span::from_millis(600);
/// The pace may be raised while the worst tail is below this part of its target.
const RAISE_BELOW: f64 = 0.6;
/// The pace is halved from this part on, and quartered once the target is passed.
const LOWER_FROM: f64 = 0.8;
/// How long a tail may be over its target before the tasks that fill beside it are stopped. Those who
/// serve notice after four seconds.
const MAX_OVER: Span = Span::from_millis(1_500);
/// How long no tasks share a worker again after that.
const CLOSED_TIME: Span = Span::from_secs(10);

/// The limit for the best-effort tasks of one worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceControl {
    limit: u8,
    changed_at: Time,
    /// Since when a tail has been over its target.
    over_since: Option<Time>,
    closed_until: Time,
}

/// What becomes of the best-effort tasks of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PaceVerdict {
    /// They go on, at most at the limit.
    GoOn,
    /// They are stopped, since a tail stays over its target whatever their pace.
    Stop,
}

impl Default for PaceControl {
    fn default() -> Self {
        PaceControl {
            limit: FULL_PACE,
            changed_at: Time::ZERO,
            over_since: None,
            closed_until: Time::ZERO,
        }
    }
}

impl PaceControl {
    /// Returns whether tasks may share the worker.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.closed_until <= now && self.over_since.is_none()
    }

    /// Returns the limit, in percent.
    pub(crate) fn limit(&self) -> u8 {
        self.limit
    }

    /// Begins with a low limit.
    pub(crate) fn restart(&mut self, now: Time) {
        self.limit = FIRST_PACE;
        self.changed_at = now;
        self.over_since = None;
    }

    /// Lifts the limit: no latency-sensitive task is left.
    pub(crate) fn lift(&mut self) {
        self.limit = FULL_PACE;
        self.over_since = None;
    }

    /// Updates the limit by the worst tail, as a part of its target. `None` if one is not known, so
    /// that nothing is raised.
    pub(crate) fn update(&mut self, worst: Option<f64>, now: Time) -> PaceVerdict {
        let is_over = worst.is_some_and(|worst| worst >= 1.0);
        self.over_since = is_over.then(|| self.over_since.unwrap_or(now));
        if self
            .over_since
            .is_some_and(|since| now.since(since) >= MAX_OVER)
        {
            self.closed_until = now + CLOSED_TIME;
            // Tasks that have to stay available are not stopped.
            self.limit = 0;
            self.changed_at = now;
            return PaceVerdict::Stop;
        }
        if now.since(self.changed_at) >= CHANGE_INTERVAL
            && let Some(worst) = worst
        {
            let limit = match worst {
                worst if worst >= 1.0 => self.limit / 4,
                worst if worst >= LOWER_FROM => self.limit / 2,
                worst if worst < RAISE_BELOW => (self.limit + RAISE).min(FULL_PACE),
                _ => self.limit,
            };
            if limit != self.limit {
                self.limit = limit;
                self.changed_at = now;
            }
        }
        PaceVerdict::GoOn
    }
}
