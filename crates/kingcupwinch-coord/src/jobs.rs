//! Job records: accepted, started and ended jobs of one failure domain, kept on its log stream.
//!
//! [`GroupCommit`] batches records into few appends and repeats an append whose answer was lost.
//! [`Jobs`] is the state that a reader builds from the stream; a job is kept once its `Accepted`
//! record was read back. [`Recovery`] decides what a shard's new owner does with each open job.
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

use crate::snapshot_schedule::SnapshotPace;

pub use commit::{BatchPolicy, GroupCommit};
pub use recover::{Evidence, Recovery, RecoveryStep};
pub use state::{Change, Jobs, OpenJob, Snapshot};

/// Bounds of a reader's memory and the pace of its snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    open_jobs: usize,
    open_bytes: usize,
    ended_jobs: usize,
    held_records: usize,
    pace: SnapshotPace,
}

impl Limits {
    /// Makes the default limits: 32,768 open jobs in 16 MiB, 32,768 ended ones, 4,096 records held
    /// back, a snapshot every hour or 2,048 records.
    pub fn new() -> Self {
        Limits {
            open_jobs: 1 << 15,
            open_bytes: 1 << 24,
            ended_jobs: 1 << 15,
            held_records: 1 << 12,
            pace: SnapshotPace {
                age: Span::from_secs(3_600),
                records: 2_048,
            },
        }
    }

    /// Bounds the open jobs; [`Jobs::has_capacity`] is false beyond.
    #[must_use]
    pub fn with_open(mut self, jobs: usize, bytes: usize) -> Self {
        self.open_jobs = jobs;
        self.open_bytes = bytes;
        self
    }

    /// Bounds the ended jobs that are remembered.
    #[must_use]
    pub fn with_ended(mut self, jobs: usize) -> Self {
        self.ended_jobs = jobs;
        self
    }

    /// Bounds the records held back while a base is searched.
    #[must_use]
    pub fn with_held(mut self, records: usize) -> Self {
        self.held_records = records;
        self
    }

    /// Sets the age and the number of records after which a snapshot is due; the age must stay
    /// under half of the log's retention.
    #[must_use]
    pub fn with_snapshots(mut self, age: Span, records: u64) -> Self {
        self.pace = SnapshotPace { age, records };
        self
    }

    /// Stretches the pace by up to a half, by a seed of the instance, so that instances do not
    /// append snapshots at once. Call it after [`Limits::with_snapshots`].
    #[must_use]
    pub fn with_spread(mut self, seed: u64) -> Self {
        self.pace = self.pace.spread(seed);
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new()
    }
}
