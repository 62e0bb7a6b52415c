//! The scheduler's calls to workers about tasks: start, renew, throttle, checkpoint and stop.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Attempt, Incarnation, TaskId, Term};
use kingcupwinch_platform::{FencingToken, WorkerError};
use kingcupwinch_policy::{NotStarted, Placement};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::sibling::{Body, TaskState};
use kingcupwinch_wire::worker::{Renewal, TaskStart};
use rustc_hash::FxHashMap;
use slog::o;
use tokio::time::Instant;

use super::Scheduler;
use crate::live::not_started_reason;
use crate::logging::EventId;
use crate::shared::Shared;
use crate::siblings::Siblings;
use crate::worker::Worker;

/// Maximum number of times that a start is sent if its response is lost. A worker starts each
/// attempt only once.
const MAX_START_ATTEMPTS: u32 = 4;

/// Maximum number of times that a task's state is reported to its home shard's owner.
const MAX_REPORT_ATTEMPTS: u32 = 5;

/// Time that the owner of a home shard has to acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// The outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartEnd {
    /// The worker has started the task.
    Started,
    /// The task certainly did not start.
    NotStarted(NotStarted),
    /// No response arrived, so the task may have started.
    Unconfirmed,
}

/// Reports the outcome of a start.
#[derive(Debug, Clone, Copy)]
struct StartReport {
    place: Placement,
    end: StartEnd,
}

/// A start request in progress.
struct Starter {
    shared: Arc<Shared>,
    worker: Arc<Worker>,
    order: TaskStart,
}

impl Starter {
    async fn run(self) -> StartEnd {
        let mut may_have_started = false;
        for _ in 0..MAX_START_ATTEMPTS {
            let call = Duration::from_millis(self.shared.settings.platform.call_ms);
            let started = self
                .worker
                .client
                .start(&self.order, Instant::now() + call, || self.fencing_token());
            let Err(error) = started.await else {
                return StartEnd::Started;
            };
            self.log_error(&error);
            match not_started_reason(&error) {
                // That a repeat did not start says nothing about a request before.
                Some(_) if may_have_started => return StartEnd::Unconfirmed,
                Some(reason) => return StartEnd::NotStarted(reason),
                None => may_have_started = true,
            }
        }
        StartEnd::Unconfirmed
    }

    fn fencing_token(&self) -> Option<FencingToken> {
        if self.worker.is_retired() {
            return None;
        }
        let now = self.shared.now();
        let permit = self
            .shared
            .ownership
            .load()
            .permit(self.worker.shard, now)?;
        Some(FencingToken {
            task: TaskId(self.order.task),
            attempt: Attempt(self.order.attempt),
            term: permit.term,
            time_left: permit.until.since(now),
        })
    }

    fn log_error(&self, error: &WorkerError) {
        let event = if error.is_not_run() {
            EventId::WorkerRefused
        } else {
            EventId::DispatchUncertain
        };
        let fields = o!("worker" => self.worker.name.to_string(), "why" => error.to_string());
        self.shared.log.write(event, fields);
    }
}

/// A command for a running task.
#[derive(Debug, Clone, Copy)]
pub(super) enum Command {
    /// Slow the task down to this percentage of full speed.
    Throttle(u8),
    /// Checkpoint the task, then stop it.
    CheckpointAndStop,
    /// Stop the task.
    Stop,
}

/// Reports that a worker carried out a command.
#[derive(Debug, Clone, Copy)]
struct CommandDone {
    place: Placement,
    command: Command,
}

