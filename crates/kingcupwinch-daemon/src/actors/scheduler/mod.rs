//! Drives the policy: what waits, which workers there are, and what starts where.

mod demand;
mod fleet;
mod inspect;
mod live;
mod seat;

use std::sync::Arc;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::ShardId;
use kingcupwinch_policy::{Cell, Decision, Fault, MachineKey, Plan, TaskKey};
use kingcupwinch_time::Time;
use kingcupwinch_wire::roster::Instance;
use rustc_hash::{FxHashMap, FxHashSet};

pub(crate) use demand::{Connect, SiblingGrant, SiblingQueued};
pub(crate) use fleet::{Gained, Listed, Lost, PermitsChanged, Renewed, Reported};
pub(crate) use inspect::Inspect;
pub(crate) use live::{Cancel, LiveStart, Reach, RunEnd, RunReport, Submit, Verdict};

use super::alarm::{Alarm, Tick};
use crate::plan::make_plan;
use crate::shared::Shared;
use demand::Demand;
use fleet::Holding;
use live::LiveEntry;
use seat::Seat;

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
    seats: FxHashMap<Arc<str>, Seat>,
    machines: FxHashMap<MachineKey, Arc<str>>,
    live: FxHashMap<TaskKey, LiveEntry>,
    demand: Demand,
}

impl Actor for Scheduler {
    type Args = SchedulerArgs;
    type Error = Fault;

    async fn on_start(args: SchedulerArgs, me: ActorRef<Self>) -> Result<Self, Fault> {
        let mut scheduler = Scheduler {
            cell: Cell::new(Plan::new(), args.seed)?,
            shared: args.shared,
            me,
            alarm: Alarm::default(),
            decisions: Vec::new(),
            holdings: FxHashMap::default(),
            permitted: FxHashSet::default(),
            listed: Vec::new(),
            seats: FxHashMap::default(),
            machines: FxHashMap::default(),
            live: FxHashMap::default(),
            demand: Demand::default(),
        };
        scheduler.cell.set_elsewhere(None);
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
        let domain = &self.shared.settings.instance.domain;
        let plan = make_plan(&config.tree, domain);
        let now = self.now();
        // Every tree in force has passed checks that are at least as strict as the plan's.
        if let Err(fault) = self.cell.replan(plan, now) {
            self.note_fault("replan", fault);
        }
    }

    /// Lets the policy decide and carries its decisions out.
    fn decide(&mut self) {
        let now = self.now();
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
        self.publish_counts();
        self.offer(now);
        let look = self.announce(now);
        let next = [self.cell.next_deadline(), look]
            .into_iter()
            .flatten()
            .min();
        self.alarm.set(next, now, &self.me);
    }

    fn carry_out(&mut self, decision: Decision, now: Time) {
        match decision {
            Decision::Start(place) => self.start_live(place, now),
            Decision::StartGang { .. } => {}
            Decision::Throttle { .. } | Decision::Checkpoint(_) | Decision::Stop(_) => {}
            Decision::GiveUp { task, refusal } => self.give_up_live(task, refusal),
        }
    }

    fn publish_counts(&self) {
        let (slots, busy) = self.slot_counts();
        self.shared.metrics.slots.set(slots);
        self.shared.metrics.busy.set(busy);
    }

    /// Logs a call that the policy refused; it means that two parts of the daemon disagree.
    fn note_fault(&self, what: &'static str, fault: Fault) {
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
