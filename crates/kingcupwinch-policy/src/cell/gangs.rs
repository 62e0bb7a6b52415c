//! All-or-nothing start of gangs, on one rack if they fit there.
//!
//! A gang starts only when all of its places are free at once, so it never occupies some machines
//! while it waits for others.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use super::decide::TryOutcome;
use crate::decision::{Decision, Disposition, Placements};
use crate::fleet::TIERS;
use crate::gang::{RACK_CANDIDATES, RackCandidate, Spread};
use crate::key::{GangKey, MachineKey, RackKey, TaskKey};
use crate::machine::{PLACE_UNITS, PlaceUnit, ReservedFor};
use crate::refusal::Refusal;
use crate::resources::Resources;

/// Delay between two tries of one gang.
const TRY_INTERVAL: Span = Span::from_millis(20);

/// Number of places of a gang on one machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Allocation {
    pub(super) machine: MachineKey,
    pub(super) places: u64,
}

pub(super) type Allocations = SmallVec<[Allocation; 16]>;

impl Cell {
    /// Starts a gang if it fits now; otherwise delays its next try and makes a reservation if the
    /// rules for reservations allow one. A gang with a reservation or in its cooldown is not tried.
    pub(super) fn try_gang(
        &mut self,
        leader: TaskKey,
        need: &Resources,
        now: Time,
        out: &mut Vec<Decision>,
    ) -> TryOutcome {
        let Some(key) = self.tasks[leader].gang else {
            return TryOutcome::Dequeued;
        };
        let gang = &self.gangs[key];
        let spread = gang.spec.spread;
        let reserved = self.reservations.iter().any(|r| r.gang == key);
        if reserved || now < gang.cooldown {
            return TryOutcome::NotAllowed;
        }
        if let Some(allocations) = self.gang_fit(key, leader, need, now) {
            self.start_gang(key, &allocations, now, out);
            return TryOutcome::Dequeued;
        }
        let cooldown = now + TRY_INTERVAL;
        self.gangs[key].cooldown = cooldown;
        self.wake_at(self.tasks[leader].spec.class, cooldown);
        self.reserve(key, need, spread, now);
        TryOutcome::NotAllowed
    }

    /// Returns an allocation for the whole gang if it may start now.
    pub(super) fn gang_fit(
        &mut self,
        key: GangKey,
        leader: TaskKey,
        need: &Resources,
        now: Time,
    ) -> Option<Allocations> {
        let gang = &self.gangs[key];
        let (count, spread, expirations) = (gang.alive, gang.spec.spread, gang.expirations);
        let total = need.times(u64::from(count));
        let task = &self.tasks[leader];
        if !total.fits(self.fleet.free()) || !self.within_limits(leader, &total, count) {
            return None;
        }
        let budget = self.place_budget(task, now);
        let allocations = self.allocate_gang(need, u64::from(count), spread)?;
        let lost = PlaceUnit::ALL.map(|kind| {
            let lost = |a: &Allocation| {
                let size = need.times(a.places);
                self.fleet.places_lost(a.machine, kind, &size)
            };
            allocations.iter().map(lost).sum::<u64>()
        });
        self.gangs[key].urgent_cost = lost[PlaceUnit::Urgent as usize];
        let within = (0..PLACE_UNITS).all(|u| lost[u] <= budget[u]);
        (expirations > 0 || within).then_some(allocations)
    }

    pub(super) fn start_gang(
        &mut self,
        key: GangKey,
        allocations: &[Allocation],
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let members = self.gangs[key].tasks.clone();
        let machines = allocations
            .iter()
            .flat_map(|a| std::iter::repeat_n(a.machine, a.places as usize));
        let pairs: Vec<(TaskKey, MachineKey)> = members.into_iter().zip(machines).collect();
        let places: Placements = pairs
            .into_iter()
            .map(|(task, machine)| self.begin_run(task, machine, now))
            .collect();
        self.counters.gangs += 1;
        out.push(Decision::StartGang { gang: key, places });
    }

