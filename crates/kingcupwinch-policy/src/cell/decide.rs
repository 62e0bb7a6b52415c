//! The decision round.

use std::cmp::Ordering;

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use crate::class::Class;
use crate::decision::{Decision, Placement};
use crate::key::{MachineKey, TaskKey};
use crate::machine::{Machine, MachineState, PLACE_UNITS, PlaceUnit};
use crate::place::{PlacementRequest, Separation, place_backfill, place_batch, place_live, run_at};
use crate::plan::ClassKind;
use crate::queue::Rank;
use crate::refusal::Refusal;
use crate::resources::Resources;
use crate::task::Task;

/// Maximum number of lanes tried before a class counts as blocked.
const LANE_TRIES: usize = 4;
/// Maximum number of tasks tried per lane, so that a task that fits nowhere does not block the
/// tasks behind it.
const HEAD_TRIES: usize = 4;

/// How long a class stays blocked if no capacity is released. The bounded walk of the index may
/// have missed the only machine that fits.
const BLOCKED_RETRY: Span = Span::from_secs(1);
/// How long a class stays blocked while there is headroom, which may be all that blocks it.
const HEADROOM_RETRY: Span = Span::from_millis(200);
/// Delay before the next search for a probe task.
pub(super) const PROBE_RETRY: Span = Span::from_secs(1);

/// Result of trying to start one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TryOutcome {
    /// The task left the queue.
    Dequeued,
    /// No machine has room for the task, and so none for a larger one.
    NoCapacity,
    /// A limit forbids the task to start now; other tasks of its class may start.
    NotAllowed,
}

/// The first tasks of a lane.
type Heads = SmallVec<[(Rank, TaskKey); HEAD_TRIES]>;

