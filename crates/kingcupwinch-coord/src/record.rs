//! Records on the streams of the log.

use std::sync::Arc;

use kingcupwinch_time::WallTime;
use smallvec::SmallVec;

use crate::id::{Attempt, Incarnation, JobId, Offset, RecordId, ShardId, Term, Version};

/// A list of incarnations, stored inline up to eight.
pub type Members = SmallVec<[Incarnation; 8]>;

/// A member of the group of a failure domain, as announced by its own join record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The name of the instance in the platform's instance list.
    pub instance: Arc<str>,
    /// Address of the sibling link, as `IP:PORT`.
    pub link: Arc<str>,
    /// Address for forwarded requests, as `IP:PORT`.
    pub forward: Arc<str>,
    /// The declared machine size, used as the weight of the instance's share of shards.
    pub weight: u32,
}

/// A claim of shards by one incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The claimant.
    pub owner: Incarnation,
    /// The claimed shards, each with the term that the claim begins.
    pub shards: Vec<(ShardId, Term)>,
    /// The voters of these terms, chosen from the claimant's view of the group.
    pub voters: Members,
}

/// A planned handover of shards, agreed between both sides before it is appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// The previous owner, which has already stopped dispatching to the shards.
    pub from: Incarnation,
    /// The new owner.
    pub to: Incarnation,
    /// The shards, each with the new owner's term.
    pub shards: Vec<(ShardId, Term)>,
    /// The voters of the new owner's terms.
    pub voters: Members,
}

/// The state of one shard in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardState {
    /// The shard.
    pub shard: ShardId,
    /// The latest term of the shard.
    pub term: Term,
    /// The owner in that term, or `None` if the shard was released.
    pub owner: Option<Incarnation>,
    /// The voters of that term.
    pub voters: Members,
}

/// The state of an ownership stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerSnapshot {
    /// The first offset that the snapshot does not cover.
    pub covers: Offset,
    /// The members in the order in which they joined.
    pub members: Vec<Member>,
    /// All shards that have been claimed at least once.
    pub shards: Vec<ShardState>,
}

/// A record of a failure domain's ownership stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerRecord {
    /// An incarnation joins the group.
    Join(Member),
    /// An incarnation leaves after it has handed over or released all shards.
    Leave(Incarnation),
    /// An operator or another member declares an incarnation dead.
    Retire(Incarnation),
    /// An incarnation claims shards.
    Claim(Claim),
    /// An owner releases shards in their current terms.
    Release {
        /// The owner.
        owner: Incarnation,
        /// The released shards, each with its current term.
        shards: Vec<(ShardId, Term)>,
    },
    /// An owner hands over shards to a successor.
    HandOver(HandOver),
    /// A snapshot of the state, appended before retention drops the records that it covers.
    Snapshot(OwnerSnapshot),
}

/// A record with its unique id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamped<T> {
    /// The id of the record; readers drop a second record with the same id.
    pub id: RecordId,
    /// The record.
    pub body: T,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedJob {
    /// The job.
    pub job: JobId,
    /// The home shard, whose owner decides about the job.
    pub home: ShardId,
    /// Time of acceptance, for display only.
    pub accepted: WallTime,
    /// Whether the tasks of the job may run more than once.
    pub idempotent: bool,
    /// The job's description, opaque to this crate.
    pub spec: Arc<[u8]>,
}

/// The workers that crashed while they ran a task, as of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// The attempt that ended last; a count of an earlier attempt is out of date.
    pub attempt: Attempt,
    /// Number of crashes; zero after another end of a run.
    pub total: u8,
    /// Number of crashes for which no other task is suspected.
    pub clear: u8,
}

/// The crashes counted for one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskCrashes {
    /// Index of the task in its job.
    pub index: u32,
    /// The count.
    pub count: CrashCount,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks succeeded.
    Done,
    /// A task failed permanently.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
    /// The job may have run; an operator has to decide.
    Unknown,
}

/// A record of a failure domain's job stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRecord {
    /// Jobs accepted since the last group commit.
    Accepted(Vec<AcceptedJob>),
    /// Jobs that ended since the last group commit.
    Ended(Vec<(JobId, JobEnd)>),
    /// Non-idempotent jobs that are about to start. The record is appended before the first
    /// dispatch, so that a new owner never runs them a second time.
    Started(Vec<(JobId, Term)>),
    /// Crashes counted for tasks since the last group commit, so that the count outlives the owner.
    Crashed(Vec<(JobId, TaskCrashes)>),
    /// A snapshot of the jobs as of an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        covers: Offset,
        /// The open jobs, which have not ended.
        open: Vec<AcceptedJob>,
        /// The open jobs that may have started, each with the latest term in which they did.
        started: Vec<(JobId, Term)>,
        /// Recently ended jobs, kept so that a duplicate `Accepted` record can't reopen them.
        ended: Vec<(JobId, JobEnd)>,
        /// The crashes counted for tasks of the open jobs.
        crashed: Vec<(JobId, TaskCrashes)>,
    },
}

/// The origin of the version that a configuration snapshot repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The record that published the version.
    pub id: RecordId,
    /// The first offset that the writer of the snapshot had not applied.
    pub covers: Offset,
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The version that the change is based on; the record is valid only if that one is in force.
    pub based: Version,
    /// The published version: `based` plus one, or the same as `based` in a snapshot.
    pub version: Version,
    /// The origin of a snapshot, or `None` in a publication.
    pub origin: Option<Origin>,
    /// The publisher, for display only.
    pub author: Arc<str>,
    /// Time of publication, for display only.
    pub published: WallTime,
    /// The merged configuration tree as canonical JSON.
    pub tree: Arc<str>,
}