impl Scheduler {
    pub(super) fn task_lease(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.task_lease_ms.get())
    }

    /// Sends a start request to the task's worker.
    pub(super) fn send_start(&mut self, place: Placement) {
        let name = self.machines.get(&place.machine);
        let worker = name
            .and_then(|name| self.workers.get(name))
            .map(|owned| Arc::clone(&owned.worker));
        let (Some(worker), Some(entry)) = (worker, self.tasks.get(&place.task)) else {
            return;
        };
        let ownership = self.shared.ownership.load();
        let term = ownership
            .permit(worker.shard, self.now())
            .map_or(Term(0), |permit| permit.term);
        let order = TaskStart {
            task: entry.id.0,
            attempt: entry.attempt(place),
            term: term.0,
            lease_ms: self.task_lease().as_millis(),
            class: Arc::clone(&entry.spec.class),
            millicores: entry.spec.size.millicores,
            memory_mb: entry.spec.size.memory_mb,
            accelerators: entry.spec.size.accelerators,
            run_ms: entry.spec.run_ms,
            payload: entry.spec.payload.clone(),
        };
        let starter = Starter {
            shared: Arc::clone(&self.shared),
            worker,
            order,
        };
        let me = self.me.clone();
        tokio::spawn(async move {
            let end = starter.run().await;
            // A stopped scheduler has no tasks.
            let _ = me.tell(StartReport { place, end }).await;
        });
    }

    /// Sends a command to the task's worker. If the worker can't be reached, the policy issues the
    /// command again.
    pub(super) fn send_command(&mut self, place: Placement, command: Command) {
        let name = self.machines.get(&place.machine);
        let worker = name
            .and_then(|name| self.workers.get(name))
            .map(|owned| Arc::clone(&owned.worker));
        let checkpoints = matches!(command, Command::CheckpointAndStop);
        let task = self.tasks.get_mut(&place.task).map(|entry| {
            if let Some(run) = &mut entry.run {
                run.checkpointed |= checkpoints;
            }
            entry.id
        });
        let (Some(worker), Some(task)) = (worker, task) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        let me = self.me.clone();
        tokio::spawn(async move {
            match execute_command(&shared, &worker, task, command).await {
                Ok(()) => {
                    // A stopped scheduler has no tasks.
                    let _ = me.tell(CommandDone { place, command }).await;
                }
                Err(error) => {
                    let fields = o!("task" => task.to_string(), "why" => error.to_string());
                    shared.log.write(EventId::ControlFailed, fields);
                }
            }
        });
    }

    /// Renews the leases of all running tasks, one call per worker; returns the time of the next
    /// renewal.
    pub(super) fn renew_leases(&mut self, now: Time) -> Time {
        if now < self.renew_at {
            return self.renew_at;
        }
        let lease = self.task_lease();
        self.renew_at = now + lease.divided_by(RENEWALS_PER_LEASE);
        self.notify_new_homes();
        let mut tasks: FxHashMap<&Arc<str>, Vec<uuid::Uuid>> = FxHashMap::default();
        for entry in self.tasks.values() {
            let machine = entry.run.map(|run| run.place.machine);
            if let Some(name) = machine.and_then(|machine| self.machines.get(&machine)) {
                tasks.entry(name).or_default().push(entry.id.0);
            }
        }
        for (name, tasks) in tasks {
            if let Some(owned) = self.workers.get(name) {
                let worker = Arc::clone(&owned.worker);
                tokio::spawn(renew(Arc::clone(&self.shared), worker, tasks, lease));
            }
        }
        self.renew_at
    }
}

async fn execute_command(
    shared: &Shared,
    worker: &Worker,
    task: TaskId,
    command: Command,
) -> Result<(), WorkerError> {
    let deadline = Instant::now() + Duration::from_millis(shared.settings.platform.call_ms);
    match command {
        Command::Throttle(percent) => worker.client.throttle(task, percent, deadline).await?,
        Command::Stop => worker.client.stop(task, deadline).await?,
        Command::CheckpointAndStop => {
            worker.client.checkpoint(task, deadline).await?;
            worker.client.stop(task, deadline).await?
        }
    };
    Ok(())
}

async fn renew(shared: Arc<Shared>, worker: Arc<Worker>, tasks: Vec<uuid::Uuid>, lease: Span) {
    let Some(permit) = shared.ownership.load().permit(worker.shard, shared.now()) else {
        return;
    };
    let renewal = Renewal {
        term: permit.term.0,
        lease_ms: lease.as_millis(),
        tasks,
    };
    let deadline = Instant::now() + Duration::from_millis(shared.settings.platform.call_ms);
    if let Err(error) = worker.client.renew(&renewal, deadline).await {
        let fields = o!("worker" => worker.name.to_string(), "why" => error.to_string());
        shared.log.write(EventId::ControlFailed, fields);
    }
}

/// Reports a task's state to the sibling that owns its home shard, until the sibling acknowledges
/// it or the attempts are used up.
pub(super) async fn report_state(siblings: Arc<Siblings>, to: Incarnation, state: TaskState) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        if siblings
            .request(to, Body::TaskState(state), deadline)
            .await
            .is_ok()
        {
            return;
        }
        tokio::time::sleep(REPORT_TIMEOUT / 2).await;
    }
}

impl Message<StartReport> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, report: StartReport, _ctx: &mut Context<Self, ()>) {
        self.apply_start(report.place, report.end);
        self.decide();
    }
}

impl Message<CommandDone> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, done: CommandDone, _ctx: &mut Context<Self, ()>) {
        let now = self.now();
        match done.command {
            Command::Throttle(_) => {
                // The run may have ended in the meantime.
                let _ = self.cell.throttled(done.place, now);
            }
            // The worker's usage report shows when the task has stopped.
            Command::CheckpointAndStop | Command::Stop => {}
        }
        self.decide();
    }
}
