//! Reservations: how a gang that doesn't fit now gathers its places.
//!
//! A gang that may stand anywhere is pledged places: other work leaves that many free besides the
//! headroom, wherever they are, unless it is expected to end before the gang's start. A gang that needs
//! one rack reserves machines of a rack in the same way. There is one floating at a time, reservations
//! are disjoint, each is planned to suffice on its own and has a deadline; so two gangs neither wait
//! for each other nor drive each other out.

use kingcupwinch_time::{Span, Time};
use rand::Rng;
use smallvec::SmallVec;

use super::Cell;
use super::gangs::Allocations;
use crate::decision::Decision;
use crate::gang::{RACK_CANDIDATES, Reservation, ReservedCapacity, Spread};
use crate::key::{GangKey, MachineKey, TaskKey};
use crate::machine::{Machine, PlaceUnit, ReservedFor};
use crate::resources::Resources;

/// How long a gang waits for room to come by itself.
const RESERVE_DELAY: Span = Span::from_secs(1);
/// The shortest life of a reservation.
const MIN_LIFETIME: Span = Span::from_secs(10);
/// The first horizon that a plan looks ahead; it doubles up to the last.
const FIRST_HORIZON: Span = Span::from_millis(500);
/// The last horizon that a plan looks ahead.
const LAST_HORIZON: Span = Span::from_secs(1024);
/// The time between two tries of a reservation.
const CHECK_EVERY: Span = Span::from_millis(20);
/// The wait after a reservation has lapsed, so that other gangs get theirs.
const EXPIRY_BACKOFF: Span = Span::from_secs(2);
/// The longest such wait.
const MAX_EXPIRY_BACKOFF: Span = Span::from_secs(60);
/// The wait after a plan found no time at which the gang would fit.
const NO_PLAN_WAIT: Span = Span::from_secs(10);
/// Gangs that hold reservations at a time.
const MAX_RESERVATIONS: usize = 4;
/// A second reservation is made only while at most one machine in this many is reserved.
const RESERVED_RATIO: usize = 8;
/// Machines looked at in a plan, for each task of the gang and besides.
const PLAN_FACTOR: usize = 4;
const PLAN_EXTRA: usize = 256;
/// Machines asked at most to clear room for a floating.
const PREEMPT_CANDIDATES: usize = 64;

/// What other work has to leave free for a gang.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FloatingDemand {
    /// Places for its tasks.
    pub(super) places: u64,
    /// Places for urgent tasks that it is going to take.
    pub(super) urgent: u64,
}

impl Cell {
    /// Reserves for a gang, if a time is found at which it would fit and others leave it room to.
    pub(super) fn reserve(&mut self, key: GangKey, need: &Resources, spread: Spread, now: Time) {
        let rack = spread == Spread::OneRack;
        let has_floating = self.reservations.iter().any(Reservation::is_floating);
        let due = self.tasks[self.gangs[key].leader()].submitted + RESERVE_DELAY;
        let full = self.reservations.len() >= MAX_RESERVATIONS || (has_floating && !rack);
        if full || now < due {
            return;
        }
        let count = u64::from(self.gangs[key].alive);
        let sets = self.candidate_sets(spread, need, count);
        let plans = sets
            .iter()
            .filter_map(|set| self.plan_on(set, need, count, now));
        let Some((start, machines)) = plans.min_by_key(|(start, _)| *start) else {
            let cooldown = now + NO_PLAN_WAIT;
            self.gangs[key].cooldown = cooldown;
            return;
        };
        let reserved = if rack {
            let others: usize = self.reservations.iter().map(|r| r.machines().len()).sum();
            if others > 0 && (others + machines.len()) * RESERVED_RATIO > self.fleet.len() {
                return;
            }
            for &machine in &machines {
                self.fleet
                    .set_reserved_for(machine, Some(ReservedFor::Gang(key, start)));
            }
            ReservedCapacity::Machines(machines)
        } else {
            self.fleet.set_unit(PlaceUnit::FloatingGang, *need);
            ReservedCapacity::Floating
        };
        let life = (start - now).times(2).max(MIN_LIFETIME);
        self.reservations.push(Reservation {
            gang: key,
            reserved,
            start,
            expires: now + life,
            next_check: now + CHECK_EVERY,
            preempting: false,
        });
    }

    /// Returns what work of other gangs than `gang` has to leave for a floating, if it isn't expected to
    /// end before the gang's start.
    pub(super) fn floating_demand(&self, gang: Option<GangKey>, end: Time) -> FloatingDemand {
        let floating = self.reservations.iter().find(|r| r.is_floating());
        let binding = floating.filter(|p| Some(p.gang) != gang && p.start < end);
        binding.map_or(FloatingDemand::default(), |p| {
            let gang = &self.gangs[p.gang];
            let places = u64::from(gang.alive);
            FloatingDemand {
                places,
                urgent: gang.urgent_cost.max(places),
            }
        })
    }

