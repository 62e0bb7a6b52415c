//! The longest lease that the owners of the cell grant, and the record of it.
//!
//! A takeover waits for the leases of workers that don't respond, since an earlier owner may have
//! renewed them until it stopped. An owner of an earlier version may have granted longer leases, so
//! each owner records the longest one that may still be held, and relies only on the record of its
//! direct predecessor.
//!
//! A claim states the bounds to which its owner and all before it keep, so that a successor knows them
//! though an owner was lost before it recorded anything. Leases end at a fixed time after the owner was
//! last confirmed to hold the cell, which is before its successor's claim.

use kingcupwinch_cell::{LeaseBounds, longest_expiry};
use kingcupwinch_time::{Span, Time};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The longest lease that is granted where the platform allows longer ones. A long-running task has
/// to run again 9 s after its worker was lost. A takeover and a call to the adviser take up to 2 s
/// of that.
const MAX_LEASE: Span = Span::from_millis(7_000);
/// The longest time from the owner's last confirmation to the end of a lease. A long-running task has to
/// run again 10 s after its worker and the owner were lost, and a takeover takes 1 s of that.
const TERM_LEASE: Span = Span::from_millis(8_500);
/// Subtracted from the longest lease that the platform allows, because clocks are read with a delay.
const LEASE_MARGIN: Span = Span::from_millis(150);

/// The longest lease that may be held when this record is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// The generation of the owner that wrote the record.
    generation: u32,
    lease_ms: u64,
    /// The longest time from an owner's last confirmation to the end of a lease. Owners of earlier
    /// versions keep to none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    term_ms: Option<u64>,
}

/// The longest leases that an owner grants and inherits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseLimits {
    generation: u32,
    /// The longest lease that this owner grants.
    pub(crate) granted: Span,
    /// The longest lease that earlier owners may have granted.
    pub(crate) inherited: Span,
    /// The bounds to which all earlier owners kept whose leases may still be held, if there are any.
    pub(crate) inherited_bounds: Option<LeaseBounds>,
}

impl LeaseLimits {
    /// Returns the limits of the owner of a generation. `allowed` is the longest lease that the
    /// platform allows, `bounds` are those in its claim, and `record` is the newest one in the log.
    pub(crate) fn new(
        generation: u32,
        allowed: Span,
        bounds: Option<LeaseBounds>,
        record: Option<LeaseRecord>,
    ) -> Self {
        let known = record.filter(|record| record.generation + 1 == generation);
        let grant_ms = known.map(|record| record.lease_ms);
        let grant_ms = grant_ms.or(bounds.map(|bounds| bounds.grant_ms));
        let inherited = grant_ms.map_or(allowed, Span::from_millis).min(allowed);
        let of_record = known.and_then(|record| record.term_ms);
        let of_record = of_record.map(|term_ms| LeaseBounds {
            grant_ms: inherited.as_millis(),
            term_ms,
        });
        LeaseLimits {
            generation,
            granted: longest_grant(allowed),
            inherited,
            inherited_bounds: of_record.or(bounds),
        }
    }

    /// Returns the bounds to which an owner keeps.
    pub(crate) fn own_bounds(allowed: Span) -> LeaseBounds {
        LeaseBounds {
            grant_ms: longest_grant(allowed).as_millis(),
            term_ms: TERM_LEASE.as_millis(),
        }
    }

    /// Returns when the leases of an owner end at the latest that was confirmed last at a time.
    pub(crate) fn end_after(confirmed_at: Time) -> Time {
        confirmed_at + TERM_LEASE
    }

    /// Returns from when on no lease is held that is longer than the granted ones. Earlier owners
    /// may have granted leases until `stopped_at`.
    pub(crate) fn record_due(&self, stopped_at: Time, now: Time) -> Time {
        if self.inherited <= self.granted {
            now
        } else {
            stopped_at + longest_expiry(self.inherited)
        }
    }

    /// Returns the record for the next owner.
    pub(crate) fn to_record(self) -> LeaseRecord {
        LeaseRecord {
            generation: self.generation,
            lease_ms: self.granted.as_millis(),
            term_ms: Some(TERM_LEASE.as_millis()),
        }
    }
}

/// Returns the longest lease that an owner grants.
fn longest_grant(allowed: Span) -> Span {
    MAX_LEASE.min(allowed - LEASE_MARGIN)
}
