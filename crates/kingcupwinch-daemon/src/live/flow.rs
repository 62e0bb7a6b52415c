//! Waiting for a place, and trying until there is an answer.

use std::sync::Arc;

use hyper::Response;
use hyper::header::HeaderValue;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use kingcupwinch_policy::{Disposition, NotStarted, Placement, Refusal, TaskKey};
use kingcupwinch_wire::api::{Problem, ProblemOutcome};
use tokio::sync::{mpsc, oneshot};

use super::LiveRequest;
use super::attempt::Attempted;
use super::refuse::{DEFAULT_RETRY, hung_up_problem, outcome_of, refuse, stopping};
use crate::actors::scheduler::{Cancel, Reach, RunEnd, RunReport, Scheduler, Submit, Verdict};
use crate::keys::{KeyRun, KeyService};
use crate::metrics::Outcome;
use crate::server::body::Body;
use crate::server::headers::{ANSWER, RAN};
use crate::server::problem::{respond, unknown};
use crate::shared::Shared;
use crate::siblings::{Domains, Siblings};

/// How often a request is forwarded before it stays with this instance's workers.
const MAX_FORWARDS: u32 = 3;

/// Runs live requests.
#[derive(Clone)]
pub(crate) struct LiveService {
    pub(super) shared: Arc<Shared>,
    pub(super) scheduler: ActorRef<Scheduler>,
    pub(super) siblings: Arc<Siblings>,
    pub(super) keys: KeyService,
    pub(super) domains: Arc<Domains>,
}

/// How a request was answered.
pub(super) enum Answer {
    /// By the worker.
    Worker(Response<Body>),
    /// By a refusal.
    Problem(Problem),
}

/// A request on its way, with its leave to run where it may run only once.
pub(super) struct Job {
    pub(super) request: LiveRequest,
    pub(super) key: Option<KeyRun>,
    pub(super) forwards: u32,
    /// Whether an earlier attempt may have run.
    pub(super) unsure: bool,
}

impl Job {
    /// A request of which an attempt may have run is never refused as not run.
    fn tell_truth(&self, answer: Answer) -> Answer {
        match answer {
            Answer::Problem(mut problem) if self.unsure => {
                if problem.outcome == ProblemOutcome::NotRun {
                    problem.outcome = ProblemOutcome::Unknown;
                }
                Answer::Problem(problem)
            }
            other => other,
        }
    }
}

/// What waiting ended with.
enum Waited {
    Verdict(Verdict),
    Over(Problem),
}

impl LiveService {
    /// Makes the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        scheduler: ActorRef<Scheduler>,
        siblings: Arc<Siblings>,
        keys: KeyService,
        domains: Arc<Domains>,
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
            Answer::Problem(problem) => outcome_of(problem),
        };
        self.shared.metrics.count(&class, outcome);
        into_response(answer)
    }

    /// Runs a request that a sibling forwarded; the answer says whether it is the worker's own.
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

    /// Works in a task of its own, so a caller that hangs up cancels only what has not started.
    async fn spawn_answer(&self, request: LiveRequest) -> Answer {
        let (hang_up, hung_up) = oneshot::channel::<()>();
        let service = self.clone();
        let flow = tokio::spawn(async move { service.answer(request, hung_up).await });
        let answer = flow.await;
        drop(hang_up);
        let failed = |_| Answer::Problem(unknown("internal-error", "the request's handler failed"));
        answer.unwrap_or_else(failed)
    }

    async fn answer(&self, mut request: LiveRequest, mut hung_up: oneshot::Receiver<()>) -> Answer {
        let key = match self.take_leave(&mut request).await {
            Ok(key) => key,
            Err(answer) => return answer,
        };
        let mut job = Job {
            request,
            key,
            forwards: 0,
            unsure: false,
        };
        loop {
            match self.try_placed(&mut job, &mut hung_up).await {
                Attempted::Answered(answer) => return job.tell_truth(answer),
                Attempted::Again => {}
            }
        }
    }

    /// Waits in the scheduler once, and tries every place that it names.
    async fn try_placed(&self, job: &mut Job, hung_up: &mut oneshot::Receiver<()>) -> Attempted {
        let (sender, mut verdicts) = mpsc::unbounded_channel();
        let task = match self.submit(job, sender).await {
            Ok(task) => task,
            Err(refusal) => return Attempted::refused(refuse(&refusal)),
        };
        loop {
            let verdict = match self.wait(task, &mut verdicts, hung_up).await {
                Waited::Verdict(verdict) => verdict,
                Waited::Over(problem) => return Attempted::refused(problem),
            };
            match verdict {
                Verdict::Start(start) => match self.run_once(job, start).await {
                    Attempted::Again => {}
                    answered => return answered,
                },
                Verdict::Forward(member) => return self.forward_once(job, &member).await,
                Verdict::GiveUp(refusal) => return Attempted::refused(refuse(&refusal)),
            }
        }
    }

    async fn wait(
        &self,
        task: TaskKey,
        verdicts: &mut mpsc::UnboundedReceiver<Verdict>,
        hung_up: &mut oneshot::Receiver<()>,
    ) -> Waited {
        let problem = tokio::select! {
            verdict = verdicts.recv() => match verdict {
                Some(verdict) => return Waited::Verdict(verdict),
                None => stopping(),
            },
            _ = hung_up => hung_up_problem(),
            () = self.shared.lifecycle.halted() => stopping(),
        };
        self.withdraw(task, verdicts).await;
        Waited::Over(problem)
    }

    /// Takes a request out of the scheduler, with a start that may be on its way.
    async fn withdraw(&self, task: TaskKey, verdicts: &mut mpsc::UnboundedReceiver<Verdict>) {
        // A stopped scheduler has nothing left to cancel.
        let _ = self.scheduler.ask(Cancel(task)).await;
        while let Ok(verdict) = verdicts.try_recv() {
            let Verdict::Start(start) = verdict else {
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
        job: &Job,
        verdicts: mpsc::UnboundedSender<Verdict>,
    ) -> Result<TaskKey, Refusal> {
        let request = &job.request;
        let reach = match &request.hop {
            Some(hop) => Reach::Granted(hop.sender()),
            None if job.forwards >= MAX_FORWARDS => Reach::Own,
            None => Reach::Domain,
        };
        let submit = Submit {
            id: request.id,
            class: Arc::clone(&request.class),
            customer: Arc::clone(&request.customer),
            arrived: request.arrived,
            deadline: request.deadline,
            idempotent: request.idempotent,
            reach,
            verdicts,
        };
        match self.scheduler.ask(submit).await {
            Ok(task) => Ok(task),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::QueueFull(DEFAULT_RETRY)),
        }
    }

    /// Takes a request out of the scheduler.
    pub(super) async fn cancel(&self, task: TaskKey) {
        // A stopped scheduler has nothing left to cancel.
        let _ = self.scheduler.tell(Cancel(task)).await;
    }

    /// Reports the end of a run, and hears what becomes of the request.
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
