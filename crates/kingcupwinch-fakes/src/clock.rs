//! The time since the start of a stand-in, on tokio's clock.

use kingcupwinch_time::{Span, Time};
use tokio::time::Instant;

/// Converts between tokio's instants and [`Time`]; a paused tokio clock pauses this clock too.
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
