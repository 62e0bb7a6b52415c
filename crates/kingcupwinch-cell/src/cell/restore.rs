//! Restoring jobs from the records of an earlier owner.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::{ACCEPTANCE_TIMEOUT, Cell, JobView, SubmitOutcome};
use crate::id::JobId;
use crate::job::{JobKey, JobState};
use crate::record::{JobRecord, Placement, WorkerRecord};
use crate::run::{NewRun, RunState};
use crate::spec::JobSpec;

impl Cell {
    /// Restores a job of an earlier owner. `age` is the time since its acceptance. Without `spec`, the
    /// progress is kept until the acceptance is read: the earlier owner may have placed the job while
    /// its acceptance was being appended.
    pub fn restore(
        &mut self,
        id: JobId,
        spec: Option<JobSpec>,
        record: Option<&JobRecord>,
        age: Span,
        now: Time,
    ) {
        if let Some(record) = record
            && let Some(state) = record.end
        {
            if !self.ended_jobs.contains_key(&id) {
                self.restore_left_runs(record);
            }
            let customer = record.customer.clone();
            self.retain_end(id, JobView { state, customer }, now);
            return;
        }
        let Some(spec) = spec else {
            self.accepted_by = now + ACCEPTANCE_TIMEOUT;
            self.unaccepted
                .extend(record.map(|record| (id, record.clone())));
            return;
        };
        // The runs of a job that was cancelled have to be stopped.
        if self.submit(id, spec, now - age) == SubmitOutcome::Known {
            return;
        }
        let key = self.jobs_by_id[&id];
        self.jobs[key].inherited = true;
        // Tasks without a recorded placement were never ordered and can start at once.
        if let Some(record) = record {
            self.restore_progress(key, record, now);
        }
    }

    pub(super) fn restore_progress(&mut self, key: JobKey, record: &JobRecord, now: Time) {
        let job = &mut self.jobs[key];
        job.inherited = true;
        job.restore(record, now);
        job.update_paths(&self.run_times);
        job.last_run = job.last_run.max(self.run_base);
        for placement in &record.placements {
            self.adopt_placement(key, placement, now);
        }
        self.restore_suspects(key);
        if self.jobs[key].is_done() {
            self.end_job(key, JobState::Completed);
        }
    }

    /// Restores a recorded placement. The run counts as active until a poll of its worker settles
    /// it.
    fn adopt_placement(&mut self, key: JobKey, placement: &Placement, now: Time) {
        let worker = match self.workers_by_id.get(&placement.worker) {
            Some(&worker) => worker,
            None => {
                let record = WorkerRecord {
                    id: Arc::clone(&placement.worker),
                    address: "".into(),
                    started_ms: None,
                    long_lease: false,
                };
                self.register_lost_worker(&record, now)
            }
        };
        let name = self.jobs[key].task_name(placement.step as usize, placement.index.into());
        let new_run = NewRun {
            name,
            number: placement.run,
            worker,
            state: RunState::Inherited,
        };
        self.adopt_run(key, new_run, now);
    }
}
