//! How long the leases of the owners of a cell last.

use kingcupwinch_time::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::worker::longest_expiry;

/// The bounds on the leases of an owner and of all owners before it, as its claim states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseBounds {
    /// The longest time from the grant of a lease to its end, in milliseconds.
    pub grant_ms: u64,
    /// The longest time from the last confirmation of the owner that granted a lease to its end, in
    /// milliseconds.
    pub term_ms: u64,
}

impl LeaseBounds {
    /// Returns the bounds that hold for the leases of both.
    pub fn max(self, other: LeaseBounds) -> LeaseBounds {
        LeaseBounds {
            grant_ms: self.grant_ms.max(other.grant_ms),
            term_ms: self.term_ms.max(other.term_ms),
        }
    }

    /// Returns when all leases have certainly expired whose owners were fenced by a time: none of them was
    /// confirmed later.
    pub fn expiry_after(self, fenced_by: Time) -> Time {
        fenced_by + longest_expiry(Span::from_millis(self.term_ms))
    }
}
