//! Evidence that a member has stopped, from the instance list.
//!
//! The list is delayed and may omit live instances for a moment. A member therefore counts as
//! stopped only after it was absent from every list read during the lag bound. A newer incarnation
//! of the same instance is evidence as well.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::id::Incarnation;
use crate::record::OwnerRecord;

use super::core::Core;
use super::event::Action;

/// Minimum number of lists to read within the lag bound. After a longer gap between two reads,
/// absence is measured from the start again.
const MIN_LIST_READS: u64 = 4;

/// Evidence from the instance list and from later incarnations that members have stopped.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    /// Members that the latest instance lists omit, each with the time since which they do.
    absent: FxHashMap<Incarnation, Time>,
    /// Members with a newer incarnation, each with the time at which that was first noticed.
    superseded: FxHashMap<Incarnation, Time>,
    leaving: FxHashSet<Arc<str>>,
    last_read: Time,
    members_changed: Option<Time>,
}

impl Evidence {
    /// Processes an instance list, and ignores one that does not contain this instance itself.
    pub(crate) fn handle_instance_list(
        &mut self,
        core: &Core,
        sent: Time,
        live: &[Arc<str>],
        leaving: &[Arc<str>],
    ) {
        let listed: FxHashSet<&Arc<str>> = live.iter().chain(leaving).collect();
        if sent < self.last_read || !listed.contains(&core.me.instance) {
            return;
        }
        let max_gap = core.timers.list_lag.divided_by(MIN_LIST_READS);
        if self.last_read + max_gap < sent {
            self.absent.clear();
        }
        self.last_read = sent;
        self.leaving = leaving.iter().cloned().collect();
        for member in core.state.group().members() {
            if listed.contains(&member.instance) {
                self.absent.remove(&member.incarnation);
            } else {
                self.absent.entry(member.incarnation).or_insert(sent);
            }
        }
    }

    /// Records members that a newer incarnation supersedes, and drops entries of former members.
    pub(crate) fn step(&mut self, core: &Core, now: Time) {
        if self.members_changed == Some(core.members_changed) {
            return;
        }
        self.members_changed = Some(core.members_changed);
        let group = core.state.group();
        self.absent.retain(|member, _| group.contains(*member));
        self.superseded.retain(|member, _| group.contains(*member));
        for member in group.members() {
            if group.is_superseded(member.incarnation) {
                self.superseded.entry(member.incarnation).or_insert(now);
            }
        }
    }

    /// Returns the time since which a member counts as stopped, or `None` if it does not.
    pub(crate) fn stopped_since(
        &self,
        core: &Core,
        member: Incarnation,
        now: Time,
    ) -> Option<Time> {
        if !core.timers.trust_list || member == core.id() {
            return None;
        }
        let absent = lag_end(&self.absent, member, core.timers.list_lag, core);
        if let Some(at) = absent.filter(|at| *at <= self.last_read) {
            return Some(at);
        }
        let superseded = lag_end(&self.superseded, member, core.timers.restart_lag, core);
        superseded.filter(|at| *at <= now)
    }

    /// Returns whether the instance list marks an instance as leaving.
    pub(crate) fn is_leaving(&self, instance: &Arc<str>) -> bool {
        self.leaving.contains(instance)
    }

    /// Retires members that have stopped and own no shard.
    ///
    /// Live members act in the order in which they joined, each with a delay after the previous
    /// one.
    pub(crate) fn retire_stopped(&self, core: &mut Core, now: Time, out: &mut Vec<Action>) {
        let has_evidence = !self.absent.is_empty() || !self.superseded.is_empty();
        if !has_evidence || !core.may_claim(now) {
            return;
        }
        let live: Vec<Incarnation> = self.live_members(core, now);
        let Some(rank) = live.iter().position(|member| *member == core.id()) else {
            return;
        };
        let delay = core.timers.stagger.times(rank as u64);
        let stopped: Vec<Incarnation> = core
            .state
            .group()
            .members()
            .iter()
            .map(|member| member.incarnation)
            .filter(|member| core.state.count(*member) == 0)
            .filter(|member| {
                self.stopped_since(core, *member, now)
                    .is_some_and(|since| since + delay <= now)
            })
            .collect();
        for member in stopped {
            let record = OwnerRecord::Retire(member);
            if !core.outbox.any(|pending| *pending == record) {
                core.append(record, now, out);
            }
        }
    }

    /// Returns the members that do not count as stopped, in the order in which they joined.
    pub(crate) fn live_members(&self, core: &Core, now: Time) -> Vec<Incarnation> {
        core.state
            .group()
            .members()
            .iter()
            .map(|member| member.incarnation)
            .filter(|member| self.stopped_since(core, *member, now).is_none())
            .collect()
    }
}

/// Returns the time at which evidence against a member has lasted for the lag bound.
fn lag_end(
    first_seen: &FxHashMap<Incarnation, Time>,
    member: Incarnation,
    lag: Span,
    core: &Core,
) -> Option<Time> {
    let lag = core.timers.drift.lengthen(lag);
    first_seen.get(&member).map(|since| *since + lag)
}
