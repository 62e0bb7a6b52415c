//! The list of instances.

mod engine;
mod service;

pub use engine::RosterEngine;
pub use service::{FakeRoster, RosterFront};
