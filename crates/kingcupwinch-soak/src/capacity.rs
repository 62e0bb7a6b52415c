//! Capacities of the workers over time, and the check that no start exceeds them.

use std::time::{Duration, Instant};

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use rustc_hash::FxHashMap;

use crate::checks::{
    Invariant, Observations, ObservedJob, Run, Runs, Violation, add_violation, runs_of,
};

/// Time for which starts may use a capacity after the directory has shown a smaller one.
const SHRINK_GRACE: Duration = Duration::from_secs(3);

/// The capacities of the workers, as the directory showed them.
pub(crate) struct Capacities<'a> {
    /// Capacity of a worker without changes.
    full: u64,
    changes: FxHashMap<&'a str, Vec<(Instant, u64)>>,
}

impl<'a> Capacities<'a> {
    pub(crate) fn new(observations: &Observations<'a>) -> Self {
        let mut changes: FxHashMap<&str, Vec<(Instant, u64)>> = FxHashMap::default();
        for WorkerEvent {
            at, worker, kind, ..
        } in observations.events
        {
            if let WorkerEventKind::Capacity(cpu) = kind {
                changes.entry(worker).or_default().push((*at, *cpu));
            }
        }
        Capacities {
            full: observations.worker_cpu,
            changes,
        }
    }

    /// Returns the capacity of a worker at a time.
    pub(crate) fn at(&self, worker: &str, at: Instant) -> u64 {
        self.highest(worker, at, at)
    }

    /// Returns the largest capacity of a worker between two times.
    fn highest(&self, worker: &str, from: Instant, until: Instant) -> u64 {
        let changes = self.changes.get(worker).map_or(&[][..], Vec::as_slice);
        let first = changes.partition_point(|(at, _)| *at <= from);
        let end = changes.partition_point(|(at, _)| *at <= until);
        let valid = &changes[first.saturating_sub(1)..end];
        let highest = valid.iter().map(|(_, cpu)| *cpu).max();
        highest.unwrap_or(self.full)
    }
}

/// The runs on each worker, with their tasks and their CPU.
pub(crate) type WorkerRuns<'a> = FxHashMap<&'a str, Vec<(&'a str, u64, &'a Run)>>;

/// Returns the runs of jobs on each worker.
pub(crate) fn runs_by_worker<'a>(jobs: &'a [ObservedJob], runs: &'a Runs) -> WorkerRuns<'a> {
    let mut by_worker = WorkerRuns::default();
    for job in jobs {
        for (task, run) in runs_of(job, runs) {
            let number = task.split('.').nth(2);
            let number = number.and_then(|number| number.parse::<usize>().ok());
            let step = number.and_then(|number| job.steps.get(number));
            let cpu = step.map_or(0, |step| step.cpu);
            let of_worker = by_worker.entry(&*run.worker).or_default();
            of_worker.push((task, cpu, run));
        }
    }
    by_worker
}

/// Checks that no start brings a worker over a capacity that has shrunk; the worker itself records starts
/// beyond its full capacity. A run that is being stopped counts until it has ended.
pub(crate) fn check_capacity(
    observations: &Observations<'_>,
    runs: &Runs,
    violations: &mut Vec<Violation>,
) {
    let capacities = Capacities::new(observations);
    for (worker, runs) in &runs_by_worker(observations.jobs, runs) {
        for (task, _, run) in runs {
            let at = run.started;
            let active = runs.iter().filter(|(_, _, other)| other.is_active(at));
            let used: u64 = active.map(|(_, cpu, _)| cpu).sum();
            let from = at.checked_sub(SHRINK_GRACE).unwrap_or(at);
            let limit = capacities.highest(worker, from, at);
            if limit < observations.worker_cpu && used > limit {
                let detail = format!("{worker} ran {used} of {limit} with the start of {task}");
                add_violation(violations, Invariant::Capacity, detail);
            }
        }
    }
}
