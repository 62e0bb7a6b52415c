//! Appended records that have not been read back yet.
//!
//! An append with an unknown result is retried under the same record id until the record is read
//! back or can no longer be valid.

use kingcupwinch_time::{Span, Time};
use twox_hash::XxHash64;
use uuid::Uuid;

use crate::id::{Incarnation, RecordId, ShardId, Term};
use crate::record::{Members, OwnerRecord, Stamped};

use super::event::Action;
use super::state::OwnershipState;

/// Maximum back-off between two attempts, as a multiple of the initial back-off.
const MAX_BACKOFF_FACTOR: u64 = 8;
/// Time within which a record is expected to be read back, as a multiple of the initial back-off.
const READ_BACK_FACTOR: u64 = 4;

#[derive(Debug, Clone)]
struct Pending {
    record: Stamped<OwnerRecord>,
    retry: Time,
    backoff: Span,
}

/// Pending appends of this instance.
#[derive(Debug, Clone)]
pub(crate) struct Outbox {
    pending: Vec<Pending>,
    initial_backoff: Span,
    seed: u64,
    issued: u64,
}

impl Outbox {
    pub(crate) fn new(seed: u64, initial_backoff: Span) -> Self {
        Outbox {
            pending: Vec::new(),
            initial_backoff,
            seed,
            issued: 0,
        }
    }

    /// Appends a record under a new id.
    pub(crate) fn append(&mut self, body: OwnerRecord, now: Time, out: &mut Vec<Action>) {
        let record = Stamped {
            id: self.fresh_id(),
            body,
        };
        out.push(Action::Append(record.clone()));
        self.pending.push(Pending {
            record,
            retry: now + self.initial_backoff.times(READ_BACK_FACTOR),
            backoff: self.initial_backoff,
        });
    }

    /// Handles an acknowledged append, whose record is expected to be read back soon.
    pub(crate) fn acked(&mut self, id: RecordId, now: Time) {
        let wait = self.initial_backoff.times(READ_BACK_FACTOR);
        if let Some(pending) = self.find(id) {
            pending.retry = now + wait;
        }
    }

    /// Handles a failed append, which may nevertheless have taken effect.
    pub(crate) fn failed(&mut self, id: RecordId, now: Time) {
        let max_backoff = self.initial_backoff.times(MAX_BACKOFF_FACTOR);
        if let Some(pending) = self.find(id) {
            pending.retry = now + pending.backoff;
            pending.backoff = pending.backoff.times(2).min(max_backoff);
        }
    }

    /// Removes a record that was read back.
    pub(crate) fn read_back(&mut self, id: RecordId) {
        self.pending.retain(|pending| pending.record.id != id);
    }

    /// Drops records that can no longer be valid and retries those that are due.
    pub(crate) fn step(&mut self, state: &OwnershipState, now: Time, out: &mut Vec<Action>) {
        self.pending
            .retain(|pending| may_be_valid(&pending.record.body, state));
        let wait = self.initial_backoff.times(READ_BACK_FACTOR);
        for pending in &mut self.pending {
            if pending.retry <= now {
                pending.retry = now + wait;
                out.push(Action::Append(pending.record.clone()));
            }
        }
    }

    /// Returns whether a record for a shard is pending.
    pub(crate) fn has_pending(&self, shard: ShardId) -> bool {
        self.pending
            .iter()
            .any(|pending| term_of(&pending.record.body, shard).is_some())
    }

    /// Returns whether a pending record satisfies `predicate`.
    pub(crate) fn any(&self, predicate: impl Fn(&OwnerRecord) -> bool) -> bool {
        self.pending
            .iter()
            .any(|pending| predicate(&pending.record.body))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the voters of a pending claim of a shard in a term after `latest`.
    ///
    /// Such a claim may already have taken effect without having been read back.
    pub(crate) fn claimed_voters(&self, shard: ShardId, latest: Term) -> Option<&Members> {
        self.pending.iter().find_map(|pending| {
            let OwnerRecord::Claim(claim) = &pending.record.body else {
                return None;
            };
            let term = term_of(&pending.record.body, shard)?;
            (term > latest).then_some(&claim.voters)
        })
    }

    fn find(&mut self, id: RecordId) -> Option<&mut Pending> {
        self.pending
            .iter_mut()
            .find(|pending| pending.record.id == id)
    }

    fn fresh_id(&mut self) -> RecordId {
        self.issued += 1;
        let high = XxHash64::oneshot(self.seed, &self.issued.to_le_bytes());
        let low = XxHash64::oneshot(high, &self.seed.to_le_bytes());
        RecordId(Uuid::from_u64_pair(high, low))
    }
}

/// Returns the term of a shard in a record, whose shards must be in ascending order.
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

fn may_be_valid(record: &OwnerRecord, state: &OwnershipState) -> bool {
    match record {
        OwnerRecord::Join(member) => !state.group().contains(member.incarnation),
        OwnerRecord::Leave(member) | OwnerRecord::Retire(member) => state.group().contains(*member),
        OwnerRecord::Claim(claim) => any_next_term(&claim.shards, state),
        OwnerRecord::HandOver(plan) => any_next_term(&plan.shards, state),
        OwnerRecord::Release { owner, shards } => any_owned(*owner, shards, state),
        OwnerRecord::Snapshot(_) => true,
    }
}

fn any_next_term(shards: &[(ShardId, Term)], state: &OwnershipState) -> bool {
    shards.iter().any(|(shard, term)| {
        state
            .shard(*shard)
            .is_some_and(|ownership| ownership.term < *term)
    })
}

fn any_owned(owner: Incarnation, shards: &[(ShardId, Term)], state: &OwnershipState) -> bool {
    shards.iter().any(|(shard, term)| {
        state
            .shard(*shard)
            .is_some_and(|ownership| ownership.term == *term && ownership.owner == Some(owner))
    })
}
