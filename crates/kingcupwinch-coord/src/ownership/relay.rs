//! Relay of records between siblings, for instances that can't reach the log.

use std::collections::VecDeque;

use kingcupwinch_time::Time;

use crate::id::{Incarnation, Offset};
use crate::record::{OwnerRecord, Stamped};

use super::core::{Core, send};
use super::event::Action;
use super::message::{Message, Relay, RelayRequest, StreamRecord};

/// Maximum number of records kept for siblings.
const MAX_KEPT_RECORDS: usize = 512;
/// Maximum number of records in one relay.
const MAX_RELAY_RECORDS: usize = 64;

/// Buffer of the latest records, and the schedule of relay requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Relays {
    recent: VecDeque<StreamRecord>,
    next: Time,
    rotation: usize,
}

impl Relays {
    /// Buffers a record for siblings.
    pub(crate) fn keep(&mut self, offset: Offset, record: Option<Stamped<OwnerRecord>>) {
        let is_next = self
            .recent
            .back()
            .is_none_or(|(last, _)| last.next() == offset);
        if !is_next {
            self.recent.clear();
        }
        self.recent.push_back((offset, record));
        if self.recent.len() > MAX_KEPT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Clears the buffer after the state was replaced.
    pub(crate) fn clear(&mut self) {
        self.recent.clear();
    }

    /// Requests records from siblings while the lease on the view of the log is near its expiry.
    pub(crate) fn step(&mut self, core: &Core, now: Time, out: &mut Vec<Action>) {
        if now < self.next || !core.is_near_expiry(now) {
            return;
        }
        self.next = now + core.timers.heartbeat;
        let request = Message::RelayRequest(request(core, now));
        let freshest = freshest(core);
        let other = self.next_in_rotation(core);
        for sibling in freshest
            .iter()
            .chain(other.iter().filter(|_| freshest != other))
        {
            send(*sibling, request.clone(), out);
        }
    }

    /// Returns the next sibling in a round-robin order.
    fn next_in_rotation(&mut self, core: &Core) -> Option<Incarnation> {
        let members = core.state.group().members();
        self.rotation += 1;
        let others: Vec<Incarnation> = members
            .iter()
            .map(|member| member.incarnation)
            .filter(|member| *member != core.id())
            .collect();
        others.get(self.rotation % others.len().max(1)).copied()
    }

    /// Answers a relay request with records, or with a snapshot if they are no longer buffered.
    pub(crate) fn answer(
        &self,
        core: &Core,
        to: Incarnation,
        request: RelayRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(next) = core.applied() else { return };
        let records = request.from.and_then(|from| self.records_from(from, next));
        let snapshot = match records {
            Some(_) => None,
            None => Some(core.state.snapshot(next)),
        };
        let relay = Relay {
            asked_at: request.asked_at,
            age: core.age(now),
            next,
            snapshot,
            records: records.unwrap_or_default(),
        };
        send(to, Message::Relay(relay), out);
    }

    fn records_from(&self, from: Offset, next: Offset) -> Option<Vec<StreamRecord>> {
        if from >= next {
            return Some(Vec::new());
        }
        let (start, _) = self.recent.front()?;
        let skipped = usize::try_from(from.0.checked_sub(start.0)?).ok()?;
        let records = self.recent.iter().skip(skipped).take(MAX_RELAY_RECORDS);
        Some(records.cloned().collect())
    }
}

/// Builds a request for the records that this instance lacks.
pub(crate) fn request(core: &Core, now: Time) -> RelayRequest {
    RelayRequest {
        asked_at: now,
        from: core.applied(),
    }
}

/// Returns the sibling with the freshest view according to its last report.
fn freshest(core: &Core) -> Option<Incarnation> {
    core.state
        .group()
        .members()
        .iter()
        .map(|member| member.incarnation)
        .filter(|member| *member != core.id())
        .max_by_key(|member| core.peers.view_time(*member))
}
