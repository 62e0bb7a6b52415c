//! One attempt of a live request, on a worker of this instance or at a sibling.

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

use super::dispatch::{not_started_reason, run_on_worker};
use super::flow::{ActiveRequest, Answer, LiveService};
use super::refuse::{DEFAULT_RETRY, to_problem};
use crate::actors::scheduler::{LiveStart, RunEnd};
use crate::keys::KeyRun;
use crate::logging::EventId;
use crate::server::body::{AnswerEnd, AnswerObserver, Body, relay_answer};
use crate::server::headers::strip_reserved;
use crate::server::problem::{try_later, unknown};
use crate::siblings::{ForwardReply, forward};

/// The result of an attempt.
pub(super) enum AttemptEnd {
    /// An answer for the caller.
    Answered(Answer),
    /// The request certainly did not run, or may run again, so it is tried again.
    Retry,
}

impl AttemptEnd {
    /// Wraps a refusal.
    pub(super) fn refused(problem: Problem) -> Self {
        AttemptEnd::Answered(Answer::Problem(problem))
    }
}

impl LiveService {
    /// Runs the request once on a worker of this instance.
    pub(super) async fn run_once(
        &self,
        active: &mut ActiveRequest,
        start: LiveStart,
    ) -> AttemptEnd {
        let began = self.shared.now();
        let hold = self.shared.settings.hold;
        let Some(body) = active
            .request
            .body
            .take(&hold)
            .filter(|_| active.begin_dispatch())
        else {
            return self.return_placement(start.place).await;
        };
        let run = run_on_worker(&self.shared, &active.request, body, &start);
        let ran = tokio::select! {
            ran = run => ran,
            () = self.shared.lifecycle.halted() => {
                return AttemptEnd::refused(unknown("stopping", "the instance stopped immediately"));
            }
        };
        match ran {
            Ok(response) if response.status().is_server_error() => {
                self.handle_failure(active, start.place, response, began)
                    .await
            }
            Ok(response) => self.relay_worker_answer(active, Some((start.place, began)), response),
            Err(error) => self.handle_error(active, &start, &error, began).await,
        }
    }

    /// Returns a placement to the scheduler because the streamed body was already sent and can't be
    /// sent again.
    async fn return_placement(&self, place: Placement) -> AttemptEnd {
        let end = RunEnd::NotStarted(NotStarted::Full);
        if self.report(place, end).await == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        let detail = "the request body is too large to be buffered for another attempt";
        AttemptEnd::refused(try_later("not-retried", detail, DEFAULT_RETRY))
    }

    async fn handle_error(
        &self,
        active: &mut ActiveRequest,
        start: &LiveStart,
        error: &WorkerError,
        began: Time,
    ) -> AttemptEnd {
        let cause = error.to_string();
        match not_started_reason(error) {
            Some(reason) => {
                active.record_not_run(refusal_proof(error));
                self.log_worker_event(EventId::WorkerRefused, start, &cause);
                let next = self.report(start.place, RunEnd::NotStarted(reason)).await;
                after_not_run(active, next, &cause)
            }
            None => {
                active.may_have_run = true;
                self.log_worker_event(EventId::DispatchUncertain, start, &cause);
                let ran = self.shared.now().since(began);
                let next = self.report(start.place, RunEnd::Unknown { ran }).await;
                self.after_unknown(active, start.place, next, &cause).await
            }
        }
    }

    async fn after_unknown(
        &self,
        active: &ActiveRequest,
        place: Placement,
        next: Disposition,
        reason: &str,
    ) -> AttemptEnd {
        if next == Disposition::Requeued && active.request.body.can_send() {
            return AttemptEnd::Retry;
        }
        if next == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        AttemptEnd::refused(unknown("no-answer", reason))
    }

    /// Handles a server error of the worker, which is a valid answer. Only idempotent work may be
    /// run again instead.
    async fn handle_failure(
        &self,
        active: &mut ActiveRequest,
        place: Placement,
        response: Response<ResponseBody>,
        began: Time,
    ) -> AttemptEnd {
        let ran = self.shared.now().since(began);
        let (parts, body) = response.into_parts();
        let (sender, ended) = oneshot::channel();
        let report = AnswerReport::new(self, active.key.take(), &parts.headers, parts.status)
            .with_sender(sender);
        let body = relay_answer(body, &self.shared.settings.hold, report);
        // The slot is free only after the worker's side of the answer has ended.
        let _ = ended.await;
        active.may_have_run = true;
        let next = self.report(place, RunEnd::Failed { ran }).await;
        if next == Disposition::Requeued && active.request.body.can_send() {
            return AttemptEnd::Retry;
        }
        if next == Disposition::Requeued {
            self.cancel(place.task).await;
        }
        AttemptEnd::Answered(Answer::Worker(sanitize(Response::from_parts(parts, body))))
    }

    /// Relays the answer of another failure domain, which is a worker's answer or a refusal.
    pub(super) fn relay_domain_answer(&self, response: Response<ResponseBody>) -> Answer {
        let (parts, body) = response.into_parts();
        let report = AnswerReport::new(self, None, &parts.headers, parts.status);
        let body = relay_answer(body, &self.shared.settings.hold, report);
        Answer::Worker(sanitize(Response::from_parts(parts, body)))
    }

