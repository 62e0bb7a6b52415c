//! Identifiers of instances, shards, records, tasks and jobs.

use std::fmt;
use std::sync::Arc;

use uuid::Uuid;

/// Identifies one run of an instance's process; every restart gets a new incarnation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub Uuid);

/// Identifies a log record; readers drop a second record with the same id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub Uuid);

/// Identifies a task of a job, or a live request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub Uuid);

/// Identifies a batch or gang job.
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

/// Identifies a shard, a part of a failure domain's workers; shards are numbered from zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u16);

/// Numbers the ownerships of a shard. Terms only increase and serve as fencing tokens against
/// dispatches of earlier owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next term.
    pub const fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// A record's position in a stream of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the next offset.
    pub const fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// Numbers the dispatches of a task, starting at one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// A version of the configuration; zero stands for the state before the first one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// The name of a failure domain.
pub type Domain = Arc<str>;
