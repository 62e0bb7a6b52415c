//! The promises, held against what callers were told and what workers saw.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use rustc_hash::FxHashMap;

/// Started later than this after its cancellation was told, a task was not cancelled.
const CANCEL_TIME: Duration = Duration::from_secs(10);

/// An accepted job is known this long after its acceptance.
const VISIBLE_TIME: Duration = Duration::from_secs(3);

/// A promise of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A task runs in one place at a time.
    OnePlace,
    /// A task that is done does not run again.
    OnceDone,
    /// A step begins after those that it comes after.
    Order,
    /// No worker is given more than it has room for.
    Capacity,
    /// Every accepted job ends.
    Ends,
    /// An accepted job is known.
    Known,
    /// What is shown as completed is.
    TrueState,
    /// A refused job never runs.
    TrueRefusal,
    /// A cancelled job starts nothing more.
    Cancelled,
    /// A process that is asked to stop does, in time and in order.
    CleanStop,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// How.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
    }
}

/// A step of a job.
#[derive(Debug, Clone, Default)]
pub struct StepSeen {
    /// Its tasks.
    pub count: u16,
    /// Steps that must be done first.
    pub after: Vec<u16>,
}

/// What callers saw of a job.
#[derive(Debug, Clone, Default)]
pub struct JobSeen {
    /// Its id.
    pub id: String,
    /// Its steps.
    pub steps: Vec<StepSeen>,
    /// When it was accepted.
    pub accepted: Option<Instant>,
    /// Whether every try was refused.
    pub is_refused: bool,
    /// When its cancellation was sent.
    pub cancel_sent: Option<Instant>,
    /// When its cancellation was acknowledged.
    pub cancelled: Option<Instant>,
    /// States that were shown; `gone` for one that was not known.
    pub shown: Vec<(Instant, String)>,
}

/// A run as workers saw it.
#[derive(Debug, Clone)]
struct Run {
    worker: Arc<str>,
    number: u32,
    from: Instant,
    until: Option<Instant>,
    is_done: bool,
    acked: Option<Instant>,
}

type Runs = FxHashMap<Arc<str>, Vec<Run>>;

/// Returns every promise that was broken.
pub fn check(jobs: &[JobSeen], seen: &[WorkerEvent]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let runs = collect(seen, &mut breaches);
    let lapses: Vec<&WorkerEvent> = seen
        .iter()
        .filter(|line| line.kind == WorkerEventKind::LeaseExpired)
        .collect();
    for (task, runs) in &runs {
        check_places(task, runs, &mut breaches);
        check_once(task, runs, &lapses, &mut breaches);
    }
    for job in jobs {
        check_refusal(job, &runs, &mut breaches);
        check_cancel(job, &runs, &mut breaches);
        check_order(job, &runs, &mut breaches);
        check_states(job, &runs, &mut breaches);
    }
    breaches
}

fn breach(breaches: &mut Vec<Breach>, promise: Promise, what: String) {
    breaches.push(Breach { promise, what });
}

fn collect(seen: &[WorkerEvent], breaches: &mut Vec<Breach>) -> Runs {
    let mut runs = Runs::default();
    for line in seen {
        let of_task = runs.entry(Arc::clone(&line.task)).or_default();
        let mut same = of_task.iter_mut().rev();
        let known = same.find(|run| run.worker == line.worker && run.number == line.run);
        match (&line.kind, known) {
            (WorkerEventKind::Started, _) => of_task.push(Run {
                worker: Arc::clone(&line.worker),
                number: line.run,
                from: line.at,
                until: None,
                is_done: false,
                acked: None,
            }),
            (WorkerEventKind::Ended(how), Some(run)) => {
                run.until = Some(line.at);
                run.is_done = *how == "done";
            }
            (WorkerEventKind::Acknowledged, Some(run)) => run.acked = Some(line.at),
            (WorkerEventKind::Overcommitted, _) => {
                let what = format!("{} with {}", line.worker, line.task);
                breach(breaches, Promise::Capacity, what);
            }
            (WorkerEventKind::Ended(_) | WorkerEventKind::Acknowledged, None)
            | (WorkerEventKind::LeaseExpired, _) => {}
        }
    }
    runs
}

fn check_places(task: &str, runs: &[Run], breaches: &mut Vec<Breach>) {
    for (place, run) in runs.iter().enumerate() {
        for other in &runs[place + 1..] {
            let is_apart = run.until.is_some_and(|until| until <= other.from);
            if !is_apart && run.from <= other.from {
                let what = format!(
                    "{task}: run {} on {} and run {} on {}",
                    run.number, run.worker, other.number, other.worker
                );
                breach(breaches, Promise::OnePlace, what);
            }
        }
    }
}

