//! Heartbeats from an owner to the voters of its terms.

use kingcupwinch_time::Time;

use crate::id::Incarnation;

use super::core::{Core, send};
use super::event::Action;
use super::message::{Heartbeat, Message};

/// Sends this instance's heartbeats at a fixed interval.
#[derive(Debug, Clone, Default)]
pub(crate) struct Heartbeats {
    next: Time,
}

impl Heartbeats {
    pub(crate) fn step(&mut self, core: &Core, now: Time, out: &mut Vec<Action>) {
        if now < self.next || core.heartbeat_targets.is_empty() {
            return;
        }
        let Some(applied) = core.applied() else {
            return;
        };
        self.next = now + core.timers.heartbeat;
        let heartbeat = Heartbeat {
            applied,
            age: core.age(now),
        };
        for voter in &core.heartbeat_targets {
            send(*voter, Message::Heartbeat(heartbeat), out);
        }
    }
}

/// Handles a sibling's heartbeat.
pub(crate) fn handle_heartbeat(
    core: &mut Core,
    from: Incarnation,
    heartbeat: Heartbeat,
    now: Time,
) {
    core.peers.record_view_age(from, heartbeat.age, now);
    if !core.has_stale_view(from, now) {
        core.peers.record_contact(from, now);
    }
}
