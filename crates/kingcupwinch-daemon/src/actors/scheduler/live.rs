//! Live requests. They queue in the scheduler and are dispatched by the handler that answers their
//! caller.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::record::Member;
use kingcupwinch_policy::{
    Crashes, Disposition, Exit, NotStarted, Outcome, Placement, Refusal, TaskKey, TaskSpec,
};
use kingcupwinch_time::{Span, Time};
use tokio::sync::mpsc;
use uuid::Uuid;

use super::Scheduler;
use crate::metrics::ClassLabel;
use crate::plan::typical_size;
use crate::worker::Worker;

/// Retry delay for a sibling that forwards without a valid grant.
const NO_CREDIT_RETRY: Span = Span::from_millis(50);

/// A decision about a queued live request. A request may get several of them in turn.
#[derive(Debug)]
pub(crate) enum LiveDecision {
    /// Run the request now and report the outcome.
    Start(LiveStart),
    /// Forward the request to this sibling, which granted capacity for it. It has left the local
    /// queue.
    Forward(Arc<Member>),
    /// The request did not run and will not be run.
    GiveUp(Refusal),
}

/// Permission to run a request once.
#[derive(Debug, Clone)]
pub(crate) struct LiveStart {
    /// The placement, to be named in the report.
    pub(crate) place: Placement,
    /// The worker to run it on.
    pub(crate) worker: Arc<Worker>,
}

/// The workers on which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementScope {
    /// This instance's workers and those of any sibling that grants capacity.
    Domain,
    /// This instance's workers only.
    Local,
    /// This instance's workers only, under the credit granted to this sibling.
    Granted(Incarnation),
}

/// Submits a live request.
#[derive(Debug)]
pub(crate) struct SubmitLive {
    /// Id of the request.
    pub(crate) id: Uuid,
    /// Name of its class.
    pub(crate) class: Arc<str>,
    /// Name of its customer.
    pub(crate) customer: Arc<str>,
    /// Time of arrival.
    pub(crate) arrived: Time,
    /// Time after which the answer is of no use.
    pub(crate) deadline: Option<Time>,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Number of earlier runs whose outcome is unknown.
    pub(crate) losses: u8,
    /// The workers on which it may run.
    pub(crate) scope: PlacementScope,
    /// Receives the scheduler's decisions.
    pub(crate) decisions: mpsc::UnboundedSender<LiveDecision>,
}

/// Cancels a request whose caller has disconnected. A run that has started continues.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelLive(pub(crate) TaskKey);

/// The end of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunEnd {
    /// The run certainly did not start.
    NotStarted(NotStarted),
    /// The worker answered.
    Done {
        /// Duration of the run.
        ran: Span,
    },
    /// The worker answered with a server error.
    Failed {
        /// Duration of the run.
        ran: Span,
    },
    /// The outcome is unknown; the run may still be going on.
    Unknown {
        /// Duration so far.
        ran: Span,
    },
}

/// Reports the end of a run; the reply says what happens to the request next.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunReport {
    /// The placement that ran.
    pub(crate) place: Placement,
    /// The end of the run.
    pub(crate) end: RunEnd,
}

/// A live request that is queued or running.
#[derive(Debug)]
pub(super) struct LiveEntry {
    /// Id of the request.
    pub(super) id: Uuid,
    /// Name of its class.
    pub(super) class: Arc<str>,
    /// Time of arrival.
    pub(super) arrived: Time,
    /// Time after which the answer is of no use.
    pub(super) deadline: Option<Time>,
    /// Receives the scheduler's decisions.
    pub(super) decisions: mpsc::UnboundedSender<LiveDecision>,
    scope: PlacementScope,
    started: bool,
}

impl LiveEntry {
    /// Returns whether the request is queued and may run on a sibling's workers.
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
            .with_idempotent(submit.idempotent)
            .with_crashes(Crashes::new(submit.losses, 0));
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
            Some(credit) => self.cell.submit_with_credit(credit, spec, now),
            None => Err(Refusal::QueueFull(NO_CREDIT_RETRY)),
        }
    }

    /// Removes a request that has left the cell.
    pub(super) fn remove_live(&mut self, task: TaskKey) -> Option<LiveEntry> {
        self.live.remove(&task)
    }

    /// Tells a request's handler to run it, or withdraws the request if the handler has stopped.
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
            Ok(Disposition::Requeued) => self.cancel_live(place.task),
            Ok(_) => {
                self.live.remove(&place.task);
            }
            Err(error) => self.log_policy_error("not_started", error),
        }
    }

    pub(super) fn give_up_live(&mut self, task: TaskKey, refusal: Refusal) {
        if let Some(entry) = self.live.remove(&task) {
            // A handler that has stopped needs no reply.
            let _ = entry.decisions.send(LiveDecision::GiveUp(refusal));
        }
    }

    fn cancel_live(&mut self, task: TaskKey) {
        let now = self.now();
        // A request that was already placed stays until its run is reported.
        if let Ok(kingcupwinch_policy::CancelOutcome::Left) = self.cell.cancel(task, now) {
            self.live.remove(&task);
        }
    }

    fn apply_run_report(&mut self, report: RunReport) -> Disposition {
        let now = self.now();
        let place = report.place;
        let next = match report.end {
            RunEnd::NotStarted(reason) => self.record_refusal(place, reason, now),
            RunEnd::Done { ran } => self.cell.ended(place, Exit::new(Outcome::Done, ran), now),
            RunEnd::Failed { ran } => self.cell.ended(place, Exit::new(Outcome::Failed, ran), now),
            RunEnd::Unknown { ran } => self.record_unknown(place, ran, now),
        };
        let next = next.unwrap_or_else(|error| {
            self.log_policy_error("run report", error);
            Disposition::Left
        });
        if next != Disposition::Requeued {
            self.live.remove(&place.task);
        } else if let Some(entry) = self.live.get_mut(&place.task) {
            entry.started = false;
            // A sibling would not count the run that was lost here.
            let lost = matches!(report.end, RunEnd::Unknown { .. });
            if lost && entry.scope == PlacementScope::Domain {
                entry.scope = PlacementScope::Local;
            }
        }
        next
    }

    fn record_refusal(
        &mut self,
        place: Placement,
        reason: NotStarted,
        now: Time,
    ) -> Result<Disposition, kingcupwinch_policy::CellError> {
        self.handle_refusal(place, reason);
        self.cell.not_started(place, reason, now)
    }

    /// Stops dispatching to a worker that is leaving, or whose shard has no permit.
    pub(super) fn handle_refusal(&mut self, place: Placement, reason: NotStarted) {
        match reason {
            NotStarted::Leaving => {
                if let Some(name) = self.machines.get(&place.machine).cloned() {
                    self.mark_leaving(&name);
                }
            }
            NotStarted::Withheld => self.refresh_permits(),
            NotStarted::Full | NotStarted::Unreachable | NotStarted::Refused => {}
        }
    }

    /// Records a run with an unknown outcome. Its capacity stays reserved until a report shows that
    /// it has ended.
    fn record_unknown(
        &mut self,
        place: Placement,
        ran: Span,
        now: Time,
    ) -> Result<Disposition, kingcupwinch_policy::CellError> {
        let work = self
            .live
            .get(&place.task)
            .map(|entry| (entry.id, Arc::clone(&entry.class)));
        let next = self.cell.ended(place, Exit::new(Outcome::Lost, ran), now)?;
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
    type Reply = Result<Disposition, std::convert::Infallible>;

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