/// An end counts once it is acknowledged, unless the worker's lease lapsed before: its owner could
/// not know of it, and had to start the task anew.
fn counts(run: &Run, lapses: &[&WorkerEvent]) -> bool {
    let (true, Some(until), Some(acked)) = (run.is_done, run.until, run.acked) else {
        return false;
    };
    let is_between =
        |lapse: &&&WorkerEvent| lapse.worker == run.worker && (until..acked).contains(&lapse.at);
    lapses.iter().find(is_between).is_none()
}

fn check_once(task: &str, runs: &[Run], lapses: &[&WorkerEvent], breaches: &mut Vec<Breach>) {
    for done in runs.iter().filter(|run| counts(run, lapses)) {
        let again = runs
            .iter()
            .find(|run| done.until.is_some_and(|until| run.from > until));
        if let Some(again) = again {
            let what = format!(
                "{task}: run {} after run {} was done",
                again.number, done.number
            );
            breach(breaches, Promise::OnceDone, what);
        }
    }
}

fn runs_of<'a>(job: &'a JobSeen, runs: &'a Runs) -> impl Iterator<Item = (&'a str, &'a Run)> {
    let of_job = runs
        .iter()
        .filter(|(task, _)| task.starts_with(job.id.as_str()));
    of_job.flat_map(|(task, runs)| runs.iter().map(move |run| (&**task, run)))
}

fn check_refusal(job: &JobSeen, runs: &Runs, breaches: &mut Vec<Breach>) {
    if job.is_refused
        && let Some((task, _)) = runs_of(job, runs).next()
    {
        breach(breaches, Promise::TrueRefusal, task.to_owned());
    }
}

fn check_cancel(job: &JobSeen, runs: &Runs, breaches: &mut Vec<Breach>) {
    let Some(cancelled) = job.cancelled else {
        return;
    };
    for (task, run) in runs_of(job, runs) {
        if run.from > cancelled + CANCEL_TIME {
            breach(breaches, Promise::Cancelled, task.to_owned());
        }
    }
}

/// Returns when the last task of a step was first done; `None` if one is not.
fn step_end(job: &JobSeen, step: usize, runs: &Runs) -> Option<Instant> {
    let count = job.steps.get(step)?.count;
    let mut end = None;
    for index in 0..count {
        let task = format!("{}.0.{step}.{index}", job.id);
        let of_task = runs.get(task.as_str())?;
        let done = of_task.iter().filter(|run| run.is_done);
        let first = done.filter_map(|run| run.until).min()?;
        end = end.max(Some(first));
    }
    end
}

fn check_order(job: &JobSeen, runs: &Runs, breaches: &mut Vec<Breach>) {
    for (task, run) in runs_of(job, runs) {
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok());
        let Some(step) = step.and_then(|step: usize| job.steps.get(step)) else {
            continue;
        };
        for before in &step.after {
            let end = step_end(job, usize::from(*before), runs);
            if end.is_none_or(|end| end > run.from) {
                breach(breaches, Promise::Order, task.to_owned());
            }
        }
    }
}

fn check_states(job: &JobSeen, runs: &Runs, breaches: &mut Vec<Breach>) {
    let Some(accepted) = job.accepted else { return };
    let is_cancelled = job.cancel_sent.is_some();
    let mut last = None;
    for (at, state) in &job.shown {
        if state == "gone" && *at > accepted + VISIBLE_TIME {
            breach(breaches, Promise::Known, job.id.clone());
        }
        if state == "cancelled" && !is_cancelled || state == "failed" {
            let what = format!("{} is shown as {state}", job.id);
            breach(breaches, Promise::TrueState, what);
        }
        if last.is_some_and(|last| last == "completed") && state != "completed" {
            let what = format!("{} is {state} after it was completed", job.id);
            breach(breaches, Promise::TrueState, what);
        }
        let ends = (0..job.steps.len()).map(|step| step_end(job, step, runs));
        let is_done = ends
            .into_iter()
            .all(|end| end.is_some_and(|end| end <= *at));
        if state == "completed" && !is_done {
            let what = format!("{} is shown as completed and is not", job.id);
            breach(breaches, Promise::TrueState, what);
        }
        last = Some(state.as_str());
    }
    if !is_cancelled && last != Some("completed") {
        let what = format!("{} was accepted and is {last:?}", job.id);
        breach(breaches, Promise::Ends, what);
    }
}
