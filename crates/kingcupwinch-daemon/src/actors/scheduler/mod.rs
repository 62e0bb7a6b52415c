//! The scheduler actor. It feeds queued work and known workers to the policy and carries out the
//! policy's decisions.

mod control;
mod delegate;
mod demand;
mod fleet;
mod inherit;
mod inspect;
mod live;
mod owned_worker;
mod runs;
mod tasks;

use std::sync::Arc;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, ShardId, TaskId, Version};
use kingcupwinch_policy::{Cell, CellError, Decision, MachineKey, Placement, Plan, TaskKey};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::Instance;
use rustc_hash::{FxHashMap, FxHashSet};

pub(crate) use delegate::ReceiveTask;
pub(crate) use demand::{ConnectSiblings, SiblingGrant, SiblingQueued};
pub(crate) use fleet::{
    DrainReply, DrainWorker, PermitsChanged, ShardGained, ShardLost, ShardRenewed, UsageReported,
    WorkersListed,
};
pub(crate) use inspect::GetStatus;
pub(crate) use live::{
    CancelLive, LiveDecision, LiveStart, PlacementScope, RunEnd, RunReport, SubmitLive,
};

pub(crate) use tasks::{CancelTasks, DropWaiting, RunTasks};

use super::alarm::{Alarm, Tick};
use super::jobs::JobManager;
use crate::metrics::ClassLabel;
use crate::plan::make_plan;
use crate::shared::Shared;
use crate::siblings::Siblings;
use control::Command;
use demand::Demand;
use fleet::OwnedShardState;
use live::LiveEntry;
use owned_worker::{OwnedWorker, UnlistedWorker};
use tasks::TaskEntry;

/// Minimum time between two updates of the queue and slot gauges.
const COUNTS_INTERVAL: Span = Span::from_millis(100);

/// Full speed, in percent.
const WHOLE_PERCENT: u8 = 100;

/// Arguments of the scheduler.
pub(crate) struct SchedulerArgs {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Seed of the policy's random numbers.
    pub(crate) seed: u64,
}

/// Reports that a new configuration is active.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Replan;

/// The actor that drives a [`Cell`].
pub(crate) struct Scheduler {
    shared: Arc<Shared>,
    me: ActorRef<Scheduler>,
    cell: Cell,
    alarm: Alarm,
    decisions: Vec<Decision>,
    owned_shards: FxHashMap<ShardId, OwnedShardState>,
    permitted: FxHashSet<ShardId>,
    listed: Vec<Instance>,
    drained: FxHashSet<Arc<str>>,
    workers: FxHashMap<Arc<str>, OwnedWorker>,
    unlisted: FxHashMap<Arc<str>, UnlistedWorker>,
    machines: FxHashMap<MachineKey, Arc<str>>,
    live: FxHashMap<TaskKey, LiveEntry>,
    tasks: FxHashMap<TaskKey, TaskEntry>,
    task_keys: FxHashMap<TaskId, TaskKey>,
    orphans: Vec<(Time, Placement)>,
    received: Vec<(Time, TaskKey)>,
    renew_at: Time,
    recheck_at: Option<Time>,
    next_counts: Time,
    notified_members: Vec<Incarnation>,
    jobs: Option<ActorRef<JobManager>>,
    demand: Demand,
    /// Version of the configuration that the cell's plan was made from.
    plan_version: Version,
}

impl Actor for Scheduler {
    type Args = SchedulerArgs;
    type Error = CellError;

    async fn on_start(args: SchedulerArgs, me: ActorRef<Self>) -> Result<Self, CellError> {
        let mut scheduler = Scheduler {
            cell: Cell::new(Plan::new(), args.seed)?,
            shared: args.shared,
            me,
            alarm: Alarm::default(),
            decisions: Vec::new(),
            owned_shards: FxHashMap::default(),
            permitted: FxHashSet::default(),
            listed: Vec::new(),
            drained: FxHashSet::default(),
            workers: FxHashMap::default(),
            unlisted: FxHashMap::default(),
            machines: FxHashMap::default(),
            live: FxHashMap::default(),
            tasks: FxHashMap::default(),
            task_keys: FxHashMap::default(),
            orphans: Vec::new(),
            received: Vec::new(),
            renew_at: Time::ZERO,
            recheck_at: None,
            next_counts: Time::ZERO,
            notified_members: Vec::new(),
            jobs: None,
            demand: Demand::default(),
            plan_version: Version(0),
        };
        scheduler.cell.set_remote_capacities(None);
        scheduler.replan();
        Ok(scheduler)
    }
}

impl Scheduler {
    fn now(&self) -> Time {
        self.shared.now()
    }

