//! Crowds of clients that break off, stall or do not read, against an instance as a separate process.
//!
//! The limits are those of the instance's settings, lowered so that a small crowd reaches them. The
//! tests run one at a time, as each measures the memory of a process.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod accepted;
mod crowd;
mod flood;
mod instance;
mod odd_requests;
mod returning;
mod usage;
