//! What customers may get from the calls to the adviser that are in flight.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

use super::Cell;
use crate::cap::Usage;
use crate::job::JobKey;

/// Steps with calls in flight or answered since the last round, and what their waiting tasks take, by
/// customer. It is kept for a whole round: summed up for each step anew, it made rounds with a backlog
/// so long that tickets expired before their tasks were started.
#[derive(Debug, Default)]
pub(crate) struct AskedWork {
    steps: FxHashSet<(JobKey, usize)>,
    usage: FxHashMap<Option<Arc<str>>, Usage>,
}

impl Cell {
    /// Sums up the steps that are asked about, at the beginning of a round.
    pub(crate) fn count_asked_work(&mut self) {
        let mut asked = AskedWork::default();
        if self.customers.has_any() {
            asked.steps = self.asked_steps();
            for (job, slot) in &asked.steps {
                let work = self.waiting_work(*job, *slot);
                let usage = asked.usage.entry(self.customer(*job).clone()).or_default();
                usage.add(work.used, work.runs);
            }
        }
        self.asked_work = asked;
    }

    /// Counts a step that is asked about from now on.
    pub(crate) fn add_asked_step(&mut self, job: JobKey, slot: usize) {
        if self.customers.has_any() && self.asked_work.steps.insert((job, slot)) {
            let work = self.waiting_work(job, slot);
            let customer = self.customer(job).clone();
            let usage = self.asked_work.usage.entry(customer).or_default();
            usage.add(work.used, work.runs);
        }
    }

    /// Notes that a task of a step no longer waits.
    pub(crate) fn note_asked_start(&mut self, job: JobKey, slot: usize) {
        if self.asked_work.steps.contains(&(job, slot)) {
            let charge = self.jobs[job].step_spec(slot).resources;
            let customer = &self.jobs[job].spec.customer;
            if let Some(usage) = self.asked_work.usage.get_mut(customer) {
                usage.remove(charge, 1);
            }
        }
    }

    /// Returns what the waiting tasks of the other steps of the customer of a step take about which the
    /// adviser is asked.
    pub(crate) fn other_asked_work(&self, job: JobKey, slot: usize) -> Usage {
        let asked = &self.asked_work;
        let mut usage = asked.usage.get(self.customer(job)).copied();
        if let Some(usage) = &mut usage
            && asked.steps.contains(&(job, slot))
        {
            let own = self.waiting_work(job, slot);
            usage.remove(own.used, own.runs);
        }
        usage.unwrap_or_default()
    }

    fn waiting_work(&self, job: JobKey, slot: usize) -> Usage {
        let tasks = self.jobs[job].steps[slot].waiting as u64;
        Usage {
            used: self.jobs[job].step_spec(slot).resources.times(tasks),
            runs: tasks,
        }
    }
}
