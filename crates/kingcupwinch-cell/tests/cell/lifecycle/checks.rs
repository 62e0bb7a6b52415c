//! The promises to workers and callers, checked from what they see.
//!
//! An end counts once it is acknowledged to its worker, unless the worker's lease lapsed in between.
//! That is the only excuse: an end that was not acknowledged, or that was lost with its worker, may
//! be repeated.

use std::collections::BTreeMap;

use kingcupwinch_cell::{EndReason, JobId, JobSpec, JobState, TaskName, WorkerRecord};
use kingcupwinch_time::Time;

use super::log::Log;

/// The number of workers that a task has to crash before its job may fail for it.
const MIN_CRASHES: u32 = 3;
/// How often a task may start after it crashed that many workers, since the last crashes may not be known
/// yet.
const MAX_LATE_STARTS: u32 = 2;

/// A process of a worker: its index and the number of its life.
pub(super) type LifeId = (usize, u64);

/// A promise that was broken.
#[derive(Debug)]
pub(super) struct Breach {
    pub(super) promise: &'static str,
    pub(super) job: Option<JobId>,
    /// The worker whose events matter, beside those of the job.
    pub(super) worker: Option<usize>,
    pub(super) text: String,
}

/// An end of a run as its worker saw it.
#[derive(Debug)]
struct End {
    /// The position in the order of all starts and ends.
    order: u64,
    sequence: u64,
    reason: EndReason,
    is_acked: bool,
    /// Whether the lease lapsed before the acknowledgement.
    is_excused: bool,
}

impl End {
    fn counts(&self) -> bool {
        self.is_acked && !self.is_excused
    }
}

#[derive(Debug)]
struct SeenRun {
    run: u32,
    life: LifeId,
    order: u64,
    /// When the run ended or was lost.
    over_at: Option<Time>,
    end: Option<End>,
    /// Whether the run was lost with its worker process.
    is_lost: bool,
}

impl SeenRun {
    fn is_active(&self) -> bool {
        self.end.is_none() && !self.is_lost
    }

    fn ended_as(&self, reason: EndReason) -> Option<&End> {
        self.end.as_ref().filter(|end| end.reason == reason)
    }
}

#[derive(Debug, Default)]
pub(super) struct Checks {
    runs: BTreeMap<TaskName, Vec<SeenRun>>,
    /// The runs on each life whose ends are not acknowledged yet, active ones included.
    open: BTreeMap<LifeId, Vec<(TaskName, u32)>>,
    reported: BTreeMap<JobId, JobState>,
    /// The workers that each task crashed, and its starts since it had crashed [`MIN_CRASHES`].
    crashes: BTreeMap<TaskName, (u32, u32)>,
    last_order: u64,
    pub(super) breach: Option<Breach>,
}

impl Checks {
    fn fail(&mut self, promise: &'static str, job: Option<JobId>, text: String) {
        if self.breach.is_none() {
            self.breach = Some(Breach {
                promise,
                job,
                worker: None,
                text,
            });
        }
    }

    fn next_order(&mut self) -> u64 {
        self.last_order += 1;
        self.last_order
    }

    /// An owner orders a run. `knows_cancelled` tells whether it has read a cancellation of the job.
    pub(super) fn ordered(&mut self, task: TaskName, run: u32, knows_cancelled: bool) {
        if knows_cancelled {
            let text = format!("{task} run {run} ordered after the owner read the cancellation");
            self.fail("no order for a cancelled job", Some(task.job), text);
        }
        if let Some(state) = self.reported.get(&task.job) {
            let text = format!("{task} run {run} ordered after {state:?} was reported");
            self.fail("no order for an ended job", Some(task.job), text);
        }
    }

    /// A worker begins a run.
    pub(super) fn started(&mut self, task: TaskName, run: u32, life: LifeId, log: &Log) {
        let job = Some(task.job);
        let order = self.next_order();
        let Some(spec) = log.accepted.get(&task.job) else {
            let text = format!("{task} run {run} started");
            self.fail("no start of a job that was not accepted", job, text);
            return;
        };
        let after = &spec.steps[usize::from(task.step)].after;
        let pending = after
            .iter()
            .find(|step| !self.is_step_done(task, **step, spec));
        if let Some(pending) = pending {
            let text = format!("{task} run {run} started before step {pending} was done");
            self.fail("steps run in order", job, text);
        }
        let runs = self.runs.entry(task).or_default();
        let other = runs.iter().find(|other| other.is_active());
        let other = other.map(|other| (other.run, other.life));
        runs.push(SeenRun {
            run,
            life,
            order,
            over_at: None,
            end: None,
            is_lost: false,
        });
        self.open.entry(life).or_default().push((task, run));
        if let Some((number, on)) = other {
            let text =
                format!("{task} run {run} started on {life:?} beside run {number} on {on:?}");
            self.fail("no two runs of a task at once", job, text);
        }
        self.check_task(task, spec);
        if let Some((crashes, starts)) = self.crashes.get_mut(&task)
            && *crashes >= MIN_CRASHES
        {
            *starts += 1;
            if *starts > MAX_LATE_STARTS {
                let text = format!("{task} run {run} started after {crashes} crashes");
                self.fail("no start of a task that crashes its workers", job, text);
            }
        }
    }

