//! A stand-in for the append-only log service.

mod engine;
mod service;

pub use engine::LogEngine;
pub use service::{FakeLog, LogServer};
