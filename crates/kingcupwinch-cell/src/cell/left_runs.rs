//! Runs of ended jobs that may still be on workers when a later owner takes over.
//!
//! The acceptance of an ended job may be deleted already, so that its runs can't be adopted. Its record
//! says what they take, and this counts for the customer until their workers show that they are gone.

use std::sync::Arc;

use kingcupwinch_time::Time;

use super::Cell;
use crate::job::Job;
use crate::record::{JobRecord, LeftRuns};
use crate::worker::WorkerKey;

/// Runs of an ended job that an earlier owner recorded.
#[derive(Debug)]
pub(super) struct InheritedRuns {
    customer: Option<Arc<str>>,
    worker: WorkerKey,
    left: LeftRuns,
}

impl Cell {
    /// Adds to the record of an ended job of a customer what it may have on workers.
    pub(super) fn add_left_runs(&self, job: &Job, record: &mut JobRecord) {
        if job.spec.customer.is_none() {
            return;
        }
        for run in job.runs.iter().filter_map(|run| self.runs.get(*run)) {
            let charge = job.step_spec(job.slot(run.name)).resources;
            let worker = &self.workers[run.worker].registration.id;
            let mut rows = record.left.iter_mut();
            if let Some(row) = rows.find(|row| row.worker == *worker) {
                row.runs += 1;
                row.used.add(charge);
            } else {
                record.left.push(LeftRuns {
                    worker: Arc::clone(worker),
                    runs: 1,
                    used: charge,
                });
            }
        }
    }

    /// Counts what an ended job may have on workers. A worker that is not known was removed by the
    /// earlier owner, after all its leases had expired.
    pub(super) fn restore_left_runs(&mut self, record: &JobRecord) {
        for left in &record.left {
            if let Some(&worker) = self.workers_by_id.get(&left.worker) {
                let customer = record.customer.clone();
                self.customers.add_runs(&customer, left.used, left.runs);
                self.inherited_runs.push(InheritedRuns {
                    customer,
                    worker,
                    left: left.clone(),
                });
            }
        }
    }

    /// Releases the runs on workers that have responded without them, or whose leases have expired.
    pub(crate) fn release_left_runs(&mut self, now: Time) {
        let Cell {
            inherited_runs,
            workers,
            customers,
            timers,
            ..
        } = self;
        inherited_runs.retain(|row| {
            let worker = workers.get(row.worker);
            let may_run = worker.is_some_and(|worker| {
                let is_silent = worker.idle_cause(timers.exit_window, now).is_some();
                (worker.inherited || worker.has_unknown_runs) && !is_silent
            });
            if !may_run {
                customers.remove_runs(&row.customer, row.left.used, row.left.runs);
            }
            may_run
        });
    }
}