    /// Relays a worker's answer as it arrives, and reports the run when the answer has ended.
    fn relay_worker_answer(
        &self,
        active: &mut ActiveRequest,
        run: Option<(Placement, Time)>,
        response: Response<ResponseBody>,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let report =
            AnswerReport::new(self, active.key.take(), &parts.headers, parts.status).with_run(run);
        let body = relay_answer(body, &self.shared.settings.hold, report);
        AttemptEnd::Answered(Answer::Worker(sanitize(Response::from_parts(parts, body))))
    }

    /// Forwards the request once to a sibling that granted capacity for it.
    pub(super) async fn forward_once(
        &self,
        active: &mut ActiveRequest,
        member: &Arc<Member>,
    ) -> AttemptEnd {
        active.forwards += 1;
        let hold = self.shared.settings.hold;
        let Some(body) = active
            .request
            .body
            .take(&hold)
            .filter(|_| active.begin_dispatch())
        else {
            let detail = "the request body is too large to be buffered for another attempt";
            return AttemptEnd::refused(try_later("not-retried", detail, DEFAULT_RETRY));
        };
        let sent = forward(
            &self.shared,
            &self.siblings,
            member,
            &active.request,
            body,
            active.forwards,
        );
        let forwarded = tokio::select! {
            forwarded = sent => forwarded,
            () = self.shared.lifecycle.halted() => {
                return AttemptEnd::refused(unknown("stopping", "the instance stopped immediately"));
            }
        };
        match forwarded {
            ForwardReply::Ran(response) => self.relay_worker_answer(active, None, response),
            ForwardReply::Failed(problem) => AttemptEnd::refused(problem),
            ForwardReply::NotRun(reason) => {
                active.record_not_run(Proof::Full);
                after_not_run(active, Disposition::Requeued, &reason)
            }
            ForwardReply::Unknown(reason) if active.may_repeat() => {
                self.shared
                    .log
                    .write(EventId::DispatchUncertain, o!("why" => reason));
                active.losses += 1;
                active.may_have_run = true;
                AttemptEnd::Retry
            }
            ForwardReply::Unknown(reason) => AttemptEnd::refused(unknown("no-answer", reason)),
        }
    }

    fn log_worker_event(&self, event: EventId, start: &LiveStart, reason: &str) {
        let fields = o!("worker" => start.worker.name.to_string(), "why" => reason.to_owned());
        self.shared.log.write(event, fields);
    }
}

impl ActiveRequest {
    /// Marks the key as dispatched; returns false if an earlier dispatch may have run.
    fn begin_dispatch(&mut self) -> bool {
        self.key.as_mut().is_none_or(KeyRun::dispatch)
    }

    fn record_not_run(&mut self, proof: Proof) {
        if let Some(key) = &mut self.key {
            key.record_not_run(proof);
        }
    }

    /// Returns whether an attempt that may have run may be followed by another.
    fn may_repeat(&self) -> bool {
        self.request.idempotent && self.request.body.can_send() && self.forwards <= 1
    }
}

fn after_not_run(active: &ActiveRequest, next: Disposition, reason: &str) -> AttemptEnd {
    match next {
        Disposition::Requeued if active.request.body.can_send() => AttemptEnd::Retry,
        Disposition::Requeued | Disposition::Left => {
            AttemptEnd::refused(try_later("not-started", reason, DEFAULT_RETRY))
        }
        Disposition::GaveUp(refusal) => AttemptEnd::refused(to_problem(&refusal)),
    }
}

/// Returns the proof that nothing ran. A request that was never sent counts as too late to run.
fn refusal_proof(error: &WorkerError) -> Proof {
    match error {
        WorkerError::Refused(Refusal::Leaving) => Proof::Leaving,
        WorkerError::Refused(Refusal::StaleTerm) => Proof::StaleTerm,
        WorkerError::Refused(Refusal::UnknownService) => Proof::UnknownService,
        WorkerError::Refused(Refusal::Full) => Proof::Full,
        _ => Proof::Late,
    }
}

/// Removes headers that a worker may not set.
fn sanitize(mut response: Response<Body>) -> Response<Body> {
    strip_reserved(response.headers_mut());
    response
}

/// Reports the end of a run and of its key when the worker's side of the answer has ended.
struct AnswerReport {
    service: LiveService,
    key: Option<KeyRun>,
    outcome: StoredResponse,
    run: Option<(Placement, Time)>,
    sender: Option<oneshot::Sender<()>>,
}

impl AnswerReport {
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
        AnswerReport {
            service: service.clone(),
            key,
            outcome,
            run: None,
            sender: None,
        }
    }

    fn with_run(mut self, run: Option<(Placement, Time)>) -> Self {
        self.run = run;
        self
    }

    fn with_sender(mut self, sender: oneshot::Sender<()>) -> Self {
        self.sender = Some(sender);
        self
    }

    fn finish_key(&mut self, end: &AnswerEnd) {
        let Some(key) = self.key.take() else { return };
        let body = end.copy.clone().filter(|_| end.whole);
        let outcome = body.map(|body| StoredResponse {
            body,
            ..self.outcome.clone()
        });
        key.report_answer(outcome.as_ref());
    }
}

impl AnswerObserver for AnswerReport {
    fn wants_copy(&self) -> bool {
        self.key.is_some()
    }

    fn ended(mut self, end: AnswerEnd) {
        self.finish_key(&end);
        if let Some(sender) = self.sender.take() {
            // The receiver is gone only if the request's handler has failed.
            let _ = sender.send(());
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
        RunEnd::Unknown { ran }
    };
    if service.report(place, end).await == Disposition::Requeued {
        // Part of the answer was already relayed, so the request can't be run again for this
        // caller.
        service.cancel(place.task).await;
    }
}
