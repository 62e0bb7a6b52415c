//! The ownership state machine of one instance.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use twox_hash::XxHash64;

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::log::{Batch, LogView};
use crate::record::{Member, Members, OwnerRecord};

use super::core::Core;
use super::event::{Action, Event, Note, OwnedShard, Permit};
use super::evidence::Evidence;
use super::group::Group;
use super::handover::{HandOvers, answer_offer};
use super::heartbeat::{Heartbeats, handle_heartbeat};
use super::lifecycle::{Joining, Lifecycle, Phase};
use super::local::LocalShards;
use super::message::{Message, PromiseOutcome, PromiseRequest, RelayRequest};
use super::outbox::Outbox;
use super::peers::Peers;
use super::promises::HeldPromises;
use super::reclaim::Reclaim;
use super::relay::{self, Relays};
use super::snapshot::Snapshots;
use super::state::OwnershipState;
use super::takeover::Takeovers;
use super::timers::Timers;
use super::unowned::UnownedShards;
use super::votes::Votes;

/// Longest time between two calls of [`Coordinator::handle`].
const TICK_INTERVAL: Span = Span::from_millis(100);

/// The ownership state machine of one instance.
///
/// The caller passes every [`Event`] to [`handle`](Coordinator::handle) together with the current
/// time, sends an [`Event::Tick`] no later than [`deadline`](Coordinator::deadline), and executes
/// the returned actions in order.
#[derive(Debug, Clone)]
pub struct Coordinator {
    pub(super) core: Core,
    pub(super) relays: Relays,
    heartbeats: Heartbeats,
    promises: HeldPromises,
    votes: Votes,
    evidence: Evidence,
    unowned: UnownedShards,
    takeover: Takeovers,
    reclaim: Reclaim,
    handovers: HandOvers,
    pub(super) snapshots: Snapshots,
    last_step: Time,
    /// Whether the permission to dispatch was last reported as lapsed.
    lapsed: bool,
}

impl Coordinator {
    /// Creates the coordinator of a new incarnation in a failure domain with `shards` shards.
    ///
    /// Record ids are derived from `seed`, which must be random.
    pub fn new(member: Member, shards: u16, timers: Timers, seed: u64, now: Time) -> Self {
        let seed = XxHash64::oneshot(seed, member.incarnation.0.as_bytes());
        let core = Core {
            state: OwnershipState::new(shards),
            view: LogView::new(),
            lifecycle: Lifecycle::Joining(Joining),
            outbox: Outbox::new(seed, timers.append_backoff),
            local_shards: LocalShards::new(shards),
            peers: Peers::default(),
            changed: now,
            members_changed: now,
            heartbeat_targets: Members::new(),
            me: member,
            timers,
        };
        Coordinator {
            core,
            relays: Relays::default(),
            heartbeats: Heartbeats::default(),
            promises: HeldPromises::default(),
            votes: Votes::default(),
            evidence: Evidence::default(),
            unowned: UnownedShards::default(),
            takeover: Takeovers::default(),
            reclaim: Reclaim::default(),
            handovers: HandOvers::default(),
            snapshots: Snapshots::new(now),
            last_step: now,
            lapsed: false,
        }
    }

    /// Returns the member that this coordinator acts for.
    pub fn member(&self) -> &Member {
        &self.core.me
    }

    /// Returns the current phase of the incarnation's life cycle.
    pub fn phase(&self) -> Phase {
        self.core.lifecycle.phase()
    }

    /// Returns the current members of the failure domain.
    pub fn group(&self) -> &Group {
        self.core.state.group()
    }

    /// Returns the offset at which the next read of the ownership stream starts.
    pub fn next_offset(&self) -> Offset {
        self.core.view.next()
    }

    /// Returns the time as of which the view of the log is complete, or `None` before the first
    /// read.
    pub fn fresh_at(&self) -> Option<Time> {
        self.core.view.fresh_at()
    }

    /// Returns the owner of a shard, or `None` if the shard is unowned or its owner is no longer a
    /// member.
    pub fn owner_of(&self, shard: ShardId) -> Option<&Member> {
        let owner = self.core.state.shard(shard)?.owner?;
        self.group().member(owner)
    }

    /// Returns the latest term of a shard, which is zero before its first claim.
    pub fn term_of(&self, shard: ShardId) -> Term {
        let state = self.core.state.shard(shard);
        state.map_or(Term(0), |state| state.term)
    }

    /// Returns the shards that this instance owns and whose ownership has taken effect.
    pub fn owned(&self, now: Time) -> impl Iterator<Item = OwnedShard> {
        self.core
            .local_shards
            .effective(now)
            .map(|(shard, local)| local.as_owned(shard))
    }

    /// Returns the permit to dispatch to a shard's workers, or `None` if this instance may not
    /// dispatch to them now.
    pub fn permit(&self, shard: ShardId, now: Time) -> Option<Permit> {
        let local = self.core.local_shards.get(shard)?;
        if local.stopping || now < local.effective || !self.core.lifecycle.may_dispatch() {
            return None;
        }
        let leased = self.core.fresh_until().filter(|until| now < *until);
        // Takes the later of both, so that a permit obtained shortly before the lease on the view
        // expires already covers the time backed by promises.
        let until = leased.max(self.promises.until(&self.core, shard, now))?;
        let term = local.term;
        (now < until).then_some(Permit { shard, term, until })
    }

    /// Returns the latest time for the next [`Event::Tick`].
    pub fn deadline(&self) -> Time {
        match self.phase() {
            Phase::Stopped => Time::MAX,
            _ => self.last_step + TICK_INTERVAL,
        }
    }

