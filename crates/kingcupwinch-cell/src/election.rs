//! The election of the owner by claims in the log.
//!
//! A claim is appended on condition that the log still ends where its writer had read to. This
//! gives all claims one order, and the last one holds. Its offset is the term, which serves as the
//! fencing token: workers refuse orders of an earlier term, and the log refuses records of an
//! earlier one. An owner whose heartbeats stop for [`ElectionTimers::owner_timeout`] may be
//! replaced.
//!
//! A claimant sends heartbeats while it restores the cell's state, which takes long on a narrow link.
//! If it is replaced before it serves, its successor gets twice the time, and so on, so that claims
//! don't follow one another faster than any claimant can restore the state.

use std::cmp::Reverse;
use std::hash::BuildHasher;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::lease::LeaseBounds;

/// The owner timeout on a slow store, as a multiple of the longest interval between heartbeats.
const HEARTBEAT_MARGIN: u64 = 3;
/// The divisor of the heartbeat interval that gives its decay with each heartbeat.
const INTERVAL_DECAY: u64 = 8;
/// The highest number of unsuccessful claims in a row that lengthen timeouts, each by a factor of two.
const MAX_DOUBLINGS: u32 = 3;

/// A record of the group's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum GroupRecord {
    /// An instance claims ownership of the cell.
    Claim {
        /// The name of the instance.
        instance: Arc<str>,
        /// The address at which its siblings reach it.
        address: Arc<str>,
        /// The number of claims so far, including this one.
        generation: u32,
        /// The bounds on the leases of this owner and those before it, if all of them keep to one. Owners
        /// of earlier versions don't.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        leases: Option<LeaseBounds>,
    },
    /// The owner is alive.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The term of the owner's claim.
        term: u64,
        /// Whether the owner is still restoring the state of the cell.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        restoring: bool,
    },
    /// The owner has stopped giving orders, and its records are complete.
    Release {
        /// The term of the owner's claim.
        term: u64,
        /// How long ago all owners before it that had not stopped were certainly fenced, in
        /// milliseconds. Owners of earlier versions don't tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fenced_ms_ago: Option<u64>,
    },
    /// An instance is a member of the group.
    Member {
        /// The name of the instance.
        instance: Arc<str>,
        /// The address at which its siblings reach it.
        address: Arc<str>,
        /// CPU that the instance could use as the owner, in thousandths of a core.
        #[serde(rename = "size")]
        millicores: u32,
        /// Memory of the instance in bytes. Earlier versions don't state it.
        #[serde(rename = "memory", default, skip_serializing_if = "Option::is_none")]
        memory_bytes: Option<u64>,
    },
}

/// An instance of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the instance.
    pub instance: Arc<str>,
    /// The address at which its siblings reach it.
    pub address: Arc<str>,
    /// CPU that the instance could use as the owner, in thousandths of a core.
    pub millicores: u32,
    /// Memory of the instance in bytes, if it is stated.
    pub memory_bytes: Option<u64>,
    /// When the last record of the member was read.
    last_seen: Time,
}

/// The claim that holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The term: the offset of the claim's record.
    pub term: u64,
    /// The name of the owning instance.
    pub instance: Arc<str>,
    /// The address at which its siblings reach it.
    pub address: Arc<str>,
    /// The number of claims so far, including this one.
    pub generation: u32,
    /// The bounds on the leases of this owner and those before it, if all of them keep to one.
    pub leases: Option<LeaseBounds>,
}

/// The timers of the owner election.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimers {
    /// The time without heartbeats after which an owner may be replaced while the store is fast.
    pub owner_timeout: Span,
    /// The time without heartbeats after which an owner may be replaced however slow the store is.
    pub max_timeout: Span,
    /// The time from its claim within which an owner has to restore the cell's state.
    pub restore_timeout: Span,
    /// The gap between two successful reads after which the time without heartbeats is measured
    /// from the later read.
    pub read_gap: Span,
    /// The delay before the first claim, so that the members are known by then.
    pub initial_delay: Span,
    /// The delay of a claim for each larger member, so that large instances own the cell.
    pub rank_delay: Span,
    /// The CPU in thousandths of a core below which an owner yields to a much larger member.
    pub small_millicores: u32,
    /// How long the larger member must have been present before the owner yields.
    pub yield_after: Span,
    /// The time without announcements of a member after which it is gone.
    pub member_timeout: Span,
}

/// What an instance has to do next about ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionStep {
    /// Do nothing before this time.
    Wait(Time),
    /// Append a claim if the log still ends where this instance has read to.
    Claim {
        /// The generation of the new claim.
        generation: u32,
    },
}

