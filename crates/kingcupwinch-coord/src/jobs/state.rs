//! State of the jobs, built by applying the records of the job stream.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use super::Limits;
use super::tombstones::Tombstones;
use crate::id::{JobId, Offset, ShardId, Term};
use crate::record::{AcceptedJob, JobEnd, JobRecord, Stamped, TaskCrashes};
use crate::snapshot_schedule::SnapshotSchedule;

/// Memory of an open job in bytes, without its description.
const JOB_OVERHEAD_BYTES: usize = 224;

/// A durably accepted job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenJob {
    /// The job as it was accepted.
    pub accepted: Arc<AcceptedJob>,
    /// The latest term in which the job may have started; set for non-idempotent jobs only.
    pub started: Option<Term>,
    /// Crashes counted for tasks, one entry a task.
    pub crashes: Vec<TaskCrashes>,
}

/// The changes made by one record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Jobs that became open.
    pub opened: Vec<JobId>,
    /// Jobs that may have started from now on.
    pub started: Vec<JobId>,
    /// Jobs that ended.
    pub ended: Vec<(JobId, JobEnd)>,
}

/// A snapshot of the state of a job stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The first offset that the snapshot does not cover.
    pub covers: Offset,
    /// The open jobs, ordered by id.
    pub open: Vec<AcceptedJob>,
    /// The open jobs that may have started, each with the latest term in which they did.
    pub started: Vec<(JobId, Term)>,
    /// The remembered ended jobs, oldest first.
    pub ended: Vec<(JobId, JobEnd)>,
    /// The crashes counted for tasks of the open jobs.
    pub crashed: Vec<(JobId, TaskCrashes)>,
}

impl Snapshot {
    /// Converts the snapshot into a record.
    pub fn into_record(self) -> JobRecord {
        JobRecord::Snapshot {
            covers: self.covers,
            open: self.open,
            started: self.started,
            ended: self.ended,
            crashed: self.crashed,
        }
    }
}

#[derive(Debug, Clone)]
struct RecordBuffer {
    floor: Offset,
    records: VecDeque<(Offset, Stamped<JobRecord>)>,
}

impl RecordBuffer {
    fn new(floor: Offset) -> Self {
        RecordBuffer {
            floor,
            records: VecDeque::new(),
        }
    }

    fn push(&mut self, offset: Offset, record: Stamped<JobRecord>, limit: usize) {
        self.records.push_back((offset, record));
        while self.records.len() > limit {
            if let Some((dropped, _)) = self.records.pop_front() {
                self.floor = dropped.next();
            }
        }
    }
}

/// A reader's state of the job stream of a failure domain.
#[derive(Debug, Clone)]
pub struct Jobs {
    limits: Limits,
    next: Offset,
    buffer: Option<RecordBuffer>,
    open: FxHashMap<JobId, OpenJob>,
    open_bytes: usize,
    tombstones: Tombstones,
    snapshots: SnapshotSchedule,
}

impl Jobs {
    /// Creates a reader that starts at offset `start`.
    ///
    /// If `start` is not zero, the reader buffers records until it has read a snapshot.
    pub fn new(start: Offset, limits: Limits) -> Self {
        Jobs {
            next: start,
            buffer: (start > Offset(0)).then(|| RecordBuffer::new(start)),
            open: FxHashMap::default(),
            open_bytes: 0,
            tombstones: Tombstones::new(limits.ended_jobs),
            snapshots: SnapshotSchedule::new(limits.interval),
            limits,
        }
    }

    /// Returns the offset at which the next read starts.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the state is complete, with no records missing or buffered.
    pub fn is_complete(&self) -> bool {
        self.buffer.is_none()
    }

    /// Returns whether another job with a description of `bytes` bytes may be accepted.
    pub fn has_capacity(&self, bytes: usize) -> bool {
        let fits = self.open_bytes + JOB_OVERHEAD_BYTES + bytes <= self.limits.open_bytes;
        fits && self.open.len() < self.limits.open_jobs
    }

    /// Returns an open job by its id.
    pub fn open(&self, job: JobId) -> Option<&OpenJob> {
        self.open.get(&job)
    }

    /// Returns how a job ended, or `None` if it has not ended or is no longer remembered.
    pub fn end(&self, job: JobId) -> Option<JobEnd> {
        self.tombstones.get(job)
    }

    /// Returns the number of open jobs.
    pub fn open_len(&self) -> usize {
        self.open.len()
    }

    /// Returns the open jobs of a home shard, ordered by id.
    pub fn in_shard(&self, home: ShardId) -> Vec<&OpenJob> {
        let all = self.open.values();
        let mut jobs: Vec<&OpenJob> = all.filter(|j| j.accepted.home == home).collect();
        jobs.sort_by_key(|j| j.accepted.job);
        jobs
    }

