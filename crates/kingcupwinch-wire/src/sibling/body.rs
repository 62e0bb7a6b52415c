use std::sync::Arc;

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Fingerprint, RequestKey};
use kingcupwinch_coord::id::{Attempt, JobId, ShardId, TaskId, Term, Version};
use kingcupwinch_coord::ownership::Message;
use kingcupwinch_coord::record::CrashCount;
use kingcupwinch_time::{Span, WallTime};

/// The payload of an envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Verifies that the receiver is the intended one and has the sender as a peer.
    Hello,
    /// The requested action was performed.
    Done,
    /// The requested action was not performed, for the given reason.
    Declined(Arc<str>),
    /// Reports the number of requests of a class queued at the sender.
    Queued(Queued),
    /// Permits the receiver to forward requests of a class to the sender.
    Grant(Grant),
    /// Asks a key's home for permission to run a request.
    KeyBegin(KeyBegin),
    /// The response of the home to [`Body::KeyBegin`].
    KeyDecision(KeyDecision),
    /// Reports the end of a request to its key's home.
    KeyFinish(KeyFinish),
    /// Asks whether the receiver ran the request of a key.
    KeyLookup(KeyLookup),
    /// The response to [`Body::KeyLookup`].
    KeyLookupReply(KeyLookupReply),
    /// Requests the configuration records after a version.
    ConfigRequest(Version),
    /// Configuration records in log order, each in its log encoding.
    ConfigRecords(Vec<Bytes>),
    /// Asks an owner to start a task; holds a JSON [`ForwardedTask`](crate::api::ForwardedTask).
    StartTask(Bytes),
    /// Reports the state of a task.
    TaskState(TaskState),
    /// Requests a job's state.
    JobLookup(JobId),
    /// Asks a job's home to cancel it.
    JobCancel(JobId),
    /// A job's state as JSON, or none if the sender does not know the job.
    JobLookupReply(Option<Bytes>),
    /// Requests the receiver's load statistics.
    StatsRequest,
    /// The sender's load statistics.
    Stats(Stats),
    /// A message of the ownership protocol.
    Ownership(Message),
}

/// The queue length of a class at the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The class name.
    pub class: Arc<str>,
    /// Number of queued requests.
    pub count: u32,
}

/// A permission to forward requests of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The class name.
    pub class: Arc<str>,
    /// Maximum number of requests to forward.
    pub count: u32,
    /// The remaining validity as of sending, in whole milliseconds; the receiver converts it into
    /// a deadline on arrival.
    pub time_left: Span,
}

/// A request for permission to run under an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBegin {
    /// The idempotency key.
    pub key: RequestKey,
    /// The time at which the key was issued.
    pub issued: WallTime,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The time left until the request's deadline as of sending, in whole milliseconds.
    pub time_left: Span,
}

/// A permission to run the request of a key once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyPermit {
    /// The key's home.
    pub home: ShardId,
    /// The home's term.
    pub term: Term,
    /// The attempt number.
    pub attempt: Attempt,
}

/// A home's decision about a request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyDecision {
    /// The requester may run the request once.
    Run(KeyPermit),
    /// Another request with the key is in progress.
    Running,
    /// A request with the key has completed with this encoded [`StoredResponse`].
    Ended(Bytes),
    /// A request with the key may have run.
    Unknown,
    /// The request did not run and will not, for the given reason.
    Refused(Arc<str>),
}

/// The response to a key's request, stored by the key's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The media type, or empty if the response had none.
    pub content_type: Arc<str>,
    /// The complete body.
    pub body: Bytes,
}

/// A report of the end of a request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFinish {
    /// The key.
    pub key: RequestKey,
    /// The permission that the request ran under.
    pub permit: KeyPermit,
    /// How the request ended.
    pub end: KeyEnd,
}

/// The end of a request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEnd {
    /// The request ran; holds the encoded [`StoredResponse`].
    Ran(Bytes),
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A query whether the receiver ran a key's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLookup {
    /// The key.
    pub key: RequestKey,
    /// The key's home.
    pub home: ShardId,
    /// The home's term; the query revokes permissions of older terms.
    pub term: Term,
}

/// The response of a sibling to a key lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookupReply {
    /// The request ran; holds the encoded [`StoredResponse`].
    Ran(Bytes),
    /// The request is running.
    Running,
    /// The sibling has no evidence either way.
    Unproved,
}

/// The state of a task attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskState {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// The attempt's phase.
    pub phase: TaskPhase,
    /// The crashes counted for the task, if they have changed.
    pub crashes: Option<CrashCount>,
}

/// The phase of a task's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// The attempt is queued at the sender.
    Waiting,
    /// The attempt runs on a worker.
    Running,
    /// The attempt completed successfully.
    Done,
    /// The attempt ran and failed.
    Failed,
    /// The attempt ran and was stopped.
    Stopped,
    /// The attempt did not run.
    NotRun,
    /// The attempt may have run.
    Unknown,
    /// The attempt runs on a worker that another instance now owns.
    Moved,
}

/// Load statistics of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of queued requests and tasks.
    pub waiting: u32,
    /// Number of running requests and tasks.
    pub running: u32,
    /// Total number of slots of the instance's workers.
    pub slots: u32,
    /// Number of the instance's workers.
    pub workers: u32,
    /// The version of the active configuration.
    pub version: Version,
}
