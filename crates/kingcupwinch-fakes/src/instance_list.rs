//! The list of instances.

mod engine;
mod service;

pub use engine::InstanceListEngine;
pub use service::{FakeInstanceList, InstanceListServer};
