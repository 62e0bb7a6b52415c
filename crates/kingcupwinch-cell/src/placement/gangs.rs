//! Placement of gangs, whose tasks start together or not at all.

use kingcupwinch_time::Time;

use super::{ReadyStep, WorkerPool};
use crate::cell::Cell;
use crate::crash::Suspicion;
use crate::fit::StepDemand;
use crate::mechanism::Mechanism;

impl Cell {
    /// Chooses a worker for each member of a gang, all on one rack if the step asks for it and they
    /// fit.
    fn choose_gang(
        &self,
        demand: &StepDemand,
        eligible: &[usize],
        pool: &WorkerPool,
        tasks: usize,
    ) -> Option<Vec<usize>> {
        let spec = self.jobs[demand.job].step_spec(demand.step);
        if spec.same_rack {
            let rack_of = |candidate: &usize| self.rack(pool.candidates[*candidate].key);
            let mut racks: Vec<_> = eligible.iter().map(rack_of).collect();
            racks.sort();
            racks.dedup();
            for rack in racks {
                let on_rack = eligible
                    .iter()
                    .copied()
                    .filter(|candidate| rack_of(candidate) == rack);
                let candidates: Vec<usize> = on_rack.collect();
                if let Some(chosen) = self.assign_gang(demand, &candidates, pool, tasks) {
                    return Some(chosen);
                }
            }
        }
        self.assign_gang(demand, eligible, pool, tasks)
    }

    fn assign_gang(
        &self,
        demand: &StepDemand,
        eligible: &[usize],
        pool: &WorkerPool,
        tasks: usize,
    ) -> Option<Vec<usize>> {
        let mut chosen = Vec::with_capacity(tasks);
        for &candidate in eligible {
            let fits = self.room_on(demand, &pool.candidates[candidate]);
            let fits = usize::try_from(fits.unwrap_or(0)).unwrap_or(usize::MAX);
            let take = fits.min(tasks - chosen.len());
            chosen.extend(std::iter::repeat_n(candidate, take));
        }
        (chosen.len() == tasks).then_some(chosen)
    }

    /// Returns whether a gang would fit if nothing else ran on the workers that it may use.
    fn could_fit(&self, demand: &StepDemand, tasks: usize, pool: &WorkerPool, now: Time) -> bool {
        let candidates = pool.candidates.iter();
        let mut fits = candidates.map(|candidate| self.fits_when_idle(demand, candidate.key, now));
        let left = fits.try_fold(tasks as u64, |left, fits| {
            left.checked_sub(fits).filter(|left| *left > 0)
        });
        left.is_none()
    }

    /// Reserves the room that workers have for members of a gang.
    fn reserve_for_gang(
        &self,
        demand: &StepDemand,
        candidates: &[usize],
        pool: &mut WorkerPool,
        tasks: usize,
    ) {
        let mut left = tasks as u64;
        for &candidate in candidates {
            let fits = self.room_on(demand, &pool.candidates[candidate]);
            let fits = fits.unwrap_or(0).min(left);
            pool.reserve(candidate, demand.charge, fits);
            left -= fits;
        }
    }

    /// Starts a whole gang if it fits, and doesn't wait for one rack. Otherwise reserves the available capacity for it, so that
    /// steps behind it can't starve it.
    pub(super) fn place_gang(
        &mut self,
        ready: &ReadyStep,
        demand: &StepDemand,
        eligible: &[usize],
        pool: &mut WorkerPool,
        now: Time,
    ) -> bool {
        let job = &self.jobs[ready.job];
        let tasks = job.steps[ready.step].tasks.len();
        if self.is_held_back(ready.job, (ready.step, 0), now) {
            return false;
        }
        let separate = (self.suspicion(ready.job, (ready.step, 0)) > Suspicion::None)
            .then(|| self.separate_candidates(ready.job, (ready.step, 0), eligible, pool, now));
        let eligible = separate.as_deref().unwrap_or(eligible);
        let Some(chosen) = self.choose_gang(demand, eligible, pool, tasks) else {
            let is_reserving = self.uses(Mechanism::GangReservation)
                && !Cell::is_out_of_patience(ready, pool, now)
                && self.could_fit(demand, tasks, pool, now);
            if !is_reserving {
                return false;
            }
            self.reserve_for_gang(demand, eligible, pool, tasks);
            return false;
        };
        let number = job.last_run + 1;
        if let Some(rack) = self.awaited_rack(ready, demand, &chosen, pool, now) {
            if self.uses(Mechanism::GangReservation) {
                self.reserve_for_gang(demand, &rack, pool, tasks);
            }
            return false;
        }
        for (index, candidate) in chosen.into_iter().enumerate() {
            self.start_on(
                ready.job,
                (ready.step, index),
                number,
                (candidate, pool),
                now,
            );
        }
        true
    }
}
