//! Cancellations that arrive before their jobs.

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::id::JobId;
use crate::requester::Requester;

/// Cancellations of jobs that are not known yet, until they expire. Each holds only for a job that its
/// requester may cancel.
#[derive(Debug, Default)]
pub(super) struct EarlyCancels {
    rows: FxHashMap<JobId, SmallVec<[(Requester, Time); 1]>>,
    len: usize,
}

impl EarlyCancels {
    /// Adds a cancellation that expires at `until`.
    pub(super) fn add(&mut self, id: JobId, requester: &Requester, until: Time) {
        let of_job = self.rows.entry(id).or_default();
        match of_job.iter_mut().find(|(known, _)| known == requester) {
            Some((_, known)) => *known = until,
            None => {
                of_job.push((requester.clone(), until));
                self.len += 1;
            }
        }
    }

    /// Returns the number of cancellations.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is a cancellation of a job, for whichever customer.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.rows.contains_key(&id)
    }

    /// Removes the cancellations of a job; returns whether one holds for a job of this customer.
    pub(super) fn take(&mut self, id: JobId, customer: Option<&str>) -> bool {
        let of_job = self.rows.remove(&id).unwrap_or_default();
        self.len -= of_job.len();
        let mut of_job = of_job.iter();
        of_job.any(|(requester, _)| requester.may_access(customer))
    }

    /// Forgets the jobs of which all cancellations have expired, except those that may have one in the log.
    /// Returns the latter.
    pub(super) fn forget(
        &mut self,
        now: Time,
        may_be_in_log: impl Fn(JobId) -> bool,
    ) -> Vec<JobId> {
        let mut kept = Vec::new();
        let len = &mut self.len;
        self.rows.retain(|id, of_job| {
            if of_job.iter().any(|(_, until)| *until > now) {
                return true;
            }
            let is_kept = may_be_in_log(*id);
            if is_kept {
                kept.push(*id);
            } else {
                *len -= of_job.len();
            }
            is_kept
        });
        kept
    }
}
