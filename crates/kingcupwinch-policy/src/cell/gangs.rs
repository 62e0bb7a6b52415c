//! Gangs: all or nothing, on one rack where they fit, by reservations with deadlines.
//!
//! A gang starts only when every place is free at once, so it never holds some machines while it
//! waits for others. One that doesn't fit may reserve machines: no other work is placed there unless
//! it is expected to end before the gang's start. A cell has one reservation at a time and it has a
//! deadline, so two gangs neither wait for each other nor drive each other out.

use kingcupwinch_time::{Span, Time};
use rand::Rng;
use smallvec::SmallVec;

use super::Cell;
use super::decide::Try;
use crate::decision::{Decision, Next, Placement, Placements};
use crate::fleet::TIERS;
use crate::gang::{
    CHECK_EVERY, FIRST_HORIZON, LAST_HORIZON, MIN_LIFE, RACK_CANDIDATES, RackChoice, Reservation,
    Spread,
};
use crate::key::{GangKey, MachineKey, RackKey, TaskKey};
use crate::machine::{Keep, Machine};
use crate::refusal::Refusal;
use crate::size::Size;

/// The wait between two tries of one gang.
const TRY_EVERY: Span = Span::from_millis(50);
/// The wait after a reservation has lapsed, so that other gangs get theirs.
const LAPSE_WAIT: Span = Span::from_secs(2);
/// The wait after a plan found no time at which the gang would fit.
const NO_PLAN_WAIT: Span = Span::from_secs(10);
/// Machines looked at in a plan, for each task of the gang and besides.
const PLAN_FACTOR: usize = 4;
const PLAN_EXTRA: usize = 256;

/// Some of a gang's places on one machine.
#[derive(Debug, Clone, Copy)]
struct Part {
    machine: MachineKey,
    places: u64,
}

type Parts = SmallVec<[Part; 16]>;

impl Cell {
    pub(super) fn try_gang(&mut self, leader: TaskKey, now: Time, out: &mut Vec<Decision>) -> Try {
        let Some(key) = self.tasks[leader].gang else {
            return Try::Moved;
        };
        let need = self.charge_of(&self.tasks[leader]);
        let gang = &self.gangs[key];
        let (count, spread) = (gang.alive, gang.spec.spread);
        let total = need.times(u64::from(count));
        let reserved = self.reservation.as_ref().is_some_and(|r| r.gang == key);
        if reserved || now < gang.calm {
            return Try::Blocked(total);
        }
        if !self.within_lids(leader, &total, count) {
            return Try::Blocked(total);
        }
        let parts = if total.fits(self.fleet.free()) && self.leaves_headroom(leader, &total) {
            self.gang_parts(&need, u64::from(count), spread)
        } else {
            None
        };
        if let Some(parts) = parts {
            self.start_gang(key, &parts, now, out);
            return Try::Moved;
        }
        self.gangs[key].calm = now + TRY_EVERY;
        if self.reservation.is_none() {
            self.reserve(key, &need, now);
        }
        Try::Blocked(total)
    }

    fn start_gang(&mut self, key: GangKey, parts: &[Part], now: Time, out: &mut Vec<Decision>) {
        let members = self.gangs[key].tasks.clone();
        let machines = parts
            .iter()
            .flat_map(|p| std::iter::repeat_n(p.machine, p.places as usize));
        let pairs: Vec<(TaskKey, MachineKey)> = members.into_iter().zip(machines).collect();
        let places: Placements = pairs
            .into_iter()
            .map(|(task, machine)| self.begin_run(task, machine, now))
            .collect();
        self.counters.gangs += 1;
        out.push(Decision::StartGang { gang: key, places });
    }

    /// Returns places for the whole gang on open machines, on one rack if it can be.
    fn gang_parts(&mut self, need: &Size, count: u64, spread: Spread) -> Option<Parts> {
        if spread != Spread::Anywhere {
            let on_rack = self.rack_parts(need, count);
            if on_rack.is_some() || spread == Spread::OneRack {
                return on_rack;
            }
        }
        let mut parts = Parts::new();
        let mut left = count;
        for tier in 0..TIERS {
            self.fleet
                .visit(tier, need, usize::MAX, &mut self.rng, |machine, _, free| {
                    let places = need.times_in(free).min(left);
                    parts.push(Part { machine, places });
                    left -= places;
                    left > 0
                });
            if left == 0 {
                return Some(parts);
            }
        }
        None
    }

