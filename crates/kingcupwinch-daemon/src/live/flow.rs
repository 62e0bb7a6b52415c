//! The life cycle of a live request: waiting for a placement, and attempts until there is an
//! answer.

use std::sync::Arc;

use hyper::Response;
use hyper::header::HeaderValue;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use kingcupwinch_policy::{Disposition, NotStarted, Placement, Refusal, TaskKey};
use kingcupwinch_wire::api::{Problem, ProblemOutcome};
use tokio::sync::{mpsc, oneshot};

use super::LiveRequest;
use super::attempt::AttemptEnd;
use super::refuse::{DEFAULT_RETRY, disconnect_problem, request_outcome, stopping, to_problem};
use crate::actors::scheduler::{
    CancelLive, LiveDecision, PlacementScope, RunEnd, RunReport, Scheduler, SubmitLive,
};
use crate::keys::{KeyRun, KeyService};
use crate::metrics::Outcome;
use crate::server::body::Body;
use crate::server::headers::{ANSWER, RAN};
use crate::server::problem::{respond, unknown};
use crate::shared::Shared;
use crate::siblings::{RemoteDomains, Siblings};

/// Maximum number of times that a request is forwarded. After that it stays on this instance's
/// workers.
const MAX_FORWARDS: u32 = 3;

/// Runs live requests.
#[derive(Clone)]
pub(crate) struct LiveService {
    pub(super) shared: Arc<Shared>,
    pub(super) scheduler: ActorRef<Scheduler>,
    pub(super) siblings: Arc<Siblings>,
    pub(super) keys: KeyService,
    pub(super) domains: Arc<RemoteDomains>,
}

/// The answer to a request.
pub(super) enum Answer {
    /// The worker's response.
    Worker(Response<Body>),
    /// A refusal.
    Problem(Problem),
}

/// A request in progress, with its run permission if it may run only once.
pub(super) struct ActiveRequest {
    pub(super) request: LiveRequest,
    pub(super) key: Option<KeyRun>,
    pub(super) forwards: u32,
    /// Number of forwarded attempts whose outcome is unknown.
    pub(super) losses: u8,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
}

impl ActiveRequest {
    /// Replaces the outcome "not run" by "unknown" if an earlier attempt may have run.
    fn correct_outcome(&self, answer: Answer) -> Answer {
        match answer {
            Answer::Problem(mut problem) if self.may_have_run => {
                if problem.outcome == ProblemOutcome::NotRun {
                    problem.outcome = ProblemOutcome::Unknown;
                }
                Answer::Problem(problem)
            }
            other => other,
        }
    }
}

/// The result of waiting for the scheduler.
enum WaitResult {
    Decision(LiveDecision),
    Stopped(Problem),
}

