//! Scheduling decisions: queues, shares, placement, gangs, admission, retries and worker health.
//!
//! A [`Cell`] holds the machines of one owner and the tasks that wait and run on them. It is
//! deterministic: it receives events with the current time, and [`Cell::decide`] returns the
//! decisions. It does no I/O, reads no clock and draws its random numbers from a seed, so that the
//! same sequence of calls always gives the same decisions.
//!
//! ```
//! use kingcupwinch_policy::{Cell, ClassKind, ClassSpec, CustomerSpec, Decision, MachineSpec};
//! use kingcupwinch_policy::{Outcome, Plan, Resources, Exit, TaskSpec};
//! use kingcupwinch_time::{Span, Time};
//!
//! let plan = Plan::new()
//!     .with_class(ClassSpec::new("check", ClassKind::Live, 0))
//!     .with_customer(CustomerSpec::new("festival", 1.0));
//! let mut cell = Cell::new(plan, 7)?;
//! let check = cell.class("check").expect("declared above");
//! let festival = cell.customer("festival").expect("declared above");
//!
//! let now = Time::ZERO;
//! let capacity = Resources::new(16_000, 65_536).with_slots(8).with_connections(64);
//! cell.add_machine(MachineSpec::new("w1", "harju-a", "r1", capacity), now)?;
//!
//! let size = Resources::new(500, 256).with_connections(1);
//! let task = cell.submit(TaskSpec::new(check, festival, size, Span::from_millis(80)), now)?;
//! let mut decisions = Vec::new();
//! cell.decide(now, &mut decisions);
//! assert!(matches!(decisions[..], [Decision::Start(p)] if p.task == task));
//! let Decision::Start(place) = decisions[0] else { return Ok(()) };
//!
//! let later = now + Span::from_millis(75);
//! cell.ended(place, Exit::new(Outcome::Done, Span::from_millis(75)), later)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod cell;
mod class;
mod counters;
mod crash;
mod decision;
mod estimate;
mod fleet;
mod gang;
mod headroom;
mod health;
mod index;
mod key;
mod limit;
mod machine;
mod place;
mod plan;
mod queue;
mod refusal;
mod resources;
mod retry;
mod task;

pub use cell::Cell;
pub use counters::{ClassCounters, Counters};
pub use crash::Crashes;
pub use decision::{
    CancelOutcome, Credit, Decision, Disposition, Exit, GangTicket, NotStarted, Outcome, Placement,
    Placements, TaskSpec, Usage,
};
pub use gang::{GangSpec, Spread};
pub use key::{ClassKey, CreditKey, CustomerKey, GangKey, HoldKey, MachineKey, RackKey, TaskKey};
pub use machine::{MachineSpec, MachineState};
pub use plan::{
    ClassKind, ClassSpec, Contract, CustomerSpec, MAX_ENTRIES, Permille, Plan, Preemption,
    RateLimit, RetryPolicy, Weights,
};
pub use refusal::{CellError, Refusal};
pub use resources::{DIMENSIONS, Dimension, MAX_AMOUNT, Resources};
