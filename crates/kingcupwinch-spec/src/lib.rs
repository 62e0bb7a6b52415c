//! Small specifications of the core protocols, explored exhaustively.
//!
//! A [`Model`] is a pure transition function over small states. [`explore()`] visits every
//! reachable state breadth first, so that a violated property comes with a shortest trace. Each
//! specification takes its rules as data; leaving one rule out must give a counterexample, or
//! the exploration proves nothing.
//!
//! ```
//! use kingcupwinch_spec::ownership::{Mutation, Ownership, Rules};
//! use kingcupwinch_spec::{Outcome, explore};
//!
//! let broken = Ownership::new(Rules::small().with_mutation(Mutation::NoWait));
//! let report = explore(&broken, 1_000_000);
//! assert!(matches!(report.outcome, Outcome::Violated { .. }));
//! ```

pub mod at_most_once;
pub mod config;
mod explore;
pub mod jobs;
pub mod ownership;
pub mod placement;

pub use explore::{Model, Outcome, Report, explore};
