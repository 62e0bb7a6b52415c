//! Live requests on a worker.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::worker::{
    ATTEMPT_HEADER, NOT_AFTER_HEADER, REFUSED_HEADER, Refusal, TASK_HEADER, TERM_HEADER,
};
use uuid::Uuid;

use super::service::Shared;
use super::{LiveStart, WorkerEngine, live_response};
use crate::http::{Answer, Dropped, empty, full, read_body};

/// Header with the caller's ID of the request, echoed in the response.
const REQUEST_HEADER: &str = "x-request-id";
/// Header with the run time on a standard worker, in milliseconds.
const RUN_HEADER: &str = "x-run-ms";
/// Header with the time after which the request crashes the worker, in milliseconds.
const CRASH_HEADER: &str = "x-crash-ms";
/// Header with the minimum size of the response body, in bytes.
const SIZE_HEADER: &str = "x-answer-bytes";
/// Header that makes the worker stream the request body back as it arrives.
const ECHO_HEADER: &str = "x-echo";
/// Response header with the worker's name.
const WORKER_HEADER: &str = "x-worker";
const KEY_HEADER: &str = "idempotency-key";

pub(super) fn refused(refusal: Refusal) -> Answer {
    let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
    let reason = HeaderValue::from_static(refusal.as_str());
    answer.headers_mut().insert(REFUSED_HEADER, reason);
    answer
}

/// Returns the start deadline, or none if the header is absent or malformed.
pub(super) fn not_after(request: &Request<Incoming>, now: Time) -> Option<Time> {
    let left = header(request, NOT_AFTER_HEADER)?;
    Some(now + Span::from_millis(left))
}

pub(super) async fn run(
    shared: &Arc<Shared>,
    service: &str,
    request: Request<Incoming>,
) -> Result<Answer, Dropped> {
    let now = shared.now();
    let Some(live) = parse(service, &request, now) else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let started = shared.change(|engine| engine.start_live(now, &live));
    let span = match started {
        Ok(span) => span,
        Err(refusal) => return Ok(refused(refusal)),
    };
    if let Some(crash_ms) = header(&request, CRASH_HEADER) {
        tokio::spawn(Arc::clone(shared).crash_after(Duration::from_millis(crash_ms)));
    }
    let guard = RunGuard {
        shared: Arc::clone(shared),
        task: live.task,
        attempt: live.attempt,
    };
    if request.headers().contains_key(ECHO_HEADER) {
        return Ok(echo(request, guard));
    }
    let size = header(&request, SIZE_HEADER).unwrap_or(0);
    let body = match read_body(request.into_body()).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    // Runs in its own tokio task, since the work continues when its connection is closed.
    let work = tokio::spawn(async move {
        // Even a zero sleep would last until the timer's next tick, up to a millisecond.
        if span > Span::ZERO {
            tokio::time::sleep(span.into()).await;
        }
        drop(guard);
    });
    work.await.map_err(|_| Dropped)?;
    let faults = shared.read(WorkerEngine::faults);
    if faults.response_delay > Span::ZERO {
        tokio::time::sleep(faults.response_delay.into()).await;
    }
    if faults.drops_responses {
        return Err(Dropped);
    }
    let id = live.request.as_deref().unwrap_or_default();
    let mut answer = Response::new(full(live_response(id, &body, size)));
    if faults.fails {
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    set_headers(&mut answer, id, &shared.name);
    Ok(answer)
}

/// Ends a live request on drop.
struct RunGuard {
    shared: Arc<Shared>,
    task: Uuid,
    attempt: u32,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .change(|engine| engine.end_live(now, self.task, self.attempt));
    }
}

/// Streams the body back; the request runs until the end of the body.
fn echo(request: Request<Incoming>, guard: RunGuard) -> Answer {
    let id = text(&request, REQUEST_HEADER).unwrap_or_default();
    let worker = Arc::clone(&guard.shared.name);
    let body = request.into_body().map_err(Into::into);
    let body = body.map_frame(move |frame| {
        let _running = &guard;
        frame
    });
    let mut answer = Response::new(body.boxed());
    set_headers(&mut answer, &id, &worker);
    answer
}

fn set_headers(answer: &mut Answer, id: &str, worker: &str) {
    if let Ok(id) = HeaderValue::from_str(id) {
        answer.headers_mut().insert(REQUEST_HEADER, id);
    }
    if let Ok(worker) = HeaderValue::from_str(worker) {
        answer.headers_mut().insert(WORKER_HEADER, worker);
    }
}

fn parse(service: &str, request: &Request<Incoming>, now: Time) -> Option<LiveStart> {
    Some(LiveStart {
        task: header(request, TASK_HEADER)?,
        attempt: header(request, ATTEMPT_HEADER)?,
        term: header(request, TERM_HEADER)?,
        not_after: not_after(request, now)?,
        service: service.into(),
        key: text(request, KEY_HEADER),
        request: text(request, REQUEST_HEADER),
        run_ms: header(request, RUN_HEADER),
    })
}

fn header<T: FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let value = request.headers().get(name)?;
    value.to_str().ok()?.parse().ok()
}

fn text(request: &Request<Incoming>, name: &str) -> Option<Arc<str>> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}
