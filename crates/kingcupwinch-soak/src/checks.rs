//! Checks of the invariants against the responses to callers and the events on workers.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_standin::{FencedAppend, WorkerEvent, WorkerEventKind};
use rustc_hash::FxHashMap;

use crate::capacity::check_capacity;
use crate::crashes::{check_crashes, may_fail_from};
use crate::disturbances::Disturbance;
use crate::keys::{KeyObservations, check_keys};
use crate::operator::{Lookup, ObservedRoute};
use crate::progress::{check_progress, check_workers};
use crate::routes::check_routes;

/// Time after an acknowledged cancellation within which a task of the job may still start.
const CANCEL_GRACE: Duration = Duration::from_secs(10);

/// Time after its acceptance from which every instance must know a job.
const VISIBILITY_DELAY: Duration = Duration::from_secs(3);

/// Time after a job was reported as completed from which none of its tasks may start.
const COMPLETION_GRACE: Duration = Duration::from_secs(1);

/// An invariant of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A task has at most one run at a time.
    SingleRun,
    /// A completed task does not run again.
    NoRerun,
    /// A step starts after the steps that it depends on are completed.
    StepOrder,
    /// No worker is given tasks beyond its capacity.
    Capacity,
    /// Every accepted job ends.
    Termination,
    /// An accepted job is found when its state is requested.
    Visibility,
    /// The reported state of a job agrees with its runs.
    AccurateState,
    /// A task that crashes its workers is started only a few times.
    CrashLimit,
    /// A refused job never runs.
    NoRefusedRun,
    /// No task of a cancelled job starts after a short grace period.
    Cancelled,
    /// What is acknowledged, reported or ordered is in the log before.
    LogFirst,
    /// A long-running task is started in time while workers have room for it.
    Progress,
    /// No worker runs more tasks of a step than its limit.
    WorkerLimit,
    /// A step runs only on the workers that the adviser allows.
    Advised,
    /// Only ends that the worker has listed are acknowledged.
    ListedFirst,
    /// A route is not denied once the version that added it has to be in force.
    RouteFound,
    /// A route is not served once the version that removed it has to be in force.
    RouteRemoved,
    /// A key is not refused as unknown once the version that added it has to be in force.
    KeyServed,
    /// A key is not served once the version that withdrew it has to be in force.
    KeyWithdrawn,
    /// A key that never existed is not served, and nothing that was submitted with it runs.
    KeyForged,
    /// An instance that is asked to stop exits in time and with success.
    CleanShutdown,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Description of the violation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// A step of an observed job.
#[derive(Debug, Clone, Default)]
pub struct ObservedStep {
    /// Number of tasks.
    pub count: u16,
    /// Indexes of the steps that must be completed first.
    pub after: Vec<u16>,
    /// CPU of each task, in thousandths of a core.
    pub cpu: u64,
    /// Largest number of its tasks on one worker, if there is a limit.
    pub worker_limit: Option<u16>,
    /// Whether its tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Index of its task that crashes each worker that starts it, if there is one.
    pub crashing: Option<u16>,
}

/// A job as its callers observed it.
#[derive(Debug, Clone, Default)]
pub struct ObservedJob {
    /// Id of the job.
    pub id: String,
    /// Steps of the job.
    pub steps: Vec<ObservedStep>,
    /// Time at which the job was first sent.
    pub sent: Option<Instant>,
    /// Time at which the job was accepted.
    pub accepted: Option<Instant>,
    /// Whether every attempt to submit the job was refused.
    pub is_refused: bool,
    /// Time at which its cancellation was first sent.
    pub cancel_sent: Option<Instant>,
    /// Time at which its cancellation was acknowledged.
    pub cancelled: Option<Instant>,
    /// Reported states and their times; `gone` if the job was not found.
    pub states: Vec<(Instant, String)>,
}

impl ObservedJob {
    /// Returns whether the job has long-running tasks.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns whether one of its tasks crashes each worker that starts it.
    pub fn is_crashing(&self) -> bool {
        self.steps.iter().any(|step| step.crashing.is_some())
    }
}

