//! Tasks of jobs. They queue in the scheduler, start on workers under leases, and end according to
//! the workers' reports.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, JobId, TaskId};
use kingcupwinch_policy::{
    ClassKey, Crashes, CustomerKey, GangSpec, Placement, Refusal, Resources, TaskKey, TaskSpec,
};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::JobSpec;

use super::Scheduler;
use crate::actors::jobs::{KnownTask, TasksRefused};
use crate::jobs::JobIdParts;
use crate::metrics::ClassLabel;

/// Run time assumed for a job that names none.
const DEFAULT_RUN: Span = Span::from_secs(60);

/// Submits tasks of a job; sent by the job's home.
#[derive(Debug, Clone)]
pub(crate) struct RunTasks {
    /// Id of the job, with its home shard.
    pub(crate) parts: JobIdParts,
    /// The job's description.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Base of the attempt numbers of this submission.
    pub(crate) base: u32,
    /// Indices of the tasks.
    pub(crate) tasks: Vec<u32>,
    /// The crashes counted for each of these tasks.
    pub(crate) crashes: Vec<Crashes>,
}

/// Cancels a job: no further task starts, and running tasks are stopped where that is allowed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelTasks(pub(crate) JobId);

/// Drops the queued tasks of a job, because its home shard has another owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DropWaiting(pub(crate) JobId);

/// A task that is queued or running.
#[derive(Debug, Clone)]
pub(super) struct TaskEntry {
    /// Id of the task.
    pub(super) id: TaskId,
    /// Id of its job.
    pub(super) job: JobId,
    /// The job's description.
    pub(super) spec: Arc<JobSpec>,
    /// Whether the task may run more than once.
    pub(super) idempotent: bool,
    /// Base of its attempt numbers.
    pub(super) base: u32,
    /// The crashes counted for it, as known to its home.
    pub(super) crashes: Crashes,
    /// The current run, from the policy's decision to the end.
    pub(super) run: Option<TaskRun>,
    /// The owner of the home shard to which the running task was last reported.
    pub(super) notified_owner: Option<Incarnation>,
    submitted: Time,
}

/// A run of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskRun {
    /// The placement.
    pub(super) place: Placement,
    /// Time at which the start was confirmed or its response was given up, `None` before that.
    pub(super) confirmed: Option<Time>,
    /// Whether the worker has confirmed that it has the task.
    pub(super) acknowledged: bool,
    /// Whether a checkpoint was requested before the stop.
    pub(super) checkpointed: bool,
}

impl TaskEntry {
    /// Creates the entry of a task that a previous owner has started.
    pub(super) fn adopted(
        id: TaskId,
        job: JobId,
        known: KnownTask,
        base: u32,
        submitted: Time,
    ) -> Self {
        let KnownTask {
            spec,
            idempotent,
            crashes,
        } = known;
        TaskEntry {
            id,
            job,
            spec,
            idempotent,
            base,
            crashes,
            run: None,
            notified_owner: None,
            submitted,
        }
    }

    /// Returns the attempt number of a placement as workers see it.
    pub(super) fn attempt(&self, place: Placement) -> u32 {
        self.base + place.attempt
    }

    /// Returns whether the task is queued and may run on a sibling's workers.
    pub(super) fn can_delegate(&self) -> bool {
        self.run.is_none() && self.idempotent && !self.spec.gang && !self.crashes.is_suspect()
    }
}

/// Returns the size of one task for the policy.
pub(super) fn size_of(spec: &JobSpec) -> Resources {
    Resources::new(
        u64::from(spec.size.millicores),
        u64::from(spec.size.memory_mb),
    )
    .with_accelerators(u64::from(spec.size.accelerators))
    .with_slots(1)
}

impl Scheduler {
    /// Returns the policy's specification of a job's tasks.
    pub(super) fn task_spec(&self, spec: &JobSpec, idempotent: bool) -> Result<TaskSpec, Refusal> {
        let class: ClassKey = self.cell.class(&spec.class).ok_or(Refusal::UnknownClass)?;
        let customer: CustomerKey = self
            .cell
            .customer(&spec.customer)
            .ok_or(Refusal::UnknownCustomer)?;
        let run = spec.run_ms.map_or(DEFAULT_RUN, Span::from_millis);
        Ok(TaskSpec::new(class, customer, size_of(spec), run).with_idempotent(idempotent))
    }

    fn run_tasks(&mut self, run: &RunTasks) {
        self.replan_if_stale();
        let now = self.now();
        let submitted = self.task_spec(&run.spec, run.idempotent).and_then(|spec| {
            if run.spec.gang {
                self.submit_gang(run, spec, now)
            } else {
                self.submit_each(run, spec, now)
            }
        });
        if let Err(refusal) = submitted {
            self.notify_jobs(TasksRefused {
                job: run.parts.id,
                refusal,
            });
        }
    }

