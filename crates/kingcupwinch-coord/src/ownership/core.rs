//! The state that all rules share.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::log::LogView;
use crate::record::{Claim, Member, Members, OwnerRecord};

use super::event::{Action, LostReason};
use super::holding::{Holding, Holdings};
use super::ledger::{Change, Ledger, Means};
use super::life::Life;
use super::message::Message;
use super::outbox::Outbox;
use super::peers::Peers;
use super::timers::Timers;

/// After how many leases without a fresh view an instance that is heard counts as silent.
const STUCK_LEASES: u64 = 2;

/// State of one instance that more than one rule reads.
#[derive(Debug, Clone)]
pub(crate) struct Core {
    pub(crate) me: Member,
    pub(crate) timers: Timers,
    pub(crate) ledger: Ledger,
    pub(crate) view: LogView<OwnerRecord>,
    pub(crate) life: Life,
    pub(crate) outbox: Outbox,
    pub(crate) holdings: Holdings,
    pub(crate) peers: Peers,
    /// When a member or an owner last changed.
    pub(crate) changed: Time,
    /// When a member last joined or went.
    pub(crate) regrouped: Time,
    /// The voters of all owned shards, without this instance.
    pub(crate) heartbeat_targets: Members,
}

impl Core {
    pub(crate) fn id(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Returns when this instance's view of the log stops being fresh.
    pub(crate) fn fresh_until(&self) -> Option<Time> {
        self.view.fresh_at().map(|at| at + self.timers.own_lease())
    }

    /// Returns the first offset that the ledger does not hold, none while it holds no whole state.
    pub(crate) fn applied(&self) -> Option<Offset> {
        self.view.is_complete().then(|| self.view.next())
    }

    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns whether two thirds of the lease are over, so that the view may lapse soon.
    pub(crate) fn is_ageing(&self, now: Time) -> bool {
        let usual = self.timers.own_lease().times(2).divided_by(3);
        self.view.fresh_at().is_none_or(|at| at + usual <= now)
    }

    /// Returns whether a sibling is heard, yet has had no fresh view for long while this instance
    /// has one: it can't hear the others, so it can't dispatch and counts as silent.
    pub(crate) fn is_stuck(&self, peer: Incarnation, now: Time) -> bool {
        let bound = self.timers.lease.times(STUCK_LEASES);
        let view = self.peers.view_of(peer);
        self.is_fresh(now) && view.is_some_and(|at| at + bound < now)
    }

    /// Returns the age of the view, lengthened by the drift bound; none if it never was fresh.
    pub(crate) fn age(&self, now: Time) -> Option<Span> {
        let at = self.view.fresh_at()?;
        Some(self.timers.drift.lengthen(now - at))
    }

    /// Returns whether this instance may claim: a serving member with a fresh view.
    pub(crate) fn may_claim(&self, now: Time) -> bool {
        matches!(self.life, Life::Serving(_)) && self.is_fresh(now)
    }

    /// Returns the voters of a term that this instance would begin now.
    pub(crate) fn own_voters(&self) -> Members {
        self.ledger
            .group()
            .voters_of(&self.me, self.timers.max_voters)
    }

    pub(crate) fn append(&mut self, record: OwnerRecord, now: Time, out: &mut Vec<Action>) {
        self.outbox.append(record, now, out);
    }

    /// Appends a claim of shards, each with the term to begin.
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

    /// Stops dispatching to shards before a record that gives them up is appended.
    pub(crate) fn stop(
        &mut self,
        shards: &[(ShardId, Term)],
        reason: LostReason,
        out: &mut Vec<Action>,
    ) {
        for (shard, term) in shards {
            self.holdings.stop(*shard);
            out.push(Action::Lost {
                shard: *shard,
                term: *term,
                reason,
            });
        }
    }

    /// Brings the owned shards in line with a change of the ledger.
    pub(crate) fn follow(&mut self, change: Change, now: Time, out: &mut Vec<Action>) {
        self.changed = now;
        match change {
            Change::Joined(member) => {
                self.regrouped = now;
                if member == self.id() {
                    self.life = self.life.joined(now);
                }
            }
            Change::Left(member) | Change::Retired(member) => {
                self.regrouped = now;
                self.peers.forget(member);
                if member == self.id() {
                    self.end(out);
                }
            }
            Change::Shard {
                shard,
                before,
                means,
            } => self.follow_shard(shard, before, means, now, out),
        }
    }

    fn end(&mut self, out: &mut Vec<Action>) {
        let kept: Vec<(ShardId, Holding)> = self.holdings.kept().collect();
        for (shard, holding) in kept {
            self.holdings.set(shard, None);
            out.push(lost(shard, holding, LostReason::Retired));
        }
        self.life = self.life.ended();
        out.push(Action::Stopped);
    }

    fn follow_shard(
        &mut self,
        shard: ShardId,
        before: Option<Incarnation>,
        means: Means,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(ownership) = self.ledger.shard(shard) else {
            return;
        };
        let (owner, term) = (ownership.owner, ownership.term);
        if let Some(owner) = owner {
            self.peers.heard(owner, now);
        }
        let held = self.holdings.get(shard);
        let is_mine = owner == Some(self.id()) && self.life.may_own();
        match held {
            Some(holding) if is_mine && means == Means::Claim && !holding.stopping => {
                self.renew(shard, holding, term, out);
            }
            _ => {
                self.drop_holding(shard, held, out);
                if is_mine {
                    let wait = self.wait_after(before, means);
                    self.gain(shard, term, now + wait, out);
                }
            }
        }
    }

    fn renew(&mut self, shard: ShardId, held: Holding, term: Term, out: &mut Vec<Action>) {
        let holding = Holding { term, ..held };
        self.holdings.set(shard, Some(holding));
        out.push(Action::Renewed { shard, term });
    }

    fn drop_holding(&mut self, shard: ShardId, held: Option<Holding>, out: &mut Vec<Action>) {
        let Some(holding) = held else { return };
        self.holdings.set(shard, None);
        if !holding.stopping {
            out.push(lost(shard, holding, LostReason::Claimed));
        }
    }

    /// Returns how long a new owner waits: until an earlier one has certainly stopped.
    fn wait_after(&self, before: Option<Incarnation>, means: Means) -> Span {
        let is_vacant = match means {
            Means::HandOver => true,
            Means::Claim => before.is_none_or(|owner| owner == self.id()),
            Means::Release | Means::Snapshot => false,
        };
        if is_vacant {
            Span::ZERO
        } else {
            self.timers.claim_wait()
        }
    }

    fn gain(&mut self, shard: ShardId, term: Term, effective: Time, out: &mut Vec<Action>) {
        let holding = Holding {
            term,
            effective,
            inherited: term > Term(1),
            stopping: false,
        };
        self.holdings.set(shard, Some(holding));
        out.push(Action::Gained(holding.as_owned(shard)));
    }

    /// Collects the voters of all owned shards.
    pub(crate) fn refresh_heartbeat_targets(&mut self) {
        let mut heartbeat_targets = Members::new();
        let mut last: Option<&Members> = None;
        for (shard, _) in self.holdings.iter() {
            let Some(ownership) = self.ledger.shard(shard) else {
                continue;
            };
            if last == Some(&ownership.voters) {
                continue;
            }
            last = Some(&ownership.voters);
            add_all(&mut heartbeat_targets, &ownership.voters);
        }
        let me = self.me.incarnation;
        heartbeat_targets.retain(|member| *member != me);
        self.heartbeat_targets = heartbeat_targets;
    }
}

fn add_all(heartbeat_targets: &mut Members, voters: &SmallVec<[Incarnation; 8]>) {
    for voter in voters {
        if !heartbeat_targets.contains(voter) {
            heartbeat_targets.push(*voter);
        }
    }
}

fn lost(shard: ShardId, holding: Holding, reason: LostReason) -> Action {
    Action::Lost {
        shard,
        term: holding.term,
        reason,
    }
}

/// Pushes a message to a sibling.
pub(crate) fn send(to: Incarnation, body: Message, out: &mut Vec<Action>) {
    out.push(Action::Send { to, body });
}