/// One instance's view of the owner election.
#[derive(Debug)]
pub struct OwnerElection {
    instance: Arc<str>,
    timers: ElectionTimers,
    claim: Option<Claim>,
    is_released: bool,
    /// Whether the owner has restored the cell's state.
    is_serving: bool,
    /// Whether the current claim is one that this process has given up.
    is_abandoned: bool,
    /// The number of claims in a row before the current one whose owners never served.
    failed_claims: u32,
    /// A time at which all owners before the current claim were certainly fenced, if there is one.
    earlier_fenced_at: Option<Time>,
    /// The last heartbeat, or the start of continuous reading if that is later.
    last_heartbeat: Time,
    /// The longest recent interval between two heartbeats, which decays with each heartbeat.
    heartbeat_interval: Span,
    last_read: Option<Time>,
    /// Since when the log was read without a gap.
    read_since: Time,
    claimed_at: Time,
    members: Vec<Member>,
}

impl OwnerElection {
    /// Creates a view without a claim or members.
    pub fn new(instance: Arc<str>, timers: ElectionTimers, now: Time) -> Self {
        OwnerElection {
            instance,
            timers,
            claim: None,
            is_released: false,
            is_serving: false,
            is_abandoned: false,
            failed_claims: 0,
            earlier_fenced_at: Some(Time::ZERO),
            last_heartbeat: now,
            heartbeat_interval: Span::ZERO,
            last_read: None,
            read_since: now,
            claimed_at: now,
            members: Vec::new(),
        }
    }

    /// Records that a read answered at `now` reached the end of the log.
    pub fn note_read(&mut self, now: Time) {
        let continuous = self
            .last_read
            .is_some_and(|last_read| now.since(last_read) <= self.timers.read_gap);
        if !continuous {
            self.last_heartbeat = now;
            self.read_since = now;
        }
        self.last_read = Some(now);
    }

    /// Applies a record, in the order of the log.
    pub fn apply(&mut self, offset: u64, record: GroupRecord, now: Time) {
        match record {
            GroupRecord::Claim {
                instance,
                address,
                generation,
                leases,
            } => {
                if self
                    .claim
                    .as_ref()
                    .is_some_and(|claim| claim.term >= offset)
                {
                    return;
                }
                if !self.succeeds_stopped_owner(&instance, generation) {
                    self.earlier_fenced_at = None;
                }
                let has_failed = self.claim.is_some() && !self.is_serving && !self.is_released;
                self.failed_claims = if has_failed {
                    (self.failed_claims + 1).min(MAX_DOUBLINGS)
                } else {
                    0
                };
                self.is_serving = false;
                self.is_abandoned = false;
                self.claim = Some(Claim {
                    term: offset,
                    instance,
                    address,
                    generation,
                    leases,
                });
                self.is_released = false;
                self.heartbeat_interval = Span::ZERO;
                self.last_heartbeat = now;
                self.claimed_at = now;
            }
            GroupRecord::Heartbeat { term, restoring } => {
                if self.is_current(term) {
                    self.is_serving |= !restoring;
                    // An owner fences the earlier ones before its first heartbeat.
                    self.earlier_fenced_at.get_or_insert(now);
                    let decayed = self.heartbeat_interval
                        - self.heartbeat_interval.divided_by(INTERVAL_DECAY);
                    self.heartbeat_interval = decayed.max(now.since(self.last_heartbeat));
                    self.last_heartbeat = now;
                }
            }
            GroupRecord::Release {
                term,
                fenced_ms_ago,
            } => {
                if self.is_current(term) {
                    // The record was written before it was read, so that this is no time too early.
                    let fenced_at = now - Span::from_millis(fenced_ms_ago.unwrap_or(0));
                    let known = self.earlier_fenced_at.unwrap_or(fenced_at);
                    self.earlier_fenced_at = Some(known.min(fenced_at));
                    self.is_released = true;
                    self.last_heartbeat = now;
                }
            }
            GroupRecord::Member {
                instance,
                address,
                millicores,
                memory_bytes,
            } => {
                self.members.retain(|member| member.instance != instance);
                self.members.push(Member {
                    instance,
                    address,
                    millicores,
                    memory_bytes,
                    last_seen: now,
                });
                // Instances of equal size are ordered by a hash of their names: names that are alike often
                // share a failure domain, and those that claim next should not.
                self.members.sort_by_cached_key(|member| {
                    let name = &*member.instance;
                    (
                        Reverse(member.millicores),
                        hash_of(name),
                        Arc::clone(&member.instance),
                    )
                });
            }
        }
    }

    /// Returns whether a new claim directly follows the current one, whose owner has stopped: it
    /// has released the cell, or was an earlier process of the claimant.
    fn succeeds_stopped_owner(&self, instance: &str, generation: u32) -> bool {
        let Some(claim) = &self.claim else {
            return generation == 1;
        };
        let is_stopped = self.is_released || &*claim.instance == instance;
        is_stopped && claim.generation + 1 == generation
    }

