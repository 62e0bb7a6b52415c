use std::sync::Arc;

use kingcupwinch_time::Span;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// What a task takes of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Adds another size.
    pub fn add(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Takes a size away that was added before.
    pub fn sub(&mut self, other: Resources) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Returns how many tasks of a size fit into this room.
    pub fn task_capacity(&self, task: Resources) -> u64 {
        if self.cpu < task.cpu || self.memory < task.memory || self.gpu < task.gpu {
            return 0;
        }
        let part = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        part(self.cpu, task.cpu)
            .min(part(self.memory, task.memory))
            .min(part(self.gpu, task.gpu))
    }

    /// Returns what is left of this capacity beside what is used.
    pub fn remaining(&self, used: Resources) -> Resources {
        let mut room = *self;
        room.sub(used);
        room
    }
}

/// What asking the adviser of a queue costs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Milliseconds that each call takes.
    pub call_ms: f64,
    /// Milliseconds more for each worker named.
    pub worker_ms: f64,
    /// Milliseconds that a ticket is valid for.
    pub valid_ms: f64,
}

/// How the queue of a job wants it run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The queue.
    pub queue: Arc<str>,
    /// The service whose workers run it.
    pub service: Arc<str>,
    /// Failed runs after which a task is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The objective, in lengths of the job's longest chain of work.
    pub stretch: f64,
    /// Milliseconds that the objective adds to that.
    pub target_ms: u64,
    /// 0 comes first.
    pub priority: u32,
    /// Set where an adviser decides which workers may run a step.
    pub advice: Option<AdviceCost>,
}

/// One step of a job: tasks of one size that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Tasks in the step.
    pub count: u16,
    /// What each of them takes.
    #[serde(rename = "size")]
    pub resources: Resources,
    /// A task's run time as the caller estimates it, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u16; 4]>,
    /// The tasks work only when all are present.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// A gang that is slower on more than one rack.
    #[serde(rename = "one_rack", default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// The tasks save checkpoints.
    #[serde(rename = "saves", default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// The step runs in what others leave unused.
    #[serde(rename = "fills", default, skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// A label that the worker must have.
    #[serde(rename = "label", default, skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Arc<str>>,
    /// The rack where the data lies.
    #[serde(rename = "rack", default, skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one worker.
    #[serde(rename = "spread", default, skip_serializing_if = "Option::is_none")]
    pub worker_limit: Option<u16>,
    /// A task that is slow may be run twice at a time; the first end counts.
    #[serde(rename = "copies", default, skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// The tasks run until the job is cancelled, and are started anew however they end.
    #[serde(rename = "lasting", default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// How many lasting tasks may be away at one time by the owner's doing.
    #[serde(rename = "may_miss", default, skip_serializing_if = "is_zero")]
    pub max_unavailable: u16,
    /// The tasks serve users of their own, who notice what fills beside them.
    #[serde(rename = "serving", default, skip_serializing_if = "is_false")]
    pub latency_sensitive: bool,
}

fn is_zero(value: &u16) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

impl StepSpec {
    /// Returns the size that counts against a worker's capacity.
    pub fn charged_resources(&self) -> Resources {
        let mut size = self.resources;
        if self.best_effort {
            size.cpu = 0;
        }
        size
    }
}

/// When the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many there are.
    pub count: u32,
    /// Unix milliseconds of the first.
    pub first_ms: u64,
    /// Milliseconds from each to the next.
    #[serde(rename = "every_ms")]
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the Unix milliseconds at which an occurrence is due.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval_ms.saturating_mul(occurrence.into());
        self.first_ms.saturating_add(after)
    }
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// How its queue wants it run.
    #[serde(rename = "terms")]
    pub policy: QueuePolicy,
    /// The caller's text for the workers.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// The steps, each after those that it names.
    pub steps: Vec<StepSpec>,
    /// Set where the steps run at set times of day, once or more often.
    #[serde(rename = "times", default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Unix milliseconds of its acceptance, by the clock of the instance that took it.
    pub accepted_ms: u64,
}

impl JobSpec {
    /// Returns the longest chain of estimates from each step to the job's end.
    pub(crate) fn critical_paths(&self) -> Vec<Span> {
        let mut tails: Vec<Span> = Vec::with_capacity(self.steps.len());
        tails.resize(self.steps.len(), Span::ZERO);
        for (number, step) in self.steps.iter().enumerate().rev() {
            // What lasts has no end to wait for.
            let own_ms = if step.long_running {
                0
            } else {
                step.estimate_ms
            };
            let own = Span::from_millis(own_ms);
            tails[number] = Span::from_micros(tails[number].as_micros() + own.as_micros());
            let tail = tails[number];
            for before in &step.after {
                let before = usize::from(*before);
                if before < number {
                    tails[before] = tails[before].max(tail);
                }
            }
        }
        tails
    }
}
