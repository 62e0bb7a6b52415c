//! Live requests: they wait here and are dispatched by whoever answers their callers.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::record::Member;
use kingcupwinch_policy::{End, Next, NotStarted, Outcome, Placement, Refusal, TaskKey, TaskSpec};
use kingcupwinch_time::{Span, Time};
use tokio::sync::mpsc;
use uuid::Uuid;

use super::Scheduler;
use crate::metrics::ClassLabel;
use crate::plan::typical_size;
use crate::worker::Worker;

/// When a sibling may forward again after its grant has expired.
const NO_CREDIT_RETRY: Span = Span::from_millis(50);

/// What the scheduler says to a waiting live request; it may say several things in turn.
#[derive(Debug)]
pub(crate) enum LiveDecision {
    /// Run it now, and report the outcome.
    Start(LiveStart),
    /// Forward it to this sibling, which has granted demand for it; it is no longer waiting here.
    Forward(Arc<Member>),
    /// It did not run and never will.
    GiveUp(Refusal),
}

/// Leave to run a request once.
#[derive(Debug, Clone)]
pub(crate) struct LiveStart {
    /// The run, to be named in the report.
    pub(crate) place: Placement,
    /// Where to run it.
    pub(crate) worker: Arc<Worker>,
}

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementScope {
    /// On this instance's workers or on those of any sibling that grants demand.
    Domain,
    /// On this instance's workers only.
    Local,
    /// On this instance's workers only, under the demand granted to this sibling.
    Granted(Incarnation),
}

/// A live request that wants to run.
#[derive(Debug)]
pub(crate) struct SubmitLive {
    /// Its id.
    pub(crate) id: Uuid,
    /// Its class.
    pub(crate) class: Arc<str>,
    /// Its customer.
    pub(crate) customer: Arc<str>,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// When its answer is of no more use.
    pub(crate) deadline: Option<Time>,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Where it may run.
    pub(crate) scope: PlacementScope,
    /// Hears what becomes of it.
    pub(crate) decisions: mpsc::UnboundedSender<LiveDecision>,
}

/// The caller of a request has hung up; what has not started never will.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelLive(pub(crate) TaskKey);

/// How a run ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunEnd {
    /// It certainly did not start.
    NotStarted(NotStarted),
    /// The worker answered.
    Done {
        /// How long it ran.
        ran: Span,
    },
    /// The worker answered that it failed.
    Failed {
        /// How long it ran.
        ran: Span,
    },
    /// It may still run.
    Unknown {
        /// How long it has been running.
        ran: Span,
    },
}

/// Reports the end of a run; the reply says what becomes of the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunReport {
    /// The run.
    pub(crate) place: Placement,
    /// Its end.
    pub(crate) end: RunEnd,
}

/// A live request in the cell.
#[derive(Debug)]
pub(super) struct LiveEntry {
    /// Its id.
    pub(super) id: Uuid,
    /// Its class.
    pub(super) class: Arc<str>,
    /// When it arrived.
    pub(super) arrived: Time,
    /// When its answer is of no more use.
    pub(super) deadline: Option<Time>,
    /// Hears what becomes of it.
    pub(super) decisions: mpsc::UnboundedSender<LiveDecision>,
    scope: PlacementScope,
    started: bool,
}

impl LiveEntry {
    /// Returns whether it waits and may run at a sibling.
    pub(super) fn can_delegate(&self) -> bool {
        !self.started && self.scope == PlacementScope::Domain
    }
}

impl Scheduler {
    fn submit_live(&mut self, submit: SubmitLive) -> Result<TaskKey, Refusal> {
        self.replan_if_stale();
        let now = self.now();
        let config = self.shared.config.load_full();
        let class = config
            .tree
            .classes
            .get(&submit.class)
            .ok_or(Refusal::UnknownClass)?;
        let class_key = self
            .cell
            .class(&submit.class)
            .ok_or(Refusal::UnknownClass)?;
        let customer = self
            .cell
            .customer(&submit.customer)
            .ok_or(Refusal::UnknownCustomer)?;
        let run = Span::from_millis(class.task.run_ms.get());
        let mut spec = TaskSpec::new(class_key, customer, typical_size(class), run)
            .with_idempotent(submit.idempotent);
        if let Some(deadline) = submit.deadline {
            spec = spec.with_deadline(deadline);
        }
        let task = self.submit_spec(&submit, spec, now)?;
        let entry = LiveEntry {
            id: submit.id,
            class: submit.class,
            arrived: submit.arrived,
            deadline: submit.deadline,
            decisions: submit.decisions,
            scope: submit.scope,
            started: false,
        };
        self.live.insert(task, entry);
        Ok(task)
    }

    fn submit_spec(
        &mut self,
        submit: &SubmitLive,
        spec: TaskSpec,
        now: Time,
    ) -> Result<TaskKey, Refusal> {
        let PlacementScope::Granted(from) = submit.scope else {
            return self.cell.submit(spec, now);
        };
        match self.demand.take_credit(from, &submit.class, now) {
            Some(credit) => self.cell.spend(credit, spec, now),
            None => Err(Refusal::QueueFull(NO_CREDIT_RETRY)),
        }
    }

