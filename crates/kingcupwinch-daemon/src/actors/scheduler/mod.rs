//! Drives the policy: what waits, which workers there are, and what starts where.

mod control;
mod demand;
mod fleet;
mod inherit;
mod inspect;
mod lend;
mod live;
mod runs;
mod seat;
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

pub(crate) use demand::{Connect, SiblingGrant, SiblingQueued};
pub(crate) use fleet::{
    DrainWorker, Drained, Gained, Listed, Lost, PermitsChanged, Renewed, Reported,
};
pub(crate) use inspect::Inspect;
pub(crate) use lend::Borrow;
pub(crate) use live::{Cancel, LiveStart, Reach, RunEnd, RunReport, Submit, Verdict};

pub(crate) use tasks::{CancelTasks, DropWaiting, RunTasks};

use super::alarm::{Alarm, Tick};
use super::jobs::JobKeeper;
use crate::metrics::ClassLabel;
use crate::plan::make_plan;
use crate::shared::Shared;
use crate::siblings::Siblings;
use control::Command;
use demand::Demand;
use fleet::Holding;
use live::LiveEntry;
use seat::Seat;
use tasks::TaskEntry;

/// The least time between two publications of counts.
const COUNT_GAP: Span = Span::from_millis(100);

/// Percent of full speed.
const WHOLE_PERCENT: u8 = 100;

/// What the scheduler starts from.
pub(crate) struct SchedulerArgs {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
    /// Seed of the policy's random numbers.
    pub(crate) seed: u64,
}

/// A new configuration is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Replan;

/// Drives a [`Cell`].
pub(crate) struct Scheduler {
    shared: Arc<Shared>,
    me: ActorRef<Scheduler>,
    cell: Cell,
    alarm: Alarm,
    decisions: Vec<Decision>,
    holdings: FxHashMap<ShardId, Holding>,
    permitted: FxHashSet<ShardId>,
    listed: Vec<Instance>,
    drained: FxHashSet<Arc<str>>,
    seats: FxHashMap<Arc<str>, Seat>,
    machines: FxHashMap<MachineKey, Arc<str>>,
    live: FxHashMap<TaskKey, LiveEntry>,
    tasks: FxHashMap<TaskKey, TaskEntry>,
    task_keys: FxHashMap<TaskId, TaskKey>,
    orphans: Vec<(Time, Placement)>,
    borrowed: Vec<(Time, TaskKey)>,
    renew_at: Time,
    recheck: Option<Time>,
    count_at: Time,
    told_group: Vec<Incarnation>,
    jobs: Option<ActorRef<JobKeeper>>,
    demand: Demand,
    /// The version of the configuration that the cell plans by.
    planned: Version,
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
            holdings: FxHashMap::default(),
            permitted: FxHashSet::default(),
            listed: Vec::new(),
            drained: FxHashSet::default(),
            seats: FxHashMap::default(),
            machines: FxHashMap::default(),
            live: FxHashMap::default(),
            tasks: FxHashMap::default(),
            task_keys: FxHashMap::default(),
            orphans: Vec::new(),
            borrowed: Vec::new(),
            renew_at: Time::ZERO,
            recheck: None,
            count_at: Time::ZERO,
            told_group: Vec::new(),
            jobs: None,
            demand: Demand::default(),
            planned: Version(0),
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
        // Every tree in force has passed checks that are at least as strict as the plan's.
        if let Err(fault) = self.cell.update_plan(plan, now) {
            self.note_fault("replan", fault);
        }
        self.planned = config.version;
    }

    /// Plans by the configuration in force before work is judged by it: a caller may have seen it in
    /// force before the message to plan anew has arrived here.
    fn catch_up(&mut self) {
        if self.shared.config.load().version > self.planned {
            self.replan();
            self.refresh_seats();
        }
    }

    /// Lets the policy decide and carries its decisions out.
    fn decide(&mut self) {
        let now = self.now();
        if self.recheck.is_some_and(|at| at <= now) {
            self.refresh_permits();
        }
        let orphans = self.lose_orphans(now);
        let borrowed = self.return_borrowed(now);
        let began = Instant::now();
        let mut decisions = std::mem::take(&mut self.decisions);
        self.cell.decide(now, &mut decisions);
        self.shared
            .metrics
            .decisions
            .observe(began.elapsed().as_secs_f64());
        for decision in decisions.drain(..) {
            self.carry_out(decision, now);
        }
        self.decisions = decisions;
        self.publish_counts(now);
        self.offer(now);
        let look = self.announce(now);
        let renew = Some(self.renew_leases(now)).filter(|_| !self.tasks.is_empty());
        let times = [
            self.cell.next_deadline(),
            look,
            orphans,
            borrowed,
            renew,
            self.recheck,
        ];
        let next = times.into_iter().flatten().min();
        self.alarm.set(next, now, &self.me);
    }

    fn carry_out(&mut self, decision: Decision, now: Time) {
        match decision {
            Decision::Start(place) => self.start(place, now),
            Decision::StartGang { places, .. } => {
                for place in places {
                    self.start_task(place, now);
                }
            }
            Decision::Throttle { target, percent } => {
                self.command(
                    target,
                    Command::Throttle(WHOLE_PERCENT.saturating_sub(percent)),
                );
            }
            Decision::Checkpoint(place) => self.command(place, Command::SaveAndStop),
            Decision::Stop(place) => self.command(place, Command::Stop),
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

    /// Tells the job keeper something; before there is one, no task exists.
    fn tell_jobs<M: Send + 'static>(&self, message: M)
    where
        JobKeeper: Message<M>,
    {
        if let Some(jobs) = &self.jobs {
            // Its mailbox has no bound, so only a keeper that has stopped hears nothing.
            let _ = jobs.tell(message).try_send();
        }
    }

    fn siblings(&self) -> Option<Arc<Siblings>> {
        self.demand.siblings()
    }

    /// Publishes what waits and runs, a few times a second at the most.
    fn publish_counts(&mut self, now: Time) {
        if now < self.count_at {
            return;
        }
        self.count_at = now + COUNT_GAP;
        let (slots, busy) = self.slot_counts();
        self.shared.metrics.slots.set(slots);
        self.shared.metrics.busy.set(busy);
        let config = self.shared.config.load_full();
        for class in config.tree.classes.keys() {
            let Some(key) = self.cell.class(class) else {
                continue;
            };
            let label = ClassLabel {
                class: Arc::clone(class),
            };
            let queued = i64::try_from(self.cell.queued(key)).unwrap_or(i64::MAX);
            self.shared.metrics.queued.get_or_create(&label).set(queued);
            let running = i64::from(self.cell.running(key));
            self.shared
                .metrics
                .running
                .get_or_create(&label)
                .set(running);
        }
    }

    /// Logs a call that the policy refused; it means that two parts of the daemon disagree.
    fn note_fault(&self, what: &'static str, fault: CellError) {
        let fields = slog::o!("call" => what, "fault" => fault.to_string());
        self.shared
            .log
            .write(crate::logging::EventId::PolicyFault, fields);
    }
}

impl Message<Replan> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, _replan: Replan, _ctx: &mut Context<Self, ()>) {
        self.replan();
        self.refresh_seats();
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
