//! Promises of voters, which allow an owner to continue dispatching during an outage of the log.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::id::{Incarnation, ShardId};
use crate::record::Members;

use super::core::{Core, send};
use super::event::{Action, Note};
use super::message::{Message, PromiseOutcome, PromiseReply, PromiseRequest};

/// Number of requests to each voter during the validity of one promise.
const REQUESTS_PER_PROMISE: u64 = 4;

/// Promises that this instance holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldPromises {
    held: FxHashMap<Incarnation, Time>,
    next: Time,
    /// Whether a voter has voted for a claim against this instance.
    pub(crate) voted_against: bool,
}

impl HeldPromises {
    /// Requests promises while the lease on the view of the log is near its expiry.
    ///
    /// An instance that missed expired records sends no request, because one of them may have moved
    /// a shard to another owner.
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

    /// Returns the time until which promises alone permit dispatching to a shard.
    ///
    /// If a claim by this instance may have taken effect without having been read back, majorities
    /// of both the current voters and the voters of that claim are required.
    pub(crate) fn until(&self, core: &Core, shard: ShardId, now: Time) -> Option<Time> {
        let ownership = core.state.shard(shard)?;
        let current = self.majority_until(core, &ownership.voters, now)?;
        match core.outbox.claimed_voters(shard, ownership.term) {
            None => Some(current),
            Some(claimed) => Some(current.min(self.majority_until(core, claimed, now)?)),
        }
    }

    /// Returns the time until which a strict majority of voters, counting this instance, has
    /// promised.
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
