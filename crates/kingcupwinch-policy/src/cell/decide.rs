//! The round of decisions.

use std::cmp::Ordering;

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use crate::class::Class;
use crate::decision::{Decision, Placement};
use crate::key::{MachineKey, TaskKey};
use crate::machine::{Machine, MachineState, WATCHES, Watch};
use crate::place::{Request, place_backfill, place_batch, place_live, run_at};
use crate::plan::ClassKind;
use crate::refusal::Refusal;
use crate::resources::Resources;
use crate::task::Task;

/// Lanes of a class that are tried before it counts as stuck.
const LANE_TRIES: usize = 4;
/// Tasks of a lane that are tried, so that one that fits nowhere blocks no other.
const HEAD_TRIES: usize = 4;

/// How long a class stays stuck though nothing was released: a bounded walk of the index may have
/// missed the one machine that fits.
const STUCK_WAKE: Span = Span::from_secs(1);
/// How long a class that may wait for headroom alone stays stuck.
const HEADROOM_WAKE: Span = Span::from_millis(200);
/// The wait for a task to probe with.
const PROBE_AGAIN: Span = Span::from_secs(1);

/// What came of trying one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Try {
    /// It left the queue.
    Moved,
    /// It fits nowhere now, and so does nothing as large.
    Blocked,
    /// It may not start now; others of its class may.
    Barred,
}