impl Cell {
    /// Runs a decision round at time `now` and appends its decisions to `out`.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.counters.rounds += 1;
        out.append(&mut self.pending);
        self.end_backoffs(now);
        self.expire_deadlines(now, out);
        self.expire_claims(now);
        self.expire_credits(now);
        self.resend_requests(now, out);
        self.serve_claims(now, out);
        self.serve_reservations(now, out);
        self.serve_probes(now, out);
        self.refresh_headroom(now);
        self.wake_classes(now);
        self.serve_queues(now, out);
        self.unthrottle_tasks(now, out);
        out.append(&mut self.pending);
    }

    /// Gives up the waiting tasks whose deadline has passed.
    fn expire_deadlines(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let retry_after = self.class_of(&self.tasks[key]).expected_wait();
            self.give_up_waiting(key, Refusal::Deadline(retry_after), out);
        }
    }

    fn refresh_headroom(&mut self, now: Time) {
        let capacity = *self.fleet.capacity();
        for class in &mut self.classes {
            class.update_share(&capacity, now);
        }
        let urgent = self.classes.iter_mut().filter(|c| c.is_urgent());
        let headrooms = urgent.map(|c| {
            let level = f64::from(c.running) + c.queue.len() as f64;
            c.forecast.record_level(level, now);
            c.forecast.headroom(c.running)
        });
        self.headroom = self.credited + headrooms.sum::<u64>();
    }

    fn serve_queues(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(class) = self.pick_class() {
            self.serve_class(class, now, out);
        }
    }

    /// Returns the index of the class to serve next. Classes below their minimum share come first,
    /// then lower bands, then the class whose first task has waited longest.
    fn pick_class(&self) -> Option<usize> {
        let capacity = self.fleet.capacity();
        let releases = self.fleet.releases();
        let mut best: Option<(bool, u8, usize)> = None;
        for (index, class) in self.classes.iter().enumerate() {
            if class.queue.is_empty() || class.is_blocked(releases) {
                continue;
            }
            let order = (!class.is_below_min_share(capacity), class.spec.band, index);
            let sooner = best.is_none_or(|b| match (order.0, order.1).cmp(&(b.0, b.1)) {
                Ordering::Equal => class.queue.first_rank() < self.classes[b.2].queue.first_rank(),
                other => other == Ordering::Less,
            });
            if sooner {
                best = Some(order);
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Unblocks the classes whose retry time has come.
    fn wake_classes(&mut self, now: Time) {
        for index in 0..self.classes.len() {
            self.unpark(index);
        }
        for class in &mut self.classes {
            if class.wakeup.is_some_and(|w| w <= now) {
                class.wakeup = None;
                class.blocked = None;
            }
        }
    }

    /// Starts one task of a class, or marks the class as blocked.
    fn serve_class(&mut self, class: usize, now: Time, out: &mut Vec<Decision>) {
        let mut tried: Option<Resources> = None;
        for lane in self.lanes_by_share(class) {
            for (_, key) in self.heads_that_fit(class, lane) {
                let need = self.corrected_size(&self.tasks[key]);
                if tried.is_some_and(|t| t.fits(&need)) {
                    continue;
                }
                match self.try_task(key, &need, now, out) {
                    TryOutcome::Dequeued => return,
                    TryOutcome::NoCapacity => tried = Some(tried.map_or(need, |t| t.min(&need))),
                    TryOutcome::NotAllowed => {}
                }
            }
        }
        self.set_blocked(class, tried.unwrap_or(Resources::ZERO));
        let wait = if self.headroom > 0 {
            HEADROOM_RETRY
        } else {
            BLOCKED_RETRY
        };
        self.classes[class].wake_at(now + wait);
    }

    /// Returns the first tasks of a lane, and parks those that fit no machine of the cell.
    fn heads_that_fit(&mut self, class: usize, lane: u16) -> Heads {
        loop {
            let heads = self.classes[class].queue.heads(lane);
            let heads: Heads = heads.take(HEAD_TRIES).collect();
            let fits = |key: TaskKey| {
                let need = self.corrected_size(&self.tasks[key]);
                self.fleet.fits_when_empty(&need)
            };
            let (heads, parked): (Heads, Heads) = heads.into_iter().partition(|(_, k)| fits(*k));
            if parked.is_empty() {
                return heads;
            }
            for (rank, _) in parked {
                self.classes[class].queue.park(rank);
            }
        }
    }

    /// Returns parked tasks to their lanes if a machine of another capacity was added since.
    fn unpark(&mut self, class: usize) {
        let shapes = self.fleet.shapes();
        let class = &mut self.classes[class];
        if class.shapes != shapes {
            class.shapes = shapes;
            class.queue.unpark();
        }
    }

    /// Returns the lanes of a class with the lowest weighted share, in ascending order of the
    /// share.
    fn lanes_by_share(&self, class: usize) -> SmallVec<[u16; LANE_TRIES]> {
        let capacity = self.fleet.capacity();
        let queue = &self.classes[class].queue;
        if let [only] = queue.nonempty() {
            return SmallVec::from_slice(&[*only]);
        }
        let mut best: SmallVec<[(f64, u16); LANE_TRIES + 1]> = SmallVec::new();
        for &lane in queue.nonempty() {
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
    ) -> TryOutcome {
        self.counters.placement_attempts += 1;
        if self.tasks[key].gang.is_some() {
            return self.try_gang(key, need, now, out);
        }
        if let Some(refusal) = self.deadline_refusal(key, now) {
            self.give_up_waiting(key, refusal, out);
            return TryOutcome::Dequeued;
        }
        if !self.within_limits(key, need, 1) {
            return TryOutcome::NotAllowed;
        }
        let separation = self.separation_of(&self.tasks[key], now);
        if let Some(machine) = self.find_machine(key, need, now) {
            let place = self.begin_run(key, machine, now);
            out.push(Decision::Start(place));
            return TryOutcome::Dequeued;
        }
        if separation != Separation::None {
            self.postpone_suspect(key, now);
            return TryOutcome::Dequeued;
        }
        if self.reclaim(key, need, now, out) {
            return TryOutcome::Dequeued;
        }
        TryOutcome::NoCapacity
    }

    /// Returns the refusal if the task cannot end before its deadline even on the fastest machine.
    fn deadline_refusal(&self, key: TaskKey, now: Time) -> Option<Refusal> {
        let task = &self.tasks[key];
        let class = self.class_of(task);
        let deadline = task.spec.deadline?;
        let run = run_at(
            class.estimates.expected_run(task.spec.run),
            self.fleet.max_speed(),
        );
        let retry_after = class.expected_wait();
        (now + run > deadline).then_some(Refusal::Deadline(retry_after))
    }

    /// Returns whether `count` more tasks, which use `need` in total, stay within the limits of
    /// their class and customer.
    pub(super) fn within_limits(&self, key: TaskKey, need: &Resources, count: u32) -> bool {
        let task = &self.tasks[key];
        let capacity = self.fleet.capacity();
        let customer = &self.customers[task.spec.customer.index()];
        self.class_of(task).allows(need, capacity) && customer.allows(need, count, capacity)
    }

    /// Returns whether a task may use capacity that is kept free for others.
    fn is_exempt(&self, task: &Task) -> bool {
        let class = self.class_of(task);
        class.is_urgent() || class.is_starved()
    }

    /// Returns the maximum number of places of each unit that a task may use up: those beyond the
    /// headroom and, unless the task is expected to end before the gang starts, those beyond the
    /// floating reservation.
    pub(super) fn place_budget(&self, task: &Task, now: Time) -> [u64; PLACE_UNITS] {
        if self.is_exempt(task) {
            return [u64::MAX; PLACE_UNITS];
        }
        let end = now + self.class_of(task).estimates.high_run(task.spec.run);
        let demand = self.floating_demand(task.gang, end);
        let urgent = self.fleet.places(PlaceUnit::Urgent);
        let beyond_headroom = urgent.saturating_sub(self.headroom + demand.urgent);
        if demand.places == 0 {
            return [beyond_headroom, u64::MAX];
        }
        let beyond_floating = self
            .fleet
            .places(PlaceUnit::FloatingGang)
            .saturating_sub(demand.places);
        [beyond_headroom, beyond_floating]
    }

    /// Returns whether a task may use `need` more on a machine without exceeding its place budget.
    pub(super) fn within_budget(
        &self,
        key: TaskKey,
        machine: MachineKey,
        need: &Resources,
        now: Time,
    ) -> bool {
        let budget = self.place_budget(&self.tasks[key], now);
        let lost = PlaceUnit::ALL.map(|u| self.fleet.places_lost(machine, u, need));
        (0..PLACE_UNITS).all(|u| lost[u] <= budget[u])
    }

    fn find_machine(&mut self, key: TaskKey, need: &Resources, now: Time) -> Option<MachineKey> {
        let task = &self.tasks[key];
        let mut request = self.request_of(task, need, now);
        if request.separation == Separation::Alone {
            let alone = place_batch(&self.fleet, &request, &mut self.rng);
            if alone.is_some() {
                return alone;
            }
            request.separation = Separation::FromSuspects;
        }
        if self.class_of(task).spec.kind == ClassKind::Live {
            let found = place_live(&self.fleet, &request, &mut self.rng);
            return found.or_else(|| self.backfill(&request, now));
        }
        let found = place_batch(&self.fleet, &request, &mut self.rng);
        found.or_else(|| self.backfill(&request, now))
    }

    fn backfill(&mut self, request: &PlacementRequest, now: Time) -> Option<MachineKey> {
        if self.reservations.is_empty() {
            return None;
        }
        place_backfill(&self.fleet, request, now, &mut self.rng)
    }

    /// Starts one idempotent task on each quarantined machine whose probe is due.
    fn serve_probes(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(due, machine)) = self.probes.first() {
            if due > now {
                return;
            }
            self.probes.remove(&(due, machine));
            if !self.is_quarantined(machine) {
                continue;
            }
            match self.probe_task(machine) {
                Some(key) => {
                    let place = self.begin_run(key, machine, now);
                    self.fleet.update(machine, |m| m.probe = Some(key));
                    out.push(Decision::Start(place));
                }
                None => {
                    self.probes.insert((now + PROBE_RETRY, machine));
                }
            }
        }
    }

    fn is_quarantined(&self, machine: MachineKey) -> bool {
        self.machine_state(machine) == Some(MachineState::Quarantined)
    }

    /// Returns a waiting task that may be risked as a probe, from the least urgent class that has
    /// one.
    fn probe_task(&self, machine: MachineKey) -> Option<TaskKey> {
        let free = self.fleet.get(machine)?.free();
        let mut classes: SmallVec<[&Class; 16]> = self.classes.iter().collect();
        classes.sort_by_key(|c| std::cmp::Reverse(c.spec.band));
        for class in classes {
            for &lane in class.queue.nonempty() {
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
        let need = self.corrected_size(task);
        task.spec.idempotent
            && task.gang.is_none()
            && !task.spec.crashes.is_suspect()
            && need.fits(free)
            && self.within_limits(key, &need, 1)
    }

    /// Starts the claiming tasks whose machine now has room.
    fn serve_claims(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(machine) = self.ready_claims.pop() {
            let Some(key) = self.claimant(machine) else {
                continue;
            };
            let need = self.corrected_size(&self.tasks[key]);
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

    fn expire_claims(&mut self, now: Time) {
        while let Some(&(expires, key)) = self.claims.first() {
            if expires > now {
                return;
            }
            self.drop_claim(key);
        }
    }
}
