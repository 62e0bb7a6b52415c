//! One attempt of a live request: on a worker of this instance, or at a sibling.

use std::sync::Arc;

use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use kingcupwinch_coord::dedupe::Refusal as Proof;
use kingcupwinch_coord::record::Member;
use kingcupwinch_platform::{ResponseBody, WorkerError};
use kingcupwinch_policy::{Disposition, NotStarted, Placement};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::Problem;
use kingcupwinch_wire::sibling::StoredResponse;
use kingcupwinch_wire::worker::Refusal;
use slog::o;
use tokio::sync::oneshot;

use super::dispatch::{run_on_worker, why_not_started};
use super::flow::{Answer, Job, LiveService};
use super::refuse::{DEFAULT_RETRY, refuse};
use crate::actors::scheduler::{LiveStart, RunEnd};
use crate::keys::KeyRun;
use crate::logging::EventId;
use crate::server::body::{AnswerEnd, Body, Relayed, relay_answer};
use crate::server::headers::strip;
use crate::server::problem::{try_later, unknown};
use crate::siblings::{Forwarded, forward};

/// What an attempt led to.
pub(super) enum Attempted {
    /// An answer for the caller.
    Answered(Answer),
    /// The request certainly did not run, or may run again.
    Again,
}

impl Attempted {
    /// Makes an answer of a refusal.
    pub(super) fn refused(problem: Problem) -> Self {
        Attempted::Answered(Answer::Problem(problem))
    }
}

impl LiveService {
    /// Runs the request once on a worker of this instance.
    pub(super) async fn run_once(&self, job: &mut Job, start: LiveStart) -> Attempted {
        let began = self.shared.now();
        let hold = self.shared.settings.hold;
        let Some(body) = job
            .request
            .body
            .take(&hold)
            .filter(|_| job.begin_dispatch())
        else {
            return self.give_back(start.place).await;
        };
        let run = run_on_worker(&self.shared, &job.request, body, &start);
        let ran = tokio::select! {
            ran = run => ran,
            () = self.shared.lifecycle.halted() => {
                return Attempted::refused(unknown("stopping", "the instance ended at once"));
            }
        };
        match ran {
            Ok(response) if response.status().is_server_error() => {
                self.take_failure(job, start.place, response, began).await
            }
            Ok(response) => self.pass_on(job, Some((start.place, began)), response),
            Err(error) => self.take_error(job, &start, &error, began).await,
        }
    }

    /// A body that was sent once can't be sent again.
    async fn give_back(&self, place: Placement) -> Attempted {
        let end = RunEnd::NotStarted(NotStarted::Full);
        if self.report(place, end).await == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        let detail = "its body is too large to be kept for another attempt";
        Attempted::refused(try_later("not-retried", detail, DEFAULT_RETRY))
    }

    async fn take_error(
        &self,
        job: &mut Job,
        start: &LiveStart,
        error: &WorkerError,
        began: Time,
    ) -> Attempted {
        let why = error.to_string();
        match why_not_started(error) {
            Some(reason) => {
                job.take_back(proof_of(error));
                self.note(EventId::WorkerRefused, start, &why);
                let next = self.report(start.place, RunEnd::NotStarted(reason)).await;
                after_not_run(job, next, &why)
            }
            None => {
                job.unsure = true;
                self.note(EventId::DispatchUnsure, start, &why);
                let ran = self.shared.now().since(began);
                let next = self.report(start.place, RunEnd::Unsure { ran }).await;
                self.after_unsure(job, start.place, next, &why).await
            }
        }
    }

    async fn after_unsure(
        &self,
        job: &Job,
        place: Placement,
        next: Disposition,
        why: &str,
    ) -> Attempted {
        if next == Disposition::Requeued && job.request.body.can_send() {
            return Attempted::Again;
        }
        if next == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        Attempted::refused(unknown("no-answer", why))
    }

    /// A worker's own error is an answer; only idempotent work may be run again instead.
    async fn take_failure(
        &self,
        job: &mut Job,
        place: Placement,
        response: Response<ResponseBody>,
        began: Time,
    ) -> Attempted {
        let ran = self.shared.now().since(began);
        let (parts, body) = response.into_parts();
        let (sender, ended) = oneshot::channel();
        let done =
            Finish::new(self, job.key.take(), &parts.headers, parts.status).with_hear(sender);
        let body = relay_answer(body, &self.shared.settings.hold, done);
        // The slot is free once the worker's side has ended.
        let _ = ended.await;
        job.unsure = true;
        let next = self.report(place, RunEnd::Failed { ran }).await;
        if next == Disposition::Requeued && job.request.body.can_send() {
            return Attempted::Again;
        }
        if next == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        Attempted::Answered(Answer::Worker(clean(Response::from_parts(parts, body))))
    }

    /// Passes on the answer of another failure domain, a worker's own or a refusal.
    pub(super) fn pass_answer(&self, response: Response<ResponseBody>) -> Answer {
        let (parts, body) = response.into_parts();
        let done = Finish::new(self, None, &parts.headers, parts.status);
        let body = relay_answer(body, &self.shared.settings.hold, done);
        Answer::Worker(clean(Response::from_parts(parts, body)))
    }

    /// Passes an answer on while it arrives, and reports the run when it has ended.
    fn pass_on(
        &self,
        job: &mut Job,
        run: Option<(Placement, Time)>,
        response: Response<ResponseBody>,
    ) -> Attempted {
        let (parts, body) = response.into_parts();
        let done = Finish::new(self, job.key.take(), &parts.headers, parts.status).with_run(run);
        let body = relay_answer(body, &self.shared.settings.hold, done);
        Attempted::Answered(Answer::Worker(clean(Response::from_parts(parts, body))))
    }

