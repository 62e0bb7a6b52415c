//! Jobs that are placed while their acceptance is still being appended to the log.
//!
//! No orders are sent for such a job. It is confirmed once its acceptance is in the log, or removed
//! without a trace if it certainly is not.

use kingcupwinch_time::{Span, Time};

use super::{ACCEPTANCE_TIMEOUT, Cell};
use crate::id::JobId;
use crate::job::{JobKey, JobState};
use crate::mechanism::Mechanism;
use crate::record::JobRecord;
use crate::run::RunKey;
use crate::spec::JobSpec;

/// How long an unconfirmed job keeps its capacity. If its acceptance turns out to be in the log, it
/// is read from there.
const TENTATIVE_TIMEOUT: Span = Span::from_millis(6_000);

impl Cell {
    /// Adds a job whose acceptance is being appended to the log. Does nothing if the job is known.
    pub fn submit_tentatively(&mut self, id: JobId, spec: JobSpec, now: Time) {
        if !self.uses(Mechanism::Tentative) {
            return;
        }
        if self.job_state(id).is_some() || self.early_cancels.contains(id) {
            return;
        }
        self.submit(id, spec, now);
        if let Some(&key) = self.jobs_by_id.get(&id) {
            self.tentative.insert(key, now);
        }
    }

    /// Returns whether a job is known whose acceptance is not in the log yet.
    pub fn is_tentative(&self, id: JobId) -> bool {
        let key = self.jobs_by_id.get(&id);
        key.is_some_and(|key| self.tentative.contains_key(key))
    }

    /// Records that a job's acceptance is in the log, so that its orders may be sent.
    pub fn confirm(&mut self, id: JobId) {
        if let Some(key) = self.jobs_by_id.get(&id) {
            self.tentative.remove(key);
        }
    }

    /// Removes a job whose acceptance certainly is not in the log. A confirmed job stays.
    pub fn drop_tentative(&mut self, id: JobId, now: Time) {
        if let Some(&key) = self.jobs_by_id.get(&id)
            && self.tentative.contains_key(&key)
        {
            self.remove_tentative(key, now);
        }
    }

    /// Removes the jobs that were not confirmed in time.
    pub(crate) fn expire_tentative(&mut self, now: Time) {
        let is_old =
            |(key, since): (&JobKey, &Time)| (*since + TENTATIVE_TIMEOUT < now).then_some(*key);
        let old: Vec<JobKey> = self.tentative.iter().filter_map(is_old).collect();
        for key in old {
            self.remove_tentative(key, now);
        }
    }

    fn remove_tentative(&mut self, key: JobKey, now: Time) {
        let job = &self.jobs[key];
        let (id, end) = (job.id, job.end);
        // An earlier owner may have ordered runs, if the acceptance is in the log all the same.
        let earlier = job
            .inherited
            .then(|| JobRecord::of_progress(job, self.placements(job)));
        // This owner sent no orders for these runs.
        let runs: Vec<RunKey> = job.runs.iter().copied().collect();
        for run in runs {
            self.settle(run, now);
        }
        if end == Some(JobState::Cancelled) {
            // A cancellation is in the log and holds for this id. Settling the runs may have removed
            // the job.
            self.tentative.remove(&key);
            return;
        }
        let parts = self.remove_job(key).map(|job| job.parts);
        let parts = parts.unwrap_or_default().into_keys();
        self.jobs_by_id.remove(&id);
        self.dirty.remove(&key);
        self.unindex_job(key);
        match earlier {
            Some(record) => {
                self.unaccepted.insert(id, record);
                self.accepted_by = now + ACCEPTANCE_TIMEOUT;
            }
            None => {
                self.dropped_parts.extend(parts.map(|part| (id, part)));
                self.dropped_jobs.push(id);
            }
        }
    }
}
