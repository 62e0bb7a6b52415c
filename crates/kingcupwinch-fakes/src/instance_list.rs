//! A stand-in for the instance list.

mod engine;
mod service;

pub use engine::InstanceListEngine;
pub use service::{FakeInstanceList, InstanceListServer};