/// What callers, workers and the store observed.
#[derive(Debug, Clone, Copy)]
pub struct Observations<'a> {
    /// The submitted jobs.
    pub jobs: &'a [ObservedJob],
    /// Events of the workers, in order.
    pub events: &'a [WorkerEvent],
    /// Appends of the owners, in the order of their execution.
    pub appends: &'a [FencedAppend],
    /// Times without faults, from their starts to their ends.
    pub calm: &'a [(Instant, Instant)],
    /// Whether there were more long-running tasks than fit, so that those that never ran may wait.
    pub is_overloaded: bool,
    /// CPU capacity of each worker, in thousandths of a core.
    pub worker_cpu: u64,
    /// The additional routes, in the order of their versions.
    pub routes: &'a [ObservedRoute],
    /// Responses to requests for these routes.
    pub lookups: &'a [Lookup],
    /// Keys of customers, and requests with them.
    pub keys: &'a KeyObservations,
    /// Age of the copy of the configuration from which instances serve no key, if there is a limit.
    pub revoke_limit: Option<Duration>,
    /// Faults that may keep an instance from applying a version.
    pub disturbances: &'a [Disturbance],
}

/// A run of a task, as recorded by its worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) worker: Arc<str>,
    number: u32,
    pub(crate) started: Instant,
    pub(crate) ended: Option<Instant>,
    is_done: bool,
    pub(crate) is_crashed: bool,
    listed: Option<Instant>,
    acked: Option<Instant>,
}

impl Run {
    /// Returns whether the run is active at a time.
    pub(crate) fn is_active(&self, at: Instant) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }
}

pub(crate) type Runs = FxHashMap<Arc<str>, Vec<Run>>;

/// Returns every violation that the observations show. [`Invariant::CleanShutdown`] is not among
/// them: it depends on the processes, and is checked when a run stops them.
pub fn check_invariants(observations: &Observations<'_>) -> Vec<Violation> {
    let Observations {
        jobs,
        events,
        appends,
        ..
    } = *observations;
    let mut violations = Vec::new();
    let runs = collect_runs(events, &mut violations);
    let expirations: Vec<&WorkerEvent> = events
        .iter()
        .filter(|event| event.kind == WorkerEventKind::LeaseExpired)
        .collect();
    for (task, runs) in &runs {
        check_single_run(task, runs, &mut violations);
        check_no_rerun(task, runs, &expirations, &mut violations);
    }
    for job in jobs {
        check_refusal(job, &runs, &mut violations);
        check_cancel(job, &runs, &mut violations);
        check_order(job, &runs, &mut violations);
        check_states(job, &runs, &mut violations);
        check_log_first(job, &runs, &expirations, appends, &mut violations);
        check_workers(job, &runs, &mut violations);
        check_crashes(job, &runs, &mut violations);
    }
    check_capacity(observations, &runs, &mut violations);
    check_progress(observations, &runs, &mut violations);
    check_routes(observations, &mut violations);
    check_keys(observations, &runs, &mut violations);
    violations
}

pub(crate) fn add_violation(violations: &mut Vec<Violation>, invariant: Invariant, detail: String) {
    violations.push(Violation { invariant, detail });
}

fn collect_runs(events: &[WorkerEvent], violations: &mut Vec<Violation>) -> Runs {
    let mut runs = Runs::default();
    for event in events {
        let of_task = runs.entry(Arc::clone(&event.task)).or_default();
        let mut newest_first = of_task.iter_mut().rev();
        let run = newest_first.find(|run| run.worker == event.worker && run.number == event.run);
        match (&event.kind, run) {
            (WorkerEventKind::Started, _) => of_task.push(Run {
                worker: Arc::clone(&event.worker),
                number: event.run,
                started: event.at,
                ended: None,
                is_done: false,
                is_crashed: false,
                listed: None,
                acked: None,
            }),
            (WorkerEventKind::Ended(reason), Some(run)) => {
                run.ended = Some(event.at);
                run.is_done = *reason == "done";
                run.is_crashed = *reason == "crashed";
            }
            (WorkerEventKind::Listed, Some(run)) => run.listed = Some(event.at),
            (WorkerEventKind::Acknowledged, Some(run)) => {
                run.acked = Some(event.at);
                if run.listed.is_none() {
                    let detail = format!("{} run {} on {}", event.task, event.run, event.worker);
                    add_violation(violations, Invariant::ListedFirst, detail);
                }
            }
            (WorkerEventKind::Overcommitted, _) => {
                let detail = format!("{} exceeded its capacity with {}", event.worker, event.task);
                add_violation(violations, Invariant::Capacity, detail);
            }
            (
                WorkerEventKind::Ended(_) | WorkerEventKind::Listed | WorkerEventKind::Acknowledged,
                None,
            )
            | (
                WorkerEventKind::Capacity(_)
                | WorkerEventKind::LeaseExpired
                | WorkerEventKind::Joined
                | WorkerEventKind::Left,
                _,
            ) => {}
        }
    }
    runs
}

