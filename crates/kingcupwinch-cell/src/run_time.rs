//! Run times, learned from the progress and the ends of runs.
//!
//! A run takes the work of its task times the pace of its worker. Both are learned as logarithms.
//! The work of a task follows from the caller's estimate by a linear regression for its queue,
//! corrected for its image, and from the other tasks of its step whose time is known. The pace of a
//! worker is that of its kind, corrected by its own runs. The mean pace of all workers is 1.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::mechanism::{Disabled, Mechanism};
use crate::spec::{QueuePolicy, StepSpec};
use crate::worker::{Worker, WorkerKey};

/// The shortest run time, estimated or observed, that is learned from.
const MIN_SAMPLE: Span = Span::from_millis(50);
/// The slope of the regression before the first sample. Estimates are rough, so a task is expected
/// to deviate less from the others of its queue than its estimate does.
const PRIOR_SLOPE: f64 = 0.5;
/// The number of steps whose samples weigh as much as the priors.
const PRIOR_STEPS: f64 = 5.0;
/// The variance of the logarithm of the estimates that the prior slope assumes.
const PRIOR_VARIANCE: f64 = 0.25;
/// The number of recent steps that the regression remembers.
const REGRESSION_STEPS: f64 = 200.0;
/// The number of tasks of a step whose work weighs as much as the regression.
const REGRESSION_TASKS: f64 = 0.5;
/// The number of recent runs that the pace of a kind remembers, and the number of runs that weigh
/// as much as the prior.
const KIND_RUNS: f64 = 100.0;
const KIND_PRIOR_RUNS: f64 = 3.0;
/// The same for the deviation of a worker from its kind. Its memory is short, since a worker may turn
/// slow and recover within seconds.
const WORKER_RUNS: f64 = 7.0;
const WORKER_PRIOR_RUNS: f64 = 3.0;
/// The same, in steps, for the deviation of an image from its queue.
const IMAGE_STEPS: f64 = 50.0;
const IMAGE_PRIOR_STEPS: f64 = 3.0;
/// The largest number of images that are told apart. Further ones count as their queue does.
const MAX_IMAGES: usize = 256;
/// How long the deviation of a worker without new runs is kept, and the time in which it then fades
/// to half. A worker that was slow for a while is thus tried again.
const FADE_DELAY: Span = Span::from_secs(5);
const FADE_TIME: Span = Span::from_secs(15);
/// The largest difference of a sample from the expected logarithm of the pace, against outliers.
const MAX_SURPRISE: f64 = 1.5;
/// The spread of the work of a step's tasks, as the standard deviation of its logarithm.
const TASK_SPREAD: f64 = 0.25;

/// A moving average of logarithms. The prior of zero weighs as much as some samples, and is forgotten
/// like them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct LogAverage {
    #[serde(rename = "m")]
    mean: f64,
    #[serde(rename = "n")]
    samples: f64,
}

impl LogAverage {
    fn observe(&mut self, sample: f64, prior: f64, memory: f64) {
        self.samples = (self.samples + 1.0).min(memory - prior);
        self.mean += (sample - self.mean) / (self.samples + prior);
    }
}

/// The deviation of a worker's pace from that of its kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerPace {
    #[serde(flatten)]
    deviation: LogAverage,
    /// When the last run was learned from, by the clock of this process.
    #[serde(skip)]
    observed_at: Time,
}

impl WorkerPace {
    /// Returns what was recorded as if it had been observed now.
    pub(crate) fn observed_now(self, now: Time) -> Self {
        WorkerPace {
            observed_at: now,
            ..self
        }
    }

    /// Returns whether any run was learned from.
    pub(crate) fn is_known(&self) -> bool {
        self.deviation.samples > 0.0
    }

    /// Returns the distance from the pace of the kind, as a logarithm.
    pub(crate) fn distance(&self) -> f64 {
        self.deviation.mean.abs()
    }