    fn rack_parts(&self, need: &Size, count: u64) -> Option<Parts> {
        let racks = self.fleet.racks().iter().enumerate();
        let mut choices: Vec<RackChoice> = racks
            .map(|(i, rack)| RackChoice {
                places: need.times_in(&rack.free),
                rack: RackKey(i as u16),
            })
            .filter(|c| c.places >= count)
            .collect();
        choices.sort_unstable();
        let tightest = choices.iter().take(RACK_CANDIDATES);
        tightest
            .map(|c| {
                self.parts_on(
                    &self.fleet.racks()[c.rack.index()].machines,
                    need,
                    count,
                    None,
                )
            })
            .find_map(|parts| parts)
    }

    /// Returns places for the whole gang on machines that are kept as given.
    fn parts_on(
        &self,
        machines: &[MachineKey],
        need: &Size,
        count: u64,
        keep: Option<Keep>,
    ) -> Option<Parts> {
        let mut left = count;
        let mut parts = Parts::new();
        for &machine in machines {
            let fit = self
                .fleet
                .get(machine)
                .filter(|m| m.keep == keep && m.spot.is_some());
            let places = fit.map_or(0, |m| need.times_in(&m.free())).min(left);
            if places > 0 {
                parts.push(Part { machine, places });
                left -= places;
            }
            if left == 0 {
                return Some(parts);
            }
        }
        None
    }

    /// Reserves machines for a gang, if a time is found at which it would fit.
    fn reserve(&mut self, key: GangKey, need: &Size, now: Time) {
        let gang = &self.gangs[key];
        let (count, spread) = (u64::from(gang.alive), gang.spec.spread);
        let limit = PLAN_FACTOR * gang.alive as usize + PLAN_EXTRA;
        let plan = self
            .candidate_sets(spread, need, count, limit)
            .iter()
            .filter_map(|set| self.plan_on(set, need, count, now))
            .min_by_key(|(start, _)| *start);
        let Some((start, machines)) = plan else {
            self.gangs[key].calm = now + NO_PLAN_WAIT;
            return;
        };
        for &machine in &machines {
            self.fleet.keep(machine, Some(Keep::Gang(key)));
        }
        let life = (start - now).max(MIN_LIFE).times(2);
        self.reservation = Some(Reservation {
            gang: key,
            machines,
            start,
            until: now + life,
            check: now + CHECK_EVERY,
            asked: false,
        });
    }

    /// Returns sets of machines of which each could hold the whole gang if it were empty.
    fn candidate_sets(
        &mut self,
        spread: Spread,
        need: &Size,
        count: u64,
        limit: usize,
    ) -> Vec<Vec<MachineKey>> {
        let racks = self.fleet.racks();
        if racks.is_empty() {
            return Vec::new();
        }
        let first = self.rng.random_range(0..racks.len());
        let racks = (0..racks.len()).map(|i| &racks[(first + i) % racks.len()]);
        let places = |machines: &[MachineKey]| -> u64 {
            let holds = machines.iter().filter_map(|&m| self.fleet.get(m));
            holds.map(|m| need.times_in(&m.spec.capacity)).sum()
        };
        if spread == Spread::OneRack {
            return racks
                .filter(|r| places(&r.machines) >= count)
                .take(RACK_CANDIDATES)
                .map(|r| r.machines.clone())
                .collect();
        }
        let machines = racks.flat_map(|r| r.machines.iter().copied());
        vec![machines.take(limit).collect()]
    }

    /// Returns the first horizon at which the machines are expected to have room for the gang, and
    /// those of them that are then needed.
    fn plan_on(
        &self,
        set: &[MachineKey],
        need: &Size,
        count: u64,
        now: Time,
    ) -> Option<(Time, Vec<MachineKey>)> {
        let mut horizon = FIRST_HORIZON;
        while horizon <= LAST_HORIZON {
            let start = now + horizon;
            if let Some(machines) = self.room_at(set, need, count, start) {
                return Some((start, machines));
            }
            horizon = horizon.times(2);
        }
        None
    }

