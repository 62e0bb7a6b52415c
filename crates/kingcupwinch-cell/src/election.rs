//! Who owns the cell: claims in the order of the log.
//!
//! A claim is appended on condition that the log ends where its writer had read to, so the claims
//! have one order and the last one holds. Its offset is the term: workers refuse orders of an
//! earlier term, and the log refuses the records of an earlier one. An owner that was silent for
//! [`ElectionTimers::silence`] may be replaced.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Silence that may be replaced, in multiples of the longest time between signs of life.
const HEARTBEAT_MARGIN: u64 = 3;
/// The part of that time that fades with each sign of life.
const INTERVAL_DECAY: u64 = 8;

/// A record of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum GroupRecord {
    /// An instance takes the cell over.
    Claim {
        /// The instance.
        instance: Arc<str>,
        /// Where its siblings reach it.
        address: Arc<str>,
        /// How many claims there were, with this one.
        generation: u32,
    },
    /// The owner lives.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The term of its claim.
        term: u64,
    },
    /// The owner has stopped giving orders, and its records are complete.
    Release {
        /// The term of its claim.
        term: u64,
    },
    /// An instance is there.
    Member {
        /// The instance.
        instance: Arc<str>,
        /// Where its siblings reach it.
        address: Arc<str>,
        /// Thousandths of a core that it has.
        #[serde(rename = "size")]
        millicores: u32,
    },
}

/// An instance of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: Arc<str>,
    /// Where its siblings reach it.
    pub address: Arc<str>,
    /// Thousandths of a core that it has.
    pub millicores: u32,
    /// When it was last heard of.
    last_seen: Time,
}

/// The claim that holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The offset of its record.
    pub term: u64,
    /// The owner.
    pub instance: Arc<str>,
    /// Where its siblings reach it.
    pub address: Arc<str>,
    /// How many claims there were, with this one.
    pub generation: u32,
}

/// The timers of ownership.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimers {
    /// An owner that was silent for so long may be replaced while the store is fast.
    pub owner_timeout: Span,
    /// An owner that was silent for so long may be replaced however slow the store is.
    pub max_timeout: Span,
    /// A gap between two successful reads after which silence is counted anew.
    pub read_gap: Span,
    /// Added before a first claim, so that the members are known by then.
    pub initial_delay: Span,
    /// Added for each larger member before a claim, so that large instances own the cell.
    pub rank_delay: Span,
    /// An owner of fewer thousandths of a core gives the cell to a much larger member.
    pub small_millicores: u32,
    /// It does so once the member was there for so long.
    pub yield_after: Span,
}

/// What an instance has to do about ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionStep {
    /// Nothing before this time.
    Wait(Time),
    /// Append a claim of this generation if the log still ends where it was read to.
    Claim {
        /// The generation of the new claim.
        generation: u32,
    },
}

/// One instance's view of who owns the cell.
#[derive(Debug)]
pub struct OwnerElection {
    instance: Arc<str>,
    timers: ElectionTimers,
    claim: Option<Claim>,
    is_released: bool,
    /// The last sign of life, or the start of continuous reading.
    last_heartbeat: Time,
    /// The longest of the last times between two signs of life, fading with each.
    heartbeat_interval: Span,
    last_read: Option<Time>,
    claimed_at: Time,
    members: Vec<Member>,
}

impl OwnerElection {
    /// Makes a view that knows nothing yet.
    pub fn new(instance: Arc<str>, timers: ElectionTimers, now: Time) -> Self {
        OwnerElection {
            instance,
            timers,
            claim: None,
            is_released: false,
            last_heartbeat: now,
            heartbeat_interval: Span::ZERO,
            last_read: None,
            claimed_at: now,
            members: Vec::new(),
        }
    }

    /// Notes that the log was read to its end by a read that was answered at `now`.
    pub fn note_read(&mut self, now: Time) {
        let continuous = self
            .last_read
            .is_some_and(|last_read| now.since(last_read) <= self.timers.read_gap);
        if !continuous {
            self.last_heartbeat = now;
        }
        self.last_read = Some(now);
    }

    /// Takes a record in, in the order of the log.
    pub fn apply(&mut self, offset: u64, record: GroupRecord, now: Time) {
        match record {
            GroupRecord::Claim {
                instance,
                address,
                generation,
            } => {
                if self
                    .claim
                    .as_ref()
                    .is_some_and(|claim| claim.term >= offset)
                {
                    return;
                }
                self.claim = Some(Claim {
                    term: offset,
                    instance,
                    address,
                    generation,
                });
                self.is_released = false;
                self.heartbeat_interval = Span::ZERO;
                self.last_heartbeat = now;
                self.claimed_at = now;
            }
            GroupRecord::Heartbeat { term } => {
                if self.is_current(term) {
                    let faded = self.heartbeat_interval
                        - self.heartbeat_interval.divided_by(INTERVAL_DECAY);
                    self.heartbeat_interval = faded.max(now.since(self.last_heartbeat));
                    self.last_heartbeat = now;
                }
            }
            GroupRecord::Release { term } => {
                if self.is_current(term) {
                    self.is_released = true;
                    self.last_heartbeat = now;
                }
            }
            GroupRecord::Member {
                instance,
                address,
                millicores: size,
            } => {
                self.members.retain(|member| member.instance != instance);
                self.members.push(Member {
                    instance,
                    address,
                    millicores: size,
                    last_seen: now,
                });
                // Equal instances are ordered by name.
                self.members.sort_by(|a, b| {
                    b.millicores
                        .cmp(&a.millicores)
                        .then_with(|| a.instance.cmp(&b.instance))
                });
            }
        }
    }

    fn is_current(&self, term: u64) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.term == term)
    }

    /// Returns the claim that holds.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns whether the owner certainly gives no more orders: it has released the cell, or it
    /// was an earlier life of this instance.
    pub fn is_owner_stopped(&self) -> bool {
        self.is_released
            || self
                .claim
                .as_ref()
                .is_none_or(|claim| claim.instance == self.instance)
    }

    /// Returns the instances, the largest first.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns how many members come before this instance in the order of claims.
    pub fn rank(&self) -> usize {
        let position = self
            .members
            .iter()
            .position(|member| member.instance == self.instance);
        position.unwrap_or(self.members.len())
    }

    /// Returns whether this instance, as a small owner, gives the cell to one that is twice as large
    /// and was heard of since the claim.
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
            let since = other.last_seen + self.timers.yield_after;
            is_larger && other.last_seen > self.claimed_at && since <= now
        })
    }

    /// Returns what an instance that is not the owner has to do.
    pub fn next_step(&self, now: Time) -> ElectionStep {
        let Some(last_read) = self.last_read else {
            return ElectionStep::Wait(now + self.timers.read_gap);
        };
        if now.since(last_read) > self.timers.read_gap {
            return ElectionStep::Wait(now + self.timers.read_gap);
        }
        let timeout = if self.is_owner_stopped() {
            Span::ZERO
        } else {
            // While the store is slow, signs of life come late.
            let heartbeat_timeout = self.heartbeat_interval.times(HEARTBEAT_MARGIN);
            heartbeat_timeout
                .max(self.timers.owner_timeout)
                .min(self.timers.max_timeout)
        };
        let timeout = if self.claim.is_none() {
            self.timers.initial_delay
        } else {
            timeout
        };
        let due = self.last_heartbeat + timeout + self.timers.rank_delay.times(self.rank() as u64);
        if now < due {
            return ElectionStep::Wait(due);
        }
        let generation = self.claim.as_ref().map_or(0, |claim| claim.generation) + 1;
        ElectionStep::Claim { generation }
    }
}
