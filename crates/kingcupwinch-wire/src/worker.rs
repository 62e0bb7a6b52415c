//! JSON documents and HTTP headers of the worker API.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Request header with the task's ID.
pub const TASK_HEADER: &str = "platform-task";
/// Request header with the attempt number.
pub const ATTEMPT_HEADER: &str = "platform-attempt";
/// Request header with the owner's term, which fences stale owners.
pub const TERM_HEADER: &str = "platform-term";
/// Request header with the time left until the start deadline, in milliseconds as of sending.
pub const NOT_AFTER_HEADER: &str = "platform-not-after-ms";
/// Response header with the reason of a refusal.
pub const REFUSED_HEADER: &str = "platform-refused";

/// The reason why a worker refused to start a request or task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The worker is shutting down.
    Leaving,
    /// The worker has no free slot or not enough resources.
    Full,
    /// The worker has seen a newer term.
    StaleTerm,
    /// The start deadline has passed.
    Late,
    /// The worker does not run this service.
    UnknownService,
}

quick_error! {
    /// Errors of parsing a refusal reason.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseRefusalError {
        /// The text is not a known reason.
        UnknownReason(text: String) {
            display("unknown refusal reason: {text}")
        }
    }
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Refusal; 5] = [
        Refusal::Leaving,
        Refusal::Full,
        Refusal::StaleTerm,
        Refusal::Late,
        Refusal::UnknownService,
    ];

    /// Returns the value of [`REFUSED_HEADER`] for this reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::Leaving => "leaving",
            Refusal::Full => "full",
            Refusal::StaleTerm => "stale-term",
            Refusal::Late => "late",
            Refusal::UnknownService => "unknown-service",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Refusal {
    type Err = ParseRefusalError;

    fn from_str(text: &str) -> Result<Self, ParseRefusalError> {
        Refusal::ALL
            .into_iter()
            .find(|r| r.as_str() == text)
            .ok_or_else(|| ParseRefusalError::UnknownReason(text.to_owned()))
    }
}

/// A request to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task: Uuid,
    /// The attempt number, starting at 1.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// The lease duration, in milliseconds.
    pub lease_ms: u64,
    /// The task's work class.
    pub class: Arc<str>,
    /// CPU request in thousandths of a core.
    pub millicores: u32,
    /// Memory request in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// The run time on a stand-in worker, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
    /// The caller's payload, opaque to the scheduler.
    #[serde(default)]
    pub payload: serde_json::Value,
}

/// A request to renew the leases of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The owner's term.
    pub term: u64,
    /// The new lease duration, in milliseconds.
    pub lease_ms: u64,
    /// The tasks whose leases are renewed.
    pub tasks: Vec<Uuid>,
}

/// The response to a renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The requested tasks that the worker does not run.
    pub unknown: Vec<Uuid>,
}

/// A request to throttle a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The remaining speed in percent of full speed, from 0 to 100.
    pub percent: u8,
}

/// The kind of work that a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// A live request.
    Live,
    /// A task under a lease.
    Task,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkOutcome {
    /// The task completed successfully.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The lease expired and the worker stopped the task.
    Expired,
}

/// A request or task that is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningWork {
    /// The task's ID, or the ID of a live request.
    pub task: Uuid,
    /// The attempt number.
    pub attempt: u32,
    /// The owner's term at the start.
    pub term: u64,
    /// Whether this is a live request or a task.
    pub kind: WorkKind,
}

/// A task that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWork {
    /// The task.
    pub task: Uuid,
    /// The attempt number.
    pub attempt: u32,
    /// The task's outcome.
    pub outcome: WorkOutcome,
    /// The run time in milliseconds.
    pub run_ms: u64,
}

/// A worker's usage report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The report's sequence number; the next read passes this value.
    pub seq: u64,
    /// The age of the reported state, in milliseconds.
    pub age_ms: u64,
    /// Whether the worker is shutting down.
    pub leaving: bool,
    /// Slots in use.
    pub busy_slots: u32,
    /// Connections in use.
    pub busy_connections: u32,
    /// CPU usage in percent of the machine.
    pub cpu_percent: u32,
    /// The requests and tasks that are running.
    pub running: Vec<RunningWork>,
    /// The tasks that have ended since the report given in the read.
    pub ended: Vec<EndedWork>,
}
