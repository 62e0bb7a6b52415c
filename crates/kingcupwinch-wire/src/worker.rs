//! JSON documents and headers of the platform's workers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Header with the task's id.
pub const TASK_HEADER: &str = "platform-task";
/// Header with the number of the attempt.
pub const ATTEMPT_HEADER: &str = "platform-attempt";
/// Header with the owner's term.
pub const TERM_HEADER: &str = "platform-term";
/// Header with the milliseconds left at sending in which the work may start.
pub const NOT_AFTER_HEADER: &str = "platform-not-after-ms";
/// Header of a refusal, with its reason.
pub const REFUSED_HEADER: &str = "platform-refused";

/// Why a worker did not start a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It is leaving.
    Leaving,
    /// It has no free slot or not enough resources.
    Full,
    /// It has seen a newer term.
    StaleTerm,
    /// The time in which the work could start has passed.
    Late,
    /// It does not run this service.
    UnknownService,
}

quick_error! {
    /// A refusal's reason that is not one of the platform's.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseRefusalError {
        /// The text names no reason.
        UnknownReason(text: String) {
            display("unknown reason of a refusal: {text}")
        }
    }
}

impl Refusal {
    /// Every reason.
    pub const ALL: [Refusal; 5] = [
        Refusal::Leaving,
        Refusal::Full,
        Refusal::StaleTerm,
        Refusal::Late,
        Refusal::UnknownService,
    ];

    /// Returns the reason as it stands in the header.
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

/// Asks a worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task: Uuid,
    /// The attempt, from one.
    pub attempt: u32,
    /// The owner's term.
    pub term: u64,
    /// How long the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// The class of its work.
    pub class: Arc<str>,
    /// Processor share in thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
    /// How long a stand-in runs it, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
    /// What the caller gave for the worker.
    #[serde(default)]
    pub payload: serde_json::Value,
}

/// Renews the leases of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The owner's term.
    pub term: u64,
    /// The new time to live, in milliseconds.
    pub lease_ms: u64,
    /// The tasks.
    pub tasks: Vec<Uuid>,
}

/// The answer to a renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// Those of the tasks that the worker does not run.
    pub unknown: Vec<Uuid>,
}

/// Slows a task down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The share of full speed that is left, from 0 to 100.
    pub percent: u8,
}

/// Whether work is a live request or a task.
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
    /// It ended well.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease lapsed and the worker stopped it.
    Expired,
}

/// One piece of work that runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningWork {
    /// The task, or the id of a live request.
    pub task: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// The term that it was started under.
    pub term: u64,
    /// What it is.
    pub kind: WorkKind,
}

/// One task that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWork {
    /// The task.
    pub task: Uuid,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: WorkOutcome,
    /// How long it ran, in milliseconds.
    pub run_ms: u64,
}

/// A worker's usage report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of the report, to read on from.
    pub seq: u64,
    /// How long ago the worker was as described, in milliseconds.
    pub age_ms: u64,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Slots in use.
    pub busy_slots: u32,
    /// Connections in use.
    pub busy_connections: u32,
    /// Processor use, in percent of the machine.
    pub cpu_percent: u32,
    /// What runs.
    pub running: Vec<RunningWork>,
    /// What has ended since the report that was asked after.
    pub ended: Vec<EndedWork>,
}
