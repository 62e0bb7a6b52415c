//! Appends whose records have not been read back yet.
//!
//! An append of unknown outcome is sent again with the same id until its record is read or can no
//! longer be valid.

use kingcupwinch_time::{Span, Time};
use twox_hash::XxHash64;
use uuid::Uuid;

use crate::id::{Incarnation, RecordId, ShardId, Term};
use crate::record::{Members, OwnerRecord, Stamped};

use super::event::Action;
use super::ledger::Ledger;

/// Longest pause between two tries, as a multiple of the first one.
const MOST_PAUSES: u64 = 8;
/// How long an acknowledged record may take to be read back, in pauses.
const ACKED_PAUSES: u64 = 4;

#[derive(Debug, Clone)]
struct Pending {
    record: Stamped<OwnerRecord>,
    retry: Time,
    pause: Span,
}

/// Appends in flight.
#[derive(Debug, Clone)]
pub(crate) struct Outbox {
    pending: Vec<Pending>,
    first_pause: Span,
    seed: u64,
    made: u64,
}

impl Outbox {
    pub(crate) fn new(seed: u64, first_pause: Span) -> Self {
        Outbox {
            pending: Vec::new(),
            first_pause,
            seed,
            made: 0,
        }
    }

    /// Appends a record under a fresh id.
    pub(crate) fn append(&mut self, body: OwnerRecord, now: Time, out: &mut Vec<Action>) {
        let record = Stamped {
            id: self.fresh_id(),
            body,
        };
        out.push(Action::Append(record.clone()));
        self.pending.push(Pending {
            record,
            retry: now + self.first_pause.times(ACKED_PAUSES),
            pause: self.first_pause,
        });
    }

    /// An append was acknowledged: its record is about to be read.
    pub(crate) fn acked(&mut self, id: RecordId, now: Time) {
        let wait = self.first_pause.times(ACKED_PAUSES);
        if let Some(pending) = self.find(id) {
            pending.retry = now + wait;
        }
    }

    /// An append failed, and may have taken effect.
    pub(crate) fn failed(&mut self, id: RecordId, now: Time) {
        let longest = self.first_pause.times(MOST_PAUSES);
        if let Some(pending) = self.find(id) {
            pending.retry = now + pending.pause;
            pending.pause = pending.pause.times(2).min(longest);
        }
    }

    /// A record was read.
    pub(crate) fn read(&mut self, id: RecordId) {
        self.pending.retain(|pending| pending.record.id != id);
    }

    /// Drops records that can no longer be valid, and sends again those that are due.
    pub(crate) fn step(&mut self, ledger: &Ledger, now: Time, out: &mut Vec<Action>) {
        self.pending
            .retain(|pending| may_be_valid(&pending.record.body, ledger));
        let wait = self.first_pause.times(ACKED_PAUSES);
        for pending in &mut self.pending {
            if pending.retry <= now {
                pending.retry = now + wait;
                out.push(Action::Append(pending.record.clone()));
            }
        }
    }

    /// Returns whether a record about a shard is in flight.
    pub(crate) fn holds(&self, shard: ShardId) -> bool {
        self.pending
            .iter()
            .any(|pending| term_of(&pending.record.body, shard).is_some())
    }

    /// Returns whether a record that `is_such` accepts is in flight.
    pub(crate) fn any(&self, is_such: impl Fn(&OwnerRecord) -> bool) -> bool {
        self.pending
            .iter()
            .any(|pending| is_such(&pending.record.body))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the voters of a claim by `me` that may have taken effect unread.
    pub(crate) fn claimed_voters(&self, shard: ShardId, newest: Term) -> Option<&Members> {
        self.pending.iter().find_map(|pending| {
            let OwnerRecord::Claim(claim) = &pending.record.body else {
                return None;
            };
            let term = term_of(&pending.record.body, shard)?;
            (term > newest).then_some(&claim.voters)
        })
    }

    fn find(&mut self, id: RecordId) -> Option<&mut Pending> {
        self.pending
            .iter_mut()
            .find(|pending| pending.record.id == id)
    }

    fn fresh_id(&mut self) -> RecordId {
        self.made += 1;
        let high = XxHash64::oneshot(self.seed, &self.made.to_le_bytes());
        let low = XxHash64::oneshot(high, &self.seed.to_le_bytes());
        RecordId(Uuid::from_u64_pair(high, low))
    }
}

/// Returns the term that a record names for a shard; its shards are in ascending order.
fn term_of(record: &OwnerRecord, shard: ShardId) -> Option<Term> {
    let shards = match record {
        OwnerRecord::Claim(claim) => &claim.shards,
        OwnerRecord::HandOver(plan) => &plan.shards,
        OwnerRecord::Release { shards, .. } => shards,
        _ => return None,
    };
    let index = shards.binary_search_by_key(&shard, |(shard, _)| *shard);
    index.ok().map(|index| shards[index].1)
}

fn may_be_valid(record: &OwnerRecord, ledger: &Ledger) -> bool {
    match record {
        OwnerRecord::Join(member) => !ledger.group().contains(member.incarnation),
        OwnerRecord::Leave(member) | OwnerRecord::Retire(member) => {
            ledger.group().contains(*member)
        }
        OwnerRecord::Claim(claim) => any_next_term(&claim.shards, ledger),
        OwnerRecord::HandOver(plan) => any_next_term(&plan.shards, ledger),
        OwnerRecord::Release { owner, shards } => any_owned(*owner, shards, ledger),
        OwnerRecord::Snapshot(_) => true,
    }
}

fn any_next_term(shards: &[(ShardId, Term)], ledger: &Ledger) -> bool {
    shards.iter().any(|(shard, term)| {
        ledger
            .shard(*shard)
            .is_some_and(|ownership| ownership.term < *term)
    })
}

fn any_owned(owner: Incarnation, shards: &[(ShardId, Term)], ledger: &Ledger) -> bool {
    shards.iter().any(|(shard, term)| {
        ledger
            .shard(*shard)
            .is_some_and(|ownership| ownership.term == *term && ownership.owner == Some(owner))
    })
}
