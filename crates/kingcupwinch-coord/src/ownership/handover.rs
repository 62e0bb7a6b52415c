//! Planned handover: an owner offers shards, stops dispatching to them, and appends the record that
//! moves them.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::hash::member_score;
use crate::id::{Incarnation, ShardId, Term};
use crate::record::{HandOver, Member, OwnerRecord};

use super::core::{Core, send};
use super::event::{Action, LostReason};
use super::evidence::Evidence;
use super::lifecycle::Lifecycle;
use super::message::{Message, Offer, OfferReply};
use super::plan::{Move, Share, plan_moves};

/// An offer that has not been answered yet.
#[derive(Debug, Clone)]
struct OpenOffer {
    to: Incarnation,
    offer: Offer,
    expires: Time,
}

/// Open offers of this instance, and members that refused one.
#[derive(Debug, Clone, Default)]
pub(crate) struct HandOvers {
    open: Vec<OpenOffer>,
    refused: FxHashMap<Incarnation, Time>,
    next_offer: Time,
}

impl HandOvers {
    pub(crate) fn step(
        &mut self,
        core: &mut Core,
        evidence: &Evidence,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.expire(core, now);
        if !core.is_fresh(now) || !self.open.is_empty() {
            return;
        }
        match core.lifecycle {
            Lifecycle::Serving(_) => self.rebalance(core, evidence, now, out),
            Lifecycle::Draining(_) => self.drain(core, evidence, now, out),
            Lifecycle::Joining(_) | Lifecycle::Leaving(_) | Lifecycle::Stopped(_) => {}
        }
    }

    /// Offers surplus shards once members and owners have been unchanged for the settle delay.
    fn rebalance(
        &mut self,
        core: &mut Core,
        evidence: &Evidence,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_settled = core.changed + core.timers.settle_delay <= now;
        if now < self.next_offer || !is_settled || !core.outbox.is_empty() {
            return;
        }
        self.next_offer = now + core.timers.settle_delay;
        let live = evidence.live_members(core, now);
        let shares = shares(core, |member| live.contains(&member.incarnation));
        let planned = plan_moves(&shares);
        self.offer_all(core, evidence, &planned, now, out);
    }

    /// Offers all shards, releases those that no member accepts, and leaves once none is owned.
    fn drain(&mut self, core: &mut Core, evidence: &Evidence, now: Time, out: &mut Vec<Action>) {
        if !core.outbox.is_empty() {
            return;
        }
        if core.state.count(core.id()) == 0 {
            core.lifecycle = core.lifecycle.leave();
            let record = OwnerRecord::Leave(core.id());
            core.append(record, now, out);
            return;
        }
        let live = evidence.live_members(core, now);
        let mut shares = shares(core, |member| {
            live.contains(&member.incarnation) && self.accepts_offers(evidence, member, now)
        });
        for share in &mut shares {
            if share.member == core.id() {
                share.weight = 0;
            }
        }
        let planned = plan_moves(&shares);
        self.offer_all(core, evidence, &planned, now, out);
        if self.open.is_empty() {
            release_all(core, now, out);
        }
    }

    fn accepts_offers(&self, evidence: &Evidence, member: &Member, now: Time) -> bool {
        let is_refusing = self
            .refused
            .get(&member.incarnation)
            .is_some_and(|until| now < *until);
        !is_refusing && !evidence.is_leaving(&member.instance)
    }

    fn offer_all(
        &mut self,
        core: &Core,
        evidence: &Evidence,
        planned: &[Move],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut remaining: Vec<(ShardId, Term)> = core
            .local_shards
            .effective(now)
            .map(|(shard, local)| (shard, local.term))
            .collect();
        for step in planned.iter().filter(|step| step.from == core.id()) {
            let Some(successor) = core.state.group().member(step.to) else {
                continue;
            };
            if self.accepts_offers(evidence, successor, now) {
                let shards = take_best_ranked(&mut remaining, successor, step.count);
                self.offer(core, step.to, shards, now, out);
            }
        }
    }

