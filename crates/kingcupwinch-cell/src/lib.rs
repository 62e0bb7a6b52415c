//! One owner's cell: the workers it may use and the jobs it has to run.
//!
//! A [`Cell`] is a pure state machine. Events go in with the time, [`Action`]s come out; nothing
//! here reads a clock or a socket, so one order of events gives one result.

mod advice;
mod cell;
mod id;
mod job;
mod plan;
mod record;
mod run;
mod spec;
mod speed;
mod tenure;
mod worker;

pub use advice::Ticket;
pub use cell::{Action, AskKey, Cell, Counters, Limits, Records, StartOrder, StopOrder, Submitted};
pub use id::{JobId, TaskName};
pub use job::Shown;
pub use record::{JobRecord, Placement, RecordError};
pub use run::{EndKind, Ended, StartAnswer};
pub use spec::{AdviceTerms, JobSpec, Size, StepSpec, Terms, Timetable};
pub use tenure::{Claim, Duty, GroupRecord, Member, Tenure, TenureTimers};
pub use worker::{Look, LookOrder, Missed, Registration, RunningTask, WorkerKey};
