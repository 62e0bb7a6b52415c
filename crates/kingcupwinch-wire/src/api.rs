//! JSON documents of the HTTP APIs for callers and operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Media type of a problem document.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// What is known about the execution of work that has no response of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemOutcome {
    /// The work did not run.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The work ran and failed.
    Failed,
}

/// An error response as a problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable error code, such as `queue-full`.
    pub code: Arc<str>,
    /// A short summary that is the same for every problem with this code.
    pub title: Arc<str>,
    /// The HTTP status code.
    pub status: u16,
    /// A description of this occurrence.
    pub detail: Arc<str>,
    /// What is known about the execution of the work.
    pub outcome: ProblemOutcome,
    /// The delay after which to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

/// The resources of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskResources {
    /// CPU request in thousandths of a core.
    pub millicores: u32,
    /// Memory request in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job's work class.
    pub class: Arc<str>,
    /// The customer whose quota the job uses.
    pub customer: Arc<str>,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources of one task.
    pub size: TaskResources,
    /// Whether all tasks must start together.
    #[serde(default)]
    pub gang: bool,
    /// Whether a task may run more than once; defaults to the class's setting.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The expected run time of one task in milliseconds, used as a hint.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// The payload for the workers, opaque to the scheduler.
    #[serde(default)]
    pub payload: serde_json::Value,
}

/// A task that one instance forwards to another for execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedTask {
    /// The task.
    pub task: uuid::Uuid,
    /// The attempt number that precedes the first attempt of the receiver.
    pub base: u32,
    /// The time within which the receiver must start or return the task, in milliseconds.
    pub start_ms: u64,
    /// The specification of the task's job.
    pub spec: JobSpec,
}

/// The response to an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// The job's ID, which identifies its home.
    pub job: Arc<str>,
}

/// The phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// No task has started.
    Waiting,
    /// At least one task has started.
    Running,
    /// Every task completed successfully.
    Done,
    /// A task failed permanently.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
    /// The job may have run; an operator has to resolve it.
    Unknown,
}

/// The status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's ID.
    pub job: Arc<str>,
    /// The job's phase.
    pub phase: JobPhase,
    /// Number of queued tasks.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that completed successfully.
    pub done: u32,
    /// Number of tasks that failed permanently.
    pub failed: u32,
}

/// A member of the failure domain's group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The instance's incarnation.
    pub incarnation: Arc<str>,
    /// The address of the instance's sibling link.
    pub link: Arc<str>,
}

/// The status of a shard as seen by this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard's number.
    pub shard: u16,
    /// The shard's latest term.
    pub term: u64,
    /// The instance name of the owner, or none if the shard has no owner.
    pub owner: Option<Arc<str>>,
    /// Whether this instance may currently dispatch to the shard.
    pub dispatching: bool,
}

/// The status of a worker in a shard that this instance owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's name.
    pub name: Arc<str>,
    /// The worker's rack.
    pub rack: Arc<str>,
    /// The worker's shard.
    pub shard: u16,
    /// The worker's scheduling state.
    pub state: WorkerState,
    /// Total number of slots.
    pub slots: u32,
    /// Number of slots that this instance counts as used.
    pub busy: u32,
}

/// The scheduling state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// The worker receives new work.
    Live,
    /// The worker finishes its running work and receives no more.
    Leaving,
    /// The worker fails the work that it starts and receives only probes.
    Quarantined,
    /// The worker's shard was taken over; the worker counts as full until its first report.
    Inherited,
}

/// The queue of a class on this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The class name.
    pub class: Arc<str>,
    /// Number of queued requests and tasks.
    pub waiting: u64,
    /// Number of requests and tasks running on this instance's workers.
    pub running: u64,
}

/// This instance's read position in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The next offset to read from the ownership stream.
    pub next: u64,
    /// The latest known tail offset of the ownership stream.
    pub tail: u64,
    /// Whether the ownership view is fresh enough to dispatch.
    pub fresh: bool,
}

/// The response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The instance's incarnation.
    pub incarnation: Arc<str>,
    /// The instance's failure domain.
    pub domain: Arc<str>,
    /// The instance's phase: `joining`, `serving`, `draining` or `stopped`.
    pub phase: Arc<str>,
    /// The version of the active configuration.
    pub version: u64,
    /// The instance's read position in the log.
    pub log: LogStatus,
    /// The members of the failure domain's group.
    pub members: Vec<MemberStatus>,
    /// All shards of the failure domain.
    pub shards: Vec<ShardStatus>,
    /// The workers of the shards that the instance owns.
    pub workers: Vec<WorkerStatus>,
    /// The instance's queues.
    pub queues: Vec<QueueStatus>,
}
