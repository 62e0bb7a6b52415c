//! The round of decisions.

use kingcupwinch_time::Time;
use smallvec::SmallVec;

use super::Cell;
use crate::decision::{Decision, Placement};
use crate::headroom::room_for;
use crate::key::{MachineKey, TaskKey};
use crate::place::{place_backfill, place_batch, place_live, run_at};
use crate::plan::Kind;
use crate::refusal::Refusal;
use crate::size::Size;

/// Lanes of a class that are tried before it counts as stuck.
const LANE_TRIES: usize = 4;
/// Tasks of a lane that are tried, so that one that fits nowhere blocks no other.
const HEAD_TRIES: usize = 4;

/// What came of trying one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Try {
    /// It left the queue.
    Moved,
    /// It fits nowhere now; its need.
    Blocked(Size),
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
        self.serve_claims(now, out);
        self.serve_reservation(now, out);
        self.serve_probes(now, out);
        self.refresh_headroom(now);
        self.serve_queues(now, out);
        self.restore_shares(out);
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
        let urgency = self.weights.urgency();
        let mut room = self.promised;
        for class in self.classes.iter_mut().filter(|c| c.is_urgent()) {
            class.forecast.advance(now);
            let expected = class.forecast.expected(urgency);
            room = room.plus(&room_for(&class.spec.typical, expected));
        }
        self.headroom = room;
    }

    fn serve_queues(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(class) = self.pick_class() {
            self.serve_class(class, now, out);
        }
    }

    /// Returns the class to serve next: first those under their least share, then by band, then by
    /// share.
    fn pick_class(&self) -> Option<usize> {
        let capacity = self.fleet.capacity();
        let releases = self.fleet.releases();
        let waiting = self.classes.iter().enumerate();
        let waiting = waiting.filter(|(_, c)| !c.queue.is_empty() && !c.is_stuck(releases));
        let order = |c: &crate::class::Class| {
            let under = c.is_under_least(capacity);
            (!under, c.spec.band, c.share(capacity))
        };
        let best = waiting.min_by(|a, b| {
            let (x, y) = (order(a.1), order(b.1));
            (x.0, x.1).cmp(&(y.0, y.1)).then(x.2.total_cmp(&y.2))
        });
        best.map(|(index, _)| index)
    }

    /// Starts one task of a class, or marks the class as stuck.
    fn serve_class(&mut self, class: usize, now: Time, out: &mut Vec<Decision>) {
        let mut least = Size::ZERO;
        let mut first = true;
        for lane in self.lanes_by_share(class) {
            let heads: SmallVec<[TaskKey; HEAD_TRIES]> = self.classes[class]
                .queue
                .heads(lane)
                .take(HEAD_TRIES)
                .map(|(_, key)| key)
                .collect();
            for key in heads {
                match self.try_task(key, now, out) {
                    Try::Moved => return,
                    Try::Blocked(need) => {
                        least = if first { need } else { least.min(&need) };
                        first = false;
                    }
                }
            }
        }
        self.set_stuck(class, least);
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

    fn try_task(&mut self, key: TaskKey, now: Time, out: &mut Vec<Decision>) -> Try {
        self.counters.tries += 1;
        if self.tasks[key].gang.is_some() {
            return self.try_gang(key, now, out);
        }
        if let Some(refusal) = self.too_late(key, now) {
            self.abandon(key, refusal, out);
            return Try::Moved;
        }
        let need = self.charge_of(&self.tasks[key]);
        if !self.within_lids(key, &need, 1) {
            return Try::Blocked(need);
        }
        if let Some(machine) = self.find_machine(key, &need, now) {
            let place = self.begin_run(key, machine, now);
            out.push(Decision::Start(place));
            return Try::Moved;
        }
        if self.take_back(key, &need, now, out) {
            return Try::Moved;
        }
        Try::Blocked(need)
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
    pub(super) fn within_lids(&self, key: TaskKey, need: &Size, count: u32) -> bool {
        let task = &self.tasks[key];
        let capacity = self.fleet.capacity();
        let customer = &self.customers[task.spec.customer.index()];
        self.class_of(task).allows(need, capacity) && customer.allows(need, count, capacity)
    }

    /// Whether a task may use capacity of this size without touching the urgent work's headroom.
    pub(super) fn leaves_headroom(&self, key: TaskKey, need: &Size) -> bool {
        let class = self.class_of(&self.tasks[key]);
        if class.is_urgent() || class.is_under_least(self.fleet.capacity()) {
            return true;
        }
        let rest = self.fleet.free().minus(need);
        self.headroom.fits(&rest)
    }

    fn find_machine(&mut self, key: TaskKey, need: &Size, now: Time) -> Option<MachineKey> {
        if !self.leaves_headroom(key, need) {
            return None;
        }
        let task = &self.tasks[key];
        let request = self.request_of(task);
        if self.class_of(task).spec.kind == Kind::Live {
            let found = place_live(&self.fleet, &request, &mut self.rng);
            return found.or_else(|| self.backfill(&request, now));
        }
        let found = place_batch(&self.fleet, &request, &mut self.rng);
        found.or_else(|| self.backfill(&request, now))
    }

    fn backfill(&mut self, request: &crate::place::Request, now: Time) -> Option<MachineKey> {
        let until = self.reservation.as_ref()?.start;
        place_backfill(&self.fleet, request, now, until, &mut self.rng)
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
        use crate::machine::Standing;
        self.standing(machine) == Some(Standing::Quarantined)
    }

    /// Returns a waiting task that may be lost to a probe, of the least urgent class first.
    fn probe_task(&self, machine: MachineKey) -> Option<TaskKey> {
        let free = self.fleet.get(machine)?.free();
        let mut classes: SmallVec<[&crate::class::Class; 16]> = self.classes.iter().collect();
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

    fn may_probe(&self, key: TaskKey, free: &Size) -> bool {
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
            let free = self
                .fleet
                .get(machine)
                .map_or(Size::ZERO, super::super::machine::Machine::free);
            if need.fits(&free) {
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

/// The wait for a task to probe with.
const PROBE_AGAIN: kingcupwinch_time::Span = kingcupwinch_time::Span::from_secs(1);
