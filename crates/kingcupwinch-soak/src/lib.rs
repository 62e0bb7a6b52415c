//! Randomized soak test of real instances under injected faults.
//!
//! Instances run as separate processes against stand-ins of the platform. A seed determines the
//! plan of faults, which may overlap: signals, links that loopback proxies block or delay, and a
//! store and workers that misbehave. Callers submit jobs all the while, and the operator adds and
//! removes routes and, in some runs, keys of customers. The responses to callers
//! and the events on workers are then checked against the invariants of the scheduler.

mod capacity;
mod checks;
mod cluster;
mod crashes;
mod crowd;
mod disturbances;
mod instance;
mod keys;
mod operator;
mod plan;
mod ports;
mod progress;
mod proxy;
mod routes;
mod run;
mod series;
mod workers;
mod workload;

pub use checks::{Invariant, Observations, ObservedJob, ObservedStep, Violation, check_invariants};
pub use disturbances::Disturbance;
pub use keys::{KeyObservations, KeyUse, ObservedKey};
pub use operator::{Lookup, ObservedRoute};
pub use plan::{Fault, InstanceFault, Plan, PlanKind, PlannedFault, Trigger};
pub use run::{Outcome, RunError, RunOptions, run};