    /// A task crashes the worker that runs it.
    pub(super) fn crashed(&mut self, task: TaskName) {
        self.crashes.entry(task).or_default().0 += 1;
    }

    fn has_crashed_workers(&self, task: TaskName) -> bool {
        let crashes = self.crashes.get(&task);
        crashes.is_some_and(|(crashes, _)| *crashes >= MIN_CRASHES)
    }

    /// Checks that no run of a task began after the task was known to be done or out of attempts.
    fn check_task(&mut self, task: TaskName, spec: &JobSpec) {
        let runs = &self.runs[&task];
        let last_start = runs.iter().map(|run| run.order).max().unwrap_or(0);
        let counted = |reason: EndReason| {
            let ends = runs.iter().filter_map(move |run| run.ended_as(reason));
            let mut orders: Vec<u64> = ends
                .filter(|end| end.counts())
                .map(|end| end.order)
                .collect();
            orders.sort_unstable();
            orders
        };
        let done = counted(EndReason::Done).first().copied();
        let failed = counted(EndReason::Failed);
        let step = &spec.steps[usize::from(task.step)];
        let spent = failed.get(spec.policy.max_attempts as usize - 1).copied();
        // Long-running tasks are restarted however often they fail.
        let spent = spent.filter(|_| !step.long_running);
        if done.is_some_and(|done| done < last_start) {
            let text =
                format!("{task} started after a run was done, and that end was acknowledged");
            self.fail("no start after an acknowledged end", Some(task.job), text);
        }
        if spent.is_some_and(|spent| spent < last_start) {
            let text = format!(
                "{task} started after {} acknowledged failures",
                failed.len()
            );
            self.fail("no start beyond the attempts", Some(task.job), text);
        }
    }

    fn is_done(&self, task: TaskName) -> bool {
        let runs = self.runs.get(&task).map_or(&[][..], Vec::as_slice);
        runs.iter()
            .any(|run| run.ended_as(EndReason::Done).is_some())
    }

    fn is_step_done(&self, task: TaskName, step: u16, spec: &JobSpec) -> bool {
        let count = spec.steps[usize::from(step)].count;
        (0..count).all(|index| {
            self.is_done(TaskName {
                step,
                index,
                ..task
            })
        })
    }

    /// A run ends on its worker.
    pub(super) fn ended(&mut self, end: &kingcupwinch_cell::RunEnd, life: LifeId, now: Time) {
        let order = self.next_order();
        let runs = self.runs.get_mut(&end.task).unwrap();
        let is_same = |run: &&mut SeenRun| run.run == end.run && run.life == life;
        let run = runs.iter_mut().rev().find(is_same).unwrap();
        run.over_at = Some(now);
        run.end = Some(End {
            order,
            sequence: end.sequence,
            reason: end.reason,
            is_acked: false,
            is_excused: false,
        });
    }

    /// The lease of a worker lapses.
    pub(super) fn lapsed(&mut self, life: LifeId) {
        for (task, number) in self.open.get(&life).into_iter().flatten() {
            for run in self.runs.get_mut(task).unwrap() {
                if (run.run, run.life) == (*number, life)
                    && let Some(end) = &mut run.end
                {
                    end.is_excused |= !end.is_acked;
                }
            }
        }
    }

    /// A worker process is lost with its runs and its list of ends.
    pub(super) fn lost(&mut self, life: LifeId, now: Time) {
        for (task, number) in self.open.remove(&life).unwrap_or_default() {
            for run in self.runs.get_mut(&task).unwrap() {
                if (run.run, run.life) == (number, life) {
                    run.is_lost = true;
                    run.over_at.get_or_insert(now);
                }
            }
        }
    }

    /// A worker learns that its ends through a sequence number are acknowledged.
    pub(super) fn acknowledged(&mut self, life: LifeId, through: u64, log: &Log) {
        let Some(open) = self.open.get_mut(&life) else {
            return;
        };
        let mut acked = Vec::new();
        open.retain(|(task, number)| {
            let runs = self.runs.get_mut(task).unwrap();
            let is_same = |run: &&mut SeenRun| (run.run, run.life) == (*number, life);
            let run = runs.iter_mut().rev().find(is_same).unwrap();
            let Some(end) = &mut run.end else { return true };
            end.is_acked = end.sequence <= through;
            if end.is_acked {
                acked.push(*task);
            }
            !end.is_acked
        });
        for task in acked {
            self.check_task(task, &log.accepted[&task.job]);
        }
    }

