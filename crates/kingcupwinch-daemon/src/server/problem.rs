//! Problem documents for refused requests.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use kingcupwinch_time::Span;
use kingcupwinch_wire::api::{PROBLEM_TYPE, Problem, ProblemOutcome};

use super::body::{Body, full};

const MILLIS_PER_SECOND: u64 = 1_000;

/// Responds with a problem document.
pub(crate) fn respond(problem: &Problem) -> Response<Body> {
    let bytes = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(retry) = problem.retry_ms {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry.div_ceil(MILLIS_PER_SECOND)),
        );
    }
    response
}

/// Builds a problem for work that certainly did not run.
pub(crate) fn not_run(
    status: StatusCode,
    code: &'static str,
    detail: impl Into<Arc<str>>,
) -> Problem {
    make(status, code, detail.into(), ProblemOutcome::NotRun)
}

/// Builds a problem for work that certainly did not run and may be tried again after `retry`.
pub(crate) fn try_later(code: &'static str, detail: impl Into<Arc<str>>, retry: Span) -> Problem {
    let mut problem = not_run(StatusCode::SERVICE_UNAVAILABLE, code, detail);
    problem.retry_ms = Some(retry.as_millis().max(1));
    problem
}

/// Builds a problem for work that may have run.
pub(crate) fn unknown(code: &'static str, detail: impl Into<Arc<str>>) -> Problem {
    make(
        StatusCode::BAD_GATEWAY,
        code,
        detail.into(),
        ProblemOutcome::Unknown,
    )
}

fn make(
    status: StatusCode,
    code: &'static str,
    detail: Arc<str>,
    outcome: ProblemOutcome,
) -> Problem {
    Problem {
        code: code.into(),
        title: code.replace('-', " ").into(),
        status: status.as_u16(),
        detail,
        outcome,
        retry_ms: None,
    }
}