    /// Returns an allocation for the whole gang on open machines, on one rack if `spread` asks for
    /// it.
    fn allocate_gang(
        &mut self,
        need: &Resources,
        count: u64,
        spread: Spread,
    ) -> Option<Allocations> {
        if spread != Spread::Anywhere {
            let on_rack = self.allocate_on_rack(need, count);
            if on_rack.is_some() || spread == Spread::OneRack {
                return on_rack;
            }
        }
        let mut allocations = Allocations::new();
        let mut left = count;
        for tier in 0..TIERS {
            self.fleet
                .visit(tier, need, usize::MAX, &mut self.rng, |machine, _, free| {
                    let places = need.times_in(free).min(left);
                    allocations.push(Allocation { machine, places });
                    left -= places;
                    left > 0
                });
            if left == 0 {
                return Some(allocations);
            }
        }
        None
    }

    fn allocate_on_rack(&self, need: &Resources, count: u64) -> Option<Allocations> {
        let racks = self.fleet.racks().iter().enumerate();
        let mut candidates: Vec<RackCandidate> = racks
            .map(|(i, rack)| RackCandidate {
                places: need.times_in(&rack.free),
                rack: RackKey(i as u16),
            })
            .filter(|c| c.places >= count)
            .collect();
        candidates.sort_unstable();
        let tightest = candidates.iter().take(RACK_CANDIDATES);
        tightest
            .map(|c| {
                self.allocate_on(
                    &self.fleet.racks()[c.rack.index()].machines,
                    need,
                    count,
                    None,
                )
            })
            .find_map(|allocations| allocations)
    }

    /// Returns an allocation for the whole gang on those of `machines` whose reservation equals
    /// `reserved_for`.
    pub(super) fn allocate_on(
        &self,
        machines: &[MachineKey],
        need: &Resources,
        count: u64,
        reserved_for: Option<ReservedFor>,
    ) -> Option<Allocations> {
        let mut left = count;
        let mut allocations = Allocations::new();
        for &machine in machines {
            let fit = self
                .fleet
                .get(machine)
                .filter(|m| m.reserved_for == reserved_for && m.entry.is_some());
            let places = fit.map_or(0, |m| need.times_in(&m.free())).min(left);
            if places > 0 {
                allocations.push(Allocation { machine, places });
                left -= places;
            }
            if left == 0 {
                return Some(allocations);
            }
        }
        None
    }

    /// Handles a member that failed or did not start: stops the other members, so that the whole
    /// gang starts again. If the members must not be stopped, they run on and only this member
    /// leaves.
    pub(super) fn break_gang(&mut self, task: TaskKey, now: Time) -> Disposition {
        let Some(key) = self.tasks[task].gang else {
            return Disposition::Left;
        };
        if !self.gangs[key].spec.task.idempotent {
            return self.give_up(task, Refusal::RetryBudgetSpent(Span::ZERO));
        }
        if !self.gangs[key].broken {
            self.gangs[key].broken = true;
            self.stop_members(key, now);
        }
        match self.requeue_gang(key, task, now) {
            Some(refusal) => Disposition::GaveUp(refusal),
            None => Disposition::Requeued,
        }
    }

    fn stop_members(&mut self, key: GangKey, now: Time) {
        let members = self.gangs[key].tasks.clone();
        for task in members {
            let run = self.tasks.get(task).and_then(|t| t.run().copied());
            if let Some(run) = run {
                self.request_stop(task, &run, now);
            }
        }
    }

    /// Requeues a broken gang once none of its tasks runs, or gives it up and returns the reason.
    /// The result of the event reports the end of `ended`, and decisions that of the others.
    pub(super) fn requeue_gang(
        &mut self,
        key: GangKey,
        ended: TaskKey,
        now: Time,
    ) -> Option<Refusal> {
        let gang = self.gangs.get_mut(key)?;
        if !gang.broken || gang.running > 0 {
            return None;
        }
        gang.broken = false;
        gang.tasks.retain(|t| self.tasks.contains_key(*t));
        let leader = gang.leader();
        let members = gang.tasks.clone();
        self.tasks[leader].failures += 1;
        let crashed = members
            .iter()
            .any(|t| self.has_crashed_out(&self.tasks[*t]));
        let next = if crashed {
            self.give_up(leader, Refusal::MachineCrashes)
        } else {
            self.retry(leader, now)
        };
        let Disposition::GaveUp(refusal) = next else {
            return None;
        };
        for task in members.into_iter().filter(|task| *task != ended) {
            self.remove_task(task);
            self.counters.given_up += 1;
            self.pending.push(Decision::GiveUp { task, refusal });
        }
        self.remove_task(ended);
        Some(refusal)
    }
}