    /// Applies the record at `offset`, which is `None` if it could not be decoded.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: Option<Stamped<JobRecord>>,
        now: Time,
    ) -> Change {
        if offset < self.next {
            return Change::default();
        }
        self.skip_to(offset);
        self.next = offset.next();
        match record {
            None => Change::default(),
            Some(record) => self.apply_record(offset, record, now),
        }
    }

    /// Skips to offset `first` because the records before it have expired unread.
    ///
    /// The open jobs are dropped, because they may have ended in the missing records.
    pub fn skip_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        self.next = first;
        self.buffer = Some(RecordBuffer::new(first));
        self.open.clear();
        self.open_bytes = 0;
    }

    /// Returns whether a snapshot is due.
    pub fn is_snapshot_due(&self, now: Time) -> bool {
        self.is_complete() && self.has_state() && self.snapshots.is_due(now)
    }

    /// Returns a snapshot of the state, or `None` while records are missing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if !self.is_complete() {
            return None;
        }
        let mut open: Vec<&OpenJob> = self.open.values().collect();
        open.sort_by_key(|j| j.accepted.job);
        let started = open
            .iter()
            .filter_map(|j| Some((j.accepted.job, j.started?)));
        let crashes = |j: &&OpenJob| {
            let job = j.accepted.job;
            j.crashes.clone().into_iter().map(move |c| (job, c))
        };
        Some(Snapshot {
            covers: self.next,
            crashed: open.iter().flat_map(crashes).collect(),
            started: started.collect(),
            open: open.iter().map(|j| (*j.accepted).clone()).collect(),
            ended: self.tombstones.iter().collect(),
        })
    }

    fn has_state(&self) -> bool {
        !self.open.is_empty() || self.tombstones.iter().next().is_some()
    }

    fn apply_record(&mut self, offset: Offset, record: Stamped<JobRecord>, now: Time) -> Change {
        if let JobRecord::Snapshot { .. } = record.body {
            return self.apply_snapshot(offset, record, now);
        }
        self.snapshots.count_record(now);
        if let Some(buffer) = &mut self.buffer {
            buffer.push(offset, record, self.limits.buffered_records);
            return Change::default();
        }
        let mut change = Change::default();
        self.apply_body(record.body, &mut change);
        change
    }

    fn apply_body(&mut self, body: JobRecord, change: &mut Change) {
        match body {
            JobRecord::Accepted(jobs) => jobs.into_iter().for_each(|j| self.accept(j, change)),
            JobRecord::Started(jobs) => jobs.iter().for_each(|j| self.start(*j, change)),
            JobRecord::Ended(jobs) => jobs.iter().for_each(|j| self.finish(*j, change)),
            JobRecord::Crashed(tasks) => tasks.iter().for_each(|t| self.crash(*t)),
            JobRecord::Snapshot { .. } => {}
        }
    }

    fn apply_snapshot(&mut self, offset: Offset, record: Stamped<JobRecord>, now: Time) -> Change {
        let JobRecord::Snapshot {
            covers,
            open,
            started,
            ended,
            crashed,
        } = record.body
        else {
            return Change::default();
        };
        if covers > offset {
            return Change::default();
        }
        let Some(buffer) = self.buffer.take_if(|b| b.floor <= covers) else {
            self.record_snapshot(covers, offset, now);
            return Change::default();
        };
        self.record_snapshot(covers, offset, now);
        let mut change = Change::default();
        for body in [
            JobRecord::Ended(ended),
            JobRecord::Accepted(open),
            JobRecord::Started(started),
            JobRecord::Crashed(crashed),
        ] {
            self.apply_body(body, &mut change);
        }
        let rest = buffer.records.into_iter().filter(|(o, _)| *o >= covers);
        rest.for_each(|(_, r)| self.apply_body(r.body, &mut change));
        change
    }

    fn record_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) {
        if self.is_complete() {
            self.snapshots.record_snapshot(covers, offset, now);
        }
    }

    fn accept(&mut self, job: AcceptedJob, change: &mut Change) {
        let known = self.open.contains_key(&job.job) || self.tombstones.get(job.job).is_some();
        if known {
            return;
        }
        change.opened.push(job.job);
        self.open_bytes += JOB_OVERHEAD_BYTES + job.spec.len();
        let open = OpenJob {
            accepted: Arc::new(job),
            started: None,
            crashes: Vec::new(),
        };
        self.open.insert(open.accepted.job, open);
    }

    fn start(&mut self, (job, term): (JobId, Term), change: &mut Change) {
        if let Some(open) = self.open.get_mut(&job) {
            open.started = open.started.max(Some(term));
            change.started.push(job);
        }
    }

    /// Replaces the count of an earlier attempt.
    fn crash(&mut self, (job, crashes): (JobId, TaskCrashes)) {
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        match open.crashes.iter_mut().find(|c| c.index == crashes.index) {
            Some(known) if known.count.attempt < crashes.count.attempt => *known = crashes,
            Some(_) => {}
            None => open.crashes.push(crashes),
        }
    }

    fn finish(&mut self, (job, end): (JobId, JobEnd), change: &mut Change) {
        if let Some(open) = self.open.remove(&job) {
            self.open_bytes -= JOB_OVERHEAD_BYTES + open.accepted.spec.len();
        }
        if self.tombstones.insert(job, end) {
            change.ended.push((job, end));
        }
    }
}
