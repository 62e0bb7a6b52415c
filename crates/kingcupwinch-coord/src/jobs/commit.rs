//! Group commit: few appends for many job records.

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use crate::id::{JobId, RecordId, Term};
use crate::record::{AcceptedJob, JobEnd, JobRecord, Stamped};

/// When batches are appended, and when an append without an answer is repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPolicy {
    delay: Span,
    retry: Span,
    batch_jobs: usize,
}

impl BatchPolicy {
    /// Makes the default pace: a batch waits at most 50 ms or 512 jobs, and an append that was not
    /// read back is repeated after 2 s.
    pub fn new() -> Self {
        BatchPolicy {
            delay: Span::from_millis(50),
            retry: Span::from_secs(2),
            batch_jobs: 512,
        }
    }

    /// Sets the longest wait of a batch and the number of jobs that ends it early.
    #[must_use]
    pub fn with_batch(mut self, delay: Span, jobs: usize) -> Self {
        self.delay = delay;
        self.batch_jobs = jobs;
        self
    }

    /// Sets after how long an append that was not read back is repeated.
    #[must_use]
    pub fn with_retry(mut self, retry: Span) -> Self {
        self.retry = retry;
        self
    }
}

impl Default for BatchPolicy {
    fn default() -> Self {
        BatchPolicy::new()
    }
}

#[derive(Debug)]
struct InFlight {
    record: Stamped<JobRecord>,
    retry: Time,
}

/// Records that wait to be appended or to be read back.
#[derive(Debug)]
pub struct GroupCommit {
    pace: BatchPolicy,
    accepted: Vec<AcceptedJob>,
    started: Vec<(JobId, Term)>,
    ended: Vec<(JobId, JobEnd)>,
    due: Option<Time>,
    in_flight: FxHashMap<RecordId, InFlight>,
}

impl GroupCommit {
    /// Makes an empty batch.
    pub fn new(pace: BatchPolicy) -> Self {
        GroupCommit {
            pace,
            accepted: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
            due: None,
            in_flight: FxHashMap::default(),
        }
    }

    /// Adds an accepted job.
    pub fn accept(&mut self, job: AcceptedJob, now: Time) {
        self.accepted.push(job);
        self.schedule(now);
    }

    /// Adds a non-idempotent job that is about to start; dispatch it only once this was read back.
    pub fn start(&mut self, job: JobId, term: Term, now: Time) {
        self.started.push((job, term));
        self.schedule(now);
    }

    /// Adds the end of a job.
    pub fn end(&mut self, job: JobId, end: JobEnd, now: Time) {
        self.ended.push((job, end));
        self.schedule(now);
    }

    /// Returns when [`GroupCommit::take`] next has something to append.
    pub fn deadline(&self) -> Option<Time> {
        let retries = self.in_flight.values().map(|f| f.retry);
        retries.chain(self.due).min()
    }

    /// Returns the records to append now: a due batch under fresh ids from `fresh_id`, and those
    /// whose answers are overdue under their old ids.
    pub fn take(
        &mut self,
        now: Time,
        mut fresh_id: impl FnMut() -> RecordId,
    ) -> Vec<Stamped<JobRecord>> {
        let mut records = self.take_overdue(now);
        if self.due.is_some_and(|due| due <= now) {
            for body in self.take_batch() {
                let record = Stamped {
                    id: fresh_id(),
                    body,
                };
                self.track(record.clone(), now);
                records.push(record);
            }
        }
        records
    }

    /// Notes that a record was read back; returns false if it was not one of these.
    pub fn read_back(&mut self, id: RecordId) -> bool {
        self.in_flight.remove(&id).is_some()
    }

    /// Returns the number of jobs in the batch and of records not read back.
    pub fn len(&self) -> usize {
        self.batch_len() + self.in_flight.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn batch_len(&self) -> usize {
        self.accepted.len() + self.started.len() + self.ended.len()
    }

    fn schedule(&mut self, now: Time) {
        let due = if self.batch_len() >= self.pace.batch_jobs {
            now
        } else {
            now + self.pace.delay
        };
        self.due = Some(self.due.map_or(due, |old| old.min(due)));
    }

    fn track(&mut self, record: Stamped<JobRecord>, now: Time) {
        let retry = now + self.pace.retry;
        self.in_flight.insert(record.id, InFlight { record, retry });
    }

    fn take_batch(&mut self) -> Vec<JobRecord> {
        self.due = None;
        let mut records = Vec::new();
        if !self.accepted.is_empty() {
            records.push(JobRecord::Accepted(std::mem::take(&mut self.accepted)));
        }
        if !self.started.is_empty() {
            records.push(JobRecord::Started(std::mem::take(&mut self.started)));
        }
        if !self.ended.is_empty() {
            records.push(JobRecord::Ended(std::mem::take(&mut self.ended)));
        }
        records
    }

    fn take_overdue(&mut self, now: Time) -> Vec<Stamped<JobRecord>> {
        let retry = now + self.pace.retry;
        let mut records = Vec::new();
        for entry in self.in_flight.values_mut().filter(|f| f.retry <= now) {
            entry.retry = retry;
            records.push(entry.record.clone());
        }
        records.sort_by_key(|r| r.id);
        records
    }
}
