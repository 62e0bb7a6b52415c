use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::{Span, Time, WallTime};

const NANOS_PER_MICRO: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A source of monotonic time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// The machine's monotonic clock `CLOCK_BOOTTIME`, which includes the time while it is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoottimeClock;

impl Clock for BoottimeClock {
    fn now(&self) -> Time {
        let spec = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(spec.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
        Time::from_micros(secs * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
    }
}

/// A clock that moves only by [`advance`](ManualClock::advance). Clones share the same time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock that shows `start`.
    pub fn new(start: Time) -> Self {
        ManualClock {
            micros: Arc::new(AtomicU64::new(start.as_micros())),
        }
    }

    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Span) {
        self.micros.fetch_add(span.as_micros(), Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time::from_micros(self.micros.load(Ordering::SeqCst))
    }
}

/// The machine's wall clock, which may be adjusted and may jump.
#[derive(Debug, Clone, Copy, Default)]
pub struct WallClock;

impl WallClock {
    /// Returns the current wall-clock time.
    pub fn now(self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
