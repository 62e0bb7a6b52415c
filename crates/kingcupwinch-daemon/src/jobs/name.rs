//! Ids of jobs and tasks, which name the job's home.
//!
//! An id is a UUID of version 8: 48 bits of civil time in milliseconds, the version, 12 random
//! bits, the variant, 6 random bits, 8 bits of the failure domain's hash, 16 bits of the home
//! shard, 8 random bits, and 24 bits that are zero in a job's id and the task's index plus one in
//! a task's.

use kingcupwinch_coord::id::{JobId, ShardId, TaskId};
use kingcupwinch_time::WallTime;
use rand::Rng;
use uuid::Uuid;

/// The most tasks that a job's id has room for.
pub(crate) const MAX_TASKS: u32 = (1 << 24) - 2;

const VERSION: u8 = 0x80;
const VARIANT: u8 = 0x80;
const VERSION_NUMBER: usize = 8;
const TIME_BYTES: usize = 6;
const DOMAIN_BYTE: usize = 9;
const INDEX_BYTE: usize = 13;
const DOMAIN_SEED: u64 = 5;

/// A job's id and what it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobName {
    /// The id.
    pub(crate) id: JobId,
    /// The shard whose owner decides for it.
    pub(crate) home: ShardId,
    domain: u8,
}

impl JobName {
    /// Makes a fresh name.
    pub(crate) fn new(domain: &str, home: ShardId, now: WallTime, rng: &mut impl Rng) -> Self {
        let mut bytes: [u8; 16] = rng.random();
        bytes[..TIME_BYTES].copy_from_slice(&now.as_millis().to_be_bytes()[2..]);
        bytes[6] = VERSION | (bytes[6] & 0x0f);
        bytes[8] = VARIANT | (bytes[8] & 0x3f);
        bytes[DOMAIN_BYTE] = domain_tag(domain);
        bytes[10..12].copy_from_slice(&home.0.to_be_bytes());
        bytes[INDEX_BYTE..].fill(0);
        JobName {
            id: JobId(Uuid::from_bytes(bytes)),
            home,
            domain: bytes[DOMAIN_BYTE],
        }
    }

    /// Reads a job's id; none if it is not one that this system made.
    pub(crate) fn read(id: JobId) -> Option<Self> {
        let bytes = id.0.as_bytes();
        let is_job = id.0.get_version_num() == VERSION_NUMBER && bytes[INDEX_BYTE..] == [0, 0, 0];
        let home = ShardId(u16::from_be_bytes([bytes[10], bytes[11]]));
        is_job.then_some(JobName {
            id,
            home,
            domain: bytes[DOMAIN_BYTE],
        })
    }

    /// Returns whether the job may be decided in a failure domain.
    pub(crate) fn may_be_of(&self, domain: &str) -> bool {
        self.domain == domain_tag(domain)
    }

    /// Returns the id of a task.
    pub(crate) fn task(&self, index: u32) -> TaskId {
        let mut bytes = *self.id.0.as_bytes();
        bytes[INDEX_BYTE..].copy_from_slice(&(index + 1).to_be_bytes()[1..]);
        TaskId(Uuid::from_bytes(bytes))
    }
}

/// What a task's id says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskName {
    /// Its job.
    pub(crate) job: JobName,
    /// Its index in the job.
    pub(crate) index: u32,
}

impl TaskName {
    /// Reads a task's id; none if it is not one that this system made.
    pub(crate) fn read(id: TaskId) -> Option<Self> {
        let mut bytes = *id.0.as_bytes();
        let [_, a, b, c] = [0, bytes[13], bytes[14], bytes[15]];
        let index = u32::from_be_bytes([0, a, b, c]).checked_sub(1)?;
        bytes[INDEX_BYTE..].fill(0);
        let job = JobName::read(JobId(Uuid::from_bytes(bytes)))?;
        Some(TaskName { job, index })
    }
}

fn domain_tag(domain: &str) -> u8 {
    let hash = twox_hash::XxHash64::oneshot(DOMAIN_SEED, domain.as_bytes());
    hash.to_be_bytes()[0]
}

#[cfg(test)]
mod tests;
