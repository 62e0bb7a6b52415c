//! Embeddable coordination parts as pure state machines.
//!
//! Each part takes an event and the current time and returns actions; none does I/O or reads a
//! clock, so one sequence of events always gives the same result.
//!
//! [`ownership`] decides who may dispatch to which workers, [`dedupe`] that a request runs at most
//! once, [`jobs`] what becomes of accepted jobs, and [`history`] which configuration is in force.
//! All of them keep what must last on a shared log, seen through a [`log`] view.
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
