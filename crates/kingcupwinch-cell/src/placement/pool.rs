//! The usable workers of one round of scheduling.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use super::better_places::BetterPlaces;
use crate::cell::NamedWorker;
use crate::crash::Suspicion;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// The width of a band of the pace, as a difference of logarithms.
const PACE_BAND: f64 = 0.25;

/// A worker that can take new work, with the capacity that is left for steps not yet placed in this
/// round.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    pub(crate) available: Resources,
    /// What steps with calls to the adviser in flight are expected to place on the worker.
    pub(super) expected: Resources,
    /// Whether best-effort or latency-sensitive tasks run on the worker.
    pub(crate) has_best_effort: bool,
    pub(crate) has_latency_sensitive: bool,
    /// Whether best-effort tasks may run beside these at a low pace.
    pub(crate) is_open_to_sharing: bool,
    pub(crate) is_quarantined: bool,
    /// How likely a task on the worker is to crash it.
    pub(super) suspicion: Suspicion,
    /// Observed over expected run time; lower is faster.
    pub(crate) pace: f64,
    pub(super) pace_band: i64,
}

impl Candidate {
    /// Returns how contested the worker's capacity is for a task that takes `charge`. Zero if there
    /// is room beside all that is expected.
    pub(super) fn contention(&self, charge: Resources) -> u64 {
        let mut demand = self.expected;
        demand.add(charge);
        let excess = |demand: u64, available: u64| demand.saturating_sub(1) / available.max(1);
        excess(demand.cpu, self.available.cpu)
            .max(excess(demand.memory, self.available.memory))
            .max(excess(demand.gpu, self.available.gpu))
    }
}

/// Returns the band of a pace. Differences within a band say little, so that the packing decides
/// there.
pub(super) fn pace_band(pace: f64) -> i64 {
    (pace.ln() / PACE_BAND).round() as i64
}

/// The pace of the fastest and of the slowest worker of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceRange {
    pub(super) fastest: f64,
    pub(super) slowest: f64,
}

impl Default for PaceRange {
    fn default() -> Self {
        PaceRange {
            fastest: 1.0,
            slowest: 1.0,
        }
    }
}

impl PaceRange {
    pub(super) fn extend(range: Option<PaceRange>, pace: f64) -> PaceRange {
        let range = range.unwrap_or(PaceRange {
            fastest: pace,
            slowest: pace,
        });
        PaceRange {
            fastest: range.fastest.min(pace),
            slowest: range.slowest.max(pace),
        }
    }
}

/// The usable workers of one service in one round of scheduling.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    pub(crate) candidates: Vec<Candidate>,
    pub(super) indexes: SecondaryMap<WorkerKey, usize>,
    /// The CPU that each candidate had left at the start of the round, with its index, most first. No
    /// candidate has more later in the round.
    by_cpu: Vec<(u64, usize)>,
    pub(crate) has_quarantined: bool,
    /// The total CPU of the workers and what is left of it, in thousandths of a core.
    total_cpu: u64,
    free_cpu: u64,
    /// The pace of the fastest and of the slowest candidate that is not quarantined, if there is any.
    pub(super) paces: Option<PaceRange>,
    /// When places become free, and what steps wait for them.
    pub(super) places: BetterPlaces,
}

/// The usable workers of one round of scheduling.
#[derive(Debug, Default)]
pub(crate) struct WorkerPools {
    pub(crate) by_service: FxHashMap<Arc<str>, WorkerPool>,
}

impl WorkerPool {
    /// Counts the capacity of a worker.
    pub(super) fn count_capacity(&mut self, total: Resources, available: Resources) {
        self.total_cpu = self.total_cpu.saturating_add(total.cpu);
        self.free_cpu = self.free_cpu.saturating_add(available.cpu);
    }

    /// Returns the total CPU of the workers, in thousandths of a core.
    pub(super) fn total_cpu(&self) -> u64 {
        self.total_cpu
    }

    /// Returns whether more than half of the CPU was free at the start of the round.
    pub(super) fn is_mostly_free(&self) -> bool {
        self.free_cpu > self.total_cpu / 2
    }

    /// Adds a worker that can take new work.
    pub(super) fn add(&mut self, candidate: Candidate) {
        let index = self.candidates.len();
        self.indexes.insert(candidate.key, index);
        self.by_cpu.push((candidate.available.cpu, index));
        self.candidates.push(candidate);
    }

    /// Puts the workers in order by the CPU that they have left. To be called once all are added.
    pub(super) fn sort_by_cpu(&mut self) {
        self.by_cpu.sort_unstable_by(|a, b| b.cmp(a));
    }

    /// Returns how many workers had enough CPU for a task that takes `charge` at the start of the round.
    /// They come first in [`WorkerPool::nth_by_cpu`], so that on a full service few are looked at.
    pub(crate) fn with_cpu(&self, charge: Resources) -> usize {
        self.by_cpu.partition_point(|(cpu, _)| *cpu >= charge.cpu)
    }

    /// Returns the index of the worker at a place in the order of the CPU left.
    pub(crate) fn nth_by_cpu(&self, place: usize) -> usize {
        self.by_cpu[place].1
    }

    /// Returns the index of a worker, if it is usable.
    pub(crate) fn index(&self, worker: WorkerKey) -> Option<usize> {
        self.indexes.get(worker).copied()
    }

    /// Returns whether any worker has capacity for a task that takes `charge`.
    pub(super) fn has_capacity(&self, charge: Resources) -> bool {
        let mut places = 0..self.with_cpu(charge);
        places.any(|place| {
            let candidate = &self.candidates[self.nth_by_cpu(place)];
            candidate.available.task_capacity(charge) > 0
        })
    }

    /// Adds what a step that asks about workers is expected to place there.
    pub(super) fn expect(&mut self, workers: &[NamedWorker]) {
        for worker in workers {
            if let Some(index) = self.index(worker.key) {
                self.candidates[index].expected.add(worker.load);
            }
        }
    }

    /// Reserves capacity for tasks that start or for a gang that waits for it.
    pub(super) fn reserve(&mut self, candidate: usize, charge: Resources, tasks: u64) {
        let capacity = &mut self.candidates[candidate].available;
        capacity.sub(charge.times(tasks));
    }

    /// Reserves capacity for a task on a worker. Returns false if the worker has too little left.
    pub(super) fn try_reserve(&mut self, worker: WorkerKey, charge: Resources) -> bool {
        let Some(candidate) = self.index(worker) else {
            return false;
        };
        let has_room = self.candidates[candidate].available.task_capacity(charge) > 0;
        if has_room {
            self.reserve(candidate, charge, 1);
        }
        has_room
    }

    /// Releases the capacity that was reserved for a task on a worker.
    pub(super) fn release(&mut self, worker: WorkerKey, charge: Resources) {
        if let Some(candidate) = self.index(worker) {
            self.candidates[candidate].available.add(charge);
        }
    }
}