    fn submit_each(&mut self, run: &RunTasks, spec: TaskSpec, now: Time) -> Result<(), Refusal> {
        for (index, crashes) in run.tasks.iter().zip(&run.crashes) {
            // A task that a previous owner started on these workers continues.
            if self.task_keys.contains_key(&run.parts.task(*index)) {
                continue;
            }
            let key = self.cell.submit(spec.with_crashes(*crashes), now)?;
            self.add_task(key, run, (*index, *crashes), now);
        }
        Ok(())
    }

    fn submit_gang(&mut self, run: &RunTasks, spec: TaskSpec, now: Time) -> Result<(), Refusal> {
        let count = u32::try_from(run.tasks.len()).unwrap_or(u32::MAX);
        // A gang has one specification, so that its members share the highest count.
        let counts = run.crashes.iter().copied();
        let crashes = counts
            .max_by_key(|count| (count.total, count.clear))
            .unwrap_or_default();
        let gang = GangSpec::new(spec.with_crashes(crashes), count);
        let ticket = self.cell.submit_gang(gang, now)?;
        for (key, index) in ticket.tasks.into_iter().zip(&run.tasks) {
            self.add_task(key, run, (*index, crashes), now);
        }
        Ok(())
    }

    fn add_task(
        &mut self,
        key: TaskKey,
        run: &RunTasks,
        (index, crashes): (u32, Crashes),
        now: Time,
    ) {
        let entry = TaskEntry {
            id: run.parts.task(index),
            job: run.parts.id,
            spec: Arc::clone(&run.spec),
            idempotent: run.idempotent,
            base: run.base,
            crashes,
            run: None,
            notified_owner: None,
            submitted: now,
        };
        self.insert_task(key, entry);
    }

    /// Adds a task that a sibling delegated to this instance.
    pub(super) fn add_received(
        &mut self,
        key: TaskKey,
        id: TaskId,
        job: JobId,
        spec: Arc<JobSpec>,
        base: u32,
    ) {
        let submitted = self.now();
        let entry = TaskEntry {
            id,
            job,
            spec,
            idempotent: true,
            base,
            crashes: Crashes::NONE,
            run: None,
            notified_owner: None,
            submitted,
        };
        self.insert_task(key, entry);
    }

    /// Adds a task that was submitted to the cell.
    pub(super) fn insert_task(&mut self, key: TaskKey, entry: TaskEntry) {
        self.task_keys.insert(entry.id, key);
        self.tasks.insert(key, entry);
    }

    /// Removes a task that has left the cell.
    pub(super) fn remove_task(&mut self, key: TaskKey) -> Option<TaskEntry> {
        let entry = self.tasks.remove(&key)?;
        self.task_keys.remove(&entry.id);
        Some(entry)
    }

    /// Starts a task where the policy has placed it.
    pub(super) fn start_task(&mut self, place: Placement, now: Time) {
        let Some(entry) = self.tasks.get_mut(&place.task) else {
            return;
        };
        entry.run = Some(TaskRun {
            place,
            confirmed: None,
            acknowledged: false,
            checkpointed: false,
        });
        let label = ClassLabel {
            class: Arc::clone(&entry.spec.class),
        };
        if place.attempt > 1 {
            self.shared.metrics.retries.get_or_create(&label).inc();
        } else {
            let waited = now.since(entry.submitted).as_secs_f64();
            self.shared
                .metrics
                .waiting_seconds
                .get_or_create(&label)
                .observe(waited);
        }
        self.send_start(place);
    }

    /// Drops the queued tasks of a job; running tasks continue.
    fn drop_waiting(&mut self, job: JobId) {
        let now = self.now();
        let waiting = self
            .tasks
            .iter()
            .filter(|(_, entry)| entry.job == job && entry.run.is_none());
        for key in waiting.map(|(key, _)| *key).collect::<Vec<_>>() {
            if self.cell.cancel(key, now).is_ok() {
                self.remove_task(key);
            }
        }
    }

    fn cancel_tasks(&mut self, job: JobId) {
        let now = self.now();
        let keys: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, entry)| entry.job == job)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            match self.cell.cancel(key, now) {
                Ok(kingcupwinch_policy::CancelOutcome::Left) => {
                    self.remove_task(key);
                }
                // The task is removed when its run has ended.
                Ok(kingcupwinch_policy::CancelOutcome::Leaving) | Err(_) => {}
            }
        }
    }
}

impl Message<RunTasks> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, run: RunTasks, _ctx: &mut Context<Self, ()>) {
        self.run_tasks(&run);
        self.decide();
    }
}

impl Message<DropWaiting> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, dropped: DropWaiting, _ctx: &mut Context<Self, ()>) {
        self.drop_waiting(dropped.0);
        self.decide();
    }
}

impl Message<CancelTasks> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, cancel: CancelTasks, _ctx: &mut Context<Self, ()>) {
        self.cancel_tasks(cancel.0);
        self.decide();
    }
}
