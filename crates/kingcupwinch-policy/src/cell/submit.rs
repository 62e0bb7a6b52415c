//! Admission and cancellation of tasks.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::decision::{CancelOutcome, GangTicket, Placement, TaskSpec};
use crate::gang::{Gang, GangSpec};
use crate::key::{GangKey, MachineKey, TaskKey};
use crate::place::run_at;
use crate::plan::ClassKind;
use crate::refusal::{CellError, Refusal};
use crate::resources::{Dimension, MAX_AMOUNT};
use crate::task::{Phase, Run, Task};

/// Maximum accepted run time: one year.
const MAX_RUN: Span = Span::from_secs(365 * 86_400);
/// Maximum number of tasks of one gang.
const MAX_GANG: u32 = 100_000;

impl Cell {
    /// Submits a task.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the task then never runs.
    pub fn submit(&mut self, spec: TaskSpec, now: Time) -> Result<TaskKey, Refusal> {
        let spec = self
            .admit(spec, 1, now)
            .inspect_err(|_| self.count_refusal(&spec))?;
        let key = self.tasks.insert(Task::new(spec, now, Phase::Detached));
        self.customers[spec.customer.index()].waiting += 1;
        let class = &mut self.classes[spec.class.index()];
        class.counters.accepted += 1;
        self.enqueue(key);
        Ok(key)
    }

    /// Submits a gang.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; none of its tasks then ever runs.
    pub fn submit_gang(&mut self, gang: GangSpec, now: Time) -> Result<GangTicket, Refusal> {
        if gang.count == 0 || gang.count > MAX_GANG {
            return Err(Refusal::BadSpec);
        }
        let refused = |cell: &mut Self| cell.count_refusal(&gang.task);
        let task = self
            .admit(gang.task, gang.count, now)
            .inspect_err(|_| refused(self))?;
        let places = self.fleet.max_places(&task.size);
        if places < u64::from(gang.count) {
            refused(self);
            return Err(Refusal::TooWide);
        }
        let spec = GangSpec { task, ..gang };
        let tasks: Vec<TaskKey> = (0..gang.count)
            .map(|_| self.tasks.insert(Task::new(task, now, Phase::Detached)))
            .collect();
        let key = self.gangs.insert(Gang::new(spec, tasks.clone()));
        for &t in &tasks {
            self.tasks[t].gang = Some(key);
        }
        self.customers[task.customer.index()].waiting += gang.count;
        self.classes[task.class.index()].counters.accepted += u64::from(gang.count);
        self.enqueue(tasks[0]);
        Ok(GangTicket { gang: key, tasks })
    }

    /// Adds a task that already runs on a machine, even if the machine has no room for it. Until the
    /// runs there fit again, nothing else starts on it.
    ///
    /// # Errors
    ///
    /// [`CellError`] for an unknown machine, class or customer; the state is unchanged.
    pub fn adopt(
        &mut self,
        spec: TaskSpec,
        machine: MachineKey,
        now: Time,
    ) -> Result<Placement, CellError> {
        self.check_known(machine)?;
        let class = self
            .classes
            .get(spec.class.index())
            .ok_or(CellError::UnknownClass)?;
        if class.spec.kind == ClassKind::Gang || self.customers.len() <= spec.customer.index() {
            return Err(CellError::UnknownClass);
        }
        let key = self.tasks.insert(Task::new(spec, now, Phase::Detached));
        self.customers[spec.customer.index()].waiting += 1;
        Ok(self.begin_run(key, machine, now))
    }

    /// Cancels a task, or the whole gang of a member.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownTask`], or [`CellError::NotIdempotent`] if it runs and must not be
    /// stopped.
    pub fn cancel(&mut self, key: TaskKey, now: Time) -> Result<CancelOutcome, CellError> {
        let task = self.tasks.get(key).ok_or(CellError::UnknownTask)?;
        match task.gang {
            Some(gang) => self.cancel_gang(gang, now),
            None => self.cancel_one(key, now),
        }
    }

    /// Cancels several tasks and returns how many of them were cancelled.
    pub fn cancel_many(&mut self, keys: &[TaskKey], now: Time) -> usize {
        keys.iter()
            .filter(|key| self.cancel(**key, now).is_ok())
            .count()
    }

    fn cancel_gang(&mut self, gang: GangKey, now: Time) -> Result<CancelOutcome, CellError> {
        self.drop_reservation(gang);
        let members = self.gangs[gang].tasks.clone();
        let is_running = self.gangs[gang].running > 0;
        if is_running && !self.gangs[gang].spec.task.idempotent {
            return Err(CellError::NotIdempotent);
        }
        for key in members
            .into_iter()
            .filter(|k| self.tasks.contains_key(*k))
            .collect::<Vec<_>>()
        {
            self.cancel_one(key, now)?;
        }
        Ok(if is_running {
            CancelOutcome::Leaving
        } else {
            CancelOutcome::Left
        })
    }

