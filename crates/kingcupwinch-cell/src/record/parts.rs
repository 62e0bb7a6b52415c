//! Records of jobs that are too large for one record of the log.
//!
//! The rows of such a job are stored in parts, each with a key of its own. A part holds what is known
//! of a fixed range of a step's tasks. It is complete in itself, so that the parts of a job need not
//! be written together, and only those that changed are written.

use std::fmt;
use std::hash::BuildHasher;

use rustc_hash::{FxBuildHasher, FxHashMap};

use super::{JobRecord, Placement};
use crate::crash::Crash;
use crate::id::JobId;

/// The largest number of tasks in a part, which its key does not state.
const PART_TASKS: u16 = 32;
/// The space for the rows of a task in a part, in bytes. They take up to about 4 KB: a checkpoint of
/// 1 KB, some crashes and placements with worker ids of up to 255 bytes.
const TASK_BYTES: usize = 8 << 10;
/// The largest size of a record that is not split, in bytes.
const MAX_WHOLE_BYTES: usize = 64 << 10;
/// The size of the figures and the punctuation of a row, in bytes.
const ROW_BYTES: usize = 64;
/// The size of the index of a task or of a run number in a list, in bytes.
const INDEX_BYTES: usize = 11;

/// The key of a part of a job's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey {
    /// The slot of the step.
    step: u32,
    /// The range of tasks, counted from the first of the step.
    range: u16,
    /// The number of tasks in a range.
    tasks: u16,
}

impl PartKey {
    /// Parses the key of a part in the log, as [`PartKey::in_log`] returns it.
    pub fn parse(text: &str) -> Option<(JobId, PartKey)> {
        let (job, part) = text.split_once('.')?;
        let (step, range) = part.split_once('.')?;
        let (range, tasks) = match range.split_once('.') {
            Some((range, tasks)) => (range, tasks.parse().ok()?),
            None => (range, PART_TASKS),
        };
        let part = PartKey {
            step: step.parse().ok()?,
            range: range.parse().ok()?,
            tasks,
        };
        Some((JobId::parse(job)?, part))
    }

    /// Returns the key in the log.
    pub fn in_log(self, job: JobId) -> String {
        format!("{job}.{self}")
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.range)?;
        if self.tasks != PART_TASKS {
            write!(f, ".{}", self.tasks)?;
        }
        Ok(())
    }
}

/// How records are divided for a log that takes records up to some size. Parts of different layouts have
/// different keys, so that an owner with another layout never overwrites a part with fewer tasks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordLayout {
    /// The size from which a record is split, in bytes.
    split_bytes: usize,
    /// The number of tasks in a part.
    part_tasks: u16,
}

impl RecordLayout {
    /// Creates the layout for records of at most `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        let tasks = (limit / TASK_BYTES).clamp(1, PART_TASKS.into());
        RecordLayout {
            split_bytes: MAX_WHOLE_BYTES.min(limit / 4),
            part_tasks: tasks as u16,
        }
    }

    fn part_of(self, step: u32, index: u16) -> PartKey {
        PartKey {
            step,
            range: index / self.part_tasks,
            tasks: self.part_tasks,
        }
    }
}

impl JobRecord {
    /// Returns whether the record has to be stored in parts.
    pub(crate) fn is_large(&self, layout: RecordLayout) -> bool {
        self.weight() > layout.split_bytes
    }

    /// Returns about how many bytes the encoded rows take, at least as many as they do.
    fn weight(&self) -> usize {
        let done = self.done_tasks.iter().map(|(_, indexes)| indexes.len());
        let interrupted = self.interrupted.iter().map(|(_, indexes)| indexes.len());
        let listed: usize = done.chain(interrupted).sum();
        let rows = self.done_steps.len() + self.done_tasks.len() + self.interrupted.len();
        let failed = self.failed_runs.iter();
        let failed = failed.map(|(_, _, runs)| ROW_BYTES + runs.len() * INDEX_BYTES);
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(_, _, crashes)| {
            let crash = |crash: &Crash| ROW_BYTES + crash.worker.len();
            ROW_BYTES + crashes.iter().map(crash).sum::<usize>()
        });
        let checkpoints = self.checkpoints.iter();
        let checkpoints = checkpoints.map(|(_, _, value)| ROW_BYTES + value.len());
        let placements = self.placements.iter();
        let placements = placements.map(|placement| ROW_BYTES + placement.worker.len());
        listed * INDEX_BYTES
            + rows * ROW_BYTES
            + failed.chain(crashes).sum::<usize>()
            + checkpoints.chain(placements).sum::<usize>()
    }

    /// Moves the rows about tasks into parts, in order of their keys.
    pub(crate) fn split(&mut self, layout: RecordLayout) -> Vec<(PartKey, JobRecord)> {
        let mut parts = Parts::new(layout);
        for (step, indexes) in std::mem::take(&mut self.done_tasks) {
            for index in indexes {
                push_index(&mut parts.of_task(step, index).done_tasks, step, index);
            }
        }
        for (step, indexes) in std::mem::take(&mut self.interrupted) {
            for index in indexes {
                push_index(&mut parts.of_task(step, index).interrupted, step, index);
            }
        }
        for row in std::mem::take(&mut self.failed_runs) {
            parts.of_task(row.0, row.1).failed_runs.push(row);
        }
        for row in std::mem::take(&mut self.crashes) {
            parts.of_task(row.0, row.1).crashes.push(row);
        }
        for row in std::mem::take(&mut self.checkpoints) {
            parts.of_task(row.0, row.1).checkpoints.push(row);
        }
        for row in std::mem::take(&mut self.placements) {
            parts.of_task(row.step, row.index).placements.push(row);
        }
        let mut parts: Vec<(PartKey, JobRecord)> = parts.records.into_iter().collect();
        parts.sort_unstable_by_key(|(key, _)| *key);
        for (_, part) in &mut parts {
            let order = |row: &Placement| (row.step, row.index, row.run);
            part.placements.sort_unstable_by_key(order);
        }
        parts
    }

    /// Adds the rows of a part that the log holds beside this record.
    pub fn add_part(&mut self, key: PartKey, part: JobRecord) {
        self.parts.push(key);
        self.done_tasks.extend(part.done_tasks);
        self.interrupted.extend(part.interrupted);
        self.failed_runs.extend(part.failed_runs);
        self.crashes.extend(part.crashes);
        self.checkpoints.extend(part.checkpoints);
        self.placements.extend(part.placements);
    }

    /// Returns a hash of the content, which shows whether a part has changed.
    pub(crate) fn content_hash(&self) -> u64 {
        FxBuildHasher.hash_one(self)
    }
}

/// The parts of a record that is being split.
struct Parts {
    layout: RecordLayout,
    records: FxHashMap<PartKey, JobRecord>,
}

impl Parts {
    fn new(layout: RecordLayout) -> Self {
        Parts {
            layout,
            records: FxHashMap::default(),
        }
    }

    fn of_task(&mut self, step: u32, index: u16) -> &mut JobRecord {
        let key = self.layout.part_of(step, index);
        self.records.entry(key).or_default()
    }
}

fn push_index(rows: &mut Vec<(u32, Vec<u16>)>, step: u32, index: u16) {
    match rows.last_mut() {
        Some((known, indexes)) if *known == step => indexes.push(index),
        _ => rows.push((step, vec![index])),
    }
}
