//! Open jobs as a reader builds them from the stream.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use super::Limits;
use super::tombstones::Tombstones;
use crate::id::{JobId, Offset, ShardId, Term};
use crate::record::{AcceptedJob, JobEnd, JobRecord, Stamped};
use crate::snapshot_schedule::SnapshotSchedule;

/// Bytes that one open job takes without its description.
const JOB_OVERHEAD_BYTES: usize = 224;

/// A job that is kept and has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenJob {
    /// The job as it was accepted.
    pub accepted: Arc<AcceptedJob>,
    /// The newest term in which it may have started; only noted for non-idempotent jobs.
    pub started: Option<Term>,
}

/// What one record changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Jobs now kept for the first time.
    pub opened: Vec<JobId>,
    /// Jobs now noted as possibly started.
    pub started: Vec<JobId>,
    /// Jobs ended for the first time.
    pub ended: Vec<(JobId, JobEnd)>,
}

/// The state of a job stream, ready to be appended as a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The first offset that it does not cover.
    pub covers: Offset,
    /// Open jobs by id.
    pub open: Vec<AcceptedJob>,
    /// Those of them that may have started.
    pub started: Vec<(JobId, Term)>,
    /// Ended jobs, the oldest first.
    pub ended: Vec<(JobId, JobEnd)>,
}

impl Snapshot {
    /// Returns the record that carries it.
    pub fn into_record(self) -> JobRecord {
        JobRecord::Snapshot {
            covers: self.covers,
            open: self.open,
            started: self.started,
            ended: self.ended,
        }
    }
}

#[derive(Debug, Clone)]
struct HeldRecords {
    floor: Offset,
    records: VecDeque<(Offset, Stamped<JobRecord>)>,
}

impl HeldRecords {
    fn new(floor: Offset) -> Self {
        HeldRecords {
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

/// One reader's state of a failure domain's job stream.
#[derive(Debug, Clone)]
pub struct Jobs {
    limits: Limits,
    next: Offset,
    held: Option<HeldRecords>,
    open: FxHashMap<JobId, OpenJob>,
    open_bytes: usize,
    tombstones: Tombstones,
    snapshots: SnapshotSchedule,
}

impl Jobs {
    /// Makes a reader that starts at `start`; from a later offset than zero it holds records back
    /// until it has read a snapshot.
    pub fn new(start: Offset, limits: Limits) -> Self {
        Jobs {
            next: start,
            held: (start > Offset(0)).then(|| HeldRecords::new(start)),
            open: FxHashMap::default(),
            open_bytes: 0,
            tombstones: Tombstones::new(limits.ended_jobs),
            snapshots: SnapshotSchedule::new(limits.pace),
            limits,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether every record since the base was taken in.
    pub fn is_complete(&self) -> bool {
        self.held.is_none()
    }

    /// Returns whether one more job with a description of `bytes` may be accepted.
    pub fn has_capacity(&self, bytes: usize) -> bool {
        let fits = self.open_bytes + JOB_OVERHEAD_BYTES + bytes <= self.limits.open_bytes;
        fits && self.open.len() < self.limits.open_jobs
    }

    /// Returns an open job.
    pub fn open(&self, job: JobId) -> Option<&OpenJob> {
        self.open.get(&job)
    }

    /// Returns how a job ended, while that is remembered.
    pub fn end(&self, job: JobId) -> Option<JobEnd> {
        self.tombstones.get(job)
    }

    /// Returns the number of open jobs.
    pub fn open_len(&self) -> usize {
        self.open.len()
    }

    /// Returns the open jobs of a home shard, by id.
    pub fn in_shard(&self, home: ShardId) -> Vec<&OpenJob> {
        let all = self.open.values();
        let mut jobs: Vec<&OpenJob> = all.filter(|j| j.accepted.home == home).collect();
        jobs.sort_by_key(|j| j.accepted.job);
        jobs
    }

    /// Takes in the record at `offset`, none where it can't be decoded.
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

    /// Notes that the records before `first` have expired unread.
    ///
    /// The state so far is dropped: jobs may have ended in the records that were lost.
    pub fn skip_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        self.next = first;
        self.held = Some(HeldRecords::new(first));
        self.open.clear();
        self.open_bytes = 0;
    }

    /// Returns whether a snapshot should be appended.
    pub fn is_snapshot_due(&self, now: Time) -> bool {
        self.is_complete() && self.has_state() && self.snapshots.is_due(now)
    }

    /// Returns the state as a snapshot, none while records are missing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if !self.is_complete() {
            return None;
        }
        let mut open: Vec<&OpenJob> = self.open.values().collect();
        open.sort_by_key(|j| j.accepted.job);
        let started = open
            .iter()
            .filter_map(|j| Some((j.accepted.job, j.started?)));
        Some(Snapshot {
            covers: self.next,
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
        self.snapshots.note_record(now);
        if let Some(held) = &mut self.held {
            held.push(offset, record, self.limits.held_records);
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
            JobRecord::Snapshot { .. } => {}
        }
    }

    fn apply_snapshot(&mut self, offset: Offset, record: Stamped<JobRecord>, now: Time) -> Change {
        let JobRecord::Snapshot {
            covers,
            open,
            started,
            ended,
        } = record.body
        else {
            return Change::default();
        };
        if covers > offset {
            return Change::default();
        }
        let Some(held) = self.held.take_if(|h| h.floor <= covers) else {
            self.note_snapshot(covers, offset, now);
            return Change::default();
        };
        self.note_snapshot(covers, offset, now);
        let mut change = Change::default();
        for body in [
            JobRecord::Ended(ended),
            JobRecord::Accepted(open),
            JobRecord::Started(started),
        ] {
            self.apply_body(body, &mut change);
        }
        let rest = held.records.into_iter().filter(|(o, _)| *o >= covers);
        rest.for_each(|(_, r)| self.apply_body(r.body, &mut change));
        change
    }

    fn note_snapshot(&mut self, covers: Offset, offset: Offset, now: Time) {
        if self.is_complete() {
            self.snapshots.note_snapshot(covers, offset, now);
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
        };
        self.open.insert(open.accepted.job, open);
    }

    fn start(&mut self, (job, term): (JobId, Term), change: &mut Change) {
        if let Some(open) = self.open.get_mut(&job) {
            open.started = open.started.max(Some(term));
            change.started.push(job);
        }
    }

    fn finish(&mut self, (job, end): (JobId, JobEnd), change: &mut Change) {
        if let Some(open) = self.open.remove(&job) {
            self.open_bytes -= JOB_OVERHEAD_BYTES + open.accepted.spec.len();
        }
        if self.tombstones.note(job, end) {
            change.ended.push((job, end));
        }
    }
}
