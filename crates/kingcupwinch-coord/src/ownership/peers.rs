//! When siblings were last heard, and how fresh they said their views were.

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use crate::id::Incarnation;

/// What is known of siblings by listening.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    last_heard: FxHashMap<Incarnation, Time>,
    view_times: FxHashMap<Incarnation, Time>,
}

impl Peers {
    /// A sibling showed that it is alive.
    pub(crate) fn record_contact(&mut self, peer: Incarnation, now: Time) {
        self.last_heard.insert(peer, now);
    }

    /// A sibling said that its view is `age` old, none if it never was fresh.
    pub(crate) fn record_view_age(&mut self, peer: Incarnation, age: Option<Span>, now: Time) {
        let at = age.map_or(Time::ZERO, |age| now - age);
        self.view_times.insert(peer, at);
    }

    /// Begins to count a sibling's silence, if that has not begun.
    pub(crate) fn start_timeout(&mut self, peer: Incarnation, now: Time) {
        self.last_heard.entry(peer).or_insert(now);
    }

    /// Counts silence from now on: this instance was not listening before.
    pub(crate) fn restart_timeouts(&mut self, now: Time) {
        for heard in self.last_heard.values_mut() {
            *heard = now;
        }
    }

    /// Returns since when a sibling is silent.
    pub(crate) fn silent_since(&self, peer: Incarnation) -> Option<Time> {
        self.last_heard.get(&peer).copied()
    }

    /// Returns as of when a sibling's view was fresh when last told, none if it never told.
    pub(crate) fn view_time(&self, peer: Incarnation) -> Option<Time> {
        self.view_times.get(&peer).copied()
    }

    pub(crate) fn forget(&mut self, peer: Incarnation) {
        self.last_heard.remove(&peer);
        self.view_times.remove(&peer);
    }
}
