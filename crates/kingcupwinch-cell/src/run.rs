use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::TaskName;
use crate::job::JobKey;
use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// Names one run of a task.
    pub(crate) struct RunKey;
}

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Its placement is not in the log yet, and nothing was sent.
    Planned,
    /// An earlier owner placed it. A look under this owner's term settles it: the worker carries
    /// out no order of an earlier term after it.
    Inherited,
    /// It was given up before anything was sent.
    Withdrawn,
    /// The order is on its way.
    Starting,
    /// The order's answer was lost; a look sent later than this tells.
    Unconfirmed(Time),
    /// It runs.
    Running,
    /// It was told to stop, and the worker has not answered yet; told again from this time on.
    Stopping(Time),
    /// The worker took the stop at this time; a look sent later settles the run.
    Stopped(Time),
}

/// A run that was ordered: what, under which number, where, and what is known of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewRun {
    pub(crate) name: TaskName,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) state: RunState,
}

/// One run of a task on a worker. It takes the worker's capacity until its end is certain.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) job: JobKey,
    pub(crate) name: TaskName,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) state: RunState,
    pub(crate) started_at: Time,
    /// Per cent of the work done as last seen, and since when.
    pub(crate) percent: u8,
    pub(crate) progressed_at: Time,
    /// Looks that did not list it though it should run.
    pub(crate) missed_listings: u8,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangEnded,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

impl EndReason {
    /// Returns the word for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Done => "done",
            EndReason::Failed => "failed",
            EndReason::Stopped => "stopped",
            EndReason::LeaseExpired => "lapsed",
            EndReason::GangEnded => "broken",
            EndReason::GangIncomplete => "alone",
        }
    }
}

/// An end that a worker lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Its place in the worker's list.
    pub sequence: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// A worker's answer to an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// A later owner has been seen.
    Fenced,
    /// The run's number is not above one that ended there.
    Stale,
    /// The lease had lapsed on arrival.
    Late,
    /// No room.
    Full,
    /// The ticket is not valid.
    NoTicket,
    /// Refused for another reason; nothing was done.
    Refused,
    /// No byte of the order was sent.
    NotSent,
    /// It may have been carried out.
    Lost,
}
