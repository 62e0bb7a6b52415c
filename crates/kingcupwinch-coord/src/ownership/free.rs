//! Claims of unowned shards.
//!
//! Members are ranked for each shard by weighted rendezvous hashing. Each member waits longer than
//! the one ranked before it, so a crashed top candidate delays a claim only briefly.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use crate::hash::member_rank;
use crate::id::{Incarnation, ShardId, Term};
use crate::record::Member;

use super::core::Core;
use super::event::Action;
use super::evidence::Evidence;
use super::lifecycle::Lifecycle;

/// Unowned shards, each with the time since which it is known to be unowned.
#[derive(Debug, Clone, Default)]
pub(crate) struct FreeShards {
    since: FxHashMap<ShardId, Time>,
}

impl FreeShards {
    pub(crate) fn step(
        &mut self,
        core: &mut Core,
        evidence: &Evidence,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Lifecycle::Serving(serving) = core.lifecycle else {
            return;
        };
        self.refresh(core, now);
        let settled = serving.joined + core.timers.settle_delay;
        if self.since.is_empty() || now < settled || !core.may_claim(now) {
            return;
        }
        let live = evidence.live_members(core, now);
        let candidates = candidates(core, evidence, &live);
        let due: Vec<(ShardId, Term)> = self
            .since
            .iter()
            .filter(|(shard, since)| is_due(core, &candidates, **shard, settled.max(**since), now))
            .filter(|(shard, _)| !core.outbox.has_pending(**shard))
            .filter_map(|(shard, _)| Some((*shard, core.state.shard(*shard)?.term.next())))
            .collect();
        core.claim(due, now, out);
    }

    fn refresh(&mut self, core: &Core, now: Time) {
        let state = &core.state;
        if state.free() == 0 {
            self.since.clear();
            return;
        }
        self.since.retain(|shard, _| {
            state
                .shard(*shard)
                .is_some_and(|ownership| ownership.owner.is_none())
        });
        for (shard, ownership) in state.shards() {
            if ownership.owner.is_none() {
                self.since.entry(shard).or_insert(now);
            }
        }
    }
}

/// Returns the live members that may claim, except those that are leaving.
fn candidates<'a>(core: &'a Core, evidence: &Evidence, live: &[Incarnation]) -> Vec<&'a Member> {
    core.state
        .group()
        .members()
        .iter()
        .filter(|member| live.contains(&member.incarnation))
        .filter(|member| !evidence.is_leaving(&member.instance))
        .collect()
}

fn is_due(core: &Core, candidates: &[&Member], shard: ShardId, since: Time, now: Time) -> bool {
    let rank = member_rank(shard, &core.me, candidates.iter().copied());
    since + core.timers.stagger.times(rank as u64) <= now
}
