//! The longest lease that the owners of the cell grant, and the record of it.
//!
//! A takeover waits for the leases of workers that don't respond, since an earlier owner may have
//! renewed them until it stopped. An owner of an earlier version may have granted longer leases, so
//! each owner records the longest one that may still be held, and relies only on the record of its
//! direct predecessor.

use kingcupwinch_cell::longest_expiry;
use kingcupwinch_time::{Span, Time};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The longest lease that is granted where the platform allows longer ones. A long-running task has
/// to run again 9 s after its worker was lost. A takeover and a call to the adviser take up to 2 s
/// of that.
const MAX_LEASE: Span = Span::from_millis(7_000);
/// Subtracted from the longest lease that the platform allows, because clocks are read with a delay.
const LEASE_MARGIN: Span = Span::from_millis(150);

/// The longest lease that may be held when this record is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// The generation of the owner that wrote the record.
    generation: u32,
    lease_ms: u64,
}

/// The longest leases that an owner grants and inherits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseLimits {
    generation: u32,
    /// The longest lease that this owner grants.
    pub(crate) granted: Span,
    /// The longest lease that earlier owners may have granted.
    pub(crate) inherited: Span,
}

impl LeaseLimits {
    /// Returns the limits of the owner of a generation. `allowed` is the longest lease that the
    /// platform allows, and `record` the newest one in the log.
    pub(crate) fn new(generation: u32, allowed: Span, record: Option<LeaseRecord>) -> Self {
        let known = record.filter(|record| record.generation + 1 == generation);
        let inherited = known.map_or(allowed, |record| Span::from_millis(record.lease_ms));
        LeaseLimits {
            generation,
            granted: MAX_LEASE.min(allowed - LEASE_MARGIN),
            inherited: inherited.min(allowed),
        }
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
        }
    }
}