fn check_single_run(task: &str, runs: &[Run], violations: &mut Vec<Violation>) {
    for (index, run) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let is_disjoint = run.ended.is_some_and(|ended| ended <= other.started);
            if !is_disjoint && run.started <= other.started {
                let detail = format!(
                    "{task}: run {} on {} overlaps run {} on {}",
                    run.number, run.worker, other.number, other.worker
                );
                add_violation(violations, Invariant::SingleRun, detail);
            }
        }
    }
}

/// Returns whether the task of a completed run must not run again.
///
/// An acknowledged end is final, unless the worker's lease expired between the end and its
/// acknowledgement: the owner could not know of the end then and had to start the task again.
fn is_end_final(run: &Run, expirations: &[&WorkerEvent]) -> bool {
    let (true, Some(ended), Some(acked)) = (run.is_done, run.ended, run.acked) else {
        return false;
    };
    let is_between =
        |event: &&&WorkerEvent| event.worker == run.worker && (ended..acked).contains(&event.at);
    expirations.iter().find(is_between).is_none()
}

fn check_no_rerun(
    task: &str,
    runs: &[Run],
    expirations: &[&WorkerEvent],
    violations: &mut Vec<Violation>,
) {
    for done in runs.iter().filter(|run| is_end_final(run, expirations)) {
        let rerun = runs
            .iter()
            .find(|run| done.ended.is_some_and(|ended| run.started > ended));
        if let Some(rerun) = rerun {
            let detail = format!(
                "{task}: run {} started after run {} had completed",
                rerun.number, done.number
            );
            add_violation(violations, Invariant::NoRerun, detail);
        }
    }
}

pub(crate) fn runs_of<'a>(
    job: &'a ObservedJob,
    runs: &'a Runs,
) -> impl Iterator<Item = (&'a str, &'a Run)> {
    let of_job = runs
        .iter()
        .filter(|(task, _)| task.starts_with(job.id.as_str()));
    of_job.flat_map(|(task, runs)| runs.iter().map(move |run| (&**task, run)))
}

fn check_refusal(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    if job.is_refused
        && let Some((task, _)) = runs_of(job, runs).next()
    {
        add_violation(violations, Invariant::NoRefusedRun, task.to_owned());
    }
}

fn check_cancel(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    let Some(cancelled) = job.cancelled else {
        return;
    };
    for (task, run) in runs_of(job, runs) {
        if run.started > cancelled + CANCEL_GRACE {
            add_violation(violations, Invariant::Cancelled, task.to_owned());
        }
    }
}

/// Returns the time at which all tasks of a step were completed, counting the first completed run
/// of each; `None` if a task is not completed.
fn step_end(job: &ObservedJob, step: usize, runs: &Runs) -> Option<Instant> {
    let count = job.steps.get(step)?.count;
    let mut end = None;
    for index in 0..count {
        let task = format!("{}.0.{step}.{index}", job.id);
        let of_task = runs.get(task.as_str())?;
        let done = of_task.iter().filter(|run| run.is_done);
        let first = done.filter_map(|run| run.ended).min()?;
        end = end.max(Some(first));
    }
    end
}

/// Returns whether the store received and executed an append between two times. Only then can an
/// owner have recorded at the second what it learned at the first.
fn is_appended_between(appends: &[FencedAppend], from: Instant, until: Instant) -> bool {
    let end = appends.partition_point(|append| append.applied <= until);
    let mut recent = appends[..end].iter().rev();
    let is_recent = |append: &&FencedAppend| append.applied >= from;
    recent
        .by_ref()
        .take_while(is_recent)
        .any(|append| append.arrived >= from)
}

