//! The bookkeeping of waits and runs.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use crate::class::BlockedQueue;
use crate::decision::Placement;
use crate::key::{ClassKey, MachineKey, TaskKey};
use crate::machine::ReservedFor;
use crate::place::{PlacementRequest, run_at};
use crate::plan::ClassKind;
use crate::queue::lane_of;
use crate::resources::{Dimension, Resources};
use crate::task::{Phase, ReclaimState, Run, Task};

/// An urgent task that starts within this time of its submission found room at once.
const PROMPT_START: Span = Span::from_millis(1);

impl Cell {
    /// Returns what is counted for a task: its size as corrected, unless no machine holds that.
    pub(super) fn charge_of(&self, task: &Task) -> Resources {
        let corrected = self.class_of(task).estimates.charge(&task.spec.size);
        if self.fleet.unplaceable(&corrected).is_some() {
            return task.spec.size;
        }
        corrected
    }

    /// Returns what a placement of a task looks for.
    pub(super) fn request_of(&self, task: &Task, need: &Resources, now: Time) -> PlacementRequest {
        PlacementRequest {
            class: task.spec.class,
            need: *need,
            run: self.class_of(task).estimates.high_run(task.spec.run),
            waiting_fraction: self.weights.waiting_fraction(),
            avoid: self.avoided(task),
            budget: self.place_budget(task, now),
        }
    }

    /// Returns the machines on which a task has failed, as long as there are others.
    fn avoided(&self, task: &Task) -> SmallVec<[MachineKey; 4]> {
        if task.failed_on.len() < self.fleet.len() {
            task.failed_on.clone()
        } else {
            SmallVec::new()
        }
    }

    /// Whether running work of this kind may give capacity back.
    pub(super) fn is_movable(&self, task: &Task) -> bool {
        let class = self.class_of(task);
        let preemption = class.spec.preemption;
        let stops = preemption.stop && task.spec.idempotent;
        class.spec.kind != ClassKind::Live
            && task.gang.is_none()
            && (preemption.throttle > 0 || preemption.checkpoint || stops)
    }

    /// Queues a task; a gang is queued by its leader.
    pub(super) fn enqueue(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let need = self.charge_of(task);
        let (class, customer) = (task.spec.class, task.spec.customer);
        let class = &mut self.classes[class.index()];
        let urgent = class.is_urgent();
        let order = match task.spec.deadline {
            Some(deadline) if urgent => deadline,
            _ => task.submitted,
        };
        let rank = class.queue.next_rank(order, lane_of(customer, urgent));
        class.queue.insert(rank, key);
        class.unblock(&need);
        self.tasks[key].phase = Phase::Queued(rank);
        self.watch_deadline(key);
    }

    /// Gives the task up at its deadline if it still waits.
    pub(super) fn watch_deadline(&mut self, key: TaskKey) {
        if let Some(deadline) = self.tasks[key].spec.deadline {
            self.deadlines.insert((deadline, key));
        }
    }

    /// Takes a waiting task out of every list of waits.
    pub(super) fn stop_waiting(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let class = task.spec.class.index();
        match task.phase {
            Phase::Queued(rank) => {
                self.classes[class].queue.remove(rank);
            }
            Phase::Delayed(until) => {
                self.backoffs.remove(&(until, key));
            }
            Phase::Claiming(claim) => {
                self.claims.remove(&(claim.expires, key));
                self.fleet.set_reserved_for(claim.machine, None);
                self.record_release(claim.machine);
            }
            Phase::Detached | Phase::Running(_) => {}
        }
        if let Some(deadline) = self.tasks[key].spec.deadline {
            self.deadlines.remove(&(deadline, key));
        }
        self.tasks[key].phase = Phase::Detached;
    }

    /// Counts a waiting task as running on a machine.
    pub(super) fn begin_run(&mut self, key: TaskKey, machine: MachineKey, now: Time) -> Placement {
        self.stop_waiting(key);
        let task = &self.tasks[key];
        let charge = self.charge_of(task);
        let speed = self
            .fleet
            .get(machine)
            .map_or(1.0, |m| m.speed(task.spec.class));
        let expected = self.class_of(task).estimates.expected_run(task.spec.run);
        let run = Run {
            machine,
            started: now,
            expected_end: now + run_at(expected, speed),
            charge,
            position: self.fleet.add_task(machine, key),
            reclaim: ReclaimState::None,
            resend_at: now,
            movable: self.is_movable(task),
        };
        if run.movable {
            self.fleet.adjust_movable(machine, true);
        }
        self.count_run(key, &charge, now);
        self.fleet.charge(machine, &charge);
        if let Some(gang) = self.tasks[key].gang {
            self.gangs[gang].running += 1;
        }
        let task = &mut self.tasks[key];
        task.attempts += 1;
        task.phase = Phase::Running(run);
        Placement {
            task: key,
            machine,
            attempt: task.attempts,
        }
    }

