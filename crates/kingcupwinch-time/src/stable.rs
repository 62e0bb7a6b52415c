use crate::{Span, Time, WallTime};

/// Maximum change of the wall clock, in milliseconds, that counts as a correction and is followed
/// at once.
const MAX_CORRECTION_MS: u64 = 200;
/// Time for which a larger change must persist before it is followed.
const JUMP_CONFIRMATION: Span = Span::from_secs(30);

/// Wall-clock time that is derived from a monotonic clock.
///
/// Small corrections of the wall clock are followed at once. A jump is followed only after it has
/// persisted for 30 seconds, so a clock that jumps and soon jumps back has no effect.
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
    /// Difference between wall-clock and monotonic time, in milliseconds.
    offset: Option<i64>,
    /// A different offset after a jump, and the time since which the wall clock has shown it.
    candidate: Option<(i64, Time)>,
}

impl StableWallClock {
    /// Records the time shown by the wall clock, and returns the stable wall-clock time.
    pub fn observe(&mut self, now: Time, wall: WallTime) -> WallTime {
        let monotonic = signed(now.as_micros() / 1_000);
        let observed = signed(wall.as_millis()) - monotonic;
        let offset = self.update_offset(observed, now);
        let millis = u64::try_from(monotonic + offset).unwrap_or(0);
        WallTime::from_millis(millis)
    }

    /// Updates the offset after `observed` was measured, and returns the offset in use.
    fn update_offset(&mut self, observed: i64, now: Time) -> i64 {
        let offset = *self.offset.get_or_insert(observed);
        if is_close(observed, offset) {
            self.candidate = None;
            self.offset = Some(observed);
            return observed;
        }
        match self.candidate {
            Some((other, since)) if is_close(observed, other) => {
                self.candidate = Some((observed, since));
                if now.since(since) >= JUMP_CONFIRMATION {
                    self.candidate = None;
                    self.offset = Some(observed);
                    return observed;
                }
            }
            _ => self.candidate = Some((observed, now)),
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