    fn replan(&mut self) {
        let config = self.shared.config.load_full();
        let plan = make_plan(&config.tree);
        let now = self.now();
        // Every active tree has passed checks that are at least as strict as the plan's.
        if let Err(error) = self.cell.update_plan(plan, now) {
            self.log_policy_error("replan", error);
        }
        self.plan_version = config.version;
    }

    /// Replans if a newer configuration is active. A caller may have seen the new version before
    /// the [`Replan`] message arrives here, and its work has to be judged by that version.
    fn replan_if_stale(&mut self) {
        if self.shared.config.load().version > self.plan_version {
            self.replan();
            self.refresh_workers();
        }
    }

    /// Runs one round of policy decisions, carries them out and sets the next wake-up.
    fn decide(&mut self) {
        let now = self.now();
        if self.recheck_at.is_some_and(|at| at <= now) {
            self.refresh_permits();
        }
        let orphans = self.expire_orphans(now);
        let received = self.return_unstarted(now);
        let began = Instant::now();
        let mut decisions = std::mem::take(&mut self.decisions);
        self.cell.decide(now, &mut decisions);
        self.shared
            .metrics
            .decision_seconds
            .observe(began.elapsed().as_secs_f64());
        for decision in decisions.drain(..) {
            self.apply_decision(decision, now);
        }
        self.decisions = decisions;
        self.publish_counts(now);
        self.grant_capacity(now);
        let announce_at = self.announce(now);
        let renew = Some(self.renew_leases(now)).filter(|_| !self.tasks.is_empty());
        let times = [
            self.cell.next_deadline(),
            announce_at,
            orphans,
            received,
            renew,
            self.recheck_at,
        ];
        let next = times.into_iter().flatten().min();
        self.alarm.set(next, now, &self.me);
    }

    fn apply_decision(&mut self, decision: Decision, now: Time) {
        match decision {
            Decision::Start(place) => self.start(place, now),
            Decision::StartGang { places, .. } => {
                for place in places {
                    self.start_task(place, now);
                }
            }
            Decision::Throttle { target, percent } => {
                self.send_command(
                    target,
                    Command::Throttle(WHOLE_PERCENT.saturating_sub(percent)),
                );
            }
            Decision::Checkpoint(place) => self.send_command(place, Command::CheckpointAndStop),
            Decision::Stop(place) => self.send_command(place, Command::Stop),
            Decision::GiveUp { task, refusal } if self.tasks.contains_key(&task) => {
                self.give_up_task(task, refusal);
            }
            Decision::GiveUp { task, refusal } => self.give_up_live(task, refusal),
        }
    }

    fn start(&mut self, place: Placement, now: Time) {
        if self.tasks.contains_key(&place.task) {
            self.start_task(place, now);
        } else {
            self.start_live(place, now);
        }
    }

    /// Sends a message to the job manager. Before it is connected, no task exists.
    fn notify_jobs<M: Send + 'static>(&self, message: M)
    where
        JobManager: Message<M>,
    {
        if let Some(jobs) = &self.jobs {
            // The mailbox is unbounded, so this fails only if the manager has stopped.
            let _ = jobs.tell(message).try_send();
        }
    }

    fn siblings(&self) -> Option<Arc<Siblings>> {
        self.demand.siblings()
    }

    /// Updates the gauges of slots, queued and running tasks, at most once per [`COUNTS_INTERVAL`].
    fn publish_counts(&mut self, now: Time) {
        if now < self.next_counts {
            return;
        }
        self.next_counts = now + COUNTS_INTERVAL;
        let (slots, busy) = self.slot_counts();
        self.shared.metrics.worker_slots.set(slots);
        self.shared.metrics.busy_slots.set(busy);
        let config = self.shared.config.load_full();
        for class in config.tree.classes.keys() {
            let Some(key) = self.cell.class(class) else {
                continue;
            };
            let label = ClassLabel {
                class: Arc::clone(class),
            };
            let queued = i64::try_from(self.cell.queued(key)).unwrap_or(i64::MAX);
            self.shared
                .metrics
                .queued_tasks
                .get_or_create(&label)
                .set(queued);
            let running = i64::from(self.cell.running(key));
            self.shared
                .metrics
                .running_tasks
                .get_or_create(&label)
                .set(running);
        }
    }

    /// Logs a call that the policy refused, which means that two parts of the daemon disagree about
    /// its state.
    fn log_policy_error(&self, call: &'static str, error: CellError) {
        let fields = slog::o!("call" => call, "fault" => error.to_string());
        self.shared
            .log
            .write(crate::logging::EventId::PolicyFault, fields);
    }
}

impl Message<Replan> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, _replan: Replan, _ctx: &mut Context<Self, ()>) {
        self.replan();
        self.refresh_workers();
        self.decide();
    }
}

impl Message<Tick> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.decide();
    }
}

#[cfg(test)]
mod tests;
