use std::sync::Arc;

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Fingerprint, RequestKey};
use kingcupwinch_coord::id::{Attempt, JobId, ShardId, TaskId, Term, Version};
use kingcupwinch_coord::ownership::Message;
use kingcupwinch_time::{Span, WallTime};

/// What an envelope says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether the receiver is the meant one and knows the sender.
    Hello,
    /// The asked-for action was taken.
    Done,
    /// The asked-for action was certainly not taken, for this reason.
    Declined(Arc<str>),
    /// Requests of a class wait at the sender.
    Queued(Queued),
    /// Leave to forward requests of a class to the sender.
    Grant(Grant),
    /// Asks a key's home for leave to run a request.
    KeyBegin(KeyBegin),
    /// The home's answer to [`Body::KeyBegin`].
    KeyDecision(KeyDecision),
    /// Tells a key's home how the request ended.
    KeyFinish(KeyFinish),
    /// Asks whether the receiver ran the request of a key.
    KeyLookup(KeyLookup),
    /// The answer to [`Body::KeyLookup`].
    KeyLookupReply(KeyLookupReply),
    /// Asks for the configuration records after a version.
    ConfigRequest(Version),
    /// Configuration records in order, each as in the log.
    ConfigRecords(Vec<Bytes>),
    /// Asks an owner to start a task, described in JSON.
    StartTask(Bytes),
    /// Where a task stands.
    TaskState(TaskState),
    /// Asks for a job's state.
    JobLookup(JobId),
    /// Asks a job's home to cancel it.
    JobCancel(JobId),
    /// A job's state as JSON, none if the sender does not know it.
    JobLookupReply(Option<Bytes>),
    /// Asks for the receiver's counts.
    StatsRequest,
    /// The sender's counts.
    Stats(Stats),
    /// A message of the ownership protocol.
    Ownership(Message),
}

/// Requests of a class that wait at the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The class.
    pub class: Arc<str>,
    /// How many wait.
    pub count: u32,
}

/// Leave to forward requests of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The class.
    pub class: Arc<str>,
    /// How many requests may be forwarded.
    pub count: u32,
    /// The time left at sending, at a resolution of milliseconds; the receiver makes a deadline
    /// of it at once.
    pub time_left: Span,
}

/// A request that wants to run under an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBegin {
    /// The key.
    pub key: RequestKey,
    /// When the key was issued.
    pub issued: WallTime,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The time left to the request's deadline at sending, at a resolution of milliseconds.
    pub time_left: Span,
}

/// Leave to run a key's request once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyPermit {
    /// The key's home.
    pub home: ShardId,
    /// The home's term.
    pub term: Term,
    /// The attempt.
    pub attempt: Attempt,
}

/// A home's decision about a request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyDecision {
    /// The asker may run it, once.
    Run(KeyPermit),
    /// Another request with the key has begun and not ended.
    Running,
    /// A request with the key has ended with this answer, an encoded [`StoredResponse`].
    Ended(Bytes),
    /// A request with the key may have run.
    Unknown,
    /// It certainly did not run and will not, for this reason.
    Refused(Arc<str>),
}

/// The remembered answer to a key's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media type, empty if there was none.
    pub content_type: Arc<str>,
    /// The whole body.
    pub body: Bytes,
}

/// How a request under a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFinish {
    /// The key.
    pub key: RequestKey,
    /// The leave that it had.
    pub permit: KeyPermit,
    /// Its end.
    pub end: KeyEnd,
}

/// The end of a request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEnd {
    /// It ran; its answer is an encoded [`StoredResponse`].
    Ran(Bytes),
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A question whether the receiver ran a key's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLookup {
    /// The key.
    pub key: RequestKey,
    /// The key's home.
    pub home: ShardId,
    /// The home's term; permits of older terms end with the question.
    pub term: Term,
}

/// What a sibling knows of a key's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookupReply {
    /// It ran; its answer is an encoded [`StoredResponse`].
    Ran(Bytes),
    /// It runs.
    Running,
    /// It can't tell.
    Unproved,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskState {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its phase.
    pub phase: TaskPhase,
}

/// The phase of a task's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// It waits at the sender.
    Waiting,
    /// It runs on a worker.
    Running,
    /// It ended well.
    Done,
    /// It ran and failed.
    Failed,
    /// It ran and was stopped.
    Stopped,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It runs on a worker that another instance now owns.
    Moved,
}

/// Counts at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests and tasks that wait.
    pub waiting: u32,
    /// Requests and tasks that run.
    pub running: u32,
    /// Slots of its workers.
    pub slots: u32,
    /// Its workers.
    pub workers: u32,
    /// The configuration in force.
    pub version: Version,
}