    /// Builds a relay request for a sibling that this instance does not yet know as a member.
    pub fn relay_request(&self, now: Time) -> RelayRequest {
        relay::request(&self.core, now)
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        if self.phase() == Phase::Stopped {
            return;
        }
        self.detect_pause(now);
        match event {
            Event::Read {
                sent,
                first,
                tail,
                records,
            } => {
                self.snapshots.set_bounds(first, tail);
                let batch = Batch {
                    sent,
                    first,
                    tail,
                    records,
                };
                self.apply_batch(batch, now, out);
            }
            Event::ReadFailed | Event::Tick => {}
            Event::AppendAcked { id } => self.core.outbox.acked(id, now),
            Event::AppendFailed { id } => self.core.outbox.failed(id, now),
            Event::Message { from, body } => self.handle_message(from, body, now, out),
            Event::InstanceList {
                sent,
                live,
                leaving,
            } => self.handle_instance_list(sent, &live, &leaving),
            Event::Drain => self.drain(out),
        }
        self.step(now, out);
    }

    /// Restarts the silence time-outs of all siblings after this instance itself was paused.
    fn detect_pause(&mut self, now: Time) {
        let bound = self.core.timers.silence_timeout.divided_by(2);
        if self.last_step + bound <= now {
            self.core.peers.restart_timeouts(now);
        }
    }

    fn handle_instance_list(&mut self, sent: Time, live: &[Arc<str>], leaving: &[Arc<str>]) {
        self.evidence
            .handle_instance_list(&self.core, sent, live, leaving);
    }

    fn drain(&mut self, out: &mut Vec<Action>) {
        self.core.lifecycle = self.core.lifecycle.drain();
        if self.phase() == Phase::Stopped {
            out.push(Action::Stopped);
        }
    }

    fn step(&mut self, now: Time, out: &mut Vec<Action>) {
        self.last_step = now;
        if self.phase() == Phase::Stopped {
            return;
        }
        let core = &mut self.core;
        join(core, now, out);
        core.outbox.step(&core.state, now, out);
        self.heartbeats.step(core, now, out);
        self.relays.step(core, now, out);
        self.promises.step(core, now, out);
        self.votes.step(core, now);
        self.evidence.step(core, now);
        self.unowned.step(core, &self.evidence, now, out);
        self.takeover
            .step(core, &mut self.votes, &self.evidence, now, out);
        self.evidence.retire_stopped(core, now, out);
        self.reclaim.step(core, &mut self.promises, now, out);
        self.handovers.step(core, &self.evidence, now, out);
        self.snapshots.step(core, now, out);
        self.report_lapse(now, out);
    }

    /// Emits a note when the permission to dispatch lapses and when it is restored.
    fn report_lapse(&mut self, now: Time, out: &mut Vec<Action>) {
        let first = self.owned(now).next();
        let lapsed = first.is_some_and(|owned| self.permit(owned.shard, now).is_none());
        if lapsed != self.lapsed {
            self.lapsed = lapsed;
            let note = if lapsed { Note::Lapsed } else { Note::Restored };
            out.push(Action::Note(note));
        }
    }

    fn handle_message(
        &mut self,
        from: Incarnation,
        body: Message,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_open = matches!(body, Message::RelayRequest(_) | Message::Relay(_));
        if !is_open && !self.group().contains(from) {
            out.push(Action::Note(Note::NotMember { from }));
            return;
        }
        let core = &mut self.core;
        match body {
            Message::Heartbeat(heartbeat) => {
                handle_heartbeat(core, from, heartbeat, now);
                self.votes.notify_voted_against(from, out);
            }
            Message::RelayRequest(request) => self.relays.answer(core, from, request, now, out),
            Message::Relay(relay) => self.apply_relay(relay, now, out),
            Message::PromiseRequest(request) => self.handle_promise(from, request, now, out),
            Message::PromiseReply(reply) => {
                self.promises.handle_reply(core, from, reply, now, out);
            }
            Message::VoteRequest(request) => self
                .votes
                .answer_vote_request(core, from, &request, now, out),
            Message::Vote(vote) => self.takeover.handle_vote(core, from, &vote),
            Message::Offer(offer) => answer_offer(core, from, &offer, now, out),
            Message::OfferReply(reply) => {
                self.handovers.handle_reply(core, from, reply, now, out);
            }
        }
    }

    /// Answers a promise request, and relays the records that the owner lacks if it is behind.
    fn handle_promise(
        &mut self,
        from: Incarnation,
        request: PromiseRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if !self.core.has_stale_view(from, now) {
            self.core.peers.record_contact(from, now);
        }
        let outcome = self
            .votes
            .answer_promise_request(&self.core, from, request, now, out);
        if outcome == PromiseOutcome::Behind {
            let asked_at = request.asked_at;
            let from_offset = Some(request.applied);
            let request = RelayRequest {
                asked_at,
                from: from_offset,
            };
            self.relays.answer(&self.core, from, request, now, out);
        }
    }
}

/// Appends the join record of this incarnation once the state of the failure domain is known.
fn join(core: &mut Core, now: Time, out: &mut Vec<Action>) {
    let is_joining = matches!(core.lifecycle, Lifecycle::Joining(_));
    if is_joining && core.is_fresh(now) && core.outbox.is_empty() {
        let member = core.me.clone();
        core.append(OwnerRecord::Join(member), now, out);
    }
}