    fn offer(
        &mut self,
        core: &Core,
        to: Incarnation,
        shards: Vec<(ShardId, Term)>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if shards.is_empty() {
            return;
        }
        let offer = Offer {
            asked_at: now,
            shards,
        };
        send(to, Message::Offer(offer.clone()), out);
        let expires = now + core.timers.offer_timeout;
        self.open.push(OpenOffer { to, offer, expires });
    }

    fn expire(&mut self, core: &Core, now: Time) {
        self.refused.retain(|_, until| *until > now);
        let until = now + core.timers.refusal_backoff;
        let refused = &mut self.refused;
        self.open.retain(|open| {
            if open.expires <= now {
                refused.insert(open.to, until);
            }
            open.expires > now
        });
    }

    /// Handles the reply to an offer: if accepted, stops dispatching and appends the handover.
    pub(crate) fn handle_reply(
        &mut self,
        core: &mut Core,
        from: Incarnation,
        reply: OfferReply,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_answered =
            |open: &OpenOffer| open.to == from && open.offer.asked_at == reply.asked_at;
        let Some(index) = self.open.iter().position(is_answered) else {
            return;
        };
        let open = self.open.swap_remove(index);
        if reply.accepted && open.expires > now && core.is_fresh(now) {
            hand_over(core, open, now, out);
        } else {
            self.refused.insert(from, now + core.timers.refusal_backoff);
        }
    }
}

/// Answers an offer, and accepts it if this instance may claim shards.
pub(crate) fn answer_offer(
    core: &Core,
    from: Incarnation,
    offer: &Offer,
    now: Time,
    out: &mut Vec<Action>,
) {
    let reply = OfferReply {
        asked_at: offer.asked_at,
        accepted: core.may_claim(now),
    };
    send(from, Message::OfferReply(reply), out);
}

fn hand_over(core: &mut Core, open: OpenOffer, now: Time, out: &mut Vec<Action>) {
    let Some(successor) = core.state.group().member(open.to) else {
        return;
    };
    let voters = core
        .state
        .group()
        .voters_of(successor, core.timers.max_voters);
    let transferred: Vec<(ShardId, Term)> = open
        .offer
        .shards
        .into_iter()
        .filter(|(shard, term)| is_transferable(core, *shard, *term))
        .collect();
    if transferred.is_empty() {
        return;
    }
    core.stop(&transferred, LostReason::HandedOver, out);
    let plan = HandOver {
        from: core.id(),
        to: open.to,
        shards: transferred
            .into_iter()
            .map(|(shard, term)| (shard, term.next()))
            .collect(),
        voters,
    };
    core.append(OwnerRecord::HandOver(plan), now, out);
}

/// Returns whether a shard is active on this instance in `term` and no record for it is pending.
fn is_transferable(core: &Core, shard: ShardId, term: Term) -> bool {
    let is_active = core
        .local_shards
        .get(shard)
        .is_some_and(|local| local.term == term && !local.stopping);
    is_active && !core.outbox.has_pending(shard)
}

fn release_all(core: &mut Core, now: Time, out: &mut Vec<Action>) {
    let shards: Vec<(ShardId, Term)> = core
        .local_shards
        .effective(now)
        .map(|(shard, local)| (shard, local.term))
        .collect();
    if shards.is_empty() {
        return;
    }
    core.stop(&shards, LostReason::Released, out);
    let owner = core.id();
    core.append(OwnerRecord::Release { owner, shards }, now, out);
}

fn shares(core: &Core, is_counted: impl Fn(&Member) -> bool) -> Vec<Share> {
    let group = core.state.group();
    group
        .members()
        .iter()
        .filter(|member| member.incarnation == core.id() || is_counted(member))
        .map(|member| Share::new(member, core.state.count(member.incarnation)))
        .collect()
}

/// Removes and returns the shards for which a member has the highest scores, in ascending order.
fn take_best_ranked(
    remaining: &mut Vec<(ShardId, Term)>,
    to: &Member,
    count: u64,
) -> Vec<(ShardId, Term)> {
    remaining.sort_by(|(a, _), (b, _)| member_score(*a, to).compare(&member_score(*b, to)));
    let first_taken = remaining.len().saturating_sub(count as usize);
    let mut taken = remaining.split_off(first_taken);
    taken.sort_unstable();
    taken
}
