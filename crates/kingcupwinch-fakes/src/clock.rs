//! Time since a stand-in's start, on tokio's clock.

use kingcupwinch_time::{Span, Time};
use tokio::time::Instant;

/// Turns tokio's instants into points in time; under a paused runtime it is paused too.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokioClock {
    origin: Instant,
}

impl TokioClock {
    pub(crate) fn new() -> Self {
        TokioClock {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(self) -> Time {
        Time::ZERO + Span::from(self.origin.elapsed())
    }

    pub(crate) fn instant(self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO).into()
    }
}