    fn room_at(
        &self,
        set: &[MachineKey],
        need: &Size,
        count: u64,
        at: Time,
    ) -> Option<Vec<MachineKey>> {
        let mut left = count;
        let mut chosen = Vec::new();
        for &key in set {
            let open = self
                .fleet
                .get(key)
                .filter(|m| m.keep.is_none() && m.spot.is_some());
            let places = open.map_or(0, |m| need.times_in(&self.free_at(m, at)));
            if places > 0 {
                chosen.push(key);
                left = left.saturating_sub(places);
            }
            if left == 0 {
                return Some(chosen);
            }
        }
        None
    }

    /// Returns what is expected to be free on a machine at a time if nothing more starts there.
    fn free_at(&self, machine: &Machine, at: Time) -> Size {
        let runs = machine.running.iter().filter_map(|&t| self.tasks[t].run());
        let ending = runs.filter(|r| r.expected <= at);
        ending.fold(machine.free(), |free, run| free.plus(&run.charge))
    }

    /// Starts the gang of the reservation when its places are free; lets it lapse at its deadline.
    pub(super) fn serve_reservation(&mut self, now: Time, out: &mut Vec<Decision>) {
        let Some(reservation) = self.reservation.as_mut().filter(|r| r.check <= now) else {
            return;
        };
        reservation.check = now + CHECK_EVERY;
        let (key, until) = (reservation.gang, reservation.until);
        let machines = reservation.machines.clone();
        let clear = !reservation.asked && reservation.start <= now;
        reservation.asked |= clear;
        let leader = self.gangs[key].leader();
        let need = self.charge_of(&self.tasks[leader]);
        let count = self.gangs[key].alive;
        let total = need.times(u64::from(count));
        let parts = self.parts_on(&machines, &need, u64::from(count), Some(Keep::Gang(key)));
        if let Some(parts) = parts.filter(|_| self.within_lids(leader, &total, count)) {
            self.drop_reservation(key);
            self.start_gang(key, &parts, now, out);
        } else if until <= now {
            self.drop_reservation(key);
            self.counters.lapses += 1;
            let gang = &mut self.gangs[key];
            gang.lapses += 1;
            gang.calm = now + LAPSE_WAIT.times(u64::from(gang.lapses));
        } else if clear {
            let band = self.class_of(&self.tasks[leader]).spec.band;
            for machine in machines {
                self.clear(machine, band, now, out);
            }
        }
    }

    /// Opens the machines that a gang has reserved.
    pub(super) fn drop_reservation(&mut self, key: GangKey) {
        let Some(reservation) = self.reservation.take_if(|r| r.gang == key) else {
            return;
        };
        for machine in reservation.machines {
            self.fleet.keep(machine, None);
        }
    }

    /// A member ended badly or did not start: the rest is stopped, and what hasn't ended starts again
    /// together. Members that must not be stopped run on, and only this one leaves.
    pub(super) fn break_gang(&mut self, task: TaskKey, now: Time) -> Next {
        let Some(key) = self.tasks[task].gang else {
            return Next::Left;
        };
        if !self.gangs[key].spec.task.idempotent {
            return self.give_up(task, Refusal::NoRetry(Span::ZERO));
        }
        if !self.gangs[key].broken {
            self.gangs[key].broken = true;
            self.stop_members(key);
        }
        self.settle_gang(key, now);
        if self.tasks.contains_key(task) {
            Next::Requeued
        } else {
            Next::GaveUp(Refusal::NoRetry(Span::ZERO))
        }
    }

    fn stop_members(&mut self, key: GangKey) {
        let members = self.gangs[key].tasks.clone();
        for task in members {
            let run = self.tasks.get(task).and_then(|t| t.run().copied());
            if let Some(run) = run {
                let place: Placement = self.placement(task, &run);
                self.order_stop(place, &run);
            }
        }
    }

    /// Queues a broken gang again once none of its tasks runs.
    pub(super) fn settle_gang(&mut self, key: GangKey, now: Time) {
        let Some(gang) = self.gangs.get_mut(key) else {
            return;
        };
        if !gang.broken || gang.running > 0 {
            return;
        }
        gang.broken = false;
        gang.tasks.retain(|t| self.tasks.contains_key(*t));
        let leader = gang.leader();
        let others: Vec<TaskKey> = gang.tasks[1..].to_vec();
        self.tasks[leader].faults += 1;
        if let Next::GaveUp(refusal) = self.retry(leader, now) {
            for task in others {
                self.leave(task);
                self.counters.given_up += 1;
                self.orders.push(Decision::GiveUp { task, refusal });
            }
        }
    }
}
