//! An owner's claims for itself: after its voters went, after a voter supported_against it, and after a
//! hand-over or release that proved invalid.

use kingcupwinch_time::{Span, Time};

use crate::id::{ShardId, Term};

use super::core::Core;
use super::event::Action;
use super::promises::HeldPromises;

/// Spread of the owners' claims after a change of the group, for each member.
const SPREAD: Span = Span::from_millis(100);

/// When this instance last claimed for itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reclaim {
    next: Time,
    checked: Option<Time>,
}

impl Reclaim {
    pub(crate) fn step(
        &mut self,
        core: &mut Core,
        promises: &mut HeldPromises,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if now < self.next || !core.life.may_own() || !core.is_fresh(now) {
            return;
        }
        let mut shards = withheld(core);
        if promises.supported_against {
            shards.extend(kept(core, |_, _| true));
        } else if core.may_claim(now) {
            shards.extend(self.outvoted(core, now));
        }
        promises.supported_against = false;
        if shards.is_empty() {
            return;
        }
        self.next = now + core.timers.settle_delay;
        core.claim(shards, now, out);
    }

    /// Returns the owned shards whose voters are not those of the present group.
    fn outvoted(&mut self, core: &Core, now: Time) -> Vec<(ShardId, Term)> {
        let settled = core.regrouped + core.timers.settle_delay + spread(core);
        if now < settled || self.checked >= Some(core.changed) {
            return Vec::new();
        }
        self.checked = Some(core.changed);
        let voters = core.own_voters();
        kept(core, |core, shard| {
            core.ledger
                .shard(shard)
                .is_some_and(|ownership| ownership.voters != voters)
        })
    }
}

/// Returns how long this instance lets others claim first: the later, the larger the group.
fn spread(core: &Core) -> Span {
    let position = core.ledger.group().position(core.id()).unwrap_or(0);
    SPREAD.times(position as u64)
}

/// Returns the shards that were given up by a record that took no effect.
fn withheld(core: &Core) -> Vec<(ShardId, Term)> {
    if !core.holdings.any_stopping() {
        return Vec::new();
    }
    core.holdings
        .iter()
        .filter(|(shard, holding)| holding.stopping && !core.outbox.holds(*shard))
        .map(|(shard, holding)| (shard, holding.term.next()))
        .collect()
}

/// Returns the kept shards that `is_wanted` accepts, each with the term after its own.
fn kept(core: &Core, is_wanted: impl Fn(&Core, ShardId) -> bool) -> Vec<(ShardId, Term)> {
    core.holdings
        .kept()
        .filter(|(shard, _)| is_wanted(core, *shard))
        .filter(|(shard, _)| !core.outbox.holds(*shard))
        .map(|(shard, holding)| (shard, holding.term.next()))
        .collect()
}
