//! Partitions and keys that the instances use in the log.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use kingcupwinch_adapter::Partition;
use kingcupwinch_cell::JobId;
use rustc_hash::FxHasher;

/// Progress records of the jobs; only the owner appends.
pub(crate) const PROGRESS: Partition = Partition::new("keyed.jobs", 0);
/// Number of intake partitions that instances append to directly. A partition executes one append
/// at a time, so with a single one a slow store would make each instance wait for all the others.
const INSTANCE_PARTITIONS: u32 = 6;
/// Intake partition to which the owner appends the records that its siblings forward, so that an
/// instance waits for one append of the owner and not for those of all the others.
pub(crate) const OWNER_PARTITION: Partition = Partition::new(INTAKE_TOPIC, INSTANCE_PARTITIONS);
const INTAKE_TOPIC: &str = "keyed.intake";
/// Claims, heartbeats and members.
pub(crate) const GROUP: Partition = Partition::new("keyed.group", 0);

/// Key of the latest claim.
pub(crate) const CLAIM_KEY: &str = "claim";
/// Key of the latest heartbeat or release.
pub(crate) const HEARTBEAT_KEY: &str = "beat";
/// Prefix of the members' keys.
pub(crate) const MEMBER_PREFIX: &str = "member.";
/// Key of the list of workers that an owner has used.
pub(crate) const WORKERS_KEY: &str = "@workers";
/// Prefix of the keys of the shards of that list, where it is too long for one record.
pub(crate) const WORKER_SHARD_PREFIX: &str = "@workers.";
/// Key of the longest lease that may be held.
pub(crate) const LEASES_KEY: &str = "@leases";
/// Key of the run times that an owner has learned.
pub(crate) const RUN_TIMES_KEY: &str = "@run-times";

const ACCEPTED_PREFIX: char = 'a';
const CANCELLED_PREFIX: char = 'c';

/// Returns the partitions that hold the records of accepted and cancelled jobs.
pub(crate) fn intake_partitions() -> impl Iterator<Item = Partition> {
    let instance_partitions =
        (0..INSTANCE_PARTITIONS).map(|number| Partition::new(INTAKE_TOPIC, number));
    instance_partitions.chain([OWNER_PARTITION])
}

/// Returns the intake partition to which an instance appends directly.
pub(crate) fn instance_partition(instance: &str) -> Partition {
    let mut hasher = FxHasher::default();
    instance.hash(&mut hasher);
    let number = hasher.finish() % u64::from(INSTANCE_PARTITIONS);
    Partition::new(INTAKE_TOPIC, number as u32)
}

/// Key of an intake record: the job, and whether it was accepted or cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum IntakeKey {
    Accepted(JobId),
    Cancelled(JobId),
}

impl IntakeKey {
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let mut chars = key.chars();
        let prefix = chars.next()?;
        let id = JobId::parse(chars.as_str())?;
        match prefix {
            ACCEPTED_PREFIX => Some(IntakeKey::Accepted(id)),
            CANCELLED_PREFIX => Some(IntakeKey::Cancelled(id)),
            _ => None,
        }
    }

    /// Returns the job that the record is about.
    pub(crate) fn job(self) -> JobId {
        let (IntakeKey::Accepted(id) | IntakeKey::Cancelled(id)) = self;
        id
    }

    pub(crate) fn to_key(self) -> Arc<str> {
        match self {
            IntakeKey::Accepted(id) => format!("{ACCEPTED_PREFIX}{id}").into(),
            IntakeKey::Cancelled(id) => format!("{CANCELLED_PREFIX}{id}").into(),
        }
    }
}