    /// A caller is told the state of a job that was accepted. `is_current` is false for an owner
    /// that was superseded, which may be late but must not contradict a final state with another.
    pub(super) fn reported(&mut self, id: JobId, state: JobState, is_current: bool, log: &Log) {
        let job = Some(id);
        if let Some(before) = self.reported.get(&id).copied()
            && before != state
            && (is_current || state.is_final())
        {
            let text = format!("{before:?} and later {state:?}");
            self.fail("a final state never changes", job, text);
        }
        if !state.is_final() {
            return;
        }
        self.reported.insert(id, state);
        let spec = log.accepted.get(&id);
        let mut tasks = spec.into_iter().flat_map(|spec| tasks(id, spec));
        let has_cause = match (state, spec) {
            // A job may be cancelled before its acceptance.
            (JobState::Cancelled, _) => log.cancelled.contains(&id),
            (JobState::Completed, Some(_)) => tasks.all(|task| self.is_done(task)),
            (JobState::Failed, Some(spec)) => tasks.any(|task| {
                let is_limited = !spec.steps[usize::from(task.step)].long_running;
                let is_spent = self.failures(task) >= spec.policy.max_attempts as usize;
                is_limited && is_spent || self.has_crashed_workers(task)
            }),
            _ => false,
        };
        if !has_cause {
            let text = format!("{state:?} reported");
            self.fail("a final state has its cause", job, text);
        }
    }

    /// An accepted job is reported as unknown by an owner that has read its acceptance.
    pub(super) fn reported_unknown(&mut self, id: JobId) {
        self.fail("an accepted job is known", Some(id), "not known".to_owned());
    }

    /// An owner takes a batch of records for the log. A worker whose recorded address stays unknown, or
    /// whose recorded start stays that of an earlier process, has the next owner wait for its leases.
    pub(super) fn recorded_workers(&mut self, recorded: &[WorkerRecord], current: &[WorkerRecord]) {
        let outdated = recorded.iter().find_map(|row| {
            let now = current.iter().find(|now| now.id == row.id && *now != row)?;
            Some(format!("{row:?} is recorded, {now:?} is known"))
        });
        if let Some(text) = outdated {
            self.fail("the records of workers are current", None, text);
        }
    }

    pub(super) fn overloaded(&mut self, task: TaskName, worker: usize, cpu: u64) {
        let text = format!("{task} brings worker {worker} to {cpu}");
        self.fail("no worker over its capacity", Some(task.job), text);
        if let Some(breach) = &mut self.breach {
            breach.worker = Some(worker);
        }
    }

    /// A task waits for too long while there is capacity for it.
    pub(super) fn waited(&mut self, task: TaskName, is_long_running: bool, text: String) {
        let promise = if is_long_running {
            "a long-running task runs where there is capacity"
        } else {
            "something of a job runs where there is capacity"
        };
        self.fail(promise, Some(task.job), text);
    }

    /// Returns the number of failed runs of a task.
    pub(super) fn failures(&self, task: TaskName) -> usize {
        let runs = self.runs.get(&task).into_iter().flatten();
        let failed = runs.filter(|run| run.ended_as(EndReason::Failed).is_some());
        failed.count()
    }

    /// Returns whether a live worker runs a task.
    pub(super) fn is_active(&self, task: TaskName) -> bool {
        let mut runs = self.runs.get(&task).into_iter().flatten();
        runs.any(SeenRun::is_active)
    }

    /// Returns when the last run of a task was over.
    pub(super) fn last_run_over(&self, task: TaskName) -> Option<Time> {
        let runs = self.runs.get(&task).into_iter().flatten();
        runs.filter_map(|run| run.over_at).max()
    }

    /// Returns whether a run of a task was done and that end was not lost with its worker.
    pub(super) fn has_done(&self, task: TaskName) -> bool {
        let mut runs = self.runs.get(&task).into_iter().flatten();
        runs.any(|run| {
            let done = run.ended_as(EndReason::Done);
            done.is_some_and(|end| end.is_acked || !run.is_lost)
        })
    }

    /// Returns whether an end `done` of a task counts for good.
    pub(super) fn is_known_done(&self, task: TaskName) -> bool {
        let mut runs = self.runs.get(&task).into_iter().flatten();
        runs.any(|run| run.ended_as(EndReason::Done).is_some_and(End::counts))
    }

    pub(super) fn has_final_state(&self, job: JobId) -> bool {
        self.reported.contains_key(&job)
    }

    /// Returns the number of tasks that crashed as many workers as one may.
    pub(super) fn harmful_tasks(&self) -> usize {
        let crashes = self.crashes.values();
        crashes
            .filter(|(crashes, _)| *crashes >= MIN_CRASHES)
            .count()
    }

    /// Returns the number of jobs that callers saw completed.
    pub(super) fn completed(&self) -> usize {
        let states = self.reported.values();
        states
            .filter(|state| **state == JobState::Completed)
            .count()
    }

    pub(super) fn unfinished(&mut self, job: Option<JobId>, text: String) {
        self.fail("every job and run ends", job, text);
    }
}

/// Returns the tasks of a job.
pub(super) fn tasks(job: JobId, spec: &JobSpec) -> impl Iterator<Item = TaskName> {
    let steps = spec.steps.iter().zip(0..);
    steps.flat_map(move |(spec, step)| {
        (0..spec.count).map(move |index| TaskName {
            job,
            occurrence: 0,
            step,
            index,
        })
    })
}
