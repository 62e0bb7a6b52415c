//! An instance on the users' platform. Every instance accepts callers' jobs, and one instance at a
//! time owns the cell and dispatches tasks to its workers.
//!
//! All instances run the same program and keep their durable state in the platform's log:
//!
//! - the intake holds accepted and cancelled jobs, appended by the owner for its siblings or by the
//!   instance that received them;
//! - the progress of jobs is appended by the owner only;
//! - the group partition holds claims of ownership, heartbeats and members.

pub mod cmd;
pub mod events;

mod access;
mod callers;
mod cancellation;
mod configuration;
mod forecast;
mod hedged_append;
mod http;
mod intake;
mod job_states;
mod layout;
mod link;
mod metrics;
mod node;
mod owner;
mod ownership;
mod relay;
mod room;
mod shared;
mod siblings;
#[cfg(test)]
mod test_support;
mod token_bucket;

pub use metrics::Metrics;
pub use node::{Node, NodeError};
