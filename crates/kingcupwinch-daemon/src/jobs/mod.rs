//! Jobs: ids, task progress and the callers' interface.

mod final_states;
mod id;
mod progress;
mod service;

pub(crate) use final_states::FinalStates;
pub(crate) use id::{JobIdParts, TaskIdParts};
pub(crate) use progress::{JobProgress, TaskReport, TaskStatus, ended_status};
pub(crate) use service::{JobService, RUNNING_REASON, UNCONFIRMED_REASON};
