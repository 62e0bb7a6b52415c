use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use super::EventId;

/// The least time between two records of an event that could flood.
const FLOOD_GAP: Span = Span::from_secs(1);

/// Holds events that could flood to one record a second.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    events: FxHashMap<EventId, Gate>,
}

#[derive(Debug, Default)]
struct Gate {
    opens: Time,
    dropped: u64,
}

impl Limiter {
    /// Returns how many were dropped since the last one admitted, or `None` to drop this one.
    pub(super) fn admit(&mut self, id: EventId, now: Time) -> Option<u64> {
        if !id.floods() {
            return Some(0);
        }
        let gate = self.events.entry(id).or_default();
        if now < gate.opens {
            gate.dropped += 1;
            return None;
        }
        gate.opens = now + FLOOD_GAP;
        Some(std::mem::take(&mut gate.dropped))
    }
}
