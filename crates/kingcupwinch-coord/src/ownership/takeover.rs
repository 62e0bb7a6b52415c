//! Claims of the shards of an owner that is silent or has stopped.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::hash::member_rank;
use crate::id::{Incarnation, ShardId, Term};
use crate::record::{Member, Members};

use super::core::{Core, send};
use super::event::{Action, Note};
use super::evidence::Evidence;
use super::message::{Message, Vote, VoteRequest};
use super::state::Ownership;
use super::votes::Votes;

/// Votes collected for a claim against one term.
#[derive(Debug, Clone)]
struct Tally {
    term: Term,
    voters: Members,
}

/// Takeovers in progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Takeovers {
    tallies: FxHashMap<ShardId, Tally>,
    /// Owners that are no longer members, each with the time at which that was first noticed.
    retired: FxHashMap<Incarnation, Time>,
    next_request: Time,
}

impl Takeovers {
    pub(crate) fn step(
        &mut self,
        core: &mut Core,
        votes: &mut Votes,
        evidence: &Evidence,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.track_owners(core, now);
        if !core.may_claim(now) {
            return;
        }
        self.prune(core);
        let owners: Vec<Incarnation> = core
            .state
            .owners()
            .filter(|owner| *owner != core.id())
            .collect();
        for owner in owners {
            match self.stopped_since(core, evidence, owner, now) {
                Some(since) => claim_stopped(core, evidence, owner, since, now, out),
                None => self.claim_silent(core, votes, owner, now, out),
            }
        }
    }

    /// Handles a vote for a claim of this instance.
    pub(crate) fn handle_vote(&mut self, core: &Core, from: Incarnation, vote: &Vote) {
        for (shard, term) in &vote.shards {
            let Some(ownership) = core.state.shard(*shard) else {
                continue;
            };
            let is_current = ownership.term == *term && ownership.owner == Some(vote.owner);
            if is_current && ownership.voters.contains(&from) {
                self.count_vote(*shard, *term, from);
            }
        }
    }

    /// Counts the vote of one voter, and returns whether it is new.
    fn count_vote(&mut self, shard: ShardId, term: Term, from: Incarnation) -> bool {
        let empty = || Tally {
            term,
            voters: Members::new(),
        };
        let tally = self.tallies.entry(shard).or_insert_with(empty);
        if tally.term != term {
            *tally = empty();
        }
        let is_new = !tally.voters.contains(&from);
        if is_new {
            tally.voters.push(from);
        }
        is_new
    }

    /// Starts the silence time-outs of owners, and records when owners ceased to be members.
    fn track_owners(&mut self, core: &mut Core, now: Time) {
        let Core {
            state, peers, me, ..
        } = core;
        for owner in state.owners().filter(|owner| *owner != me.incarnation) {
            peers.start_timeout(owner, now);
            if !state.group().contains(owner) {
                self.retired.entry(owner).or_insert(now);
            }
        }
        self.retired.retain(|owner, _| state.count(*owner) > 0);
    }

    fn prune(&mut self, core: &Core) {
        self.tallies.retain(|shard, tally| {
            core.state
                .shard(*shard)
                .is_some_and(|ownership| ownership.term == tally.term)
        });
    }

    fn stopped_since(
        &self,
        core: &Core,
        evidence: &Evidence,
        owner: Incarnation,
        now: Time,
    ) -> Option<Time> {
        let retired = self.retired.get(&owner).copied();
        retired.or_else(|| evidence.stopped_since(core, owner, now))
    }

    /// Collects votes against a silent owner, and claims the shards that have a quorum.
    fn claim_silent(
        &mut self,
        core: &mut Core,
        votes: &mut Votes,
        owner: Incarnation,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let due = due_shards(core, owner, now);
        if due.is_empty() {
            return;
        }
        let request = VoteRequest {
            owner,
            shards: due.clone(),
        };
        let mut is_started = false;
        for (shard, term) in votes.cast_votes(core, &request, now) {
            is_started |= self.count_vote(shard, term, core.id());
        }
        if is_started {
            out.push(Action::Note(Note::TakingOver { owner }));
        }
        self.request_votes(core, request, now, out);
        let won = due
            .into_iter()
            .filter(|(shard, _)| self.has_quorum(core, *shard))
            .map(|(shard, term)| (shard, term.next()))
            .collect();
        core.claim(won, now, out);
    }

    fn request_votes(
        &mut self,
        core: &Core,
        request: VoteRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if now < self.next_request {
            return;
        }
        self.next_request = now + core.timers.heartbeat.divided_by(2);
        for voter in voters_to_ask(core, &request) {
            send(voter, Message::VoteRequest(request.clone()), out);
        }
    }

    /// Returns whether at least half of a term's voters have voted for a claim.
    fn has_quorum(&self, core: &Core, shard: ShardId) -> bool {
        let Some(tally) = self.tallies.get(&shard) else {
            return false;
        };
        core.state
            .shard(shard)
            .is_some_and(|ownership| tally.voters.len() * 2 >= ownership.voters.len())
    }
}

/// Returns the owner's shards that this instance should claim now, each with its current term.
fn due_shards(core: &Core, owner: Incarnation, now: Time) -> Vec<(ShardId, Term)> {
    let Some(since) = core.peers.silent_since(owner) else {
        return Vec::new();
    };
    let silent = since + core.timers.silence_timeout;
    if now < silent {
        return Vec::new();
    }
    owned_by(core, owner)
        .filter(|(_, ownership)| ownership.voters.contains(&core.id()))
        .filter(|(shard, _)| !core.outbox.has_pending(*shard))
        .filter(|(shard, ownership)| {
            let successors = successors(core, ownership, owner);
            let rank = member_rank(*shard, &core.me, successors.into_iter());
            silent + core.timers.stagger.times(rank as u64) <= now
        })
        .map(|(shard, ownership)| (shard, ownership.term))
        .collect()
}

fn owned_by(core: &Core, owner: Incarnation) -> impl Iterator<Item = (ShardId, &Ownership)> {
    core.state
        .shards()
        .filter(move |(_, ownership)| ownership.owner == Some(owner))
}

fn successors<'a>(core: &'a Core, ownership: &Ownership, owner: Incarnation) -> Vec<&'a Member> {
    ownership
        .voters
        .iter()
        .filter(|voter| **voter != owner)
        .filter_map(|voter| core.state.group().member(*voter))
        .collect()
}

fn voters_to_ask(core: &Core, request: &VoteRequest) -> Members {
    let mut voters = Members::new();
    for (shard, _) in &request.shards {
        let Some(ownership) = core.state.shard(*shard) else {
            continue;
        };
        for voter in &ownership.voters {
            let is_other = *voter != core.id() && *voter != request.owner;
            if is_other && !voters.contains(voter) {
                voters.push(*voter);
            }
        }
    }
    voters
}

/// Claims the shards of an owner that has stopped, for which no votes are needed.
fn claim_stopped(
    core: &mut Core,
    evidence: &Evidence,
    owner: Incarnation,
    since: Time,
    now: Time,
    out: &mut Vec<Action>,
) {
    let live = evidence.live_members(core, now);
    let successors: Vec<&Member> = live
        .iter()
        .filter_map(|member| core.state.group().member(*member))
        .collect();
    let due = owned_by(core, owner)
        .filter(|(shard, _)| {
            let rank = member_rank(*shard, &core.me, successors.iter().copied());
            since + core.timers.stagger.times(rank as u64) <= now
        })
        .filter(|(shard, _)| !core.outbox.has_pending(*shard))
        .map(|(shard, ownership)| (shard, ownership.term.next()))
        .collect();
    core.claim(due, now, out);
}