/// Checks that an append precedes each acknowledged end, each start and the report of completion,
/// and follows what they depend on.
fn check_log_first(
    job: &ObservedJob,
    runs: &Runs,
    expirations: &[&WorkerEvent],
    appends: &[FencedAppend],
    violations: &mut Vec<Violation>,
) {
    let mut check = |what: &str, name: &str, from: Option<Instant>, until: Option<Instant>| {
        if let (Some(from), Some(until)) = (from, until)
            && from <= until
            && !is_appended_between(appends, from, until)
        {
            let detail = format!(
                "{what} of {name} {:?} after its cause, without an append",
                until.saturating_duration_since(from)
            );
            add_violation(violations, Invariant::LogFirst, detail);
        }
    };
    for (task, run) in runs_of(job, runs) {
        let others = || runs[task].iter().filter(|other| other.number != run.number);
        // Further ends of a completed task or of a cancelled job need no record.
        let is_needed = job.cancel_sent.is_none() && others().all(|other| !other.is_done);
        if is_needed && is_end_final(run, expirations) {
            check("acknowledgement", task, run.listed, run.acked);
        }
        // The owner may infer an end that was not listed; then it did not learn of it here.
        let listed = others().filter_map(|other| other.listed);
        let cause = listed.filter(|listed| *listed <= run.started).max();
        let cause = cause.max(dependencies_end(job, task, runs)).max(job.sent);
        check("start", task, cause, Some(run.started));
    }
    let ends = (0..job.steps.len()).filter_map(|step| step_end(job, step, runs));
    let mut reports = job.states.iter().filter(|(_, state)| state == "completed");
    let completed = reports.next().map(|(at, _)| *at);
    check("report of completion", &job.id, ends.max(), completed);
}

/// Returns the time at which the steps that a task depends on were completed.
fn dependencies_end(job: &ObservedJob, task: &str, runs: &Runs) -> Option<Instant> {
    let step: usize = task.split('.').nth(2)?.parse().ok()?;
    let dependencies = job.steps.get(step)?.after.iter();
    let ends = dependencies.filter_map(|step| step_end(job, usize::from(*step), runs));
    ends.max()
}

fn check_order(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    for (task, run) in runs_of(job, runs) {
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok());
        let Some(step) = step.and_then(|step: usize| job.steps.get(step)) else {
            continue;
        };
        for dependency in &step.after {
            let end = step_end(job, usize::from(*dependency), runs);
            if end.is_none_or(|end| end > run.started) {
                add_violation(violations, Invariant::StepOrder, task.to_owned());
            }
        }
    }
}

fn check_states(job: &ObservedJob, runs: &Runs, violations: &mut Vec<Violation>) {
    let Some(accepted) = job.accepted else { return };
    let is_cancelled = job.cancel_sent.is_some();
    let may_fail_from = may_fail_from(job, runs);
    let mut last = None;
    for (at, state) in &job.states {
        if state == "gone" && *at > accepted + VISIBILITY_DELAY {
            add_violation(violations, Invariant::Visibility, job.id.clone());
        }
        let may_fail = may_fail_from.is_some_and(|from| from <= *at);
        if state == "cancelled" && !is_cancelled || state == "failed" && !may_fail {
            let detail = format!("{} was reported as {state}", job.id);
            add_violation(violations, Invariant::AccurateState, detail);
        }
        if last.is_some_and(|last| last == "completed") && state != "completed" {
            let detail = format!("{} was reported as {state} after completed", job.id);
            add_violation(violations, Invariant::AccurateState, detail);
        }
        let ends = (0..job.steps.len()).map(|step| step_end(job, step, runs));
        let is_done = ends
            .into_iter()
            .all(|end| end.is_some_and(|end| end <= *at));
        let is_rerun = |run: &Run| run.started > *at + COMPLETION_GRACE;
        if state == "completed"
            && let Some((task, _)) = runs_of(job, runs).find(|(_, run)| is_rerun(run))
        {
            let detail = format!("{task} started after its job was reported as completed");
            add_violation(violations, Invariant::NoRerun, detail);
        }
        if state == "completed" && !is_done {
            let detail = format!(
                "{} was reported as completed before all its tasks were",
                job.id
            );
            add_violation(violations, Invariant::AccurateState, detail);
        }
        last = Some(state.as_str());
    }
    let expected = if job.is_crashing() {
        "failed"
    } else {
        "completed"
    };
    // A failure that comes too soon is found above.
    let may_have_failed = last == Some("failed") && may_fail_from.is_some();
    if !is_cancelled && last != Some(expected) && !may_have_failed {
        let detail = format!(
            "{} was accepted, but its last reported state is {last:?}",
            job.id
        );
        add_violation(violations, Invariant::Termination, detail);
    }
}
