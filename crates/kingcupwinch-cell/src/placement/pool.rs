//! The usable workers of one round of scheduling.

use std::sync::Arc;

use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use super::better_places::BetterPlaces;
use crate::cell::{Cell, NamedWorker};
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

/// A worker that can take new work, and the logarithm of its pace.
struct Usable {
    key: WorkerKey,
    log_pace: f64,
    is_quarantined: bool,
}

impl Cell {
    /// Returns the workers that can take new work, grouped by service, and sets their mean pace to 1.
    ///
    /// The pace of each is computed once: with 3,000 workers it took a fifth of the owner's processor
    /// time.
    pub(super) fn usable_workers(&mut self, now: Time) -> WorkerPools {
        let usable = self.usable_paces(now);
        let known = usable.iter().filter(|worker| !worker.is_quarantined);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), worker| {
            (sum + worker.log_pace, count + 1.0)
        });
        if count > 0.0 {
            self.run_times.set_level(sum / count);
        }
        self.group_by_service(&usable, now)
    }

    fn usable_paces(&self, now: Time) -> Vec<Usable> {
        let usable = self.workers.iter();
        let usable = usable.filter(|(_, worker)| worker.is_usable(now));
        let paces = usable.map(|(key, worker)| Usable {
            key,
            log_pace: self.run_times.log_pace(worker.kind(), &worker.pace, now),
            is_quarantined: worker.is_quarantined(now),
        });
        paces.collect()
    }

    fn group_by_service(&self, usable: &[Usable], now: Time) -> WorkerPools {
        let loads = self.expected_loads(now);
        // Few services have workers, so a search is faster than hashing the name for each worker.
        let mut pools: SmallVec<[(&Arc<str>, WorkerPool); 4]> = SmallVec::new();
        for row in usable {
            let worker = &self.workers[row.key];
            let service = &worker.registration.service;
            let known = pools.iter().position(|(name, _)| *name == service);
            let index = known.unwrap_or_else(|| {
                pools.push((service, WorkerPool::default()));
                pools.len() - 1
            });
            let pool = &mut pools[index].1;
            let pace = self.run_times.relative_pace(row.log_pace);
            pool.count_capacity(worker.registration.capacity, worker.available());
            pool.has_quarantined |= row.is_quarantined;
            if !row.is_quarantined {
                pool.paces = Some(PaceRange::extend(pool.paces, pace));
            }
            pool.add(Candidate {
                key: row.key,
                available: worker.available(),
                expected: loads.get(&row.key).copied().unwrap_or_default(),
                has_best_effort: worker.best_effort_runs > 0,
                has_latency_sensitive: worker.latency_sensitive_runs > 0,
                is_open_to_sharing: worker.pace_control.is_open(now),
                is_quarantined: row.is_quarantined,
                suspicion: Suspicion::None,
                pace,
                pace_band: pace_band(pace),
            });
        }
        let sorted = pools.into_iter().map(|(service, mut pool)| {
            pool.sort_by_cpu();
            (Arc::clone(service), pool)
        });
        WorkerPools {
            by_service: sorted.collect(),
        }
    }
}
