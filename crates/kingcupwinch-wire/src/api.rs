//! JSON documents of the callers' and the operators' HTTP interfaces.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Media type of a refusal.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// What is certain about work that got no answer of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemOutcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// A refusal, as a problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable code, such as `queue-full`.
    pub code: Arc<str>,
    /// A short summary that is the same for every refusal with this code.
    pub title: Arc<str>,
    /// The HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: Arc<str>,
    /// What is certain about the work.
    pub outcome: ProblemOutcome,
    /// When to come back, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}

/// The resources of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskResources {
    /// Processor share in thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The class of its work.
    pub class: Arc<str>,
    /// The customer it counts for.
    pub customer: Arc<str>,
    /// How many tasks it has.
    pub tasks: u32,
    /// The resources of one task.
    pub size: TaskResources,
    /// Whether all tasks must start together.
    #[serde(default)]
    pub gang: bool,
    /// Whether a task may run more than once; the class decides where this is absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The declared run time of one task in milliseconds; a hint.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// What the workers get to see, opaque to the scheduler.
    #[serde(default)]
    pub payload: serde_json::Value,
}

/// A task that one instance hands to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedTask {
    /// The task.
    pub task: uuid::Uuid,
    /// The number below its attempts.
    pub base: u32,
    /// In how many milliseconds it must have started, or be given back.
    pub start_ms: u64,
    /// The job's description.
    pub spec: JobSpec,
}

/// The answer to an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// The job's id, which names its home.
    pub job: Arc<str>,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// No task has started.
    Waiting,
    /// Some task has started.
    Running,
    /// Every task ended well.
    Done,
    /// A task failed for good.
    Failed,
    /// The caller cancelled it.
    Cancelled,
    /// It may have run; a person decides.
    Unknown,
}

/// A job's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    pub job: Arc<str>,
    /// Where it stands.
    pub phase: JobPhase,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that failed for good.
    pub failed: u32,
}

/// A member of the failure domain's group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Its incarnation.
    pub incarnation: Arc<str>,
    /// Address of its sibling link.
    pub link: Arc<str>,
}

/// One shard as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard's number.
    pub shard: u16,
    /// Its newest term.
    pub term: u64,
    /// The owner's instance name, none while it is free.
    pub owner: Option<Arc<str>>,
    /// Whether this instance may dispatch to it now.
    pub dispatching: bool,
}

/// One worker of a shard that this instance owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's name.
    pub name: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Its shard.
    pub shard: u16,
    /// Whether it gets new work.
    pub state: WorkerState,
    /// Slots it has.
    pub slots: u32,
    /// Slots in use as this instance counts them.
    pub busy: u32,
}

/// Whether a worker gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// It gets new work.
    Live,
    /// It finishes what runs.
    Leaving,
    /// It fails what it starts and gets only probes.
    Quarantined,
    /// Its shard was inherited, and it counts as full until it reports.
    Inherited,
}

/// One class's queue on this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The class.
    pub class: Arc<str>,
    /// Work that waits.
    pub waiting: u64,
    /// Work that runs on this instance's workers.
    pub running: u64,
}

/// How far this instance has read the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The offset to read next on the ownership stream.
    pub next: u64,
    /// The newest known offset of that stream.
    pub tail: u64,
    /// Whether the view is fresh enough to dispatch on.
    pub fresh: bool,
}

/// What `GET /v1/status` answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Its incarnation.
    pub incarnation: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// `joining`, `serving`, `draining` or `stopped`.
    pub phase: Arc<str>,
    /// The version of the configuration in force here.
    pub version: u64,
    /// How far it has read the log.
    pub log: LogStatus,
    /// The group of its failure domain.
    pub members: Vec<MemberStatus>,
    /// Every shard of the domain.
    pub shards: Vec<ShardStatus>,
    /// The workers of its own shards.
    pub workers: Vec<WorkerStatus>,
    /// Its queues.
    pub queues: Vec<QueueStatus>,
}
