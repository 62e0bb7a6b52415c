//! A soak of real instances under faults from outside.
//!
//! Instances run as processes of their own against stand-ins of the platform. A seed gives one plan
//! of faults: signals, cuts and delays of links by loopback proxies, a store and workers that
//! misbehave, in series and overlapping. Callers go on all the while. What callers were told and
//! what workers saw is then held against the promises.

mod checks;
mod cluster;
mod instance;
mod plan;
mod ports;
mod proxy;
mod run;
mod workload;

pub use checks::{Invariant, ObservedJob, ObservedStep, Violation, check_invariants};
pub use plan::{Fault, Plan, PlannedFault};
pub use run::{Outcome, RunError, RunOptions, run};
