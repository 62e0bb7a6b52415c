//! Liveness of siblings: the last contact with each, and how fresh its view of the log is.

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use crate::id::Incarnation;

/// Times of last contact and view times of siblings.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    last_contact: FxHashMap<Incarnation, Time>,
    view_times: FxHashMap<Incarnation, Time>,
}

impl Peers {
    /// Records that a sibling was in contact at `now`.
    pub(crate) fn record_contact(&mut self, peer: Incarnation, now: Time) {
        self.last_contact.insert(peer, now);
    }

    /// Records the age of a sibling's view as reported by it, `None` if the view was never fresh.
    pub(crate) fn record_view_age(&mut self, peer: Incarnation, age: Option<Span>, now: Time) {
        let at = age.map_or(Time::ZERO, |age| now - age);
        self.view_times.insert(peer, at);
    }

    /// Starts the silence time-out of a sibling without any contact so far.
    pub(crate) fn start_timeout(&mut self, peer: Incarnation, now: Time) {
        self.last_contact.entry(peer).or_insert(now);
    }

    /// Restarts all silence time-outs, because this instance received nothing while it was paused.
    pub(crate) fn restart_timeouts(&mut self, now: Time) {
        for contact in self.last_contact.values_mut() {
            *contact = now;
        }
    }

    /// Returns the time of the last contact with a sibling, from which its silence is measured.
    pub(crate) fn silent_since(&self, peer: Incarnation) -> Option<Time> {
        self.last_contact.get(&peer).copied()
    }

    /// Returns the time as of which a sibling's view was fresh according to its last report, or
    /// `None` without a report.
    pub(crate) fn view_time(&self, peer: Incarnation) -> Option<Time> {
        self.view_times.get(&peer).copied()
    }

    pub(crate) fn forget(&mut self, peer: Incarnation) {
        self.last_contact.remove(&peer);
        self.view_times.remove(&peer);
    }
}