    /// Forwards the request once to a sibling that has granted demand for it.
    pub(super) async fn forward_once(&self, job: &mut Job, member: &Arc<Member>) -> Attempted {
        job.forwards += 1;
        let hold = self.shared.settings.hold;
        let Some(body) = job
            .request
            .body
            .take(&hold)
            .filter(|_| job.begin_dispatch())
        else {
            let detail = "its body is too large to be kept for another attempt";
            return Attempted::refused(try_later("not-retried", detail, DEFAULT_RETRY));
        };
        let sent = forward(
            &self.shared,
            &self.siblings,
            member,
            &job.request,
            body,
            job.forwards,
        );
        let forwarded = tokio::select! {
            forwarded = sent => forwarded,
            () = self.shared.lifecycle.halted() => {
                return Attempted::refused(unknown("stopping", "the instance ended at once"));
            }
        };
        match forwarded {
            Forwarded::Ran(response) => self.pass_on(job, None, response),
            Forwarded::Failed(problem) => Attempted::refused(problem),
            Forwarded::NotRun(why) => {
                job.take_back(Proof::Full);
                after_not_run(job, Disposition::Requeued, &why)
            }
            Forwarded::Unknown(why) if job.may_repeat() => {
                self.shared
                    .log
                    .write(EventId::DispatchUnsure, o!("why" => why));
                Attempted::Again
            }
            Forwarded::Unknown(why) => Attempted::refused(unknown("no-answer", why)),
        }
    }

    fn note(&self, event: EventId, start: &LiveStart, why: &str) {
        let fields = o!("worker" => start.worker.name.to_string(), "why" => why.to_owned());
        self.shared.log.write(event, fields);
    }
}

impl Job {
    /// Notes that a dispatch starts; false if one is out that may have run.
    fn begin_dispatch(&mut self) -> bool {
        self.key.as_mut().is_none_or(KeyRun::dispatch)
    }

    fn take_back(&mut self, proof: Proof) {
        if let Some(key) = &mut self.key {
            key.take_back(proof);
        }
    }

    /// Returns whether an attempt that may have run may be followed by another.
    fn may_repeat(&self) -> bool {
        self.request.idempotent && self.request.body.can_send() && self.forwards <= 1
    }
}

fn after_not_run(job: &Job, next: Disposition, why: &str) -> Attempted {
    match next {
        Disposition::Requeued if job.request.body.can_send() => Attempted::Again,
        Disposition::Requeued | Disposition::Left => {
            Attempted::refused(try_later("not-started", why, DEFAULT_RETRY))
        }
        Disposition::GaveUp(refusal) => Attempted::refused(refuse(&refusal)),
    }
}

/// Returns the proof that nothing ran; what was not sent arrived too late to run.
fn proof_of(error: &WorkerError) -> Proof {
    match error {
        WorkerError::Refused(Refusal::Leaving) => Proof::Leaving,
        WorkerError::Refused(Refusal::StaleTerm) => Proof::StaleTerm,
        WorkerError::Refused(Refusal::UnknownService) => Proof::UnknownService,
        WorkerError::Refused(Refusal::Full) => Proof::Full,
        _ => Proof::Late,
    }
}

/// Removes what a worker may not say in the system's name.
fn clean(mut response: Response<Body>) -> Response<Body> {
    strip(response.headers_mut());
    response
}

/// Reports the end of a run, and of a key, when the worker's side of the answer has ended.
struct Finish {
    service: LiveService,
    key: Option<KeyRun>,
    outcome: StoredResponse,
    run: Option<(Placement, Time)>,
    hear: Option<oneshot::Sender<()>>,
}

impl Finish {
    fn new(
        service: &LiveService,
        key: Option<KeyRun>,
        headers: &hyper::HeaderMap,
        status: StatusCode,
    ) -> Self {
        let media = headers
            .get(CONTENT_TYPE)
            .and_then(|media| media.to_str().ok());
        let outcome = StoredResponse {
            status: status.as_u16(),
            content_type: media.unwrap_or_default().into(),
            body: bytes::Bytes::new(),
        };
        Finish {
            service: service.clone(),
            key,
            outcome,
            run: None,
            hear: None,
        }
    }

    fn with_run(mut self, run: Option<(Placement, Time)>) -> Self {
        self.run = run;
        self
    }

    fn with_hear(mut self, hear: oneshot::Sender<()>) -> Self {
        self.hear = Some(hear);
        self
    }

    fn settle_key(&mut self, end: &AnswerEnd) {
        let Some(key) = self.key.take() else { return };
        let body = end.copy.clone().filter(|_| end.whole);
        let outcome = body.map(|body| StoredResponse {
            body,
            ..self.outcome.clone()
        });
        key.ran(outcome.as_ref());
    }
}

impl Relayed for Finish {
    fn wants_copy(&self) -> bool {
        self.key.is_some()
    }

    fn ended(mut self, end: AnswerEnd) {
        self.settle_key(&end);
        if let Some(hear) = self.hear.take() {
            // Nobody waits any more only if the request's handler has failed.
            let _ = hear.send(());
        }
        let Some((place, began)) = self.run else {
            return;
        };
        let service = self.service;
        let ran = service.shared.now().since(began);
        tokio::spawn(report_end(service, place, end.whole, ran));
    }
}

async fn report_end(service: LiveService, place: Placement, whole: bool, ran: Span) {
    let end = if whole {
        RunEnd::Done { ran }
    } else {
        RunEnd::Unsure { ran }
    };
    if service.report(place, end).await == Disposition::Requeued {
        // Its answer has begun, so it can't be run again for this caller.
        service.cancel(place.task).await;
    }
}
