//! Tasks of jobs: they wait here, start on workers under leases, and end by the workers' reports.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, JobId, TaskId};
use kingcupwinch_policy::{
    ClassKey, CustomerKey, End, GangSpec, MachineKey, Next, NotStarted, Outcome, Placement,
    Refusal, Size, TaskKey, TaskSpec,
};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::JobSpec;
use kingcupwinch_wire::sibling::TaskPhase;
use kingcupwinch_wire::worker::{EndedWork, WorkOutcome};
use slog::o;

use super::Scheduler;
use super::control::StartEnd;
use crate::actors::jobs::{KnownTask, TaskEvent, TasksRefused};
use crate::jobs::{JobName, TaskName};
use crate::logging::EventId;
use crate::metrics::ClassLabel;

/// The run time that is assumed where neither the job nor its class names one.
const DEFAULT_RUN: Span = Span::from_secs(60);

/// How long a started task may be missing from reports before it counts as lost.
const MISSING_SPAN: Span = Span::from_secs(2);

/// Tasks of a job to run; the job's home hands them out.
#[derive(Debug, Clone)]
pub(crate) struct RunTasks {
    /// The job.
    pub(crate) name: JobName,
    /// What its tasks are like.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// The number below the attempts of this hand-out.
    pub(crate) base: u32,
    /// Indices of the tasks.
    pub(crate) tasks: Vec<u32>,
}

/// Nothing more of a job may start, and what can be stopped is stopped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelTasks(pub(crate) JobId);

/// The home of a job has another owner: what has not started here never will.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DropWaiting(pub(crate) JobId);

/// A task in the cell.
#[derive(Debug, Clone)]
pub(super) struct TaskEntry {
    /// Its id.
    pub(super) id: TaskId,
    /// Its job.
    pub(super) job: JobId,
    /// What it is like.
    pub(super) spec: Arc<JobSpec>,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The number below its attempts.
    pub(super) base: u32,
    /// Its run, from the decision to its end.
    pub(super) run: Option<TaskRun>,
    /// The owner of its home that was last told that it runs.
    pub(super) told: Option<Incarnation>,
    submitted: Time,
}

/// A run of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskRun {
    /// Where.
    pub(super) place: Placement,
    /// When the start was confirmed; none while it is not.
    pub(super) confirmed: Option<Time>,
    /// Whether a checkpoint was taken before the stop.
    pub(super) saved: bool,
}

impl TaskEntry {
    /// Makes the entry of a task that an earlier owner has started.
    pub(super) fn adopted(
        id: TaskId,
        job: JobId,
        known: KnownTask,
        base: u32,
        submitted: Time,
    ) -> Self {
        let KnownTask { spec, idempotent } = known;
        TaskEntry {
            id,
            job,
            spec,
            idempotent,
            base,
            run: None,
            told: None,
            submitted,
        }
    }

    /// Returns the number of a run's attempt as workers see it.
    pub(super) fn attempt(&self, place: Placement) -> u32 {
        self.base + place.attempt
    }

    /// Returns whether it waits and may run at a sibling.
    pub(super) fn is_lendable(&self) -> bool {
        self.run.is_none() && self.idempotent && !self.spec.gang
    }
}

/// Returns what the policy counts for one task.
pub(super) fn size_of(spec: &JobSpec) -> Size {
    Size::new(
        u64::from(spec.size.millicores),
        u64::from(spec.size.memory_mb),
    )
    .with_accelerators(u64::from(spec.size.accelerators))
    .with_slots(1)
}

