//! Checks of the tasks that crash each worker that starts them.

use std::time::Instant;

use crate::checks::{Invariant, ObservedJob, Run, Runs, Violation, add_violation};

/// Number of workers that have to crash under a task before its job may be given up.
const CRASHES_TO_FAIL: usize = 2;
/// Number of workers after whose crashes the further starts of a task are limited.
const CRASHES_TO_LIMIT: usize = 3;
/// Largest number of these starts.
const MAX_FURTHER_STARTS: usize = 2;

/// Returns the runs of each task of a job that crashes its workers.
fn crashing_tasks<'a>(
    job: &'a ObservedJob,
    runs: &'a Runs,
) -> impl Iterator<Item = (String, &'a [Run])> {
    let steps = job.steps.iter().enumerate();
    steps.filter_map(move |(number, step)| {
        let task = format!("{}.0.{number}.{}", job.id, step.crashing?);
        let of_task = runs.get(task.as_str()).map_or(&[][..], Vec::as_slice);
        Some((task, of_task))
    })
}

/// Returns when as many workers as `count` had crashed under a task.
fn crashed(runs: &[Run], count: usize) -> Option<Instant> {
    let crashes = runs.iter().filter(|run| run.is_crashed);
    let mut ends: Vec<Instant> = crashes.filter_map(|run| run.ended).collect();
    ends.sort_unstable();
    ends.get(count - 1).copied()
}

/// Returns the time from which a job may be given up for a task that crashes its workers, or for one
/// that may not be started again, whatever has crashed the workers under it.
pub(crate) fn may_fail_from(job: &ObservedJob, runs: &Runs) -> Option<Instant> {
    let suspects = crashing_tasks(job, runs);
    let suspects = suspects.filter_map(|(_, runs)| crashed(runs, CRASHES_TO_FAIL));
    let exhausted = all_tasks(job);
    let exhausted = exhausted.filter_map(|task| {
        let of_task = runs.get(task.as_str())?;
        crashed(of_task, CRASHES_TO_LIMIT + MAX_FURTHER_STARTS)
    });
    suspects.chain(exhausted).min()
}

/// Returns the names of all tasks of a job.
fn all_tasks(job: &ObservedJob) -> impl Iterator<Item = String> {
    let steps = job.steps.iter().enumerate();
    steps.flat_map(move |(number, step)| {
        (0..step.count).map(move |index| format!("{}.0.{number}.{index}", job.id))
    })
}

/// Checks that a task is not started again and again while it crashes its workers.
pub(crate) fn check_crashes(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    for (task, runs) in crashing_tasks(job, runs) {
        let Some(limited) = crashed(runs, CRASHES_TO_LIMIT) else {
            continue;
        };
        let further = runs.iter().filter(|run| run.started > limited).count();
        if further > MAX_FURTHER_STARTS {
            let detail = format!(
                "{task} was started {further} times after {CRASHES_TO_LIMIT} workers had crashed"
            );
            add_violation(violations, Invariant::CrashLimit, detail);
        }
    }
}
