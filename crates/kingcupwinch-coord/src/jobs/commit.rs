//! Group commit of job records.

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;

use crate::id::{JobId, RecordId, Term};
use crate::record::{AcceptedJob, JobEnd, JobRecord, Stamped, TaskCrashes};

/// Limits of a batch, and the retry interval of appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPolicy {
    delay: Span,
    retry: Span,
    batch_jobs: usize,
}

impl BatchPolicy {
    /// Creates the default policy: a batch is appended after 50 ms or at 512 jobs, and retried if
    /// it was not read back within 2 s.
    pub fn new() -> Self {
        BatchPolicy {
            delay: Span::from_millis(50),
            retry: Span::from_secs(2),
            batch_jobs: 512,
        }
    }

    /// Sets the maximum delay of a batch, and the number of jobs at which it is appended at once.
    #[must_use]
    pub fn with_batch(mut self, delay: Span, jobs: usize) -> Self {
        self.delay = delay;
        self.batch_jobs = jobs;
        self
    }

    /// Sets the time after which an append that was not read back is retried.
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

/// Job records that wait to be appended or to be read back.
#[derive(Debug)]
pub struct GroupCommit {
    policy: BatchPolicy,
    accepted: Vec<AcceptedJob>,
    started: Vec<(JobId, Term)>,
    ended: Vec<(JobId, JobEnd)>,
    crashed: Vec<(JobId, TaskCrashes)>,
    due: Option<Time>,
    in_flight: FxHashMap<RecordId, InFlight>,
}

impl GroupCommit {
    /// Creates an empty group commit.
    pub fn new(policy: BatchPolicy) -> Self {
        GroupCommit {
            policy,
            accepted: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
            crashed: Vec::new(),
            due: None,
            in_flight: FxHashMap::default(),
        }
    }

    /// Adds an accepted job.
    pub fn accept(&mut self, job: AcceptedJob, now: Time) {
        self.accepted.push(job);
        self.schedule(now);
    }

    /// Adds the start of a non-idempotent job, which must not be dispatched before the record was
    /// read back.
    pub fn start(&mut self, job: JobId, term: Term, now: Time) {
        self.started.push((job, term));
        self.schedule(now);
    }

    /// Adds the end of a job.
    pub fn end(&mut self, job: JobId, end: JobEnd, now: Time) {
        self.ended.push((job, end));
        self.schedule(now);
    }

    /// Adds the crashes counted for a task.
    pub fn crash(&mut self, job: JobId, crashes: TaskCrashes, now: Time) {
        self.crashed.push((job, crashes));
        self.schedule(now);
    }

    /// Returns the next time at which [`GroupCommit::take`] has records to append, or `None` if
    /// nothing waits.
    pub fn deadline(&self) -> Option<Time> {
        let retries = self.in_flight.values().map(|f| f.retry);
        retries.chain(self.due).min()
    }

    /// Returns the records to append now: retries under their original ids, and a due batch under
    /// new ids from `fresh_id`.
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

    /// Removes a record that was read back, and returns `false` if it is not one of this instance.
    pub fn read_back(&mut self, id: RecordId) -> bool {
        self.in_flight.remove(&id).is_some()
    }

    /// Returns the number of jobs in the batch plus the number of records not yet read back.
    pub fn len(&self) -> usize {
        self.batch_len() + self.in_flight.len()
    }

    /// Returns whether nothing waits to be appended or read back.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn batch_len(&self) -> usize {
        self.accepted.len() + self.started.len() + self.ended.len() + self.crashed.len()
    }

    fn schedule(&mut self, now: Time) {
        let due = if self.batch_len() >= self.policy.batch_jobs {
            now
        } else {
            now + self.policy.delay
        };
        self.due = Some(self.due.map_or(due, |old| old.min(due)));
    }

    fn track(&mut self, record: Stamped<JobRecord>, now: Time) {
        let retry = now + self.policy.retry;
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
        if !self.crashed.is_empty() {
            records.push(JobRecord::Crashed(std::mem::take(&mut self.crashed)));
        }
        if !self.ended.is_empty() {
            records.push(JobRecord::Ended(std::mem::take(&mut self.ended)));
        }
        records
    }

    fn take_overdue(&mut self, now: Time) -> Vec<Stamped<JobRecord>> {
        let retry = now + self.policy.retry;
        let mut records = Vec::new();
        for entry in self.in_flight.values_mut().filter(|f| f.retry <= now) {
            entry.retry = retry;
            records.push(entry.record.clone());
        }
        records.sort_by_key(|r| r.id);
        records
    }
}