    fn cancel_one(&mut self, key: TaskKey, now: Time) -> Result<CancelOutcome, CellError> {
        let task = &self.tasks[key];
        let live = self.class_of(task).spec.kind == ClassKind::Live;
        let class = task.spec.class.index();
        let Some(run) = task.run().copied() else {
            self.stop_waiting(key);
            self.remove_task(key);
            self.classes[class].counters.cancelled += 1;
            return Ok(CancelOutcome::Left);
        };
        if !task.spec.idempotent {
            return Err(CellError::NotIdempotent);
        }
        if !task.cancelled {
            self.tasks[key].cancelled = true;
            self.classes[class].counters.cancelled += 1;
            if !live {
                self.request_stop(key, &run, now);
            }
        }
        Ok(CancelOutcome::Leaving)
    }

    /// Checks a submission of `count` tasks and returns the task with its effective deadline.
    fn admit(&mut self, spec: TaskSpec, count: u32, now: Time) -> Result<TaskSpec, Refusal> {
        check_spec(&spec)?;
        self.check_keys(&spec, count)?;
        self.check_fit(&spec)?;
        if spec.crashes.is_conclusive() {
            return Err(Refusal::MachineCrashes);
        }
        let class = &self.classes[spec.class.index()];
        if class.queue.len() >= class.spec.max_queued {
            let retry_after = class.expected_wait();
            return Err(Refusal::QueueFull(retry_after));
        }
        let deadline = class.deadline_of(&spec, now);
        self.check_deadline(&spec, deadline, now)?;
        self.take_tokens(&spec, count, now)?;
        Ok(TaskSpec { deadline, ..spec })
    }

    fn check_keys(&self, spec: &TaskSpec, count: u32) -> Result<(), Refusal> {
        let class = self.classes.get(spec.class.index());
        let class = class.filter(|c| c.in_plan).ok_or(Refusal::UnknownClass)?;
        if (class.spec.kind == ClassKind::Gang) != (count > 1) && count > 1 {
            return Err(Refusal::BadSpec);
        }
        let customer = self.customers.get(spec.customer.index());
        let customer = customer
            .filter(|c| c.in_plan)
            .ok_or(Refusal::UnknownCustomer)?;
        let capacity = self.fleet.capacity();
        let need = spec.size.times(u64::from(count));
        let over = !capacity.is_zero() && !customer.spec.quota.allows(&need, capacity);
        if over || count > customer.spec.max_running {
            return Err(Refusal::OverQuota);
        }
        Ok(())
    }

    fn check_fit(&self, spec: &TaskSpec) -> Result<(), Refusal> {
        self.fleet.unplaceable(&spec.size).map_or(Ok(()), Err)
    }

    fn check_deadline(
        &self,
        spec: &TaskSpec,
        deadline: Option<Time>,
        now: Time,
    ) -> Result<(), Refusal> {
        let Some(deadline) = deadline else {
            return Ok(());
        };
        let class = &self.classes[spec.class.index()];
        let wait = class.expected_wait();
        let run = run_at(
            class.estimates.expected_run(spec.run),
            self.fleet.max_speed(),
        );
        let late = now + wait + run > deadline;
        if late {
            Err(Refusal::Deadline(wait))
        } else {
            Ok(())
        }
    }

    fn take_tokens(&mut self, spec: &TaskSpec, count: u32, now: Time) -> Result<(), Refusal> {
        let count = f64::from(count);
        let class = &mut self.classes[spec.class.index()].bucket;
        let customer = &mut self.customers[spec.customer.index()].bucket;
        let waits = [&mut *class, &mut *customer].map(|bucket| {
            bucket
                .as_mut()
                .map_or(Span::ZERO, |b| b.wait_for(count, now))
        });
        let retry_after = waits[0].max(waits[1]);
        if retry_after > Span::ZERO {
            return Err(Refusal::RateLimit(retry_after));
        }
        for bucket in [class, customer].into_iter().flatten() {
            bucket.take(count);
        }
        Ok(())
    }

    fn count_refusal(&mut self, spec: &TaskSpec) {
        if let Some(class) = self.classes.get_mut(spec.class.index()) {
            class.counters.refused += 1;
        }
    }

    pub(super) fn placement(&self, key: TaskKey, run: &Run) -> Placement {
        Placement {
            task: key,
            machine: run.machine,
            attempt: self.tasks[key].attempts,
        }
    }
}

fn check_spec(spec: &TaskSpec) -> Result<(), Refusal> {
    let out_of_range = |&d: &Dimension| spec.size.get(d) > MAX_AMOUNT;
    if let Some(d) = Dimension::ALL.into_iter().find(out_of_range) {
        return Err(Refusal::BadSize(d));
    }
    if spec.size.get(Dimension::Slots) == 0 {
        return Err(Refusal::BadSize(Dimension::Slots));
    }
    if spec.run == Span::ZERO || spec.run > MAX_RUN {
        return Err(Refusal::BadSpec);
    }
    Ok(())
}
