//! One owner's cell: the workers it may use and the jobs it has to run.
//!
//! A [`Cell`] is a pure state machine. Events go in with the time, [`Action`]s come out; nothing
//! here reads a clock or a socket, so one order of events gives one result.

mod advice;
mod cell;
mod election;
mod estimate;
mod id;
mod job;
mod placement;
mod record;
mod run;
mod spec;
mod worker;

pub use advice::Ticket;
pub use cell::{
    Action, AdviceCallId, Cell, CellTimers, Counters, RecordBatch, StartOrder, StopOrder,
    SubmitOutcome,
};
pub use election::{Claim, ElectionStep, ElectionTimers, GroupRecord, Member, OwnerElection};
pub use id::{JobId, TaskName};
pub use job::JobState;
pub use record::{JobRecord, Placement, RecordError};
pub use run::{EndReason, RunEnd, StartOutcome};
pub use spec::{AdviceCost, JobSpec, QueuePolicy, Resources, Schedule, StepSpec};
pub use worker::{PollFailure, Registration, RunningTask, WorkerKey, WorkerPoll, WorkerStatus};
