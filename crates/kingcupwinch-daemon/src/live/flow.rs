//! Waiting, running, retrying and answering.

use std::sync::Arc;

use hyper::{Response, StatusCode};
use kameo::actor::ActorRef;
use kameo::error::SendError;
use kingcupwinch_platform::AnswerBody;
use kingcupwinch_policy::{Next, Placement, Refusal, TaskKey};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::{Problem, ProblemOutcome};
use slog::o;
use tokio::sync::{mpsc, oneshot};

use super::LiveRequest;
use super::dispatch::{ran_since, run_on_worker, why_not_started};
use crate::actors::scheduler::{Cancel, LiveStart, RunEnd, RunReport, Scheduler, Submit, Verdict};
use crate::logging::EventId;
use crate::metrics::Outcome;
use crate::server::body::{Body, Relayed, relay_answer};
use crate::server::headers::strip;
use crate::server::problem::{not_run, respond, try_later, unknown};
use crate::shared::Shared;

/// When a caller may come back where the policy names no time.
const DEFAULT_RETRY: Span = Span::from_secs(1);

/// Runs live requests.
#[derive(Debug, Clone)]
pub(crate) struct LiveService {
    shared: Arc<Shared>,
    scheduler: ActorRef<Scheduler>,
}

/// How a request was answered.
enum Answer {
    /// By the worker.
    Worker(Response<Body>),
    /// By a refusal.
    Problem(Problem),
}

impl LiveService {
    /// Makes a service over a scheduler.
    pub(crate) fn new(shared: Arc<Shared>, scheduler: ActorRef<Scheduler>) -> Self {
        LiveService { shared, scheduler }
    }

    /// Runs a request and returns its answer.
    ///
    /// The work goes on in a task of its own, so a caller that hangs up cancels only what has not
    /// started.
    pub(crate) async fn run(&self, request: LiveRequest) -> Response<Body> {
        let class = Arc::clone(&request.class);
        let (hang_up, hung_up) = oneshot::channel();
        let service = self.clone();
        let flow = tokio::spawn(async move { service.answer(request, hung_up).await });
        let answer = flow.await;
        drop(hang_up);
        match answer {
            Ok(Answer::Worker(response)) => {
                self.shared.metrics.count(&class, Outcome::Ran);
                response
            }
            Ok(Answer::Problem(problem)) => {
                self.shared.metrics.count(&class, outcome_of(&problem));
                respond(&problem)
            }
            Err(_) => respond(&unknown("internal-error", "the request's handler failed")),
        }
    }

    async fn answer(&self, mut request: LiveRequest, mut hung_up: oneshot::Receiver<()>) -> Answer {
        let (sender, mut verdicts) = mpsc::unbounded_channel();
        let task = match self.submit(&request, sender).await {
            Ok(task) => task,
            Err(refusal) => return Answer::Problem(refuse(&refusal)),
        };
        loop {
            let verdict = tokio::select! {
                verdict = verdicts.recv() => verdict,
                _ = &mut hung_up => {
                    self.cancel(task).await;
                    return Answer::Problem(hung_up_problem());
                }
                () = self.shared.lifecycle.halted() => {
                    self.cancel(task).await;
                    return Answer::Problem(stopping());
                }
            };
            match verdict {
                Some(Verdict::Start(start)) => {
                    if let Some(answer) = self.try_run(&mut request, start).await {
                        return answer;
                    }
                }
                Some(Verdict::GiveUp(refusal)) => return Answer::Problem(refuse(&refusal)),
                None => return Answer::Problem(stopping()),
            }
        }
    }

