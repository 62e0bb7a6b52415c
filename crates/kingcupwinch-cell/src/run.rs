use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::TaskName;
use crate::job::JobKey;
use crate::pace::FULL_PACE;
use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// The key of a run of a task.
    pub(crate) struct RunKey;
}

/// The state of a run as the owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The placement is not in the log yet, and no order was sent.
    Planned,
    /// An earlier owner placed the run. A poll under the current owner's term settles it, since the
    /// worker then no longer carries out orders of earlier terms.
    Inherited,
    /// The run was stopped before its start order was sent.
    Withdrawn,
    /// The start order is in flight.
    Starting,
    /// The response to the start order was lost at this time. A poll sent later shows whether the
    /// run exists.
    Unconfirmed(Time),
    /// The run is active on its worker.
    Running,
    /// The run is to be stopped, and the worker has not confirmed it. The stop order is sent again
    /// from this time on.
    Stopping(Time),
    /// The worker accepted the stop order at this time. A poll sent later settles the run.
    Stopped(Time),
}

impl RunState {
    /// Returns whether the run is or may become active, and is not to be stopped.
    pub(crate) fn is_wanted(self) -> bool {
        !matches!(
            self,
            RunState::Withdrawn | RunState::Stopping(_) | RunState::Stopped(_)
        )
    }
}

/// The identity, worker and initial state of a run to add.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewRun {
    pub(crate) name: TaskName,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) state: RunState,
}

/// One run of a task on a worker. A run occupies capacity of its worker until it has certainly
/// ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) job: JobKey,
    pub(crate) name: TaskName,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) state: RunState,
    pub(crate) started_at: Time,
    /// When the run is expected to end. Zero for a run that this owner did not place.
    pub(crate) expected_end: Time,
    /// The last reported progress in percent, and when it last changed.
    pub(crate) percent: u8,
    pub(crate) progressed_at: Time,
    /// Polls in a row that did not list the run although it should be active.
    pub(crate) missed_listings: u8,
    /// Whether this owner saw the run begin without a checkpoint, so that it does the whole work of
    /// its task in the time since.
    pub(crate) is_whole: bool,
    /// The pace in percent, if it is known, and when an order to change it may be repeated.
    pub(crate) pace: Option<u8>,
    pub(crate) pace_retry_at: Time,
}

impl Run {
    /// Returns whether a best-effort run may be slower than its worker for its pace.
    pub(crate) fn is_paced(&self) -> bool {
        self.pace != Some(FULL_PACE)
    }
}

/// The reason why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The run completed its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

impl EndReason {
    /// Returns the label for log events and metrics.
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

/// The end of a run. A worker lists it until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The sequence number of the end on its worker.
    pub sequence: u64,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The reason why the run ended.
    pub reason: EndReason,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// The outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOutcome {
    /// The worker runs the task.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not above that of a run which ended on the worker.
    Stale,
    /// The lease had expired when the order arrived.
    Late,
    /// The worker has no capacity left.
    Full,
    /// The ticket is missing or not valid.
    NoTicket,
    /// The worker refused for another reason and did nothing.
    Refused,
    /// The order was not sent, not even in part.
    NotSent,
    /// The response was lost; the order may have been carried out.
    Lost,
}

impl StartOutcome {
    /// Returns the outcome as it is written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StartOutcome::Started => "started",
            StartOutcome::Fenced => "fenced",
            StartOutcome::Stale => "stale",
            StartOutcome::Late => "late",
            StartOutcome::Full => "full",
            StartOutcome::NoTicket => "no_ticket",
            StartOutcome::Refused => "refused",
            StartOutcome::NotSent => "not_sent",
            StartOutcome::Lost => "lost",
        }
    }
}