impl LiveService {
    /// Creates the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        scheduler: ActorRef<Scheduler>,
        siblings: Arc<Siblings>,
        keys: KeyService,
        domains: Arc<RemoteDomains>,
    ) -> Self {
        LiveService {
            shared,
            scheduler,
            siblings,
            keys,
            domains,
        }
    }

    /// Runs a caller's request and returns its answer.
    pub(crate) async fn run(&self, request: LiveRequest) -> Response<Body> {
        let class = Arc::clone(&request.class);
        let answer = self.spawn_answer(request).await;
        let outcome = match &answer {
            Answer::Worker(_) => Outcome::Ran,
            Answer::Problem(problem) => request_outcome(problem),
        };
        self.shared.metrics.count(&class, outcome);
        into_response(answer)
    }

    /// Runs a request that a sibling forwarded. A header of the answer says whether it is the
    /// worker's own.
    pub(crate) async fn run_forwarded(&self, request: LiveRequest) -> Response<Body> {
        let answer = self.spawn_answer(request).await;
        let is_own = matches!(answer, Answer::Worker(_));
        let mut response = into_response(answer);
        if is_own {
            response
                .headers_mut()
                .insert(ANSWER, HeaderValue::from_static(RAN));
        }
        response
    }

    /// Runs the request in a separate task, so that a caller that disconnects cancels only work
    /// that has not started.
    async fn spawn_answer(&self, request: LiveRequest) -> Answer {
        let (disconnect, disconnected) = oneshot::channel::<()>();
        let service = self.clone();
        let handler = tokio::spawn(async move { service.answer(request, disconnected).await });
        let answer = handler.await;
        drop(disconnect);
        let failed = |_| Answer::Problem(unknown("internal-error", "the request's handler failed"));
        answer.unwrap_or_else(failed)
    }

    async fn answer(
        &self,
        mut request: LiveRequest,
        mut disconnected: oneshot::Receiver<()>,
    ) -> Answer {
        let key = match self.acquire_key_run(&mut request).await {
            Ok(key) => key,
            Err(answer) => return answer,
        };
        let mut active = ActiveRequest {
            request,
            key,
            forwards: 0,
            losses: 0,
            may_have_run: false,
        };
        loop {
            match self.attempt_placement(&mut active, &mut disconnected).await {
                AttemptEnd::Answered(answer) => return active.correct_outcome(answer),
                AttemptEnd::Retry => {}
            }
        }
    }

    /// Queues the request in the scheduler and attempts every placement that it is given.
    async fn attempt_placement(
        &self,
        active: &mut ActiveRequest,
        disconnected: &mut oneshot::Receiver<()>,
    ) -> AttemptEnd {
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let task = match self.submit(active, sender).await {
            Ok(task) => task,
            Err(refusal) => return AttemptEnd::refused(to_problem(&refusal)),
        };
        loop {
            let decision = match self.wait(task, &mut decisions, disconnected).await {
                WaitResult::Decision(decision) => decision,
                WaitResult::Stopped(problem) => return AttemptEnd::refused(problem),
            };
            match decision {
                LiveDecision::Start(start) => match self.run_once(active, start).await {
                    AttemptEnd::Retry => {}
                    answered => return answered,
                },
                LiveDecision::Forward(member) => return self.forward_once(active, &member).await,
                LiveDecision::GiveUp(refusal) => return AttemptEnd::refused(to_problem(&refusal)),
            }
        }
    }

    async fn wait(
        &self,
        task: TaskKey,
        decisions: &mut mpsc::UnboundedReceiver<LiveDecision>,
        disconnected: &mut oneshot::Receiver<()>,
    ) -> WaitResult {
        let problem = tokio::select! {
            decision = decisions.recv() => match decision {
                Some(decision) => return WaitResult::Decision(decision),
                None => stopping(),
            },
            _ = disconnected => disconnect_problem(),
            () = self.shared.lifecycle.halted() => stopping(),
        };
        self.withdraw(task, decisions).await;
        WaitResult::Stopped(problem)
    }

    /// Removes a request from the scheduler and returns a placement that may be on its way.
    async fn withdraw(&self, task: TaskKey, decisions: &mut mpsc::UnboundedReceiver<LiveDecision>) {
        // A stopped scheduler has nothing left to cancel.
        let _ = self.scheduler.ask(CancelLive(task)).await;
        while let Ok(decision) = decisions.try_recv() {
            let LiveDecision::Start(start) = decision else {
                continue;
            };
            let end = RunEnd::NotStarted(NotStarted::Full);
            if self.report(start.place, end).await == Disposition::Requeued {
                self.cancel(task).await;
            }
        }
    }

    async fn submit(
        &self,
        active: &ActiveRequest,
        decisions: mpsc::UnboundedSender<LiveDecision>,
    ) -> Result<TaskKey, Refusal> {
        let request = &active.request;
        let scope = match &request.hop {
            Some(hop) => PlacementScope::Granted(hop.sender()),
            None if active.forwards >= MAX_FORWARDS || active.losses > 0 => PlacementScope::Local,
            None => PlacementScope::Domain,
        };
        let submit = SubmitLive {
            id: request.id,
            class: Arc::clone(&request.class),
            customer: Arc::clone(&request.customer),
            arrived: request.arrived,
            deadline: request.deadline,
            idempotent: request.idempotent,
            losses: active.losses,
            scope,
            decisions,
        };
        match self.scheduler.ask(submit).await {
            Ok(task) => Ok(task),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::QueueFull(DEFAULT_RETRY)),
        }
    }

    /// Removes a request from the scheduler.
    pub(super) async fn cancel(&self, task: TaskKey) {
        // A stopped scheduler has nothing left to cancel.
        let _ = self.scheduler.tell(CancelLive(task)).await;
    }

    /// Reports the end of a run, and returns what happens to the request next.
    pub(super) async fn report(&self, place: Placement, end: RunEnd) -> Disposition {
        let next = self.scheduler.ask(RunReport { place, end }).await;
        next.unwrap_or(Disposition::Left)
    }
}

fn into_response(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Worker(response) => response,
        Answer::Problem(problem) => respond(&problem),
    }
}
