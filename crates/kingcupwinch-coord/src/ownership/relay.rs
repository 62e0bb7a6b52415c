//! Records passed between siblings, for those cut off from the log.

use std::collections::VecDeque;

use kingcupwinch_time::Time;

use crate::id::{Incarnation, Offset};
use crate::record::{OwnerRecord, Stamped};

use super::core::{Core, send};
use super::event::Action;
use super::message::{Message, Relay, RelayRequest, StreamRecord};

/// Most records kept for siblings.
const KEPT_RECORDS: usize = 512;
/// Most records in one relay.
const RELAY_RECORDS: usize = 64;

/// The newest records, and the schedule of questions for more.
#[derive(Debug, Clone, Default)]
pub(crate) struct Relays {
    kept: VecDeque<StreamRecord>,
    next: Time,
    turn: usize,
}

impl Relays {
    /// Keeps a record for siblings.
    pub(crate) fn keep(&mut self, offset: Offset, record: Option<Stamped<OwnerRecord>>) {
        let is_next = self
            .kept
            .back()
            .is_none_or(|(last, _)| last.next() == offset);
        if !is_next {
            self.kept.clear();
        }
        self.kept.push_back((offset, record));
        if self.kept.len() > KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    /// Forgets the kept records: the state was replaced.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Asks siblings for records while the view of the log may lapse soon.
    pub(crate) fn step(&mut self, core: &Core, now: Time, out: &mut Vec<Action>) {
        if now < self.next || !core.is_ageing(now) {
            return;
        }
        self.next = now + core.timers.heartbeat;
        let ask = Message::RelayRequest(ask(core, now));
        let freshest = freshest(core);
        let other = self.in_turn(core);
        for sibling in freshest
            .iter()
            .chain(other.iter().filter(|_| freshest != other))
        {
            send(*sibling, ask.clone(), out);
        }
    }

    /// Returns the siblings one after another, so that each is asked in time.
    fn in_turn(&mut self, core: &Core) -> Option<Incarnation> {
        let members = core.ledger.group().members();
        self.turn += 1;
        let others: Vec<Incarnation> = members
            .iter()
            .map(|member| member.incarnation)
            .filter(|member| *member != core.id())
            .collect();
        others.get(self.turn % others.len().max(1)).copied()
    }

    /// Answers a question with records, or with a snapshot where they are no longer kept.
    pub(crate) fn answer(
        &self,
        core: &Core,
        to: Incarnation,
        ask: RelayRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(next) = core.applied() else { return };
        let records = ask.from.and_then(|from| self.records_from(from, next));
        let snapshot = match records {
            Some(_) => None,
            None => Some(core.ledger.snapshot(next)),
        };
        let relay = Relay {
            asked_at: ask.asked_at,
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
        let (start, _) = self.kept.front()?;
        let skipped = usize::try_from(from.0.checked_sub(start.0)?).ok()?;
        let records = self.kept.iter().skip(skipped).take(RELAY_RECORDS);
        Some(records.cloned().collect())
    }
}

/// Makes a question for whatever this instance lacks.
pub(crate) fn ask(core: &Core, now: Time) -> RelayRequest {
    RelayRequest {
        asked_at: now,
        from: core.applied(),
    }
}

/// Returns the sibling whose view was the freshest when last told.
fn freshest(core: &Core) -> Option<Incarnation> {
    core.ledger
        .group()
        .members()
        .iter()
        .map(|member| member.incarnation)
        .filter(|member| *member != core.id())
        .max_by_key(|member| core.peers.view_of(*member))
}
