//! Recovery of the open jobs of a shard by its new owner.
//!
//! An owner dispatches a non-idempotent job only after it has read back the job's `Started` record
//! and has checked, as the last step, that it still owns the shard. Therefore, once a new term is
//! effective and the job stream was read to its end after that, a non-idempotent job without the
//! record has certainly never been dispatched.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use super::OpenJob;
use crate::id::JobId;
use crate::record::JobEnd;

/// Evidence about a job from the reports of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A report made after the term became effective shows that the job is running.
    Running,
    /// A worker reports that the job ended.
    Ended(JobEnd),
}

/// The next step of the owner for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Wait for the end of the stream, for reports, or for old leases to expire.
    Wait,
    /// Take over the running job.
    Adopt,
    /// Run the job; no earlier run can still be in progress.
    Run,
    /// Record that the job has ended this way.
    End(JobEnd),
}

/// The recovery of one shard by its new owner.
#[derive(Debug, Clone)]
pub struct Recovery {
    effective: Time,
    lease_expiry: Time,
    tail_read: bool,
    evidence: FxHashMap<JobId, Evidence>,
}

impl Recovery {
    /// Creates the recovery of a term that becomes effective at `effective`.
    ///
    /// By `lease_expiry` every lease of an earlier term has certainly expired.
    pub fn new(effective: Time, lease_expiry: Time) -> Self {
        Recovery {
            effective,
            lease_expiry: lease_expiry.max(effective),
            tail_read: false,
            evidence: FxHashMap::default(),
        }
    }

    /// Records that a read sent at `sent` reached the end of the job stream.
    pub fn record_tail_read(&mut self, sent: Time) {
        self.tail_read |= sent >= self.effective;
    }

    /// Records evidence from a worker's report, which was made at `reported`.
    ///
    /// An end is final. A job counts as running only by a report made after the term became
    /// effective.
    pub fn record_evidence(&mut self, job: JobId, evidence: Evidence, reported: Time) {
        let is_relevant = matches!(evidence, Evidence::Ended(_)) || reported >= self.effective;
        let ended = matches!(self.evidence.get(&job), Some(Evidence::Ended(_)));
        if is_relevant && !ended {
            self.evidence.insert(job, evidence);
        }
    }

    /// Postpones the time by which all leases of earlier terms have certainly expired.
    #[must_use]
    pub fn with_lease_expiry(mut self, lease_expiry: Time) -> Self {
        self.lease_expiry = self.lease_expiry.max(lease_expiry);
        self
    }

    /// Returns whether all jobs accepted by earlier owners are known.
    pub fn knows_all_jobs(&self, now: Time) -> bool {
        now >= self.effective && self.tail_read
    }

    /// Returns the time at which jobs that only wait for old leases can proceed.
    pub fn deadline(&self) -> Time {
        self.lease_expiry
    }

    /// Returns the next step for an open job.
    pub fn step(&self, open: &OpenJob, now: Time) -> RecoveryStep {
        if !self.knows_all_jobs(now) {
            return RecoveryStep::Wait;
        }
        match self.evidence.get(&open.accepted.job) {
            Some(Evidence::Ended(end)) => RecoveryStep::End(*end),
            Some(Evidence::Running) => RecoveryStep::Adopt,
            None => self.step_without_evidence(open, now),
        }
    }

    fn step_without_evidence(&self, open: &OpenJob, now: Time) -> RecoveryStep {
        let never_ran = !open.accepted.idempotent && open.started.is_none();
        if never_ran {
            return RecoveryStep::Run;
        }
        if now < self.lease_expiry {
            return RecoveryStep::Wait;
        }
        if open.accepted.idempotent {
            RecoveryStep::Run
        } else {
            RecoveryStep::End(JobEnd::Unknown)
        }
    }
}
