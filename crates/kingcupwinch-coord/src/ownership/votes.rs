//! Commitments of this instance as a voter: promises to owners and votes for claims.
//!
//! A promise to an owner and a vote against the same owner never overlap: a vote is cast only after
//! the last promise has expired, and no promise is granted while the vote is binding.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::id::{Incarnation, ShardId, Term};

use super::core::{Core, send};
use super::event::Action;
use super::message::{Message, PromiseOutcome, PromiseReply, PromiseRequest, Vote, VoteRequest};

/// A binding vote for a claim against an owner's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CastVote {
    owner: Incarnation,
    term: Term,
}

/// Promises and votes that this instance has given.
#[derive(Debug, Clone, Default)]
pub(crate) struct Votes {
    promised: FxHashMap<Incarnation, Time>,
    cast: FxHashMap<ShardId, CastVote>,
}

impl Votes {
    /// Drops expired promises, and votes against terms that are no longer the latest.
    pub(crate) fn step(&mut self, core: &Core, now: Time) {
        self.promised.retain(|_, until| *until > now);
        self.cast.retain(|shard, cast| {
            core.state
                .shard(*shard)
                .is_some_and(|ownership| ownership.term == cast.term)
        });
    }

    /// Answers a promise request and returns the result.
    ///
    /// An owner that has applied less of the log than this instance must catch up first, because a
    /// claim that this instance has read may have taken one of its shards.
    pub(crate) fn answer_promise_request(
        &mut self,
        core: &Core,
        from: Incarnation,
        request: PromiseRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) -> PromiseOutcome {
        let outcome = self.outcome(core, from, request, now);
        if outcome == PromiseOutcome::Granted {
            let until = now + core.timers.drift.lengthen(core.timers.promise);
            self.promised.insert(from, until);
        }
        let asked_at = request.asked_at;
        let reply = PromiseReply { asked_at, outcome };
        send(from, Message::PromiseReply(reply), out);
        outcome
    }

    fn outcome(
        &self,
        core: &Core,
        from: Incarnation,
        request: PromiseRequest,
        now: Time,
    ) -> PromiseOutcome {
        if self.has_voted_against(from) {
            return PromiseOutcome::VotedAgainst;
        }
        if core.has_stale_view(from, now) {
            return PromiseOutcome::Behind;
        }
        match core.applied() {
            Some(applied) if applied <= request.applied => PromiseOutcome::Granted,
            _ => PromiseOutcome::Behind,
        }
    }

    /// Returns whether a vote against an owner is binding.
    pub(crate) fn has_voted_against(&self, owner: Incarnation) -> bool {
        self.cast.values().any(|cast| cast.owner == owner)
    }

    /// Informs an owner, after it has sent a heartbeat again, of a binding vote against it.
    pub(crate) fn notify_voted_against(&self, owner: Incarnation, out: &mut Vec<Action>) {
        if self.has_voted_against(owner) {
            let reply = PromiseReply {
                asked_at: Time::ZERO,
                outcome: PromiseOutcome::VotedAgainst,
            };
            send(owner, Message::PromiseReply(reply), out);
        }
    }

    /// Answers a vote request, unless this instance can vote for none of the shards.
    pub(crate) fn answer_vote_request(
        &mut self,
        core: &Core,
        from: Incarnation,
        request: &VoteRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let shards = self.cast_votes(core, request, now);
        if shards.is_empty() {
            return;
        }
        let owner = request.owner;
        let vote = Vote { owner, shards };
        send(from, Message::Vote(vote), out);
    }

    /// Votes for a claim of those requested shards for which this instance may vote, and returns
    /// them.
    pub(crate) fn cast_votes(
        &mut self,
        core: &Core,
        request: &VoteRequest,
        now: Time,
    ) -> Vec<(ShardId, Term)> {
        if !self.may_vote_against(core, request.owner, now) {
            return Vec::new();
        }
        let granted: Vec<(ShardId, Term)> = request
            .shards
            .iter()
            .copied()
            .filter(|(shard, term)| has_vote(core, *shard, *term, request.owner))
            .collect();
        for (shard, term) in &granted {
            let (owner, term) = (request.owner, *term);
            self.cast.insert(*shard, CastVote { owner, term });
        }
        granted
    }

    /// Returns whether this instance may vote for a claim against an owner.
    fn may_vote_against(&self, core: &Core, owner: Incarnation, now: Time) -> bool {
        let is_promised = self.promised.get(&owner).is_some_and(|until| now < *until);
        let is_silent = core
            .peers
            .silent_since(owner)
            .is_some_and(|since| since + core.timers.silence_timeout <= now);
        owner != core.id()
            && core.lifecycle.may_dispatch()
            && core.is_fresh(now)
            && is_silent
            && !is_promised
    }
}

/// Returns whether this instance is a voter of the owner's current term for a shard.
fn has_vote(core: &Core, shard: ShardId, term: Term, owner: Incarnation) -> bool {
    core.state.shard(shard).is_some_and(|ownership| {
        ownership.term == term
            && ownership.owner == Some(owner)
            && ownership.voters.contains(&core.id())
    })
}
