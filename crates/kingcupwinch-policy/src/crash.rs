//! Crashes of machines under tasks, and which tasks they are attributed to.
//!
//! Every task that runs on a machine when it crashes is a suspect. A suspect is next placed apart
//! from other suspects, so that another crash is clear evidence against it alone.

use std::collections::VecDeque;

use kingcupwinch_time::{Span, Time};

/// Number of crashes with which a task is given up if [`CLEAR_CRASHES`] of them are clear.
const CRASHES: u8 = 3;
/// Minimum number of clear crashes among them.
const CLEAR_CRASHES: u8 = 2;
/// Number of crashes with which a task is given up in any case.
const MAX_CRASHES: u8 = 5;
/// Number of runs of a live task that may end with the loss of their machine.
const MAX_LIVE_LOSSES: u8 = 2;
/// How long a suspect waits for a machine without other suspects.
pub(crate) const SEPARATION_WAIT: Span = Span::from_secs(30);
/// Time within which crashes of several machines count as one event.
const MASS_WINDOW: Span = Span::from_secs(2);
/// Number of machines that may crash at once without a common cause.
const MASS_MACHINES: usize = 2;
/// The same as a divisor of the number of machines.
const MASS_RATIO: usize = 4;

/// The machines that crashed while they ran a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Crashes {
    /// Number of crashes.
    pub total: u8,
    /// Number of crashes for which no other task is suspected.
    pub clear: u8,
}

impl Crashes {
    /// No crash.
    pub const NONE: Crashes = Crashes::new(0, 0);

    /// Creates a count.
    pub const fn new(total: u8, clear: u8) -> Self {
        Crashes { total, clear }
    }

    /// Returns whether the task may be the cause of a crash.
    pub const fn is_suspect(self) -> bool {
        self.total > 0
    }

    /// Returns whether the crashes are attributed to the task, so that it is not started again.
    pub const fn is_conclusive(self) -> bool {
        (self.total >= CRASHES && self.clear >= CLEAR_CRASHES) || self.total >= MAX_CRASHES
    }

    /// Returns the count after a crash that says nothing about a single task.
    #[must_use]
    pub const fn after_weak(self) -> Self {
        Crashes::new(self.total.saturating_add(1), self.clear)
    }

    /// Returns whether a live task has lost as many runs as it may.
    pub(crate) const fn ends_live(self) -> bool {
        self.total >= MAX_LIVE_LOSSES
    }

    /// Returns the count after another crash.
    pub(crate) const fn after(self, evidence: Evidence) -> Self {
        match evidence {
            Evidence::None => self,
            Evidence::Weak => self.after_weak(),
            Evidence::Clear => {
                let after = self.after_weak();
                Crashes::new(after.total, after.clear.saturating_add(1))
            }
        }
    }
}

/// What the crash of a machine says about a task that ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Nothing: the machine was to leave.
    None,
    /// Other tasks or a common cause may explain the crash.
    Weak,
    /// No other task is suspected.
    Clear,
}

/// Recent crashes of machines.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashLog {
    times: VecDeque<Time>,
}

impl CrashLog {
    /// Records a crash and returns whether so many of `machines` have crashed at once that they
    /// have a common cause.
    pub(crate) fn record(&mut self, machines: usize, now: Time) -> bool {
        while self.times.front().is_some_and(|at| *at + MASS_WINDOW < now) {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.times.len() > MASS_MACHINES.max(machines / MASS_RATIO)
    }
}
