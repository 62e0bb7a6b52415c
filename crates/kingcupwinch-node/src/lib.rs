//! One instance on the users' platform: it takes callers' jobs, and one instance at a time owns
//! the cell and gives its workers orders.
//!
//! Every instance runs the same program. What must last is in the platform's log: jobs and
//! cancellations in the intake, appended by the owner for its siblings or by whichever instance took
//! them; progress, appended by the owner only; claims of ownership.

pub mod cmd;
pub mod events;

mod callers;
mod configuration;
mod hedged_append;
mod http;
mod intake;
mod job_states;
mod layout;
mod metrics;
mod node;
mod owner;
mod ownership;
mod shared;
mod siblings;

pub use metrics::Metrics;
pub use node::{Node, NodeError};