impl Cell {
    /// Appends what to do now to `out`.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.counters.rounds += 1;
        out.append(&mut self.orders);
        self.end_backoffs(now);
        self.end_waits(now, out);
        self.end_claims(now);
        self.end_credits(now);
        self.repeat_asks(now, out);
        self.serve_claims(now, out);
        self.serve_reservations(now, out);
        self.serve_probes(now, out);
        self.refresh_headroom(now);
        self.wake_classes(now);
        self.serve_queues(now, out);
        self.restore_shares(now, out);
        out.append(&mut self.orders);
    }

    /// Gives up the waiting tasks whose deadline has come.
    fn end_waits(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let retry_after = self.class_of(&self.tasks[key]).likely_wait();
            self.abandon(key, Refusal::Deadline(retry_after), out);
        }
    }

    fn refresh_headroom(&mut self, now: Time) {
        let capacity = *self.fleet.capacity();
        for class in &mut self.classes {
            class.note_share(&capacity, now);
        }
        let urgent = self.classes.iter_mut().filter(|c| c.is_urgent());
        let rooms = urgent.map(|c| {
            let level = f64::from(c.running) + c.queue.len() as f64;
            c.forecast.note_level(level, now);
            c.forecast.headroom(c.running)
        });
        self.headroom = self.granted + rooms.sum::<u64>();
    }

    fn serve_queues(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(class) = self.pick_class() {
            self.serve_class(class, now, out);
        }
    }

    /// Returns the class to serve next: first those under their least share, then by band, then the one
    /// whose first task has waited longest.
    fn pick_class(&self) -> Option<usize> {
        let capacity = self.fleet.capacity();
        let releases = self.fleet.releases();
        let mut best: Option<(bool, u8, usize)> = None;
        for (index, class) in self.classes.iter().enumerate() {
            if class.queue.is_empty() || class.is_stuck(releases) {
                continue;
            }
            let order = (!class.is_under_least(capacity), class.spec.band, index);
            let sooner = best.is_none_or(|b| match (order.0, order.1).cmp(&(b.0, b.1)) {
                Ordering::Equal => class.queue.oldest() < self.classes[b.2].queue.oldest(),
                other => other == Ordering::Less,
            });
            if sooner {
                best = Some(order);
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Lets stuck classes be tried again whose time for it has come.
    fn wake_classes(&mut self, now: Time) {
        for class in &mut self.classes {
            if class.wake.is_some_and(|w| w <= now) {
                class.wake = None;
                class.stuck = None;
            }
        }
    }

    /// Starts one task of a class, or marks the class as stuck.
    fn serve_class(&mut self, class: usize, now: Time, out: &mut Vec<Decision>) {
        let mut tried: Option<Resources> = None;
        for lane in self.lanes_by_share(class) {
            let heads: SmallVec<[TaskKey; HEAD_TRIES]> = self.classes[class]
                .queue
                .heads(lane)
                .take(HEAD_TRIES)
                .map(|(_, key)| key)
                .collect();
            for key in heads {
                let need = self.charge_of(&self.tasks[key]);
                if tried.is_some_and(|t| t.fits(&need)) {
                    continue;
                }
                match self.try_task(key, &need, now, out) {
                    Try::Moved => return,
                    Try::Blocked => tried = Some(tried.map_or(need, |t| t.min(&need))),
                    Try::Barred => {}
                }
            }
        }
        self.set_stuck(class, tried.unwrap_or(Resources::ZERO));
        let wait = if self.headroom > 0 {
            HEADROOM_WAKE
        } else {
            STUCK_WAKE
        };
        self.classes[class].wake_at(now + wait);
    }

    /// Returns the lanes of a class with the least weighted share, in that order.
    fn lanes_by_share(&self, class: usize) -> SmallVec<[u16; LANE_TRIES]> {
        let capacity = self.fleet.capacity();
        let queue = &self.classes[class].queue;
        if let [only] = queue.busy() {
            return SmallVec::from_slice(&[*only]);
        }
        let mut best: SmallVec<[(f64, u16); LANE_TRIES + 1]> = SmallVec::new();
        for &lane in queue.busy() {
            let share = self.customers[usize::from(lane)].weighted_share(capacity);
            let at = best.partition_point(|b| b.0 <= share);
            if at < LANE_TRIES {
                best.insert(at, (share, lane));
                best.truncate(LANE_TRIES);
            }
        }
        best.into_iter().map(|(_, lane)| lane).collect()
    }

    fn try_task(
        &mut self,
        key: TaskKey,
        need: &Resources,
        now: Time,
        out: &mut Vec<Decision>,
    ) -> Try {
        self.counters.placement_attempts += 1;
        if self.tasks[key].gang.is_some() {
            return self.try_gang(key, need, now, out);
        }
        if let Some(refusal) = self.too_late(key, now) {
            self.abandon(key, refusal, out);
            return Try::Moved;
        }
        if !self.within_lids(key, need, 1) {
            return Try::Barred;
        }
        if let Some(machine) = self.find_machine(key, need, now) {
            let place = self.begin_run(key, machine, now);
            out.push(Decision::Start(place));
            return Try::Moved;
        }
        if self.take_back(key, need, now, out) {
            return Try::Moved;
        }
        Try::Blocked
    }

    /// Returns the refusal of a task that can't end before its deadline on any machine.
    fn too_late(&self, key: TaskKey, now: Time) -> Option<Refusal> {
        let task = &self.tasks[key];
        let class = self.class_of(task);
        let deadline = task.spec.deadline?;
        let run = run_at(
            class.estimates.likely_run(task.spec.run),
            self.fleet.top_speed(),
        );
        let retry_after = class.likely_wait();
        (now + run > deadline).then_some(Refusal::Deadline(retry_after))
    }

    /// Whether `count` tasks of `need` in sum stay within the lids of class and customer.
    pub(super) fn within_lids(&self, key: TaskKey, need: &Resources, count: u32) -> bool {
        let task = &self.tasks[key];
        let capacity = self.fleet.capacity();
        let customer = &self.customers[task.spec.customer.index()];
        self.class_of(task).allows(need, capacity) && customer.allows(need, count, capacity)
    }

    /// Whether a task may take what is kept free for others.
    fn is_exempt(&self, task: &Task) -> bool {
        let class = self.class_of(task);
        class.is_urgent() || class.is_starved()
    }

    /// Returns the most watched places that a task may take: what is there beyond the headroom, and
    /// beyond a pledge unless it is expected to end before the gang's start.
    pub(super) fn budget_of(&self, task: &Task, now: Time) -> [u64; WATCHES] {
        if self.is_exempt(task) {
            return [u64::MAX; WATCHES];
        }
        let end = now + self.class_of(task).estimates.high_run(task.spec.run);
        let pledged = self.pledged_against(task.gang, end);
        let urgent = self.fleet.places(Watch::Urgent);
        let beyond_headroom = urgent.saturating_sub(self.headroom + pledged.urgent);
        if pledged.places == 0 {
            return [beyond_headroom, u64::MAX];
        }
        let beyond_pledge = self
            .fleet
            .places(Watch::Pledge)
            .saturating_sub(pledged.places);
        [beyond_headroom, beyond_pledge]
    }

    /// Whether a task may take this much more on a machine.
    pub(super) fn within_budget(
        &self,
        key: TaskKey,
        machine: MachineKey,
        need: &Resources,
        now: Time,
    ) -> bool {
        let budget = self.budget_of(&self.tasks[key], now);
        let lost = Watch::ALL.map(|w| self.fleet.places_lost(machine, w, need));
        (0..WATCHES).all(|w| lost[w] <= budget[w])
    }

    fn find_machine(&mut self, key: TaskKey, need: &Resources, now: Time) -> Option<MachineKey> {
        let task = &self.tasks[key];
        let request = self.request_of(task, need, now);
        if self.class_of(task).spec.kind == ClassKind::Live {
            let found = place_live(&self.fleet, &request, &mut self.rng);
            return found.or_else(|| self.backfill(&request, now));
        }
        let found = place_batch(&self.fleet, &request, &mut self.rng);
        found.or_else(|| self.backfill(&request, now))
    }

    fn backfill(&mut self, request: &Request, now: Time) -> Option<MachineKey> {
        if self.reservations.is_empty() {
            return None;
        }
        place_backfill(&self.fleet, request, now, &mut self.rng)
    }

    /// Starts single idempotent tasks on machines in quarantine whose probe is due.
    fn serve_probes(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(due, machine)) = self.probes.first() {
            if due > now {
                return;
            }
            self.probes.remove(&(due, machine));
            if !self.is_confined(machine) {
                continue;
            }
            match self.probe_task(machine) {
                Some(key) => {
                    let place = self.begin_run(key, machine, now);
                    self.fleet.update(machine, |m| m.probe = Some(key));
                    out.push(Decision::Start(place));
                }
                None => {
                    self.probes.insert((now + PROBE_AGAIN, machine));
                }
            }
        }
    }

    fn is_confined(&self, machine: MachineKey) -> bool {
        self.machine_state(machine) == Some(MachineState::Quarantined)
    }

    /// Returns a waiting task that may be lost to a probe, of the least urgent class first.
    fn probe_task(&self, machine: MachineKey) -> Option<TaskKey> {
        let free = self.fleet.get(machine)?.free();
        let mut classes: SmallVec<[&Class; 16]> = self.classes.iter().collect();
        classes.sort_by_key(|c| std::cmp::Reverse(c.spec.band));
        for class in classes {
            for &lane in class.queue.busy() {
                let head = class.queue.heads(lane).next().map(|(_, key)| key);
                let fit = head.filter(|&key| self.may_probe(key, &free));
                if fit.is_some() {
                    return fit;
                }
            }
        }
        None
    }

    fn may_probe(&self, key: TaskKey, free: &Resources) -> bool {
        let task = &self.tasks[key];
        let need = self.charge_of(task);
        task.spec.idempotent
            && task.gang.is_none()
            && need.fits(free)
            && self.within_lids(key, &need, 1)
    }

    /// Starts the claimants whose machine has room by now.
    fn serve_claims(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(machine) = self.ready.pop() {
            let Some(key) = self.claimant(machine) else {
                continue;
            };
            let need = self.charge_of(&self.tasks[key]);
            let idle = self
                .fleet
                .get(machine)
                .map_or(Resources::ZERO, Machine::idle);
            if need.fits(&idle) {
                let place: Placement = self.begin_run(key, machine, now);
                out.push(Decision::Start(place));
            }
        }
    }

    fn end_claims(&mut self, now: Time) {
        while let Some(&(until, key)) = self.claims.first() {
            if until > now {
                return;
            }
            self.drop_claim(key);
        }
    }
}
