//! Records that the system keeps on the log's streams.

use std::sync::Arc;

use kingcupwinch_time::WallTime;
use smallvec::SmallVec;

use crate::id::{Incarnation, JobId, Offset, RecordId, ShardId, Term, Version};

/// A short list of incarnations.
pub type Members = SmallVec<[Incarnation; 8]>;

/// An instance as it announces itself to its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The instance's name in the platform's list.
    pub instance: Arc<str>,
    /// Address of its sibling link, IP and port.
    pub link: Arc<str>,
    /// Address of its port for forwarded requests, IP and port.
    pub forward: Arc<str>,
    /// Declared machine size, the weight of its share of shards.
    pub weight: u32,
}

/// A claim of shards by one incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Who claims.
    pub owner: Incarnation,
    /// The claimed shards, each with the term it is claimed at.
    pub shards: Vec<(ShardId, Term)>,
    /// The group as the claimant saw it, fixed for the term.
    pub voters: Members,
}

/// A planned hand-over of shards, agreed between both sides before it is appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// The owner that has already stopped.
    pub from: Incarnation,
    /// The heir.
    pub to: Incarnation,
    /// The shards, each with the heir's term.
    pub shards: Vec<(ShardId, Term)>,
    /// The heir's voters.
    pub voters: Members,
}

/// One shard's state in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardState {
    /// The shard.
    pub shard: ShardId,
    /// Its newest term.
    pub term: Term,
    /// The owner of that term, none if released.
    pub owner: Option<Incarnation>,
    /// The voters of that term.
    pub voters: Members,
}

/// The state of an ownership stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerSnapshot {
    /// The first offset that the snapshot does not cover.
    pub covers: Offset,
    /// Live members in log order.
    pub members: Vec<Member>,
    /// Every shard that was ever claimed.
    pub shards: Vec<ShardState>,
}

/// A record of a failure domain's ownership stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerRecord {
    /// An incarnation joins the group.
    Join(Member),
    /// An incarnation leaves after it has given up all shards.
    Leave(Incarnation),
    /// A person or a take-over declares an incarnation dead.
    Retire(Incarnation),
    /// An incarnation claims shards.
    Claim(Claim),
    /// An owner gives up shards at their current terms.
    Release {
        /// The owner.
        owner: Incarnation,
        /// The shards and the terms given up.
        shards: Vec<(ShardId, Term)>,
    },
    /// A planned hand-over.
    HandOver(HandOver),
    /// The state so far, re-appended before retention drops it.
    Snapshot(OwnerSnapshot),
}

/// A record with its unique id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamped<T> {
    /// Readers drop a second record with this id.
    pub id: RecordId,
    /// The record.
    pub body: T,
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedJob {
    /// The job.
    pub job: JobId,
    /// The shard whose owner decides for it.
    pub home: ShardId,
    /// When it was accepted, for people.
    pub accepted: WallTime,
    /// Whether its tasks may run more than once.
    pub idempotent: bool,
    /// The job's description, opaque to this crate.
    pub spec: Arc<[u8]>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// Every task ended well.
    Done,
    /// A task failed for good.
    Failed,
    /// The caller cancelled it.
    Cancelled,
    /// It may have run; a person decides.
    Unknown,
}

/// A record of a failure domain's job stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRecord {
    /// Jobs accepted since the last group commit.
    Accepted(Vec<AcceptedJob>),
    /// Jobs that ended since the last group commit.
    Ended(Vec<(JobId, JobEnd)>),
    /// Non-idempotent tasks about to start: kept before the first dispatch, so that a new owner
    /// never runs them again.
    Started(Vec<(JobId, Term)>),
    /// Every job not yet ended up to an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        covers: Offset,
        /// Open jobs.
        open: Vec<AcceptedJob>,
        /// Those of them that may have started.
        started: Vec<(JobId, Term)>,
        /// Jobs that ended lately, so that a doubled `Accepted` can't open them again.
        ended: Vec<(JobId, JobEnd)>,
    },
}

/// What a configuration snapshot repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The record that made the version.
    pub id: RecordId,
    /// The first offset that the snapshot's writer had not judged.
    pub covers: Offset,
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The version it was based on; it is valid only if that is the current one.
    pub based: Version,
    /// The version it makes: `based` plus one, except in a snapshot.
    pub version: Version,
    /// Set in a snapshot, none in a publication.
    pub origin: Option<Origin>,
    /// Who published it, for people.
    pub author: Arc<str>,
    /// When it was published, for people.
    pub published: WallTime,
    /// The merged tree as canonical JSON.
    pub tree: Arc<str>,
}
