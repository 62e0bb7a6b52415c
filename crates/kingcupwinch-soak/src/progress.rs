//! Checks of where and how soon the tasks of long-running jobs are started.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind, is_allowed};
use rustc_hash::FxHashMap;

use crate::capacity::{Capacities, WorkerRuns, runs_by_worker};
use crate::checks::{
    Invariant, Observations, ObservedJob, Run, Runs, Violation, add_violation, runs_of,
};
use crate::crashes::may_fail_from;

/// Time after the end of the faults from which tasks have to be started in time.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time after the last run of a task from which it has to be started in time.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Time within which a task has to be started while there is room for it.
const START_TIME: Duration = Duration::from_secs(3);
/// Number of tasks for which there has to be room before one has to be started.
const NEEDED_ROOM: u64 = 2;
/// Interval at which the room on the workers is examined.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The step `JOB.OCCURRENCE.STEP` of a task.
fn step_name(task: &str) -> &str {
    task.rsplit_once('.').map_or("", |(step, _)| step)
}

/// The workers over time.
struct Fleet<'a> {
    capacities: Capacities<'a>,
    /// Times at which each worker became available or unavailable.
    changes: FxHashMap<&'a str, Vec<(Instant, bool)>>,
    runs: WorkerRuns<'a>,
}

impl<'a> Fleet<'a> {
    fn new(observations: &Observations<'a>, runs: &'a Runs) -> Self {
        let mut changes: FxHashMap<&str, Vec<(Instant, bool)>> = FxHashMap::default();
        for WorkerEvent {
            at, worker, kind, ..
        } in observations.events
        {
            let is_available = match kind {
                WorkerEventKind::Joined => true,
                WorkerEventKind::Left => false,
                _ => continue,
            };
            changes.entry(worker).or_default().push((*at, is_available));
        }
        Fleet {
            capacities: Capacities::new(observations),
            changes,
            runs: runs_by_worker(observations.jobs, runs),
        }
    }

    /// Returns for how many further tasks of a step of `cpu` there is room at a time.
    fn room(&self, step: &str, cpu: u64, limit: Option<u16>, at: Instant) -> u64 {
        let is_available = |changes: &[(Instant, bool)]| {
            let known = changes.partition_point(|(time, _)| *time <= at);
            known > 0 && changes[known - 1].1
        };
        let mut room = 0;
        for (worker, changes) in &self.changes {
            if !is_available(changes) || !is_allowed(step, worker) {
                continue;
            }
            let runs = self.runs.get(worker).map_or(&[][..], Vec::as_slice);
            let active = runs.iter().filter(|(_, _, run)| run.is_active(at));
            let (mut used, mut own) = (0, 0);
            for (task, cpu, _) in active {
                used += cpu;
                own += u64::from(step_name(task) == step);
            }
            let capacity = self.capacities.at(worker, at);
            let by_cpu = capacity.saturating_sub(used) / cpu.max(1);
            let by_limit = limit.map_or(u64::MAX, |limit| u64::from(limit).saturating_sub(own));
            room += by_cpu.min(by_limit);
        }
        room
    }
}

/// Checks that each long-running task is started in time at calm times.
pub(crate) fn check_progress(
    observations: &Observations<'_>,
    runs: &Runs,
    violations: &mut Vec<Violation>,
) {
    let fleet = Fleet::new(observations, runs);
    for job in observations.jobs {
        let Some(accepted) = job.accepted else {
            continue;
        };
        let may_fail_from = may_fail_from(job, runs);
        for (number, step) in job.steps.iter().enumerate() {
            if !step.is_long_running {
                continue;
            }
            let name = format!("{}.0.{number}", job.id);
            for index in 0..step.count {
                let task = format!("{name}.{index}");
                let of_task = runs.get(task.as_str()).map_or(&[][..], Vec::as_slice);
                let first = (!observations.is_overloaded).then_some(accepted);
                for (from, until) in gaps(accepted, first, job.cancel_sent, of_task) {
                    let until = [until, may_fail_from].into_iter().flatten().min();
                    let room = |at| fleet.room(&name, step.cpu, step.worker_limit, at);
                    for calm in observations.calm {
                        let from = from.max(calm.0 + CALM_TIME);
                        let until = until.map_or(calm.1, |until| until.min(calm.1));
                        if has_room_for_long(from, until, room) {
                            let detail = format!("{task} was not started although there was room");
                            add_violation(violations, Invariant::Progress, detail);
                        }
                    }
                }
            }
        }
    }
}

/// Returns the times in which a task of an accepted job has to be started: from `first` or some time
/// after its last run until its next run or the cancellation of its job.
fn gaps(
    accepted: Instant,
    first: Option<Instant>,
    cancelled: Option<Instant>,
    runs: &[Run],
) -> Vec<(Instant, Option<Instant>)> {
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by_key(|run| run.started);
    let mut gaps = Vec::new();
    let mut from = first;
    for run in runs {
        if let Some(from) = from {
            gaps.push((from, Some(run.started)));
        }
        from = run.ended.map(|ended| accepted.max(ended + RESTART_TIME));
    }
    gaps.extend(from.map(|from| (from, cancelled)));
    gaps
}

/// Returns whether there is room for [`START_TIME`] on end between two times.
fn has_room_for_long(from: Instant, until: Instant, room: impl Fn(Instant) -> u64) -> bool {
    let mut since = None;
    let mut at = from;
    while at < until {
        if room(at) >= NEEDED_ROOM {
            let since = *since.get_or_insert(at);
            if at.saturating_duration_since(since) >= START_TIME {
                return true;
            }
        } else {
            since = None;
        }
        at += SAMPLE_INTERVAL;
    }
    false
}

/// Checks that the tasks of long-running steps run only on allowed workers, and no more of them on one
/// worker than their step's limit.
pub(crate) fn check_workers(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    for (number, step) in job.steps.iter().enumerate() {
        if !step.is_long_running {
            continue;
        }
        let name = format!("{}.0.{number}", job.id);
        let of_step = runs_of(job, runs).filter(|(task, _)| step_name(task) == name);
        let of_step: Vec<(&str, &Run)> = of_step.collect();
        for (task, run) in &of_step {
            if !is_allowed(&name, &run.worker) {
                let detail = format!("{task} ran on {}", run.worker);
                add_violation(violations, Invariant::Advised, detail);
            }
            let is_beside = |(_, other): &&(&str, &Run)| {
                Arc::ptr_eq(&other.worker, &run.worker) || other.worker == run.worker
            };
            let beside = of_step.iter().filter(is_beside);
            let count = beside
                .filter(|(_, other)| other.is_active(run.started))
                .count();
            if step
                .worker_limit
                .is_some_and(|limit| count > usize::from(limit))
            {
                let detail = format!("{task} was started on {} beside {count} runs", run.worker);
                add_violation(violations, Invariant::WorkerLimit, detail);
            }
        }
    }
}
