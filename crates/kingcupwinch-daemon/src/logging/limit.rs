use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use super::EventId;

/// Minimum time between two records of a rate-limited event.
const MIN_INTERVAL: Span = Span::from_secs(1);

/// Limits each rate-limited event to one record per second.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    events: FxHashMap<EventId, EventWindow>,
}

#[derive(Debug, Default)]
struct EventWindow {
    opens_at: Time,
    dropped: u64,
}

impl Limiter {
    /// Returns the number of records dropped since the last admitted one, or `None` to drop this
    /// one.
    pub(super) fn admit(&mut self, id: EventId, now: Time) -> Option<u64> {
        if !id.is_rate_limited() {
            return Some(0);
        }
        let window = self.events.entry(id).or_default();
        if now < window.opens_at {
            window.dropped += 1;
            return None;
        }
        window.opens_at = now + MIN_INTERVAL;
        Some(std::mem::take(&mut window.dropped))
    }
}
