use std::sync::Arc;

use kingcupwinch_time::Span;
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

/// Resources of a worker, as used by a task or in total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Adds resources, stopping at the largest amount.
    pub fn add(&mut self, other: Resources) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Returns a multiple of these resources, stopping at the largest amount.
    pub(crate) fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Subtracts resources, stopping at zero.
    pub fn sub(&mut self, other: Resources) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Returns how many tasks of the given size fit into these resources. `u64::MAX` if the task
    /// needs nothing.
    pub fn task_capacity(&self, task: Resources) -> u64 {
        if self.cpu < task.cpu || self.memory < task.memory || self.gpu < task.gpu {
            return 0;
        }
        let part = |available: u64, need: u64| available.checked_div(need).unwrap_or(u64::MAX);
        part(self.cpu, task.cpu)
            .min(part(self.memory, task.memory))
            .min(part(self.gpu, task.gpu))
    }

    /// Returns a multiple of these resources, rounded down.
    pub(crate) fn scaled(&self, factor: f64) -> Resources {
        let scaled = |amount: u64| (amount as f64 * factor) as u64;
        Resources {
            cpu: scaled(self.cpu),
            memory: scaled(self.memory),
            gpu: scaled(self.gpu),
        }
    }

    /// Returns what is left of this capacity after subtracting what is used.
    pub fn remaining(&self, used: Resources) -> Resources {
        let mut available = *self;
        available.sub(used);
        available
    }
}

/// The cost of calling the adviser of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// The base duration of a call, in milliseconds.
    pub call_ms: f64,
    /// The additional duration for each worker named, in milliseconds.
    pub worker_ms: f64,
    /// The validity of a ticket, in milliseconds.
    pub valid_ms: f64,
}

/// The policy by which the jobs of a queue are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The service whose workers run the jobs.
    pub service: Arc<str>,
    /// The number of failed runs of a task after which its job fails.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The part of the objective that grows with the job, as a multiple of its critical path.
    pub stretch: f64,
    /// The fixed part of the objective, in milliseconds.
    pub target_ms: u64,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The cost of advice, if an adviser decides which workers may run a step.
    pub advice: Option<AdviceCost>,
}

/// One step of a job: tasks of the same size that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// The resources that each task needs.
    #[serde(rename = "size")]
    pub resources: Resources,
    /// The run time of a task as estimated by the caller, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the earlier steps that must be done first.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u16; 4]>,
    /// Whether the tasks form a gang, which works only if all of them are running.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the gang is slower on more than one rack.
    #[serde(rename = "one_rack", default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "saves", default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks are best-effort: they use the CPU that other tasks leave unused.
    #[serde(rename = "fills", default, skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// A label that the worker must have.
    #[serde(rename = "label", default, skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the data of the step.
    #[serde(rename = "rack", default, skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// The largest number of tasks of the step on one worker.
    #[serde(rename = "spread", default, skip_serializing_if = "Option::is_none")]
    pub worker_limit: Option<u16>,
    /// Whether a slow task may get a second, speculative run. The first run to end counts.
    #[serde(rename = "copies", default, skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled and are restarted
    /// whenever they end.
    #[serde(rename = "lasting", default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// How many long-running tasks the owner may make unavailable at a time.
    #[serde(rename = "may_miss", default, skip_serializing_if = "is_zero")]
    pub max_unavailable: u16,
    /// The image that the tasks run. Tasks of one image take about the same multiple of their
    /// estimates and fail about equally often.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Whether the tasks are latency-sensitive: they serve users who notice best-effort tasks on
    /// the same worker.
    #[serde(rename = "serving", default, skip_serializing_if = "is_false")]
    pub latency_sensitive: bool,
    /// What the tail of its response times has to stay below, in milliseconds. Earlier versions don't
    /// record it.
    #[serde(rename = "target", default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u32>,
}

fn is_zero(value: &u16) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

impl StepSpec {
    /// Returns the resources that a task takes of a worker's capacity. Best-effort tasks are
    /// charged no CPU.
    pub fn charged_resources(&self) -> Resources {
        let mut charge = self.resources;
        if self.best_effort {
            charge.cpu = 0;
        }
        charge
    }
}

/// The schedule of a job's occurrences.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub count: u32,
    /// The due time of the first occurrence, in Unix milliseconds.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the due time of an occurrence in Unix milliseconds.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval_ms.saturating_mul(occurrence.into());
        self.first_ms.saturating_add(after)
    }
}

/// A job as accepted from its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The policy of the job's queue.
    #[serde(rename = "terms")]
    pub policy: QueuePolicy,
    /// The caller's text, passed to the workers unchanged.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// The steps, each listed after the steps it depends on.
    pub steps: Vec<StepSpec>,
    /// The schedule, if the steps run at set times of day.
    #[serde(rename = "times", default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// The time of acceptance in Unix milliseconds, by the clock of the instance that accepted the
    /// job.
    pub accepted_ms: u64,
    /// The instance that accepted the job. Earlier versions don't record it.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub accepted_by: Option<Arc<str>>,
    /// The customer whose key the caller sent. `None` on queues that need no key; earlier versions don't
    /// record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
}

/// The size of the fields of a progress record that are not lists, with its key, in bytes.
const HEAD_BYTES: usize = 256;
/// The size of a range of done steps, in bytes.
const DONE_RANGE_BYTES: usize = 16;

impl JobSpec {
    /// Returns how large the record of the job's progress may get, in bytes, without what is stored in
    /// parts: every other step of all occurrences is done.
    pub fn max_progress_bytes(&self) -> usize {
        let occurrences = self.schedule.map_or(1, |schedule| schedule.count.max(1));
        let steps = self.steps.len().saturating_mul(occurrences as usize);
        HEAD_BYTES + steps.div_ceil(2).saturating_mul(DONE_RANGE_BYTES)
    }

    /// Returns the critical path of each step: the longest chain of the given durations of the steps
    /// from its start to the end of the job.
    pub(crate) fn critical_paths(&self, durations: &[Span]) -> SmallVec<[Span; 4]> {
        let mut critical_paths: SmallVec<[Span; 4]> = smallvec![Span::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            critical_paths[number] = critical_paths[number] + durations[number];
            let path = critical_paths[number];
            for before in &step.after {
                let before = usize::from(*before);
                if before < number {
                    critical_paths[before] = critical_paths[before].max(path);
                }
            }
        }
        critical_paths
    }
}
