//! State shared by the rules of the ownership protocol.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::log::LogView;
use crate::record::{Claim, Member, Members, OwnerRecord};

use super::event::{Action, LostReason};
use super::lifecycle::Lifecycle;
use super::local::{LocalShard, LocalShards};
use super::message::Message;
use super::outbox::Outbox;
use super::peers::Peers;
use super::state::{Change, ChangeCause, OwnershipState};
use super::timers::Timers;

/// A sibling whose view of the log is older than this number of leases counts as silent, even if
/// its messages arrive.
const STALE_VIEW_LEASES: u64 = 2;

/// State of one instance that several rules use.
#[derive(Debug, Clone)]
pub(crate) struct Core {
    pub(crate) me: Member,
    pub(crate) timers: Timers,
    pub(crate) state: OwnershipState,
    pub(crate) view: LogView<OwnerRecord>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) outbox: Outbox,
    pub(crate) local_shards: LocalShards,
    pub(crate) peers: Peers,
    /// Time of the last change of a member or an owner.
    pub(crate) changed: Time,
    /// Time when a member last joined, left or was retired.
    pub(crate) members_changed: Time,
    /// The voters of all shards owned by this instance, except the instance itself.
    pub(crate) heartbeat_targets: Members,
}

impl Core {
    pub(crate) fn id(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Returns the time at which this instance's lease on its view of the log expires.
    pub(crate) fn fresh_until(&self) -> Option<Time> {
        self.view.fresh_at().map(|at| at + self.timers.own_lease())
    }

    /// Returns the first offset that is not yet applied, or `None` while the state is incomplete.
    pub(crate) fn applied(&self) -> Option<Offset> {
        self.view.is_complete().then(|| self.view.next())
    }

    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns whether at least two thirds of the lease have passed since the view was fresh.
    pub(crate) fn is_near_expiry(&self, now: Time) -> bool {
        let threshold = self.timers.own_lease().times(2).divided_by(3);
        self.view.fresh_at().is_none_or(|at| at + threshold <= now)
    }

    /// Returns whether a sibling's view of the log is long out of date while this instance's is
    /// fresh.
    ///
    /// Such a sibling can send but not receive; it can't dispatch and therefore counts as silent.
    pub(crate) fn has_stale_view(&self, peer: Incarnation, now: Time) -> bool {
        let bound = self.timers.lease.times(STALE_VIEW_LEASES);
        let view = self.peers.view_time(peer);
        self.is_fresh(now) && view.is_some_and(|at| at + bound < now)
    }

    /// Returns the age of the view, lengthened by the drift bound, or `None` if the view was never
    /// fresh.
    pub(crate) fn age(&self, now: Time) -> Option<Span> {
        let at = self.view.fresh_at()?;
        Some(self.timers.drift.lengthen(now - at))
    }

    /// Returns whether this instance may claim shards, as a serving member with a fresh view.
    pub(crate) fn may_claim(&self, now: Time) -> bool {
        matches!(self.lifecycle, Lifecycle::Serving(_)) && self.is_fresh(now)
    }

    /// Returns the voters of a term if this instance began one now.
    pub(crate) fn own_voters(&self) -> Members {
        self.state
            .group()
            .voters_of(&self.me, self.timers.max_voters)
    }

    pub(crate) fn append(&mut self, record: OwnerRecord, now: Time, out: &mut Vec<Action>) {
        self.outbox.append(record, now, out);
    }

    /// Appends a claim of shards, each with the term that the claim begins.
    pub(crate) fn claim(
        &mut self,
        mut shards: Vec<(ShardId, Term)>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if shards.is_empty() {
            return;
        }
        shards.sort_unstable();
        let claim = Claim {
            owner: self.id(),
            shards,
            voters: self.own_voters(),
        };
        self.append(OwnerRecord::Claim(claim), now, out);
    }

    /// Stops dispatching to shards before a release or handover record is appended.
    pub(crate) fn stop(
        &mut self,
        shards: &[(ShardId, Term)],
        reason: LostReason,
        out: &mut Vec<Action>,
    ) {
        for (shard, term) in shards {
            self.local_shards.stop(*shard);
            out.push(Action::Lost {
                shard: *shard,
                term: *term,
                reason,
            });
        }
    }

    /// Updates the local shards after a change of the ownership state.
    pub(crate) fn apply_change(&mut self, change: Change, now: Time, out: &mut Vec<Action>) {
        self.changed = now;
        match change {
            Change::Joined(member) => {
                self.members_changed = now;
                if member == self.id() {
                    self.lifecycle = self.lifecycle.joined(now);
                }
            }
            Change::Left(member) | Change::Retired(member) => {
                self.members_changed = now;
                self.peers.forget(member);
                if member == self.id() {
                    self.stop_incarnation(out);
                }
            }
            Change::Shard {
                shard,
                before,
                cause,
            } => self.apply_shard_change(shard, before, cause, now, out),
        }
    }

    /// Drops the active shards and stops the incarnation, after it has left or was retired.
    fn stop_incarnation(&mut self, out: &mut Vec<Action>) {
        let active: Vec<(ShardId, LocalShard)> = self.local_shards.active().collect();
        for (shard, local) in active {
            self.local_shards.set(shard, None);
            out.push(lost(shard, local, LostReason::Retired));
        }
        self.lifecycle = self.lifecycle.ended();
        out.push(Action::Stopped);
    }

    fn apply_shard_change(
        &mut self,
        shard: ShardId,
        before: Option<Incarnation>,
        cause: ChangeCause,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(ownership) = self.state.shard(shard) else {
            return;
        };
        let (owner, term) = (ownership.owner, ownership.term);
        if let Some(owner) = owner {
            self.peers.record_contact(owner, now);
        }
        let current = self.local_shards.get(shard);
        let is_mine = owner == Some(self.id()) && self.lifecycle.may_dispatch();
        match current {
            Some(local) if is_mine && cause == ChangeCause::Claim && !local.stopping => {
                self.renew(shard, local, term, out);
            }
            _ => {
                self.drop_local(shard, current, out);
                if is_mine {
                    let wait = self.takeover_wait(before, cause);
                    self.acquire(shard, term, now + wait, out);
                }
            }
        }
    }

    /// Continues a shard of this instance in a newer term.
    fn renew(&mut self, shard: ShardId, current: LocalShard, term: Term, out: &mut Vec<Action>) {
        let local = LocalShard { term, ..current };
        self.local_shards.set(shard, Some(local));
        out.push(Action::Renewed { shard, term });
    }

    /// Drops a local shard, and reports the loss unless that was done when the shard was stopped.
    fn drop_local(&mut self, shard: ShardId, current: Option<LocalShard>, out: &mut Vec<Action>) {
        let Some(local) = current else { return };
        self.local_shards.set(shard, None);
        if !local.stopping {
            out.push(lost(shard, local, LostReason::Claimed));
        }
    }

    /// Returns how long a new owner waits until the previous one has certainly stopped dispatching.
    fn takeover_wait(&self, before: Option<Incarnation>, cause: ChangeCause) -> Span {
        let is_vacant = match cause {
            ChangeCause::HandOver => true,
            ChangeCause::Claim => before.is_none_or(|owner| owner == self.id()),
            ChangeCause::Release | ChangeCause::Snapshot => false,
        };
        if is_vacant {
            Span::ZERO
        } else {
            self.timers.claim_wait()
        }
    }

    fn acquire(&mut self, shard: ShardId, term: Term, effective: Time, out: &mut Vec<Action>) {
        let local = LocalShard {
            term,
            effective,
            inherited: term > Term(1),
            stopping: false,
        };
        self.local_shards.set(shard, Some(local));
        out.push(Action::Gained(local.as_owned(shard)));
    }

    /// Recomputes the voters of all owned shards.
    pub(crate) fn refresh_heartbeat_targets(&mut self) {
        let mut heartbeat_targets = Members::new();
        let mut last: Option<&Members> = None;
        for (shard, _) in self.local_shards.iter() {
            let Some(ownership) = self.state.shard(shard) else {
                continue;
            };
            if last == Some(&ownership.voters) {
                continue;
            }
            last = Some(&ownership.voters);
            add_missing(&mut heartbeat_targets, &ownership.voters);
        }
        let me = self.me.incarnation;
        heartbeat_targets.retain(|member| *member != me);
        self.heartbeat_targets = heartbeat_targets;
    }
}

fn add_missing(heartbeat_targets: &mut Members, voters: &SmallVec<[Incarnation; 8]>) {
    for voter in voters {
        if !heartbeat_targets.contains(voter) {
            heartbeat_targets.push(*voter);
        }
    }
}

fn lost(shard: ShardId, local: LocalShard, reason: LostReason) -> Action {
    Action::Lost {
        shard,
        term: local.term,
        reason,
    }
}

/// Emits a message to a sibling.
pub(crate) fn send(to: Incarnation, body: Message, out: &mut Vec<Action>) {
    out.push(Action::Send { to, body });
}
