//! Accepted, started and ended jobs of one failure domain, recorded on its job stream.
//!
//! - [`GroupCommit`] batches records into few appends, and retries an append whose acknowledgement
//!   was lost.
//! - [`Jobs`] is the state that a reader builds from the stream. A job is durable once its
//!   `Accepted` record was read back.
//! - [`Recovery`] decides what a shard's new owner does with each open job.
//!
//! ```
//! use kingcupwinch_coord::id::{JobId, Offset, RecordId, ShardId};
//! use kingcupwinch_coord::jobs::{Jobs, Limits};
//! use kingcupwinch_coord::record::{AcceptedJob, JobRecord, Stamped};
//! use kingcupwinch_time::{Time, WallTime};
//!
//! let job = AcceptedJob {
//!     job: JobId(uuid::Uuid::from_u128(7)),
//!     home: ShardId(0),
//!     accepted: WallTime::from_millis(0),
//!     idempotent: true,
//!     spec: b"{}".as_slice().into(),
//! };
//! let record = Stamped {
//!     id: RecordId(uuid::Uuid::from_u128(1)),
//!     body: JobRecord::Accepted(vec![job.clone()]),
//! };
//! let mut jobs = Jobs::new(Offset(0), Limits::new());
//! let change = jobs.apply(Offset(0), Some(record), Time::ZERO);
//! assert_eq!(change.opened.as_slice(), [job.job]);
//! ```

mod commit;
mod recover;
mod state;
mod tombstones;

use kingcupwinch_time::Span;

use crate::snapshot_schedule::SnapshotInterval;

pub use commit::{BatchPolicy, GroupCommit};
pub use recover::{Evidence, Recovery, RecoveryStep};
pub use state::{Change, Jobs, OpenJob, Snapshot};

/// Limits of a reader's memory and of the interval between its snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    open_jobs: usize,
    open_bytes: usize,
    ended_jobs: usize,
    buffered_records: usize,
    interval: SnapshotInterval,
}

impl Limits {
    /// Creates the default limits: 32,768 open jobs in 16 MiB, 32,768 ended jobs, 4,096 buffered
    /// records, and a snapshot every hour or 2,048 records.
    pub fn new() -> Self {
        Limits {
            open_jobs: 1 << 15,
            open_bytes: 1 << 24,
            ended_jobs: 1 << 15,
            buffered_records: 1 << 12,
            interval: SnapshotInterval {
                age: Span::from_secs(3_600),
                records: 2_048,
            },
        }
    }

    /// Sets the maximum number and bytes of open jobs, beyond which [`Jobs::has_capacity`] returns
    /// `false`.
    #[must_use]
    pub fn with_open(mut self, jobs: usize, bytes: usize) -> Self {
        self.open_jobs = jobs;
        self.open_bytes = bytes;
        self
    }

    /// Sets the maximum number of ended jobs to remember.
    #[must_use]
    pub fn with_ended(mut self, jobs: usize) -> Self {
        self.ended_jobs = jobs;
        self
    }

    /// Sets the maximum number of records to buffer until a snapshot is found.
    #[must_use]
    pub fn with_buffer(mut self, records: usize) -> Self {
        self.buffered_records = records;
        self
    }

    /// Sets the age and the number of records after which a snapshot is due.
    ///
    /// The age must be less than half of the log's retention time.
    #[must_use]
    pub fn with_snapshots(mut self, age: Span, records: u64) -> Self {
        self.interval = SnapshotInterval { age, records };
        self
    }

    /// Lengthens the snapshot interval by up to one half, depending on a seed of the instance, so
    /// that instances do not append snapshots at the same time.
    ///
    /// Must be called after [`Limits::with_snapshots`].
    #[must_use]
    pub fn with_spread(mut self, seed: u64) -> Self {
        self.interval = self.interval.spread(seed);
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new()
    }
}
