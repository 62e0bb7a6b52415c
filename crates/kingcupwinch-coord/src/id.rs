//! Identities of instances, shards, records, tasks and requests.

use std::fmt;
use std::sync::Arc;

use uuid::Uuid;

/// One run of an instance's process; a restart gets a fresh one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub Uuid);

/// The unique id of a log record; readers drop a second record with the same id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub Uuid);

/// A task of a job, or a live request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub Uuid);

/// A batch or gang job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub Uuid);

macro_rules! uuid_text {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }
    )*};
}

uuid_text!(Incarnation, RecordId, TaskId, JobId);

/// A part of a failure domain's workers, from zero up to the domain's number of shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u16);

/// The number of a shard's ownership; it only grows, and fences dispatches of older owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    pub const fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// A record's position in a stream of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the position after this one.
    pub const fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// The number of a dispatch of one task, from one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// The version of the configuration in force, zero before the first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// The name of a failure domain.
pub type Domain = Arc<str>;