    /// Returns the part of the deviation that has not faded.
    fn faded(&self, now: Time) -> LogAverage {
        let fading = now.since(self.observed_at + FADE_DELAY).as_secs_f64();
        let rest = (-fading / FADE_TIME.as_secs_f64()).exp2();
        LogAverage {
            mean: self.deviation.mean * rest,
            samples: self.deviation.samples * rest,
        }
    }
}

/// A regression of the logarithm of the work on the logarithm of the estimate, by least squares
/// over the recent steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct WorkModel {
    /// The weight of the samples, in steps.
    #[serde(rename = "n")]
    steps: f64,
    #[serde(rename = "e")]
    mean_estimate: f64,
    #[serde(rename = "w")]
    mean_work: f64,
    #[serde(rename = "v")]
    variance: f64,
    #[serde(rename = "c")]
    covariance: f64,
}

impl WorkModel {
    fn observe(&mut self, estimate: f64, work: f64) {
        self.steps = (self.steps + 1.0).min(REGRESSION_STEPS);
        let gain = 1.0 / self.steps;
        let (dx, dy) = (estimate - self.mean_estimate, work - self.mean_work);
        self.mean_estimate += gain * dx;
        self.mean_work += gain * dy;
        self.variance = (1.0 - gain) * (self.variance + gain * dx * dx);
        self.covariance = (1.0 - gain) * (self.covariance + gain * dx * dy);
    }

    fn predict(&self, estimate: f64) -> f64 {
        if self.steps == 0.0 {
            return estimate;
        }
        let prior = PRIOR_STEPS * PRIOR_VARIANCE;
        let slope = (prior * PRIOR_SLOPE + self.steps * self.covariance)
            / (prior + self.steps * self.variance);
        let offset =
            (self.mean_work - self.mean_estimate) * self.steps / (self.steps + PRIOR_STEPS);
        self.mean_estimate + offset + slope * (estimate - self.mean_estimate)
    }
}

/// The run time of a task, observed or projected from the progress of its run.
#[derive(Debug, Clone, Copy)]
struct TaskTime {
    index: usize,
    worker: WorkerKey,
    log_elapsed: f64,
    log_work: f64,
}

/// The run times of the tasks of one step.
#[derive(Debug, Default)]
pub(crate) struct StepWork {
    tasks: SmallVec<[TaskTime; 4]>,
    /// Whether the step was learned from.
    is_learned: bool,
}

impl StepWork {
    /// Returns whether the time of a task is known.
    pub(crate) fn has(&self, index: usize) -> bool {
        self.tasks.iter().any(|task| task.index == index)
    }

    fn set(&mut self, time: TaskTime) {
        match self.tasks.iter_mut().find(|task| task.index == time.index) {
            Some(known) => *known = time,
            None => self.tasks.push(time),
        }
    }
}

/// What an owner learned about run times, as recorded in the log for its successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunTimeRecord {
    #[serde(rename = "q", default)]
    queues: Vec<(Arc<str>, WorkModel)>,
    #[serde(rename = "i", default)]
    images: Vec<(Arc<str>, LogAverage)>,
    #[serde(rename = "k", default)]
    kinds: Vec<(Arc<str>, LogAverage)>,
    /// The workers' ids, start times and deviations.
    #[serde(rename = "w", default)]
    pub(crate) workers: Vec<(Arc<str>, Option<u64>, WorkerPace)>,
}

/// What was learned about the run times of one cell.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    queues: FxHashMap<Arc<str>, WorkModel>,
    /// The deviations of images from the work that the regression of their queue expects.
    images: FxHashMap<Arc<str>, LogAverage>,
    kinds: FxHashMap<Arc<str>, LogAverage>,
    /// The mean of the logarithms of the pace of all workers, which is subtracted from each.
    level: f64,
    /// The mean difference of runs from what was expected of them. It is due to the expected work
    /// and shows nothing about any worker.
    bias: LogAverage,
    /// The number of steps learned from.
    learned_steps: u64,
    disabled: Disabled,
    /// The run time of a gang on several racks as a multiple of that on one, if it is known.
    pub(crate) far_factor: Option<f64>,
}

