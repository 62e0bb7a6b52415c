//! Workers for tasks that may crash them: apart from each other, so that the next crash shows which
//! of them causes it.

use kingcupwinch_time::Time;

use super::{WorkerPool, WorkerPools};
use crate::cell::Cell;
use crate::crash::Suspicion;
use crate::job::JobKey;

impl Cell {
    /// Notes which usable workers run tasks that may crash them.
    pub(super) fn mark_suspect_workers(&self, pools: &mut WorkerPools) {
        for (worker, suspicion) in self.suspect_workers() {
            for pool in pools.by_service.values_mut() {
                if let Some(index) = pool.index(worker) {
                    let candidate = &mut pool.candidates[index];
                    candidate.suspicion = candidate.suspicion.max(suspicion);
                }
            }
        }
    }

    /// Returns those of the eligible workers on which a task, given by its slot and index, is kept
    /// apart from other suspects, best first. If it has waited for long, it is kept apart from critical
    /// suspects only.
    pub(super) fn separate_candidates(
        &self,
        key: JobKey,
        (step, index): (usize, usize),
        eligible: &[usize],
        pool: &WorkerPool,
        now: Time,
    ) -> Vec<usize> {
        let suspicion = self.suspicion(key, (step, index));
        let is_separated = self.jobs[key].steps[step].tasks[index]
            .crashes
            .is_separated(now);
        let suits = |candidate: &usize| {
            let other = pool.candidates[*candidate].suspicion;
            other < Suspicion::Critical && !(is_separated && suspicion.excludes(other))
        };
        let mut suited: Vec<usize> = eligible.iter().copied().filter(suits).collect();
        suited.sort_by_key(|candidate| {
            let candidate = &pool.candidates[*candidate];
            // The fewer tasks run there, the fewer are lost in a crash.
            let runs = match suspicion {
                Suspicion::Repeated | Suspicion::Critical => self.workers[candidate.key].runs.len(),
                _ => 0,
            };
            (candidate.suspicion, runs)
        });
        suited
    }
}