    fn count_run(&mut self, key: TaskKey, charge: &Resources, now: Time) {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        class.used = class.used.plus(charge);
        class.running += 1;
        let waiting = !class.queue.is_empty();
        class.drain_rate.record(now, waiting);
        if class.is_urgent() {
            let missed = now.since(task.submitted) > PROMPT_START;
            class
                .forecast
                .record_start(missed, self.weights.waiting_fraction());
        }
        if task.attempts == 0 {
            class.counters.started += 1;
            class.counters.record_wait(now - task.submitted);
        }
        let customer = &mut self.customers[task.spec.customer.index()];
        customer.used = customer.used.plus(charge);
        customer.running += 1;
        customer.waiting = customer.waiting.saturating_sub(1);
        self.counters.starts += 1;
    }

    /// Counts a running task no longer; it is left in no list.
    pub(super) fn end_run(&mut self, key: TaskKey, run: &Run) {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        class.used = class.used.minus(&run.charge);
        class.running -= 1;
        let customer = &mut self.customers[task.spec.customer.index()];
        customer.used = customer.used.minus(&run.charge);
        customer.running -= 1;
        customer.waiting += 1;
        if run.movable {
            self.fleet.adjust_movable(run.machine, false);
        }
        let moved = self.fleet.remove_task(run.machine, run.position);
        if let Some(Phase::Running(other)) = moved.map(|m| &mut self.tasks[m].phase) {
            other.position = run.position;
        }
        self.resends.remove(&(run.resend_at, key));
        if run.reclaim == ReclaimState::Throttled {
            self.fleet.update(run.machine, |m| m.throttled -= 1);
        }
        self.fleet.refund(run.machine, &run.charge);
        self.record_release(run.machine);
        self.fleet.prune(run.machine);
        if let Some(gang) = self.tasks[key].gang {
            self.gangs[gang].running -= 1;
        }
        self.tasks[key].phase = Phase::Detached;
    }

    /// Changes what is counted for a running task in one dimension.
    pub(super) fn recharge(&mut self, key: TaskKey, dimension: Dimension, amount: u64) {
        let Some(run) = self.tasks[key].run().copied() else {
            return;
        };
        let charge = run.charge.with(dimension, amount);
        let (class, customer) = (self.tasks[key].spec.class, self.tasks[key].spec.customer);
        let class = &mut self.classes[class.index()];
        class.used = class.used.plus(&charge).minus(&run.charge);
        let customer = &mut self.customers[customer.index()];
        customer.used = customer.used.plus(&charge).minus(&run.charge);
        self.fleet.refund(run.machine, &run.charge);
        self.fleet.charge(run.machine, &charge);
        if let Phase::Running(run) = &mut self.tasks[key].phase {
            run.charge = charge;
        }
    }

    /// Removes a task that is in no list from the arena, and its gang with the last task.
    pub(super) fn remove_task(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let customer = &mut self.customers[task.spec.customer.index()];
        customer.waiting = customer.waiting.saturating_sub(1);
        let Some(gang) = task.gang else {
            return;
        };
        self.gangs[gang].alive -= 1;
        if self.gangs[gang].alive == 0 {
            self.drop_reservation(gang);
            self.gangs.remove(gang);
        }
    }

    /// Puts a claimant back into its queue and opens the machine.
    pub(super) fn drop_claim(&mut self, key: TaskKey) {
        let Some(Phase::Claiming(claim)) = self.tasks.get(key).map(|t| t.phase) else {
            return;
        };
        self.claims.remove(&(claim.expires, key));
        self.fleet.set_reserved_for(claim.machine, None);
        self.record_release(claim.machine);
        self.enqueue(key);
    }

    /// Returns who a machine is kept for, if it is one task.
    pub(super) fn claimant(&self, machine: MachineKey) -> Option<TaskKey> {
        match self.fleet.get(machine)?.reserved_for {
            Some(ReservedFor::Task(task)) => Some(task),
            _ => None,
        }
    }

    /// Has a class's queue tried again by `time` even if nothing is released.
    pub(super) fn wake_at(&mut self, class: ClassKey, time: Time) {
        self.classes[class.index()].wake_at(time);
    }

    /// Remembers that nothing of a class's queue could be placed.
    pub(super) fn set_blocked(&mut self, class: usize, min_need: Resources) {
        let releases = self.fleet.releases();
        self.classes[class].blocked = Some(BlockedQueue { releases, min_need });
    }
}
