//! Clients against stand-in servers and misbehaving peers.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod adaptive_timeout;
mod certainty;
mod instance_list;
mod log;
mod pool;
mod silent_connections;
mod support;
mod worker;
