//! Coordination protocols as embeddable, pure state machines.
//!
//! Each state machine takes events and the current time and returns actions or decisions. None of
//! them performs I/O or reads a clock, so the same sequence of events always gives the same result.
//!
//! - [`ownership`] decides which instance may dispatch to which workers.
//! - [`dedupe`] ensures that a request runs at most once.
//! - [`jobs`] keeps accepted jobs and decides how a new owner recovers them.
//! - [`history`] decides which version of the configuration is in force.
//!
//! Ownership, jobs and configuration are kept as records on the streams of a shared log; [`log`]
//! provides a reader's view of a stream.
//!
//! ```
//! use kingcupwinch_coord::hash::{domain_of, shard_of};
//! use kingcupwinch_coord::id::Domain;
//! use uuid::Uuid;
//!
//! let key = Uuid::from_u128(7);
//! let domains: Vec<Domain> = vec!["harju-a".into(), "harju-b".into()];
//! let home = domain_of(key, &domains);
//! assert!(home.is_some());
//! assert!(shard_of(key, 16).0 < 16);
//! ```

pub mod dedupe;
pub mod hash;
pub mod history;
pub mod id;
pub mod jobs;
pub mod log;
pub mod ownership;
pub mod record;
mod snapshot_schedule;
