//! When siblings were last heard, and how fresh they said their views were.

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use crate::id::Incarnation;

/// What is known of siblings by listening.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    heard: FxHashMap<Incarnation, Time>,
    views: FxHashMap<Incarnation, Time>,
}

impl Peers {
    /// A sibling showed that it is alive.
    pub(crate) fn heard(&mut self, peer: Incarnation, now: Time) {
        self.heard.insert(peer, now);
    }

    /// A sibling said that its view is `age` old, none if it never was fresh.
    pub(crate) fn told_age(&mut self, peer: Incarnation, age: Option<Span>, now: Time) {
        let at = age.map_or(Time::ZERO, |age| now - age);
        self.views.insert(peer, at);
    }

    /// Begins to count a sibling's silence, if that has not begun.
    pub(crate) fn expect(&mut self, peer: Incarnation, now: Time) {
        self.heard.entry(peer).or_insert(now);
    }

    /// Counts silence from now on: this instance was not listening before.
    pub(crate) fn restart(&mut self, now: Time) {
        for heard in self.heard.values_mut() {
            *heard = now;
        }
    }

    /// Returns since when a sibling is silent.
    pub(crate) fn silent_since(&self, peer: Incarnation) -> Option<Time> {
        self.heard.get(&peer).copied()
    }

    /// Returns as of when a sibling's view was fresh when last told, none if it never told.
    pub(crate) fn view_of(&self, peer: Incarnation) -> Option<Time> {
        self.views.get(&peer).copied()
    }

    pub(crate) fn forget(&mut self, peer: Incarnation) {
        self.heard.remove(&peer);
        self.views.remove(&peer);
    }
}
