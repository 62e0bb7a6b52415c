//! Retries, attribution of failures, and quarantine.

use kingcupwinch_time::Time;

use super::Cell;
use super::decide::PROBE_RETRY;
use crate::decision::{Decision, Disposition};
use crate::health::ProbeVerdict;
use crate::key::{MachineKey, TaskKey};
use crate::machine::MachineState;
use crate::plan::ClassKind;
use crate::refusal::Refusal;
use crate::retry::{backoff, delay_up_to};
use crate::task::{Phase, Run};

/// Number of distinct healthy machines on which a task must fail before the failures are attributed
/// to the task.
const FAULTY_TASK_MACHINES: usize = 3;
/// At most one machine in this many is quarantined.
const QUARANTINE_RATIO: usize = 5;

impl Cell {
    /// Requeues a task that does not run after a backoff, within the retry budget of its class.
    /// Without budget, a live task is given up and another task waits until there is budget.
    pub(super) fn retry(&mut self, key: TaskKey, now: Time) -> Disposition {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        let retry = class.spec.retry;
        let live = class.spec.kind == ClassKind::Live;
        let used_attempts = if live { task.attempts } else { task.failures };
        let paid = used_attempts < retry.max_attempts && class.budget.spend();
        if !paid && (live || used_attempts >= retry.max_attempts) {
            let retry_after = retry.max_delay;
            return self.give_up(key, Refusal::RetryBudgetSpent(retry_after));
        }
        let delay = if paid {
            backoff(&retry, task.attempts, &mut self.rng)
        } else {
            delay_up_to(retry.max_delay, &mut self.rng)
        };
        self.tasks[key].owes_retry = !paid;
        self.delay(key, now + delay);
        Disposition::Requeued
    }

    pub(super) fn delay(&mut self, key: TaskKey, until: Time) {
        self.tasks[key].phase = Phase::Delayed(until);
        self.backoffs.insert((until, key));
        self.watch_deadline(key);
    }

    /// Queues the tasks whose backoff has ended.
    pub(super) fn end_backoffs(&mut self, now: Time) {
        while let Some(&(until, key)) = self.backoffs.first() {
            if until > now {
                return;
            }
            self.backoffs.remove(&(until, key));
            self.end_backoff(key, now);
        }
    }

    fn end_backoff(&mut self, key: TaskKey, now: Time) {
        let task = &self.tasks[key];
        let class = &mut self.classes[task.spec.class.index()];
        if task.owes_retry && !class.budget.spend() {
            let wait = delay_up_to(class.spec.retry.max_delay, &mut self.rng);
            self.delay(key, now + wait);
            return;
        }
        class.counters.retried += 1;
        self.tasks[key].owes_retry = false;
        self.enqueue(key);
    }

    /// Gives up a task that is in no queue; the caller reports the refusal as the result of the
    /// event.
    pub(super) fn give_up(&mut self, key: TaskKey, refusal: Refusal) -> Disposition {
        let class = self.tasks[key].spec.class.index();
        self.classes[class].counters.failed += 1;
        self.remove_task(key);
        Disposition::GaveUp(refusal)
    }

    /// Gives up a waiting task, or all members of its gang, and emits the decisions.
    pub(super) fn give_up_waiting(
        &mut self,
        key: TaskKey,
        refusal: Refusal,
        out: &mut Vec<Decision>,
    ) {
        let members = match self.tasks[key].gang {
            Some(gang) => self.gangs[gang].tasks.clone(),
            None => vec![key],
        };
        for task in members {
            let Some(class) = self.tasks.get(task).map(|t| t.spec.class.index()) else {
                continue;
            };
            self.stop_waiting(task);
            self.remove_task(task);
            self.classes[class].counters.refused += 1;
            self.counters.given_up += 1;
            out.push(Decision::GiveUp { task, refusal });
        }
    }

    /// Records a failure of a task and returns whether it is attributed to the task. The failure is
    /// then removed from the health of the machines on which it occurred.
    pub(super) fn record_failure(&mut self, key: TaskKey, run: &Run) -> bool {
        let healthy = |m: MachineKey| {
            self.fleet
                .get(m)
                .is_some_and(|m| m.state == MachineState::Active)
        };
        let task = &mut self.tasks[key];
        if healthy(run.machine) && !task.failed_on.contains(&run.machine) {
            task.failed_on.push(run.machine);
        }
        if task.failed_on.len() < FAULTY_TASK_MACHINES {
            return false;
        }
        let machines = task.failed_on.clone();
        for machine in machines {
            self.fleet.update(machine, |m| m.health.retract_failure());
        }
        true
    }

    /// Records the outcome of a run in the health of its machine.
    pub(super) fn record_outcome(
        &mut self,
        key: TaskKey,
        machine: MachineKey,
        failed: bool,
        now: Time,
    ) {
        let Some(m) = self.fleet.get(machine) else {
            return;
        };
        match m.state {
            MachineState::Active => self.record_active_outcome(machine, failed, now),
            MachineState::Quarantined if m.probe == Some(key) => self.probed(machine, failed, now),
            _ => {}
        }
    }

    fn record_active_outcome(&mut self, machine: MachineKey, failed: bool, now: Time) {
        self.health.record(failed);
        self.fleet.update(machine, |m| m.health.record(failed));
        let bad = self
            .fleet
            .get(machine)
            .is_some_and(|m| m.health.is_unhealthy(&self.health));
        let allowed = (self.fleet.quarantined() + 1) * QUARANTINE_RATIO <= self.fleet.len();
        if !bad || !allowed {
            return;
        }
        self.unreserve(machine);
        self.fleet.set_state(machine, MachineState::Quarantined);
        self.fleet.update(machine, |m| m.health.quarantine(now));
        self.counters.quarantines += 1;
        self.schedule_probe(machine);
    }

    fn probed(&mut self, machine: MachineKey, failed: bool, now: Time) {
        let mut verdict = ProbeVerdict::Continue;
        self.fleet.update(machine, |m| {
            m.probe = None;
            verdict = m.health.record_probe(failed, now);
        });
        match verdict {
            ProbeVerdict::Recovered => self.fleet.set_state(machine, MachineState::Active),
            ProbeVerdict::Continue => self.schedule_probe(machine),
        }
    }

    /// Lets a quarantined machine get another probe if a task that ended without a result was its
    /// probe.
    pub(super) fn abandon_probe(&mut self, key: TaskKey, machine: MachineKey, now: Time) {
        let is_probe = self
            .fleet
            .get(machine)
            .is_some_and(|m| m.state == MachineState::Quarantined && m.probe == Some(key));
        if is_probe {
            self.fleet.update(machine, |m| m.probe = None);
            self.probes.insert((now + PROBE_RETRY, machine));
        }
    }

    fn schedule_probe(&mut self, machine: MachineKey) {
        if let Some(m) = self.fleet.get(machine) {
            self.probes.insert((m.health.next_probe, machine));
        }
    }
}
