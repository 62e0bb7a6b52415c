//! The actors that join the pure state machines to the network.

pub(crate) mod alarm;
pub(crate) mod config;
pub(crate) mod jobs;
pub(crate) mod keys;
pub(crate) mod ownership;
pub(crate) mod reader;
pub(crate) mod roster;
pub(crate) mod scheduler;
