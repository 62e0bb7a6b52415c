//! Ownership protocol under failures, simulated in virtual time.

mod failures;
mod input;
mod net;
mod random;
mod rules;
mod session;
