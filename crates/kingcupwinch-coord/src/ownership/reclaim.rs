//! Claims of an owner for its own shards: after its voters changed, after a voter voted for a claim
//! against it, and after a handover or release that turned out to be invalid.

use kingcupwinch_time::{Span, Time};

use crate::id::{ShardId, Term};

use super::core::Core;
use super::event::Action;
use super::promises::HeldPromises;

/// Delay between the reclaims of successive members after a change of the group.
const CLAIM_SPACING: Span = Span::from_millis(100);

/// Schedule of this instance's claims for its own shards.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reclaim {
    next_claim: Time,
    /// Time of the last change for which the voters were checked.
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
        if now < self.next_claim || !core.lifecycle.may_dispatch() || !core.is_fresh(now) {
            return;
        }
        let mut shards = rejected_transfers(core);
        if promises.voted_against {
            shards.extend(active_shards(core, |_, _| true));
        } else if core.may_claim(now) {
            shards.extend(self.with_stale_voters(core, now));
        }
        promises.voted_against = false;
        if shards.is_empty() {
            return;
        }
        self.next_claim = now + core.timers.settle_delay;
        core.claim(shards, now, out);
    }

    /// Returns the owned shards whose voters differ from those chosen from the current group.
    fn with_stale_voters(&mut self, core: &Core, now: Time) -> Vec<(ShardId, Term)> {
        let settled = core.members_changed + core.timers.settle_delay + claim_delay(core);
        if now < settled || self.checked >= Some(core.changed) {
            return Vec::new();
        }
        self.checked = Some(core.changed);
        let voters = core.own_voters();
        active_shards(core, |core, shard| {
            core.state
                .shard(shard)
                .is_some_and(|ownership| ownership.voters != voters)
        })
    }
}

/// Returns the delay of this instance after the first member, by its position in the group.
fn claim_delay(core: &Core) -> Span {
    let position = core.state.group().position(core.id()).unwrap_or(0);
    CLAIM_SPACING.times(position as u64)
}

/// Returns the shards whose handover or release record took no effect.
fn rejected_transfers(core: &Core) -> Vec<(ShardId, Term)> {
    if !core.local_shards.any_stopping() {
        return Vec::new();
    }
    core.local_shards
        .iter()
        .filter(|(shard, local)| local.stopping && !core.outbox.has_pending(*shard))
        .map(|(shard, local)| (shard, local.term.next()))
        .collect()
}

/// Returns the shards that are not stopping and satisfy `predicate`, each with its next term.
fn active_shards(core: &Core, predicate: impl Fn(&Core, ShardId) -> bool) -> Vec<(ShardId, Term)> {
    core.local_shards
        .active()
        .filter(|(shard, _)| predicate(core, *shard))
        .filter(|(shard, _)| !core.outbox.has_pending(*shard))
        .map(|(shard, local)| (shard, local.term.next()))
        .collect()
}
