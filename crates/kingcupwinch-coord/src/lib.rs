//! Embeddable coordination parts as pure state machines.
//!
//! Each part takes an event and the current time and returns actions; none does I/O or reads a
//! clock, so one sequence of events always gives the same result.

mod copies;
pub mod dedupe;
pub mod hash;
pub mod history;
pub mod id;
pub mod jobs;
pub mod log;
pub mod ownership;
pub mod record;