    fn is_current(&self, term: u64) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.term == term)
    }

    /// Returns the claim that holds, if there is one.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns the bounds on the leases of an owner that claims next and keeps to `own`, and of those before
    /// it. `None` if one of these keeps to none.
    pub fn lease_bounds(&self, own: LeaseBounds) -> Option<LeaseBounds> {
        match &self.claim {
            Some(claim) => claim.leases.map(|earlier| earlier.max(own)),
            None => Some(own),
        }
    }

    /// Returns a time at which all owners that may still give orders were certainly fenced, or `None`
    /// if one of them may not have been fenced yet. That the current owner has stopped says nothing
    /// about those before it, which may not have learned of its claim.
    pub fn earlier_owners_fenced_at(&self) -> Option<Time> {
        self.earlier_fenced_at.filter(|_| self.is_owner_stopped())
    }

    /// Returns whether the owner certainly gives no more orders: there is none, it has released the
    /// cell, or it was an earlier process of this instance.
    pub fn is_owner_stopped(&self) -> bool {
        self.is_released
            || self
                .claim
                .as_ref()
                .is_none_or(|claim| claim.instance == self.instance)
    }

    /// Records that this instance gives up its claim, since it could not restore the cell's state in
    /// time. The other members claim before it does so again.
    pub fn abandon_claim(&mut self) {
        self.is_abandoned = true;
    }

    /// Returns how long after its claim the owner may still be restoring the cell's state.
    pub fn restore_timeout(&self) -> Span {
        self.backed_off(self.timers.restore_timeout)
    }

    /// Doubles a timeout for each claim in a row whose owner never served.
    fn backed_off(&self, timeout: Span) -> Span {
        timeout.times(1 << self.failed_claims)
    }

    /// Returns the members, the largest first.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Removes a member whose record was deleted: it has stopped, or is gone.
    pub fn remove_member(&mut self, instance: &str) {
        self.members.retain(|member| &*member.instance != instance);
    }

    /// Returns the other members that have not announced themselves for so long that they are gone. One
    /// that was only cut off announces itself again.
    pub fn gone_members(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_gone = move |member: &&Member| {
            let heard = member.last_seen.max(self.read_since);
            member.instance != self.instance && heard + self.timers.member_timeout <= now
        };
        self.members.iter().filter(is_gone)
    }

    /// Returns the number of members that come before this instance in the order of claims.
    pub fn rank(&self) -> usize {
        let position = self
            .members
            .iter()
            .position(|member| member.instance == self.instance);
        position.unwrap_or(self.members.len())
    }

    /// Returns whether this instance, as a small owner, should yield the cell to a member that is
    /// at least twice as large and was seen since the claim.
    pub fn should_yield(&self, now: Time) -> bool {
        let Some(own) = self
            .members
            .iter()
            .find(|member| member.instance == self.instance)
        else {
            return false;
        };
        self.members.iter().any(|other| {
            let is_larger = own.millicores < self.timers.small_millicores
                && other.millicores >= own.millicores * 2;
            let yield_at = other.last_seen + self.timers.yield_after;
            is_larger && other.last_seen > self.claimed_at && yield_at <= now
        })
    }

    /// Returns the next step of an instance that is not the owner.
    pub fn next_step(&self, now: Time) -> ElectionStep {
        let Some(last_read) = self.last_read else {
            return ElectionStep::Wait(now + self.timers.read_gap);
        };
        if now.since(last_read) > self.timers.read_gap {
            return ElectionStep::Wait(now + self.timers.read_gap);
        }
        let timeout = if self.is_owner_stopped() && !self.is_abandoned {
            Span::ZERO
        } else {
            // On a slow store, heartbeats arrive late.
            let heartbeat_timeout = self.heartbeat_interval.times(HEARTBEAT_MARGIN);
            let timeout = heartbeat_timeout
                .max(self.timers.owner_timeout)
                .min(self.timers.max_timeout);
            self.backed_off(timeout)
        };
        let timeout = if self.claim.is_none() {
            self.timers.initial_delay
        } else {
            timeout
        };
        let turn = if self.is_abandoned {
            self.members.len() + 1
        } else {
            self.rank()
        };
        let rank_delay = self.timers.rank_delay.times(turn as u64);
        let due = self.last_heartbeat + timeout + self.backed_off(rank_delay);
        if now < due {
            return ElectionStep::Wait(due);
        }
        let generation = self.claim.as_ref().map_or(0, |claim| claim.generation) + 1;
        ElectionStep::Claim { generation }
    }
}

/// Returns a hash that is the same on all instances.
fn hash_of(name: &str) -> u64 {
    FxBuildHasher.hash_one(name)
}
