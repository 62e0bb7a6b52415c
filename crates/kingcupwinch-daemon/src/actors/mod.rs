//! Actors that connect the pure state machines of the coordination and policy crates to the
//! network.

pub(crate) mod alarm;
pub(crate) mod config;
pub(crate) mod instance_list;
pub(crate) mod jobs;
pub(crate) mod keys;
pub(crate) mod ownership;
pub(crate) mod reader;
pub(crate) mod scheduler;

#[cfg(test)]
mod tests;
