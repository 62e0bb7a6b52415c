//! What the scheduler tells workers about tasks: start, renew, throttle, checkpoint and stop.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Attempt, Incarnation, TaskId, Term};
use kingcupwinch_platform::{FencingToken, WorkerError};
use kingcupwinch_policy::{NotStarted, Placement};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::sibling::{Body, TaskPhase, TaskState};
use kingcupwinch_wire::worker::{Renewal, TaskStart};
use rustc_hash::FxHashMap;
use slog::o;
use tokio::time::Instant;

use super::Scheduler;
use crate::live::why_not_started;
use crate::logging::EventId;
use crate::shared::Shared;
use crate::siblings::Siblings;
use crate::world::Worker;

/// How often a start whose answer was lost is sent again; a worker starts each attempt once.
const START_TRIES: u32 = 4;

/// How often a task's home is told where it stands, until it answers.
const REPORT_TRIES: u32 = 5;

/// How long a home may take to take a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Renewals of one lease.
const RENEWALS: u64 = 3;

/// The outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartEnd {
    /// The worker has started it.
    Started,
    /// It certainly did not start.
    NotStarted(NotStarted),
    /// No answer came.
    Unsure,
}

/// Reports the outcome of a start.
#[derive(Debug, Clone, Copy)]
struct StartReport {
    place: Placement,
    end: StartEnd,
}

/// A start on its way.
struct Starter {
    shared: Arc<Shared>,
    worker: Arc<Worker>,
    order: TaskStart,
}

impl Starter {
    async fn run(self) -> StartEnd {
        for _ in 0..START_TRIES {
            let call = Duration::from_millis(self.shared.settings.platform.call_ms);
            let started = self
                .worker
                .client
                .start(&self.order, Instant::now() + call, || self.stamp());
            let Err(error) = started.await else {
                return StartEnd::Started;
            };
            self.note(&error);
            if let Some(why) = why_not_started(&error) {
                return StartEnd::NotStarted(why);
            }
        }
        StartEnd::Unsure
    }

    fn stamp(&self) -> Option<FencingToken> {
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

    fn note(&self, error: &WorkerError) {
        let event = if error.is_not_run() {
            EventId::WorkerRefused
        } else {
            EventId::DispatchUnsure
        };
        let fields = o!("worker" => self.worker.name.to_string(), "why" => error.to_string());
        self.shared.log.write(event, fields);
    }
}

/// Something a worker is told to do to a task.
#[derive(Debug, Clone, Copy)]
pub(super) enum Command {
    /// Slow it to this percentage of full speed.
    Throttle(u8),
    /// Save its progress, then stop it.
    SaveAndStop,
    /// Stop it.
    Stop,
}

/// Reports that a command was carried out.
#[derive(Debug, Clone, Copy)]
struct CommandDone {
    place: Placement,
    command: Command,
}

impl Scheduler {
    pub(super) fn task_lease(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.task_lease_ms.get())
    }

    /// Sends a start to the task's worker.
    pub(super) fn send_start(&mut self, place: Placement) {
        let name = self.machines.get(&place.machine);
        let worker = name
            .and_then(|name| self.seats.get(name))
            .map(|seat| Arc::clone(&seat.worker));
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

    /// Tells a worker what to do to a task; one that can't be reached is told again by the policy.
    pub(super) fn command(&mut self, place: Placement, command: Command) {
        let name = self.machines.get(&place.machine);
        let worker = name
            .and_then(|name| self.seats.get(name))
            .map(|seat| Arc::clone(&seat.worker));
        let saves = matches!(command, Command::SaveAndStop);
        let task = self.tasks.get_mut(&place.task).map(|entry| {
            if let Some(run) = &mut entry.run {
                run.saved |= saves;
            }
            entry.id
        });
        let (Some(worker), Some(task)) = (worker, task) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        let me = self.me.clone();
        tokio::spawn(async move {
            match carry_out(&shared, &worker, task, command).await {
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

    /// Renews the leases of what runs, worker by worker; returns when to do so again.
    pub(super) fn renew_leases(&mut self, now: Time) -> Time {
        if now < self.renew_at {
            return self.renew_at;
        }
        let lease = self.task_lease();
        self.renew_at = now + lease.divided_by(RENEWALS);
        self.tell_new_homes();
        let mut tasks: FxHashMap<&Arc<str>, Vec<uuid::Uuid>> = FxHashMap::default();
        for entry in self.tasks.values() {
            let machine = entry.run.map(|run| run.place.machine);
            if let Some(name) = machine.and_then(|machine| self.machines.get(&machine)) {
                tasks.entry(name).or_default().push(entry.id.0);
            }
        }
        for (name, tasks) in tasks {
            if let Some(seat) = self.seats.get(name) {
                let worker = Arc::clone(&seat.worker);
                tokio::spawn(renew(Arc::clone(&self.shared), worker, tasks, lease));
            }
        }
        self.renew_at
    }
}

async fn carry_out(
    shared: &Shared,
    worker: &Worker,
    task: TaskId,
    command: Command,
) -> Result<(), WorkerError> {
    let deadline = Instant::now() + Duration::from_millis(shared.settings.platform.call_ms);
    match command {
        Command::Throttle(percent) => worker.client.throttle(task, percent, deadline).await?,
        Command::Stop => worker.client.stop(task, deadline).await?,
        Command::SaveAndStop => {
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

/// Tells a task's home at a sibling where it stands, until it has heard.
pub(super) async fn report_phase(
    siblings: Arc<Siblings>,
    to: Incarnation,
    task: TaskId,
    phase: TaskPhase,
) {
    let state = TaskState {
        task,
        attempt: Attempt(0),
        phase,
    };
    for _ in 0..REPORT_TRIES {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        if siblings
            .ask(to, Body::TaskState(state), deadline)
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
        self.take_start(report.place, report.end);
        self.decide();
    }
}

impl Message<CommandDone> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, done: CommandDone, _ctx: &mut Context<Self, ()>) {
        let now = self.now();
        match done.command {
            Command::Throttle(_) => {
                // The run may have ended meanwhile.
                let _ = self.cell.throttled(done.place, now);
            }
            // The worker's report says when it has stopped.
            Command::SaveAndStop | Command::Stop => {}
        }
        self.decide();
    }
}