impl RunTimes {
    /// Switches mechanisms off.
    pub(crate) fn with_disabled(self, disabled: Disabled) -> Self {
        RunTimes { disabled, ..self }
    }

    /// Returns the number of steps learned from.
    pub(crate) fn learned_steps(&self) -> u64 {
        self.learned_steps
    }

    /// Builds the record of what was learned, without the workers.
    pub(crate) fn to_record(&self) -> RunTimeRecord {
        RunTimeRecord {
            queues: to_rows(&self.queues),
            images: to_rows(&self.images),
            kinds: to_rows(&self.kinds),
            workers: Vec::new(),
        }
    }

    /// Restores what an earlier owner learned.
    pub(crate) fn restore(&mut self, record: &RunTimeRecord) {
        self.queues.extend(record.queues.iter().cloned());
        self.images.extend(record.images.iter().cloned());
        self.kinds.extend(record.kinds.iter().cloned());
    }

    /// Sets the mean of the logarithms of the pace of all workers, as [`RunTimes::log_pace`] returns them.
    pub(crate) fn set_level(&mut self, level: f64) {
        self.level = level;
    }

    /// Returns the run time on a worker as a multiple of that on a worker of mean pace.
    pub(crate) fn pace(&self, kind: &Arc<str>, worker: &WorkerPace, now: Time) -> f64 {
        self.relative_pace(self.log_pace(kind, worker, now))
    }

    /// Returns the same for the logarithm of a pace.
    pub(crate) fn relative_pace(&self, log_pace: f64) -> f64 {
        (log_pace - self.level).exp()
    }

    /// Returns the logarithm of the pace of a worker, from which the mean of all workers is not yet
    /// subtracted.
    pub(crate) fn log_pace(&self, kind: &Arc<str>, worker: &WorkerPace, now: Time) -> f64 {
        let deviation = if self.disabled.uses(Mechanism::WorkerPace) {
            worker.faded(now).mean
        } else {
            0.0
        };
        self.kind_pace(kind) + deviation
    }

    fn kind_pace(&self, kind: &Arc<str>) -> f64 {
        let known = self.kinds.get(kind);
        let known = known.filter(|_| self.disabled.uses(Mechanism::KindPace));
        known.map_or(0.0, |pace| pace.mean)
    }

    /// Returns the expected work of the longest task of a step, as its run time on a worker of mean
    /// pace.
    pub(crate) fn longest_task(
        &self,
        policy: &QueuePolicy,
        step: &StepSpec,
        work: &StepWork,
    ) -> Span {
        // The expected maximum of a few draws from a normal distribution is close to this.
        let spread = TASK_SPREAD * f64::from(step.count.max(1)).ln().sqrt();
        from_log(self.log_work(policy, step, work) + spread)
    }

    /// Returns the expected work of a task of a step.
    pub(crate) fn task(&self, policy: &QueuePolicy, step: &StepSpec, work: &StepWork) -> Span {
        from_log(self.log_work(policy, step, work))
    }

    fn log_work(&self, policy: &QueuePolicy, step: &StepSpec, work: &StepWork) -> f64 {
        let estimate = log_estimate(step);
        let model = self.queues.get(&policy.queue);
        let model = model.filter(|_| self.disabled.uses(Mechanism::Regression));
        let predicted = model.map_or(estimate, |model| model.predict(estimate));
        let predicted = predicted + self.image_work(step);
        if !self.disabled.uses(Mechanism::StepWork) {
            return predicted;
        }
        let tasks = work.tasks.len() as f64;
        let sum: f64 = work.tasks.iter().map(|task| task.log_work).sum();
        (predicted * REGRESSION_TASKS + sum) / (REGRESSION_TASKS + tasks)
    }

