use crate::{Span, Time, WallTime};

/// A change of the civil clock up to this is a correction, and is followed at once.
const MAX_CORRECTION_MS: u64 = 200;
/// A larger change is a jump; it is followed once it has lasted for so long.
const JUMP_CONFIRMATION: Span = Span::from_secs(30);

/// The time of day by a monotonic clock, so that a civil clock that jumps and soon jumps back
/// changes nothing.
///
/// ```
/// use kingcupwinch_time::{StableWallClock, Time, WallTime};
///
/// let mut clock = StableWallClock::default();
/// clock.observe(Time::from_millis(0), WallTime::from_millis(10_000));
/// let jumped = clock.observe(Time::from_millis(50), WallTime::from_millis(13_050));
/// assert_eq!(jumped, WallTime::from_millis(10_050));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StableWallClock {
    /// Civil over monotonic time, in milliseconds.
    offset: Option<i64>,
    /// Another offset, and since when the civil clock has shown it.
    candidate: Option<(i64, Time)>,
}

impl StableWallClock {
    /// Notes what the civil clock shows, and returns the time of day.
    pub fn observe(&mut self, now: Time, shown: WallTime) -> WallTime {
        let monotonic = signed(now.as_micros() / 1_000);
        let seen = signed(shown.as_millis()) - monotonic;
        let offset = self.update_offset(seen, now);
        let millis = u64::try_from(monotonic + offset).unwrap_or(0);
        WallTime::from_millis(millis)
    }

    /// Returns the offset that holds after another one was seen.
    fn update_offset(&mut self, seen: i64, now: Time) -> i64 {
        let offset = *self.offset.get_or_insert(seen);
        if is_close(seen, offset) {
            self.candidate = None;
            self.offset = Some(seen);
            return seen;
        }
        match self.candidate {
            Some((other, since)) if is_close(seen, other) => {
                self.candidate = Some((seen, since));
                if now.since(since) >= JUMP_CONFIRMATION {
                    self.candidate = None;
                    self.offset = Some(seen);
                    return seen;
                }
            }
            _ => self.candidate = Some((seen, now)),
        }
        offset
    }
}

fn is_close(a: i64, b: i64) -> bool {
    a.abs_diff(b) <= MAX_CORRECTION_MS
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
