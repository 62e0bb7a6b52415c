//! Jobs as callers see them: their states, their customers and their cancellation.

use std::sync::Arc;

use kingcupwinch_time::Time;

use super::Cell;
use crate::id::JobId;
use crate::job::JobState;
use crate::requester::Requester;
use crate::spec::JobSpec;

/// The most final states that are forgotten at once. An append of their deletions takes a link of 2 Mbit/s
/// 0.2 s.
const MAX_FORGOTTEN: usize = 2_000;

/// A job as it is reported to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// The state.
    pub state: JobState,
    /// The customer whose job it is. `None` if the job has none, or if it is not known.
    pub customer: Option<Arc<str>>,
}

impl Cell {
    /// Returns the state of a job, or `None` if the job is unknown.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        if let Some(view) = self.ended_jobs.get(&id) {
            return Some(view.state);
        }
        let key = self.jobs_by_id.get(&id)?;
        Some(self.jobs[*key].state())
    }

    /// Returns the state and the customer of a job, or `None` if the job is unknown.
    pub fn job_view(&self, id: JobId) -> Option<JobView> {
        if let Some(view) = self.ended_jobs.get(&id) {
            return Some(view.clone());
        }
        let job = &self.jobs[*self.jobs_by_id.get(&id)?];
        Some(JobView {
            state: job.state(),
            customer: job.spec.customer.clone(),
        })
    }

    /// Returns whether the end of a job is in the log. A cancelled job is reported as such before.
    pub fn is_end_recorded(&self, id: JobId) -> bool {
        let live = self.jobs_by_id.get(&id);
        live.is_some_and(|key| self.jobs[*key].is_end_recorded) || self.ended_jobs.contains_key(&id)
    }

    /// Returns whether an id is that of a job of somebody else, so that a submission is no repeat of it. A queue
    /// may become public, or cease to be, between a submission and its repeat.
    pub fn is_taken(&self, id: JobId, spec: &JobSpec) -> bool {
        let Some(view) = self.job_view(id) else {
            return false;
        };
        if view.customer == spec.customer {
            return false;
        }
        if view.customer.is_some() && spec.customer.is_some() {
            return true;
        }
        let job = self.jobs_by_id.get(&id).map(|key| &self.jobs[*key]);
        job.is_some_and(|job| job.spec.policy.queue != spec.policy.queue)
    }

    /// Cancels a job on behalf of any caller. The cancellation must be in the log.
    pub fn cancel(&mut self, id: JobId, now: Time) {
        self.cancel_for(id, &Requester::Anyone, now);
    }

    /// Cancels a job, unless it is one that the requester may not cancel; returns whether it was
    /// cancelled or will be once it is known. The cancellation must be in the log.
    pub fn cancel_for(&mut self, id: JobId, requester: &Requester, now: Time) -> bool {
        if let Some(view) = self.ended_jobs.get(&id) {
            return requester.may_access(view.customer.as_deref());
        }
        let Some(&key) = self.jobs_by_id.get(&id) else {
            let until = now + self.timers.end_retention;
            self.early_cancels.add(id, requester, until);
            self.footprint.set_early_cancels(self.early_cancels.len());
            return true;
        };
        let may_cancel = requester.may_access(self.jobs[key].spec.customer.as_deref());
        if may_cancel {
            self.end_job(key, JobState::Cancelled);
        }
        may_cancel
    }

    /// Keeps the final state of a job for the retention time.
    pub(super) fn retain_end(&mut self, id: JobId, view: JobView, now: Time) {
        if self.ended_jobs.insert(id, view).is_none() {
            self.footprint.add_ended();
            self.end_expiry
                .push_back((now + self.timers.end_retention, id));
        }
    }

    /// Forgets the final states that have been kept for the retention time, and has their records deleted.
    /// Those of jobs of which the log may hold an acceptance are kept on: the later owner that read it
    /// without the record would run the job again. What exceeds an append waits for the next call.
    pub fn forget_ends(&mut self, now: Time, may_be_accepted: impl Fn(JobId) -> bool) {
        let due = self.end_expiry.partition_point(|(until, _)| *until <= now);
        let due = due.min(MAX_FORGOTTEN);
        let due: Vec<(Time, JobId)> = self.end_expiry.drain(..due).collect();
        for (_, id) in due {
            if may_be_accepted(id) {
                let until = now + self.timers.end_retention;
                self.end_expiry.push_back((until, id));
            } else {
                self.ended_jobs.remove(&id);
                self.footprint.remove_ended();
                self.dropped_jobs.push(id);
            }
        }
    }

    /// Forgets the cancellations of unknown jobs that have been kept for the retention time. Those that the log
    /// may hold stay in force: a later owner that read one would cancel a job that this one runs. Returns
    /// the jobs of the latter, so that they are deleted from the log.
    pub fn forget_cancels(
        &mut self,
        now: Time,
        may_be_in_log: impl Fn(JobId) -> bool,
    ) -> Vec<JobId> {
        let kept = self.early_cancels.forget(now, may_be_in_log);
        self.footprint.set_early_cancels(self.early_cancels.len());
        kept
    }
}