    /// Sets the time that the whole work of a task takes on a worker.
    pub(crate) fn set_task_time(
        &self,
        work: &mut StepWork,
        index: usize,
        (key, worker): (WorkerKey, &Worker),
        elapsed: Span,
        now: Time,
    ) {
        let log_elapsed = elapsed.max(MIN_SAMPLE).as_secs_f64().ln();
        work.set(TaskTime {
            index,
            worker: key,
            log_elapsed,
            log_work: log_elapsed - (self.log_pace(worker.kind(), &worker.pace, now) - self.level),
        });
    }

    /// Learns once from a step whose tasks are all done or have a known time. Short tasks are known
    /// first, so a part of them would make the work of the step look smaller than it is.
    pub(crate) fn learn(
        &mut self,
        policy: &QueuePolicy,
        step: &StepSpec,
        work: &mut StepWork,
        workers: &mut SlotMap<WorkerKey, Worker>,
        now: Time,
    ) {
        let is_excluded = step.gang || step.long_running;
        if work.is_learned || is_excluded || work.tasks.is_empty() {
            return;
        }
        work.is_learned = true;
        self.learned_steps += 1;
        let expected = self.log_work(policy, step, work);
        for task in &work.tasks {
            if let Some(worker) = workers.get_mut(task.worker) {
                self.learn_pace(worker, task.log_elapsed, expected, now);
            }
        }
        let sum: f64 = work.tasks.iter().map(|task| task.log_work).sum();
        self.learn_work(policy, step, sum / work.tasks.len() as f64);
    }

    /// Learns the pace of a worker and of its kind from a run and the work expected of it.
    fn learn_pace(&mut self, worker: &mut Worker, log_elapsed: f64, expected: f64, now: Time) {
        let kind = Arc::clone(worker.kind());
        let log_work = log_elapsed - (self.log_pace(&kind, &worker.pace, now) - self.level);
        let surprise = (log_work - expected).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        self.bias.observe(surprise, KIND_PRIOR_RUNS, KIND_RUNS);
        let surprise = surprise - self.bias.mean;
        let kind = self.kinds.entry(kind).or_default();
        kind.observe(kind.mean + surprise, KIND_PRIOR_RUNS, KIND_RUNS);
        let mut deviation = worker.pace.faded(now);
        deviation.observe(deviation.mean + surprise, WORKER_PRIOR_RUNS, WORKER_RUNS);
        worker.pace = WorkerPace {
            deviation,
            observed_at: now,
        };
    }

    /// Learns from the mean work of a step's tasks, first for its image and then for its queue.
    fn learn_work(&mut self, policy: &QueuePolicy, step: &StepSpec, log_work: f64) {
        let estimate = log_estimate(step);
        let queue = self.queues.entry(Arc::clone(&policy.queue)).or_default();
        let mut image_work = 0.0;
        if let Some(image) = &step.image
            && (self.images.len() < MAX_IMAGES || self.images.contains_key(image))
        {
            let image = self.images.entry(Arc::clone(image)).or_default();
            image.observe(
                log_work - queue.predict(estimate),
                IMAGE_PRIOR_STEPS,
                IMAGE_STEPS,
            );
            image_work = image.mean;
        }
        queue.observe(estimate, log_work - image_work);
    }

    fn image_work(&self, step: &StepSpec) -> f64 {
        let image = step.image.as_ref();
        let known = image.and_then(|image| self.images.get(image));
        known.map_or(0.0, |work| work.mean)
    }
}

/// Returns the entries of a map as rows of a record.
fn to_rows<T: Copy>(map: &FxHashMap<Arc<str>, T>) -> Vec<(Arc<str>, T)> {
    map.iter()
        .map(|(key, value)| (Arc::clone(key), *value))
        .collect()
}

/// Returns the time of a logarithm of seconds.
fn from_log(seconds: f64) -> Span {
    Span::from_micros((seconds.exp() * 1_000_000.0) as u64)
}

fn log_estimate(step: &StepSpec) -> f64 {
    let estimate = Span::from_millis(step.estimate_ms).max(MIN_SAMPLE);
    estimate.as_secs_f64().ln()
}