    /// Returns sets of machines of which each could hold the whole gang if it were empty.
    fn candidate_sets(
        &mut self,
        spread: Spread,
        need: &Resources,
        count: u64,
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
        let limit = PLAN_FACTOR * count as usize + PLAN_EXTRA;
        let machines = racks.flat_map(|r| r.machines.iter().copied());
        vec![machines.take(limit).collect()]
    }

    /// Returns the first horizon at which the machines are expected to have room for the gang, and
    /// those of them that are then needed.
    fn plan_on(
        &self,
        set: &[MachineKey],
        need: &Resources,
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
        need: &Resources,
        count: u64,
        at: Time,
    ) -> Option<Vec<MachineKey>> {
        let mut left = count;
        let mut chosen = Vec::new();
        for &key in set {
            let machine = self.fleet.get(key);
            let open = machine.filter(|m| m.reserved_for.is_none() && m.entry.is_some());
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
    pub(super) fn free_at(&self, machine: &Machine, at: Time) -> Resources {
        let runs = machine.running.iter().filter_map(|&t| self.tasks[t].run());
        let ending = runs.filter(|r| r.expected_end <= at);
        ending.fold(machine.free(), |free, run| free.plus(&run.charge))
    }

    /// Starts the gangs whose places are free by now, and lets reservations lapse at their deadlines.
    pub(super) fn serve_reservations(&mut self, now: Time, out: &mut Vec<Decision>) {
        let due: SmallVec<[GangKey; MAX_RESERVATIONS]> = self
            .reservations
            .iter()
            .filter(|r| r.next_check <= now)
            .map(|r| r.gang)
            .collect();
        for gang in due {
            self.serve_reservation(gang, now, out);
        }
    }

    fn serve_reservation(&mut self, key: GangKey, now: Time, out: &mut Vec<Decision>) {
        let Some(reservation) = self.reservations.iter_mut().find(|r| r.gang == key) else {
            return;
        };
        reservation.next_check = now + CHECK_EVERY;
        let preempt = !reservation.preempting && reservation.start <= now;
        reservation.preempting |= preempt;
        let expired = reservation.expires <= now;
        let leader = self.gangs[key].leader();
        if let Some(allocations) = self.gathered(key, leader, now) {
            self.drop_reservation(key);
            self.start_gang(key, &allocations, now, out);
        } else if expired {
            self.expire_reservation(key, now);
        } else if preempt {
            self.preempt_for(key, leader, now, out);
        }
    }

    /// Returns the gang's places if they are all free.
    fn gathered(&mut self, key: GangKey, leader: TaskKey, now: Time) -> Option<Allocations> {
        let reservation = self.reservations.iter().find(|r| r.gang == key)?;
        let need = self.charge_of(&self.tasks[leader]);
        if reservation.is_floating() {
            return self.gang_fit(key, leader, &need, now);
        }
        let count = self.gangs[key].alive;
        let reserved_for = Some(ReservedFor::Gang(key, reservation.start));
        let allocations = self.allocate_on(
            reservation.machines(),
            &need,
            u64::from(count),
            reserved_for,
        );
        let total = need.times(u64::from(count));
        allocations.filter(|_| self.within_limits(leader, &total, count))
    }

    fn expire_reservation(&mut self, key: GangKey, now: Time) {
        self.drop_reservation(key);
        self.counters.expirations += 1;
        let gang = &mut self.gangs[key];
        gang.expirations += 1;
        let wait = EXPIRY_BACKOFF
            .times(u64::from(gang.expirations))
            .min(MAX_EXPIRY_BACKOFF);
        gang.cooldown = now + wait;
        let class = gang.spec.task.class;
        self.wake_at(class, now + wait);
    }

    /// Asks movable work of lower bands to leave: on the reserved machines, or for a floating on some.
    fn preempt_for(&mut self, key: GangKey, leader: TaskKey, now: Time, out: &mut Vec<Decision>) {
        let band = self.class_of(&self.tasks[leader]).spec.band;
        let Some(reservation) = self.reservations.iter().find(|r| r.gang == key) else {
            return;
        };
        let machines: Vec<MachineKey> = if reservation.is_floating() {
            let movable = self.fleet.movable().iter();
            movable.take(PREEMPT_CANDIDATES).copied().collect()
        } else {
            reservation.machines().to_vec()
        };
        for machine in machines {
            self.preempt_on(machine, band, now, out);
        }
    }

    /// Ends a gang's reservation.
    pub(super) fn drop_reservation(&mut self, key: GangKey) {
        let Some(index) = self.reservations.iter().position(|r| r.gang == key) else {
            return;
        };
        let reservation = self.reservations.swap_remove(index);
        if reservation.is_floating() {
            self.fleet
                .set_unit(PlaceUnit::FloatingGang, Resources::ZERO);
        }
        for &machine in reservation.machines() {
            self.fleet.set_reserved_for(machine, None);
        }
    }
}