    /// Forgets a request that is no longer in the cell.
    pub(super) fn remove_live(&mut self, task: TaskKey) -> Option<LiveEntry> {
        self.live.remove(&task)
    }

    /// Tells the request's handler to run it; one whose handler is gone is withdrawn.
    pub(super) fn start_live(&mut self, place: Placement, now: Time) {
        let name = self.machines.get(&place.machine);
        let owned = name.and_then(|name| self.workers.get(name));
        let entry = self.live.get_mut(&place.task);
        let (Some(owned), Some(entry)) = (owned, entry) else {
            return self.withdraw(place, now);
        };
        entry.started = true;
        let worker = Arc::clone(&owned.worker);
        let label = ClassLabel {
            class: Arc::clone(&entry.class),
        };
        let waited = now.since(entry.arrived).as_secs_f64();
        let start = LiveStart { place, worker };
        if entry.decisions.send(LiveDecision::Start(start)).is_err() {
            return self.withdraw(place, now);
        }
        if place.attempt > 1 {
            self.shared.metrics.retries.get_or_create(&label).inc();
        } else {
            self.shared
                .metrics
                .waiting_seconds
                .get_or_create(&label)
                .observe(waited);
        }
    }

    fn withdraw(&mut self, place: Placement, now: Time) {
        match self.cell.not_started(place, NotStarted::Full, now) {
            Ok(Next::Requeued) => self.cancel_live(place.task),
            Ok(_) => {
                self.live.remove(&place.task);
            }
            Err(fault) => self.log_fault("not_started", fault),
        }
    }

    pub(super) fn give_up_live(&mut self, task: TaskKey, refusal: Refusal) {
        if let Some(entry) = self.live.remove(&task) {
            // A handler that is gone needs no answer.
            let _ = entry.decisions.send(LiveDecision::GiveUp(refusal));
        }
    }

    fn cancel_live(&mut self, task: TaskKey) {
        let now = self.now();
        // One that has been placed stays until its run is reported.
        if let Ok(kingcupwinch_policy::Cancel::Left) = self.cell.cancel(task, now) {
            self.live.remove(&task);
        }
    }

    fn apply_run_report(&mut self, report: RunReport) -> Next {
        let now = self.now();
        let place = report.place;
        let next = match report.end {
            RunEnd::NotStarted(why) => self.record_refusal(place, why, now),
            RunEnd::Done { ran } => self.cell.ended(place, End::new(Outcome::Done, ran), now),
            RunEnd::Failed { ran } => self.cell.ended(place, End::new(Outcome::Failed, ran), now),
            RunEnd::Unknown { ran } => self.record_unknown(place, ran, now),
        };
        let next = next.unwrap_or_else(|fault| {
            self.log_fault("run report", fault);
            Next::Left
        });
        if next != Next::Requeued {
            self.live.remove(&place.task);
        } else if let Some(entry) = self.live.get_mut(&place.task) {
            entry.started = false;
        }
        next
    }

    fn record_refusal(
        &mut self,
        place: Placement,
        why: NotStarted,
        now: Time,
    ) -> Result<Next, kingcupwinch_policy::Fault> {
        self.handle_refusal(place, why);
        self.cell.not_started(place, why, now)
    }

    /// Gives nothing more to a worker that is leaving, or that must not be dispatched to now.
    pub(super) fn handle_refusal(&mut self, place: Placement, why: NotStarted) {
        match why {
            NotStarted::Leaving => {
                if let Some(name) = self.machines.get(&place.machine).cloned() {
                    self.mark_leaving(&name);
                }
            }
            NotStarted::Withheld => self.refresh_permits(),
            NotStarted::Full | NotStarted::Unreachable | NotStarted::Refused => {}
        }
    }

    /// Keeps the capacity of a run that may go on counted until a report shows that it ended.
    fn record_unknown(
        &mut self,
        place: Placement,
        ran: Span,
        now: Time,
    ) -> Result<Next, kingcupwinch_policy::Fault> {
        let work = self
            .live
            .get(&place.task)
            .map(|entry| (entry.id, Arc::clone(&entry.class)));
        let next = self.cell.ended(place, End::new(Outcome::Lost, ran), now)?;
        if let (Some((id, class)), Some(name)) = (work, self.machines.get(&place.machine).cloned())
        {
            let config = self.shared.config.load_full();
            if let Some(class) = config.tree.classes.get(&class) {
                self.hold_unconfirmed(&name, place.machine, id, typical_size(class), now);
            }
        }
        Ok(next)
    }
}

impl Message<SubmitLive> for Scheduler {
    type Reply = Result<TaskKey, Refusal>;

    async fn handle(
        &mut self,
        submit: SubmitLive,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Result<TaskKey, Refusal> {
        let submitted = self.submit_live(submit);
        self.decide();
        submitted
    }
}

impl Message<CancelLive> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, cancel: CancelLive, _ctx: &mut Context<Self, ()>) {
        self.cancel_live(cancel.0);
        self.decide();
    }
}

impl Message<RunReport> for Scheduler {
    type Reply = Result<Next, std::convert::Infallible>;

    async fn handle(
        &mut self,
        report: RunReport,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let next = self.apply_run_report(report);
        self.decide();
        Ok(next)
    }
}