impl Scheduler {
    /// Returns the policy's description of a job's tasks.
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
        let now = self.now();
        let submitted = self.task_spec(&run.spec, run.idempotent).and_then(|spec| {
            if run.spec.gang {
                self.submit_gang(run, spec, now)
            } else {
                self.submit_each(run, spec, now)
            }
        });
        if let Err(refusal) = submitted {
            self.tell_jobs(TasksRefused {
                job: run.name.id,
                refusal,
            });
        }
    }

    fn submit_each(&mut self, run: &RunTasks, spec: TaskSpec, now: Time) -> Result<(), Refusal> {
        for index in &run.tasks {
            // One that an earlier owner started here goes on.
            if self.task_keys.contains_key(&run.name.task(*index)) {
                continue;
            }
            let key = self.cell.submit(spec, now)?;
            self.add_task(key, run, *index, now);
        }
        Ok(())
    }

    fn submit_gang(&mut self, run: &RunTasks, spec: TaskSpec, now: Time) -> Result<(), Refusal> {
        let count = u32::try_from(run.tasks.len()).unwrap_or(u32::MAX);
        let ticket = self.cell.submit_gang(GangSpec::new(spec, count), now)?;
        for (key, index) in ticket.tasks.into_iter().zip(&run.tasks) {
            self.add_task(key, run, *index, now);
        }
        Ok(())
    }

    fn add_task(&mut self, key: TaskKey, run: &RunTasks, index: u32, now: Time) {
        let entry = TaskEntry {
            id: run.name.task(index),
            job: run.name.id,
            spec: Arc::clone(&run.spec),
            idempotent: run.idempotent,
            base: run.base,
            run: None,
            told: None,
            submitted: now,
        };
        self.insert_task(key, entry);
    }

    /// Adds a task that a sibling's home handed to this instance.
    pub(super) fn add_lent(
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
            run: None,
            told: None,
            submitted,
        };
        self.insert_task(key, entry);
    }

    /// Adds a task that is in the cell.
    pub(super) fn insert_task(&mut self, key: TaskKey, entry: TaskEntry) {
        self.task_keys.insert(entry.id, key);
        self.tasks.insert(key, entry);
    }

    /// Forgets a task that has left the cell.
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
            saved: false,
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
                .waiting
                .get_or_create(&label)
                .observe(waited);
        }
        self.send_start(place);
    }

    /// Takes the outcome of a start.
    pub(super) fn take_start(&mut self, place: Placement, end: StartEnd) {
        let now = self.now();
        match end {
            StartEnd::Started => {
                if let Some(run) = self.run_of(place) {
                    run.confirmed = Some(now);
                    self.tell_phase(place.task, TaskPhase::Running);
                }
            }
            // Reports will show whether it runs.
            StartEnd::Unsure => {
                if let Some(run) = self.run_of(place) {
                    run.confirmed = Some(now);
                }
            }
            StartEnd::NotStarted(why) => self.take_no_start(place, why, now),
        }
    }

    fn run_of(&mut self, place: Placement) -> Option<&mut TaskRun> {
        let run = self.tasks.get_mut(&place.task)?.run.as_mut()?;
        (run.place == place).then_some(run)
    }

    fn take_no_start(&mut self, place: Placement, why: NotStarted, now: Time) {
        self.heed_refusal(place, why);
        let next = self.cell.not_started(place, why, now);
        self.after_run(place, next, None);
    }

    /// Takes the ends that a report names; those of tasks not known here go to their homes.
    pub(super) fn take_ends(&mut self, ended: &[EndedWork], now: Time) {
        for work in ended {
            let id = TaskId(work.task);
            let known = self.task_keys.get(&id).copied();
            let run = known
                .and_then(|key| self.tasks.get(&key))
                .and_then(|entry| {
                    let run = entry.run?;
                    (entry.attempt(run.place) == work.attempt).then_some(run)
                });
            match (run, known) {
                (Some(run), _) => self.end_run(run, work, now),
                (None, None) => self.tell_home(id, outcome_phase(work.outcome)),
                // An end of an earlier attempt.
                (None, Some(_)) => {
                    self.shared.metrics.late.inc();
                }
            }
        }
    }

    fn end_run(&mut self, run: TaskRun, work: &EndedWork, now: Time) {
        let outcome = match work.outcome {
            WorkOutcome::Done => Outcome::Done,
            WorkOutcome::Failed => Outcome::Failed,
            WorkOutcome::Stopped if run.saved => Outcome::Checkpointed,
            WorkOutcome::Stopped => Outcome::Stopped,
            WorkOutcome::Expired => Outcome::Lost,
        };
        let next = self.cell.ended(
            run.place,
            End::new(outcome, Span::from_millis(work.run_ms)),
            now,
        );
        self.after_run(run.place, next, Some(outcome));
    }

    /// Counts a run as lost: its lease has certainly lapsed, or its worker no longer knows it.
    pub(super) fn lose_run(&mut self, place: Placement, now: Time) {
        let next = self
            .cell
            .ended(place, End::new(Outcome::Lost, Span::ZERO), now);
        self.after_run(place, next, Some(Outcome::Lost));
    }

    fn after_run(
        &mut self,
        place: Placement,
        next: Result<Next, kingcupwinch_policy::Fault>,
        outcome: Option<Outcome>,
    ) {
        match next {
            Ok(Next::Requeued) => self.requeue_members(place.task),
            Ok(Next::Left) => {
                let phase = match outcome {
                    Some(Outcome::Done) => TaskPhase::Done,
                    Some(Outcome::Failed) => TaskPhase::Failed,
                    Some(_) => TaskPhase::Unknown,
                    None => TaskPhase::NotRun,
                };
                self.finish_task(place.task, phase);
            }
            Ok(Next::GaveUp(refusal)) => self.give_up_task(place.task, refusal),
            Err(fault) => self.note_fault("task end", fault),
        }
    }

    /// A task that waits again has no run; where a gang starts again, none of its members has.
    fn requeue_members(&mut self, key: TaskKey) {
        let Some(entry) = self.tasks.get_mut(&key) else {
            return;
        };
        entry.run = None;
    }

    fn finish_task(&mut self, key: TaskKey, phase: TaskPhase) {
        if let Some(entry) = self.remove_task(key) {
            self.tell_home(entry.id, phase);
        }
    }

    /// The policy gave a task up; it is told as failed with the reason in the log.
    pub(super) fn give_up_task(&mut self, key: TaskKey, refusal: Refusal) {
        let Some(entry) = self.remove_task(key) else {
            return;
        };
        let fields = o!("task" => entry.id.to_string(), "why" => refusal.to_string());
        self.shared.log.write(EventId::TaskGivenUp, fields);
        self.tell_home(entry.id, TaskPhase::Failed);
    }

    /// Counts tasks that a worker no longer knows as lost.
    pub(super) fn find_missing(
        &mut self,
        name: &Arc<str>,
        running: &[TaskId],
        taken: Time,
        now: Time,
    ) {
        let Some(machine) = self.seats.get(name).map(|seat| seat.machine) else {
            return;
        };
        let entries = self
            .tasks
            .values()
            .filter_map(|entry| Some((entry, entry.run?)));
        let missing = entries.filter(|(entry, run)| {
            let settled = run.confirmed.is_some_and(|at| taken >= at + MISSING_SPAN);
            run.place.machine == machine && settled && !running.contains(&entry.id)
        });
        for place in missing.map(|(_, run)| run.place).collect::<Vec<_>>() {
            self.lose_run(place, now);
        }
    }

    /// Tells the homes of running tasks that they run, where the home's owner has changed.
    pub(super) fn tell_new_homes(&mut self) {
        let ownership = self.shared.ownership.load_full();
        let members = ownership.members.iter().map(|member| member.incarnation);
        let members: Vec<Incarnation> = members.collect();
        let same_group = self.told_group == members;
        self.told_group = members;
        let mut news = Vec::new();
        for entry in self.tasks.values_mut().filter(|entry| entry.run.is_some()) {
            let home = TaskName::read(entry.id).map(|name| name.job.home);
            let owner = home
                .and_then(|home| ownership.owner(home))
                .map(|owner| owner.incarnation);
            if owner.is_some() && (!same_group || owner != entry.told) {
                entry.told = owner;
                news.push(entry.id);
            }
        }
        for task in news {
            self.tell_home(task, TaskPhase::Running);
        }
    }

    /// Lets go of what runs on a worker that another instance now owns.
    pub(super) fn release_runs(&mut self, machine: MachineKey) {
        let now = self.now();
        let runs = self.tasks.values().filter_map(|entry| entry.run);
        let places: Vec<_> = runs
            .filter(|run| run.place.machine == machine)
            .map(|run| run.place)
            .collect();
        for place in places {
            if let Err(fault) = self.cell.release_run(place, now) {
                self.note_fault("release_run", fault);
            }
            if let Some(entry) = self.remove_task(place.task) {
                self.tell_home(entry.id, TaskPhase::Moved);
            }
        }
    }

    /// Counts what runs on a worker that is gone as lost once its leases have lapsed.
    pub(super) fn orphan_runs(&mut self, machine: MachineKey) {
        let lapse = self.now() + self.task_lease().times(2);
        let runs = self.tasks.values().filter_map(|entry| entry.run);
        let places = runs
            .filter(|run| run.place.machine == machine)
            .map(|run| (lapse, run.place));
        self.orphans.extend(places.collect::<Vec<_>>());
    }

    /// Counts runs as lost whose leases have lapsed; returns when to look again.
    pub(super) fn lose_orphans(&mut self, now: Time) -> Option<Time> {
        let due: Vec<Placement> = self
            .orphans
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, place)| *place)
            .collect();
        self.orphans.retain(|(at, _)| *at > now);
        for place in due {
            let runs = self.tasks.get(&place.task).and_then(|entry| entry.run);
            if runs.is_some_and(|run| run.place == place) {
                self.lose_run(place, now);
            }
        }
        self.orphans.iter().map(|(at, _)| *at).min()
    }

    /// Forgets tasks of a job that wait; what runs goes on.
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
                Ok(kingcupwinch_policy::Cancel::Left) => {
                    self.remove_task(key);
                }
                // It is removed when its run has ended.
                Ok(kingcupwinch_policy::Cancel::Leaving) | Err(_) => {}
            }
        }
    }

    fn tell_phase(&self, key: TaskKey, phase: TaskPhase) {
        if let Some(entry) = self.tasks.get(&key) {
            self.tell_home(entry.id, phase);
        }
    }

    /// Tells a task's home where it stands.
    pub(super) fn tell_home(&self, task: TaskId, phase: TaskPhase) {
        let Some(name) = TaskName::read(task) else {
            return;
        };
        let ownership = self.shared.ownership.load();
        let Some(owner) = ownership.owner(name.job.home) else {
            return;
        };
        if owner.incarnation == self.shared.incarnation {
            self.tell_jobs(TaskEvent {
                task,
                phase,
                remote: false,
            });
        } else {
            self.tell_sibling_home(owner.incarnation, task, phase);
        }
    }

    fn tell_sibling_home(&self, to: Incarnation, task: TaskId, phase: TaskPhase) {
        let Some(siblings) = self.siblings() else {
            return;
        };
        self.shared.metrics.messages.inc();
        tokio::spawn(super::control::report_phase(siblings, to, task, phase));
    }
}

fn outcome_phase(outcome: WorkOutcome) -> TaskPhase {
    match outcome {
        WorkOutcome::Done => TaskPhase::Done,
        WorkOutcome::Failed => TaskPhase::Failed,
        WorkOutcome::Stopped | WorkOutcome::Expired => TaskPhase::Stopped,
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
