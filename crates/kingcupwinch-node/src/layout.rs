//! Where the instances keep what in the log.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use kingcupwinch_adapter::Partition;
use kingcupwinch_cell::JobId;
use rustc_hash::FxHasher;

/// The jobs' progress; only the owner appends.
pub(crate) const PROGRESS: Partition = Partition::new("keyed.jobs", 0);
/// Partitions of the intake that instances append to themselves. A partition takes one append at a
/// time: with one for all instances, a slow store makes each wait for all the others.
const INSTANCE_PARTITIONS: u32 = 6;
/// The partition of the intake to which the owner appends what its siblings pass on: an instance
/// then waits for one append of the owner's and not for those of all the others.
pub(crate) const OWNER_PARTITION: Partition = Partition::new(INTAKE_TOPIC, INSTANCE_PARTITIONS);
const INTAKE_TOPIC: &str = "keyed.intake";
/// Claims, signs of life and members.
pub(crate) const GROUP: Partition = Partition::new("keyed.group", 0);

/// The key of the newest claim.
pub(crate) const CLAIM_KEY: &str = "claim";
/// The key of the newest sign of life.
pub(crate) const HEARTBEAT_KEY: &str = "beat";
/// Keys of members begin so.
pub(crate) const MEMBER_PREFIX: &str = "member.";
/// The key of the workers that an owner has used.
pub(crate) const WORKERS_KEY: &str = "@workers";

const ACCEPTED_PREFIX: char = 'a';
const CANCELLED_PREFIX: char = 'c';

/// Jobs accepted and cancelled lie in these partitions.
pub(crate) fn intake_partitions() -> impl Iterator<Item = Partition> {
    let instance_partitions =
        (0..INSTANCE_PARTITIONS).map(|number| Partition::new(INTAKE_TOPIC, number));
    instance_partitions.chain([OWNER_PARTITION])
}

/// Returns the partition of the intake to which an instance appends by itself.
pub(crate) fn instance_partition(instance: &str) -> Partition {
    let mut hasher = FxHasher::default();
    instance.hash(&mut hasher);
    let number = hasher.finish() % u64::from(INSTANCE_PARTITIONS);
    Partition::new(INTAKE_TOPIC, number as u32)
}

/// What a record of the intake is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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

    pub(crate) fn to_key(self) -> Arc<str> {
        match self {
            IntakeKey::Accepted(id) => format!("{ACCEPTED_PREFIX}{id}").into(),
            IntakeKey::Cancelled(id) => format!("{CANCELLED_PREFIX}{id}").into(),
        }
    }
}
