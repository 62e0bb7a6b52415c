use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use super::EventId;

/// The least time between two records of an event that could flood.
const MIN_INTERVAL: Span = Span::from_secs(1);

/// Holds events that could flood to one record a second.
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
    /// Returns how many were dropped since the last one admitted, or `None` to drop this one.
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
