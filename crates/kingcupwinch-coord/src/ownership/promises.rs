//! An owner's leave to go on in an outage of the log: promises of its voters.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::id::{Incarnation, ShardId};
use crate::record::Members;

use super::core::{Core, send};
use super::event::{Action, Note};
use super::message::{Message, PromiseOutcome, PromiseReply, PromiseRequest};

/// Rounds of questions in the length of one promise.
const REQUESTS_PER_PROMISE: u64 = 4;

/// Promises that this instance holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldPromises {
    held: FxHashMap<Incarnation, Time>,
    next: Time,
    /// Whether a voter supports a claim against this instance.
    pub(crate) voted_against: bool,
}

impl HeldPromises {
    /// Asks for promises while the view of the log may lapse soon, unless records that may have
    /// taken a shard expired unread.
    pub(crate) fn step(&mut self, core: &Core, now: Time, out: &mut Vec<Action>) {
        let is_needed = !core.heartbeat_targets.is_empty() && core.is_near_expiry(now);
        if !is_needed || now < self.next {
            return;
        }
        let Some(applied) = core.applied() else {
            return;
        };
        self.next = now + core.timers.promise.divided_by(REQUESTS_PER_PROMISE);
        self.held.retain(|_, until| *until > now);
        let request = PromiseRequest {
            asked_at: now,
            applied,
        };
        for voter in &core.heartbeat_targets {
            send(*voter, Message::PromiseRequest(request), out);
        }
    }

    pub(crate) fn handle_reply(
        &mut self,
        core: &Core,
        from: Incarnation,
        reply: PromiseReply,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        match reply.outcome {
            PromiseOutcome::Granted => self.hold(core, from, reply.asked_at, now),
            PromiseOutcome::VotedAgainst => {
                self.voted_against = true;
                out.push(Action::Note(Note::VotedAgainst { voter: from }));
            }
            PromiseOutcome::Behind => {}
        }
    }

    fn hold(&mut self, core: &Core, from: Incarnation, asked_at: Time, now: Time) {
        if asked_at > now {
            return;
        }
        let until = asked_at + core.timers.own_promise();
        let held = self.held.entry(from).or_insert(until);
        *held = until.max(*held);
    }

    /// Returns until when a shard may be dispatched on promises alone.
    ///
    /// A claim by this instance that may have taken effect unread adds its voters: both majorities
    /// are needed.
    pub(crate) fn until(&self, core: &Core, shard: ShardId, now: Time) -> Option<Time> {
        let ownership = core.state.shard(shard)?;
        let current = self.majority_until(core, &ownership.voters, now)?;
        match core.outbox.claimed_voters(shard, ownership.term) {
            None => Some(current),
            Some(claimed) => Some(current.min(self.majority_until(core, claimed, now)?)),
        }
    }

    /// Returns until when a strict majority of voters, this instance included, has promised.
    fn majority_until(&self, core: &Core, voters: &Members, now: Time) -> Option<Time> {
        let mut untils: SmallVec<[Time; 8]> = voters
            .iter()
            .map(|voter| self.promised_until(core, *voter, now))
            .collect();
        untils.sort_unstable_by(|a, b| b.cmp(a));
        untils.get(voters.len() / 2).copied()
    }

    fn promised_until(&self, core: &Core, voter: Incarnation, now: Time) -> Time {
        if voter == core.id() {
            return now + core.timers.own_promise();
        }
        self.held.get(&voter).copied().unwrap_or(Time::ZERO)
    }
}
