//! The scheduler core of one owner: its workers, its jobs and the placement of tasks.
//!
//! A [`Cell`] is a pure state machine. Events go in together with the current time and [`Action`]s
//! come out. Nothing in this crate reads a clock or a socket, so the same sequence of events always
//! gives the same result.

mod advice;
mod cap;
mod cell;
mod crash;
mod crash_rate;
mod customer;
mod election;
mod end_rate;
mod estimate;
mod event;
mod fit;
mod footprint;
mod forecast;
mod id;
mod job;
mod lease;
mod mechanism;
mod pace;
mod placement;
mod record;
mod requester;
mod run;
mod run_time;
mod share;
mod spec;
mod tasks;
mod worker;

pub use advice::Ticket;
pub use cap::ResourceCap;
pub use cell::{
    Action, AdviceCallId, Cell, CellTimers, Counters, JobView, PaceOrder, RecordBatch, RunSummary,
    StartOrder, StopOrder, SubmitOutcome,
};
pub use crash::{Crash, Evidence};
pub use customer::CustomerPolicy;
pub use election::{Claim, ElectionStep, ElectionTimers, GroupRecord, Member, OwnerElection};
pub use event::{CapHold, CellEvent, CrashCause, SettleCause, StartDelay, StepWait};
pub use footprint::{Demand, Footprint, largest_job};
pub use forecast::{ForecastError, QueueForecast};
pub use id::{JobId, TaskName};
pub use job::JobState;
pub use lease::LeaseBounds;
pub use mechanism::{Disabled, Mechanism};
pub use placement::CapCounts;
pub use record::{JobRecord, LeftRuns, PartKey, Placement, RecordError, WorkerRecord};
pub use requester::Requester;
pub use run::{EndReason, RunEnd, StartOutcome};
pub use run_time::RunTimeRecord;
pub use share::{ShareRank, ShareTable};
pub use spec::{AdviceCost, JobSpec, QueuePolicy, Resources, Schedule, StepSpec};
pub use worker::{
    PollFailure, Registration, RunningTask, WorkerKey, WorkerPoll, WorkerStatus, longest_expiry,
};
