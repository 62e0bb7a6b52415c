//! Clients against stand-in servers and misbehaving peers.

mod adaptive_timeout;
mod certainty;
mod instance_list;
mod log;
mod pool;
mod support;
mod worker;
