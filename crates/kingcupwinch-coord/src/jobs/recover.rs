//! What a shard's new owner does with the jobs that it inherits.
//!
//! A `Started` record is read back before a non-idempotent job's first dispatch, by an owner that
//! checks at the last step that it still owns the shard. So once the new term has taken effect and
//! the job stream was read to its end after that, a non-idempotent job without the record was
//! certainly never dispatched.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;

use super::OpenJob;
use crate::id::JobId;
use crate::record::JobEnd;

/// What the workers' reports say of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A report made after the term took effect shows it running.
    Running,
    /// A worker reports its end.
    Ended(JobEnd),
}

/// What the owner does with a job now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryStep {
    /// It waits: for the stream's end, for reports, or for old leases to lapse.
    Wait,
    /// It takes the running job over.
    Adopt,
    /// It runs the job; no earlier run can still be going on.
    Run,
    /// It records this end.
    End(JobEnd),
}

/// The recovery of one shard by its new owner.
#[derive(Debug, Clone)]
pub struct Recovery {
    effect: Time,
    lapse: Time,
    tail_read: bool,
    evidence: FxHashMap<JobId, Evidence>,
}

impl Recovery {
    /// Makes the recovery of a term that takes effect at `effect`; by `lapse` every lease of an
    /// older term has certainly lapsed.
    pub fn new(effect: Time, lapse: Time) -> Self {
        Recovery {
            effect,
            lapse: lapse.max(effect),
            tail_read: false,
            evidence: FxHashMap::default(),
        }
    }

    /// Notes that the job stream was read to its end by a read sent at `sent`.
    pub fn note_tail(&mut self, sent: Time) {
        self.tail_read |= sent >= self.effect;
    }

    /// Notes what a worker's report says; `made` is when the report was made.
    ///
    /// An end is never taken back. A running job counts only from reports made after the effect.
    pub fn note(&mut self, job: JobId, evidence: Evidence, made: Time) {
        let counts = matches!(evidence, Evidence::Ended(_)) || made >= self.effect;
        let ended = matches!(self.evidence.get(&job), Some(Evidence::Ended(_)));
        if counts && !ended {
            self.evidence.insert(job, evidence);
        }
    }

    /// Sets a later time at which old leases have certainly lapsed.
    #[must_use]
    pub fn with_lapse(mut self, lapse: Time) -> Self {
        self.lapse = self.lapse.max(lapse);
        self
    }

    /// Returns whether every job that an earlier owner accepted is known.
    pub fn is_certain(&self, now: Time) -> bool {
        now >= self.effect && self.tail_read
    }

    /// Returns when jobs that wait for leases alone go on.
    pub fn deadline(&self) -> Time {
        self.lapse
    }

    /// Decides for one open job.
    pub fn step(&self, open: &OpenJob, now: Time) -> RecoveryStep {
        if !self.is_certain(now) {
            return RecoveryStep::Wait;
        }
        match self.evidence.get(&open.accepted.job) {
            Some(Evidence::Ended(end)) => RecoveryStep::End(*end),
            Some(Evidence::Running) => RecoveryStep::Adopt,
            None => self.step_unseen(open, now),
        }
    }

    fn step_unseen(&self, open: &OpenJob, now: Time) -> RecoveryStep {
        let never_ran = !open.accepted.idempotent && open.started.is_none();
        if never_ran {
            return RecoveryStep::Run;
        }
        if now < self.lapse {
            return RecoveryStep::Wait;
        }
        if open.accepted.idempotent {
            RecoveryStep::Run
        } else {
            RecoveryStep::End(JobEnd::Unknown)
        }
    }
}