    async fn submit(
        &self,
        request: &LiveRequest,
        verdicts: mpsc::UnboundedSender<Verdict>,
    ) -> Result<TaskKey, Refusal> {
        let submit = Submit {
            id: request.id,
            class: Arc::clone(&request.class),
            customer: Arc::clone(&request.customer),
            arrived: request.arrived,
            deadline: request.deadline,
            idempotent: request.idempotent,
            verdicts,
        };
        match self.scheduler.ask(submit).await {
            Ok(task) => Ok(task),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::QueueFull(DEFAULT_RETRY)),
        }
    }

    async fn cancel(&self, task: TaskKey) {
        // A stopped scheduler has nothing left to cancel.
        let _ = self.scheduler.tell(Cancel(task)).await;
    }

    /// Runs the request once; none means that it waits again.
    async fn try_run(&self, request: &mut LiveRequest, start: LiveStart) -> Option<Answer> {
        let began = self.shared.now();
        let Some(body) = request.body.take(&self.shared.settings.hold) else {
            return Some(self.give_back(start.place).await);
        };
        let run = run_on_worker(&self.shared, request, body, &start);
        let ran = tokio::select! {
            ran = run => ran,
            () = self.shared.lifecycle.halted() => {
                return Some(Answer::Problem(unknown("stopping", "the instance ended at once")));
            }
        };
        match ran {
            Ok(response) if response.status().is_server_error() => {
                self.take_failure(request, start.place, response, began)
                    .await
            }
            Ok(response) => Some(self.pass_on(start.place, response, began)),
            Err(error) => match why_not_started(&error) {
                Some(why) => {
                    self.note(EventId::WorkerRefused, &start, &error.to_string());
                    let next = self.report(start.place, RunEnd::NotStarted(why)).await;
                    self.after_not_run(request, next, &error.to_string()).await
                }
                None => {
                    self.note(EventId::DispatchUnsure, &start, &error.to_string());
                    let end = RunEnd::Unsure {
                        ran: ran_since(&self.shared, began),
                    };
                    let next = self.report(start.place, end).await;
                    self.after_unsure(request, next, &error.to_string()).await
                }
            },
        }
    }

    /// A body that was sent once can't be sent again.
    async fn give_back(&self, place: Placement) -> Answer {
        let why = RunEnd::NotStarted(kingcupwinch_policy::NotStarted::Full);
        if self.report(place, why).await == Next::Requeued {
            self.cancel(place.task).await;
        }
        let detail = "the worker refused it, and its body is too large to be kept for a retry";
        Answer::Problem(try_later("not-retried", detail, DEFAULT_RETRY))
    }

    async fn after_not_run(&self, request: &LiveRequest, next: Next, why: &str) -> Option<Answer> {
        match next {
            Next::Requeued if request.body.can_send() => None,
            Next::Requeued | Next::Left => Some(Answer::Problem(try_later(
                "not-started",
                why,
                DEFAULT_RETRY,
            ))),
            Next::GaveUp(refusal) => Some(Answer::Problem(refuse(&refusal))),
        }
    }

    async fn after_unsure(&self, request: &LiveRequest, next: Next, why: &str) -> Option<Answer> {
        let again = next == Next::Requeued && request.body.can_send();
        (!again).then(|| Answer::Problem(unknown("no-answer", why)))
    }

    /// A worker's own error is an answer; only idempotent work may be run again instead.
    async fn take_failure(
        &self,
        request: &LiveRequest,
        place: Placement,
        response: Response<AnswerBody>,
        began: Time,
    ) -> Option<Answer> {
        let ran = ran_since(&self.shared, began);
        let (parts, body) = response.into_parts();
        let (released, ended) = oneshot::channel();
        let body = relay_answer(body, &self.shared.settings.hold, Hear(released));
        // The slot is free once the worker's side has ended.
        let _ = ended.await;
        let next = self.report(place, RunEnd::Failed { ran }).await;
        if next == Next::Requeued && request.body.can_send() {
            return None;
        }
        if next == Next::Requeued {
            self.cancel(place.task).await;
        }
        Some(Answer::Worker(clean(Response::from_parts(parts, body))))
    }

    fn pass_on(&self, place: Placement, response: Response<AnswerBody>, began: Time) -> Answer {
        let (parts, body) = response.into_parts();
        let done = Finish {
            service: self.clone(),
            place,
            began,
        };
        let body = relay_answer(body, &self.shared.settings.hold, done);
        Answer::Worker(clean(Response::from_parts(parts, body)))
    }

    async fn report(&self, place: Placement, end: RunEnd) -> Next {
        let next = self.scheduler.ask(RunReport { place, end }).await;
        next.unwrap_or(Next::Left)
    }

    fn note(&self, event: EventId, start: &LiveStart, why: &str) {
        let fields = o!("worker" => start.worker.name.to_string(), "why" => why.to_owned());
        self.shared.log.write(event, fields);
    }
}

/// Reports the end of a run when the worker's side of the answer has ended.
struct Finish {
    service: LiveService,
    place: Placement,
    began: Time,
}

impl Relayed for Finish {
    fn ended(self, whole: bool) {
        let ran = ran_since(&self.service.shared, self.began);
        let end = if whole {
            RunEnd::Done { ran }
        } else {
            RunEnd::Unsure { ran }
        };
        tokio::spawn(async move {
            let next = self.service.report(self.place, end).await;
            if next == Next::Requeued {
                // Its answer has begun, so it can't be run again for this caller.
                self.service.cancel(self.place.task).await;
            }
        });
    }
}

/// Hears that the worker's side has ended.
struct Hear(oneshot::Sender<()>);

impl Relayed for Hear {
    fn ended(self, _whole: bool) {
        // Nobody waits any more only if the request's handler has failed.
        let _ = self.0.send(());
    }
}

/// Removes what a worker may not say in the system's name.
fn clean(mut response: Response<Body>) -> Response<Body> {
    strip(response.headers_mut());
    response
}

fn refuse(refusal: &Refusal) -> Problem {
    let detail = refusal.to_string();
    let status = match refusal {
        Refusal::QueueFull(_) | Refusal::Deadline(_) | Refusal::NoRetry(_) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Refusal::RateLimit(_) => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Faulty => StatusCode::BAD_GATEWAY,
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let mut problem = not_run(status, refusal_code(refusal), detail);
    if matches!(refusal, Refusal::Faulty) {
        problem.outcome = ProblemOutcome::Failed;
    }
    problem.retry_ms = refusal.retry_after().map(|span| span.as_millis().max(1));
    problem
}

fn refusal_code(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull(_) => "queue-full",
        Refusal::RateLimit(_) => "rate-limit",
        Refusal::Deadline(_) => "deadline",
        Refusal::TooLarge(_) | Refusal::NoShape => "fits-no-worker",
        Refusal::TooWide => "gang-too-wide",
        Refusal::OverQuota => "over-quota",
        Refusal::BadSize(_) | Refusal::BadSpec => "bad-request",
        Refusal::UnknownClass => "unknown-class",
        Refusal::UnknownCustomer => "unknown-customer",
        Refusal::Cancelled => "cancelled",
        Refusal::NoRetry(_) => "retries-spent",
        Refusal::Faulty => "failed-everywhere",
    }
}

fn hung_up_problem() -> Problem {
    not_run(
        StatusCode::REQUEST_TIMEOUT,
        "cancelled",
        "the caller hung up",
    )
}

fn stopping() -> Problem {
    try_later("stopping", "this instance is stopping", DEFAULT_RETRY)
}

fn outcome_of(problem: &Problem) -> Outcome {
    match problem.outcome {
        ProblemOutcome::NotRun => Outcome::NotRun,
        ProblemOutcome::Unknown => Outcome::Unknown,
        ProblemOutcome::Failed => Outcome::Failed,
    }
}
