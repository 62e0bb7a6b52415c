use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::event::LogEvent;

/// The queue of jobs whose queue no line names.
const UNKNOWN_QUEUE: &str = "?";

/// Where the time of a queue's jobs went.
#[derive(Debug, Default, Serialize)]
pub(crate) struct QueueSummary {
    pub(crate) jobs: usize,
    pub(crate) ended: usize,
    pub(crate) failed: usize,
    /// Runs that failed, and runs beyond the first of each task.
    pub(crate) failed_runs: usize,
    pub(crate) retries: usize,
    /// The refusals of requests, by cause.
    pub(crate) refusals: BTreeMap<String, usize>,
    pub(crate) parts: Vec<Part>,
}

/// A part of the time of the jobs that ended, in milliseconds.
#[derive(Debug, Serialize)]
pub(crate) struct Part {
    pub(crate) name: &'static str,
    pub(crate) p50: i64,
    pub(crate) p95: i64,
    pub(crate) p99: i64,
}

/// The times of a job's step, in Unix microseconds.
#[derive(Debug, Default)]
struct StepTimes {
    advised: Option<i64>,
    first_start: Option<i64>,
    last_start: Option<i64>,
    last_end: Option<i64>,
}

#[derive(Debug, Default)]
struct JobTimes {
    queue: Option<String>,
    appended: Option<i64>,
    received: Option<i64>,
    ended: Option<i64>,
    has_failed: bool,
    failed_runs: usize,
    retries: usize,
    started_tasks: HashMap<String, usize>,
    steps: BTreeMap<String, StepTimes>,
    refusals: Vec<String>,
}

impl JobTimes {
    fn add(&mut self, event: &LogEvent) {
        if !event.text("queue").is_empty() {
            self.queue = Some(event.text("queue").to_owned());
        }
        let at = Some(event.at);
        match event.code.as_str() {
            "KCW-1501" if event.text("request") == "submit" => self.appended = self.appended.or(at),
            "KCW-1502" => self.refusals.push(event.text("error").to_owned()),
            "KCW-1601" => self.received = self.received.or(at),
            "KCW-1603" => {
                self.ended = self.ended.or(at);
                self.has_failed = event.text("state") == "failed";
            }
            "KCW-1701" => self.add_start(event),
            "KCW-1704" => {
                self.failed_runs += usize::from(event.text("how") == "failed");
                if let Some(step) = self.step_of_task(event) {
                    step.last_end = step.last_end.max(at);
                }
            }
            "KCW-1705" => {
                let step = self.steps.entry(event.text("step").to_owned()).or_default();
                step.advised = step.advised.or(at);
            }
            _ => {}
        }
    }

    fn add_start(&mut self, event: &LogEvent) {
        let starts = self.started_tasks.entry(event.text("task").to_owned());
        let starts = starts.or_default();
        *starts += 1;
        let is_first = *starts == 1;
        self.retries += usize::from(!is_first);
        if let Some(step) = self.step_of_task(event)
            && is_first
        {
            step.first_start = step.first_start.or(Some(event.at));
            step.last_start = Some(event.at);
        }
    }

    fn step_of_task(&mut self, event: &LogEvent) -> Option<&mut StepTimes> {
        let (step, _) = event.text("task").rsplit_once('.')?;
        Some(self.steps.entry(step.to_owned()).or_default())
    }

    /// Returns the parts of the job's time in microseconds: to be received, to get advice, to start,
    /// to start every task, and to run. Each step begins where the one before it ended.
    fn parts(&self) -> Option<[i64; PART_NAMES.len()]> {
        let begin = self.appended.or(self.received)?;
        let ended = self.ended?;
        let received = self.received.unwrap_or(begin).max(begin);
        let mut parts = [received - begin, 0, 0, 0, 0, ended - begin];
        let mut steps: Vec<&StepTimes> = self.steps.values().collect();
        steps.sort_by_key(|step| step.first_start);
        let mut ready = begin;
        for step in steps {
            let (Some(first), Some(last), Some(end)) =
                (step.first_start, step.last_start, step.last_end)
            else {
                continue;
            };
            let advised = step.advised.unwrap_or(first).clamp(ready.min(first), first);
            parts[1] += (advised - ready).max(0);
            parts[2] += (first - advised.max(ready)).max(0);
            parts[3] += last - first;
            parts[4] += (end - last).max(0);
            ready = end;
        }
        Some(parts)
    }
}

const PART_NAMES: [&str; 6] = ["received", "advice", "wait", "spread", "run", "total"];

/// Sums up the events of each queue.
pub(crate) fn summarize(events: &[LogEvent]) -> BTreeMap<String, QueueSummary> {
    let mut jobs: HashMap<&str, JobTimes> = HashMap::new();
    for event in events {
        if let Some(job) = event.job() {
            jobs.entry(job).or_default().add(event);
        }
    }
    let mut queues: BTreeMap<String, QueueSummary> = BTreeMap::new();
    let mut samples: BTreeMap<String, Vec<[i64; PART_NAMES.len()]>> = BTreeMap::new();
    for job in jobs.into_values() {
        let name = job.queue.clone().unwrap_or_else(|| UNKNOWN_QUEUE.into());
        let summary = queues.entry(name.clone()).or_default();
        summary.jobs += 1;
        summary.ended += usize::from(job.ended.is_some());
        summary.failed += usize::from(job.has_failed);
        summary.failed_runs += job.failed_runs;
        summary.retries += job.retries;
        if let Some(parts) = job.parts() {
            samples.entry(name).or_default().push(parts);
        }
        for cause in job.refusals {
            *summary.refusals.entry(cause).or_default() += 1;
        }
    }
    for (name, samples) in samples {
        if let Some(summary) = queues.get_mut(&name) {
            summary.parts = to_parts(&samples);
        }
    }
    queues
}

fn to_parts(samples: &[[i64; PART_NAMES.len()]]) -> Vec<Part> {
    let to_part = |(column, name): (usize, &&'static str)| {
        let mut values: Vec<i64> = samples.iter().map(|sample| sample[column]).collect();
        values.sort_unstable();
        // The nearest rank: the smallest value that at least this share does not exceed.
        let rank = |percent: usize| values[(values.len() * percent).div_ceil(100) - 1] / 1_000;
        Part {
            name,
            p50: rank(50),
            p95: rank(95),
            p99: rank(99),
        }
    };
    PART_NAMES.iter().enumerate().map(to_part).collect()
}
