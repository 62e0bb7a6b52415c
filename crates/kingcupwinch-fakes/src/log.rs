//! The append-only log service.

mod engine;
mod service;

pub use engine::LogEngine;
pub use service::{FakeLog, LogServer};
