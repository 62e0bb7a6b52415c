//! Accounting of waiting and running tasks.

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

/// Maximum time from submission to start of an urgent task that counts as finding free capacity on
/// arrival.
const PROMPT_START: Span = Span::from_millis(1);

impl Cell {
    /// Returns the resources to allocate for a task: its corrected size, or the declared size if no
    /// machine can hold the corrected one.
    pub(super) fn corrected_size(&self, task: &Task) -> Resources {
        let corrected = self.class_of(task).estimates.correct(&task.spec.size);
        if self.fleet.unplaceable(&corrected).is_some() {
            return task.spec.size;
        }
        corrected
    }

    /// Returns the placement request of a task.
    pub(super) fn request_of(&self, task: &Task, need: &Resources, now: Time) -> PlacementRequest {
        PlacementRequest {
            class: task.spec.class,
            need: *need,
            run: self.class_of(task).estimates.high_run(task.spec.run),
            waiting_fraction: self.weights.waiting_fraction(),
            avoid: self.avoided(task),
            budget: self.place_budget(task, now),
            separation: self.separation_of(task, now),
        }
    }

    /// Returns the machines on which a task has failed, or none if that would exclude every
    /// machine.
    fn avoided(&self, task: &Task) -> SmallVec<[MachineKey; 4]> {
        if task.failed_on.len() < self.fleet.len() {
            task.failed_on.clone()
        } else {
            SmallVec::new()
        }
    }

    /// Returns whether a task may be asked to give capacity back while it runs.
    pub(super) fn is_movable(&self, task: &Task) -> bool {
        let class = self.class_of(task);
        let preemption = class.spec.preemption;
        let stops = preemption.stop && task.spec.idempotent;
        class.spec.kind != ClassKind::Live
            && task.gang.is_none()
            && (preemption.throttle > 0 || preemption.checkpoint || stops)
    }

    /// Queues a task; a gang is queued through its leader.
    pub(super) fn enqueue(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let need = self.corrected_size(task);
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

    /// Schedules giving up the task at its deadline.
    pub(super) fn watch_deadline(&mut self, key: TaskKey) {
        if let Some(deadline) = self.tasks[key].spec.deadline {
            self.deadlines.insert((deadline, key));
        }
    }

    /// Removes a waiting task from its queue or timer.
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

    /// Allocates a machine for a waiting task and marks it as running.
    pub(super) fn begin_run(&mut self, key: TaskKey, machine: MachineKey, now: Time) -> Placement {
        self.stop_waiting(key);
        let task = &self.tasks[key];
        let allocated = self.corrected_size(task);
        let speed = self
            .fleet
            .get(machine)
            .map_or(1.0, |m| m.speed(task.spec.class));
        let expected = self.class_of(task).estimates.expected_run(task.spec.run);
        let run = Run {
            machine,
            started: now,
            expected_end: now + run_at(expected, speed),
            allocated,
            position: self.fleet.add_task(machine, key),
            reclaim: ReclaimState::None,
            resend_at: now,
            movable: self.is_movable(task),
            evidence: None,
        };
        if run.movable {
            self.fleet.adjust_movable(machine, true);
        }
        self.count_suspect(key, machine, true);
        self.count_run(key, &allocated, now);
        self.fleet.allocate(machine, &allocated);
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

    fn count_run(&mut self, key: TaskKey, allocated: &Resources, now: Time) {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        class.used = class.used.plus(allocated);
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
        customer.used = customer.used.plus(allocated);
        customer.running += 1;
        customer.waiting = customer.waiting.saturating_sub(1);
        self.counters.starts += 1;
    }

    /// Releases the allocation of a run. The task is then in no queue.
    pub(super) fn end_run(&mut self, key: TaskKey, run: &Run) {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        class.used = class.used.minus(&run.allocated);
        class.running -= 1;
        let customer = &mut self.customers[task.spec.customer.index()];
        customer.used = customer.used.minus(&run.allocated);
        customer.running -= 1;
        customer.waiting += 1;
        if run.movable {
            self.fleet.adjust_movable(run.machine, false);
        }
        let moved = self.fleet.remove_task(run.machine, run.position);
        if let Some(Phase::Running(other)) = moved.map(|m| &mut self.tasks[m].phase) {
            other.position = run.position;
        }
        self.count_suspect(key, run.machine, false);
        self.resends.remove(&(run.resend_at, key));
        if run.reclaim == ReclaimState::Throttled {
            self.fleet.update(run.machine, |m| m.throttled -= 1);
        }
        self.fleet.release(run.machine, &run.allocated);
        self.record_release(run.machine);
        self.fleet.prune(run.machine);
        if let Some(gang) = self.tasks[key].gang {
            self.gangs[gang].running -= 1;
        }
        self.tasks[key].phase = Phase::Detached;
    }

    /// Changes the allocation of a running task in one dimension.
    pub(super) fn resize(&mut self, key: TaskKey, dimension: Dimension, amount: u64) {
        let Some(run) = self.tasks[key].run().copied() else {
            return;
        };
        let allocated = run.allocated.with(dimension, amount);
        let (class, customer) = (self.tasks[key].spec.class, self.tasks[key].spec.customer);
        let class = &mut self.classes[class.index()];
        class.used = class.used.plus(&allocated).minus(&run.allocated);
        let customer = &mut self.customers[customer.index()];
        customer.used = customer.used.plus(&allocated).minus(&run.allocated);
        self.fleet.release(run.machine, &run.allocated);
        self.fleet.allocate(run.machine, &allocated);
        if let Phase::Running(run) = &mut self.tasks[key].phase {
            run.allocated = allocated;
        }
    }

    /// Removes a task that is in no queue, and its gang with the last member.
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

    /// Ends a claim: requeues its task and opens the machine.
    pub(super) fn drop_claim(&mut self, key: TaskKey) {
        let Some(Phase::Claiming(claim)) = self.tasks.get(key).map(|t| t.phase) else {
            return;
        };
        self.claims.remove(&(claim.expires, key));
        self.fleet.set_reserved_for(claim.machine, None);
        self.record_release(claim.machine);
        self.enqueue(key);
    }

    /// Returns the task that has a claim on a machine.
    pub(super) fn claimant(&self, machine: MachineKey) -> Option<TaskKey> {
        match self.fleet.get(machine)?.reserved_for {
            Some(ReservedFor::Task(task)) => Some(task),
            _ => None,
        }
    }

    /// Schedules another try of the queue of a class at `time` at the latest, even if no capacity
    /// is released.
    pub(super) fn wake_at(&mut self, class: ClassKey, time: Time) {
        self.classes[class.index()].wake_at(time);
    }

    /// Marks the queue of a class as blocked. `min_need` is the smallest request that was tried.
    pub(super) fn set_blocked(&mut self, class: usize, min_need: Resources) {
        let releases = self.fleet.releases();
        self.classes[class].blocked = Some(BlockedQueue { releases, min_need });
    }
}
