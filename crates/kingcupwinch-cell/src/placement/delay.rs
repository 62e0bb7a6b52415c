//! Delay scheduling: whether a task starts in the place that is free now or waits for a better one.
//!
//! A task that waits for `w` on average in order to run `gain` faster ends sooner on average if `w` is
//! below `gain`. As long as the rate at which places become free holds, this is as true after some waiting
//! as before, and if it does not hold, the deadline bounds the loss. Tasks behind it in line wait too,
//! so the wait has to be shorter than a part of the gain.

use kingcupwinch_time::{Span, Time};

/// A wait may take one in this many parts of the gain. With 1, tasks were up to 27 % slower under full load
/// than without waiting, with 2 up to 9 %, and with 4 up to 3 % (docs/design/delay-scheduling.md).
const GAIN_DIVISOR: u64 = 4;

/// A place that is free now and a better one that is not.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlaceChoice {
    /// The expected time from a start in the free place to the end of the job.
    pub(super) here: Span,
    /// The same for the better place.
    pub(super) better: Span,
    /// How long it takes on average until a better place is free for the task. `None` if the rate is
    /// unknown.
    pub(super) expected_wait: Option<Span>,
    /// When the job should have ended, and when its end is no longer worth anything.
    pub(super) objective: Time,
    pub(super) late_limit: Time,
    /// The deadline of the wait, if the task waits already.
    pub(super) until: Option<Time>,
    /// When the task may no longer start in the better place, if that is limited by a ticket.
    pub(super) usable_until: Option<Time>,
}

/// Why a task starts in the place that is free now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartCause {
    /// The other place is no better.
    NoGain,
    /// The rate at which better places become free is unknown.
    UnknownRate,
    /// A better place is expected to become free too late.
    LongWait,
    /// The objective leaves no time to wait.
    NoSlack,
    /// The job is late wherever the task runs.
    Late,
    /// The deadline of the wait has passed.
    Expired,
}

impl StartCause {
    /// Returns the label for log events and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            StartCause::NoGain => "no gain",
            StartCause::UnknownRate => "unknown rate",
            StartCause::LongWait => "long wait",
            StartCause::NoSlack => "no slack",
            StartCause::Late => "late",
            StartCause::Expired => "expired",
        }
    }
}

/// The outcome of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DelayDecision {
    /// The task starts in the free place.
    Start(StartCause),
    /// The task waits for the better place, until a deadline at most.
    Wait(Time),
}

impl PlaceChoice {
    /// Decides whether to start or to wait.
    pub(super) fn decide(&self, now: Time) -> DelayDecision {
        use DelayDecision::{Start, Wait};
        if self.until.is_some_and(|until| until <= now) {
            return Start(StartCause::Expired);
        }
        if self.here <= self.better {
            return Start(StartCause::NoGain);
        }
        let Some(expected_wait) = self.expected_wait else {
            return Start(StartCause::UnknownRate);
        };
        let (ends_here, ends_better) = (now + self.here, now + self.better);
        let (latest, is_worth) = if ends_here <= self.objective {
            // The free place meets the objective, and has to meet it after the wait.
            let longest = (self.here - self.better).divided_by(GAIN_DIVISOR);
            let latest = (self.objective - self.here).min(now + longest);
            (latest, expected_wait < longest)
        } else if ends_better <= self.objective {
            // Only the better place does. After the wait, the free place still has to be worth something.
            let latest = self.objective - self.better;
            let is_worth_here = ends_here <= self.late_limit;
            let latest = if is_worth_here {
                latest.min(self.late_limit - self.here)
            } else {
                latest
            };
            (latest, self.is_likely(expected_wait, latest, now))
        } else if ends_here <= self.late_limit || ends_better > self.late_limit {
            return Start(StartCause::Late);
        } else {
            let latest = self.late_limit - self.better;
            (latest, self.is_likely(expected_wait, latest, now))
        };
        let latest = latest.min(self.usable_until.unwrap_or(latest));
        let latest = latest.min(self.until.unwrap_or(latest));
        if latest <= now {
            Start(StartCause::NoSlack)
        } else if !is_worth {
            Start(StartCause::LongWait)
        } else {
            Wait(latest)
        }
    }

    /// Returns whether a better place is likely to become free in time, with a chance of 1 - 1/e or
    /// more. A task that waits already goes on, since it is late anyway if it starts in the free place.
    fn is_likely(&self, expected_wait: Span, latest: Time, now: Time) -> bool {
        self.until.is_some() || expected_wait <= latest - now
    }
}

#[cfg(test)]
mod tests;
