use std::fmt;
use std::ops::{Add, AddAssign, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const PPM_SCALE: u64 = 1_000_000;

/// A point in time on one process's monotonic clock, in microseconds since its origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);
    /// The latest representable time.
    pub const MAX: Time = Time(u64::MAX);

    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Creates a time from milliseconds since the origin, saturating at the maximum.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span between two times, whichever is the earlier.
    pub fn distance(self, other: Time) -> Span {
        self.since(other).max(other.since(self))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;

    fn sub(self, earlier: Time) -> Span {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:06}s",
            self.0 / MICROS_PER_SECOND,
            self.0 % MICROS_PER_SECOND
        )
    }
}

/// A length of time in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// Creates a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// Creates a span from milliseconds, saturating at the maximum.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a span from seconds, saturating at the maximum.
    pub const fn from_secs(secs: u64) -> Self {
        Span(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the span multiplied by `n`, saturating at the maximum.
    pub const fn times(self, n: u64) -> Self {
        Span(self.0.saturating_mul(n))
    }

    /// Returns the span divided by `n`.
    ///
    /// # Panics
    ///
    /// Panics if `n` is zero.
    pub const fn divided_by(self, n: u64) -> Self {
        Span(self.0 / n)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        std::time::Duration::from_micros(span.0)
    }
}

impl From<std::time::Duration> for Span {
    fn from(duration: std::time::Duration) -> Self {
        Span(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

/// A bound on the difference between the rates of two clocks, in parts per million.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drift(u32);

impl Drift {
    /// Creates a bound from parts per million.
    pub const fn from_ppm(ppm: u32) -> Self {
        Drift(ppm)
    }

    /// Returns the span shortened by the bound, for the side that must stop in time.
    pub fn shorten(self, span: Span) -> Span {
        let scaled =
            u128::from(span.0) * u128::from(PPM_SCALE) / u128::from(PPM_SCALE + u64::from(self.0));
        Span(u64::try_from(scaled).unwrap_or(u64::MAX))
    }

    /// Returns the span lengthened by the bound and rounded up, for the side that must wait long
    /// enough.
    pub fn lengthen(self, span: Span) -> Span {
        let scaled = u128::from(span.0) * u128::from(PPM_SCALE + u64::from(self.0));
        let rounded = scaled.div_ceil(u128::from(PPM_SCALE));
        Span(u64::try_from(rounded).unwrap_or(u64::MAX))
    }
}

/// A point in wall-clock time, in milliseconds since the Unix epoch.
///
/// Wall times order idempotency keys and mark records for display. No safety rule compares the wall
/// times of two machines without the configured clock bound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        WallTime(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: WallTime) -> Span {
        Span::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for WallTime {
    type Output = WallTime;

    fn add(self, span: Span) -> WallTime {
        WallTime(self.0.saturating_add(span.as_millis()))
    }
}
