//! Small, exhaustively explored specifications of the core protocols.
//!
//! A [`Model`] is a pure transition function over small states. [`explore()`] visits all reachable
//! states breadth first, so that it reports a violated property with a shortest trace. The rules of
//! [`ownership`], [`at_most_once`] and [`placement`] are data: tests check that leaving out a rule
//! gives a counterexample, which shows that the exploration would detect the fault.
//!
//! [`jobs`] and [`config`] define the state of a log stream as a fold over the whole log. Tests
//! compare the readers in `kingcupwinch-coord` with it.
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
