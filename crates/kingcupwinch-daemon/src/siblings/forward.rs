//! Requests forwarded to a sibling that has granted demand for them.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::header::HeaderValue;
use kingcupwinch_coord::record::Member;
use kingcupwinch_platform::{NotSentCause, ResponseBody, SendError};
use kingcupwinch_wire::api::{Problem, ProblemOutcome};
use tokio::time::Instant;

use super::Siblings;
use crate::live::LiveRequest;
use crate::server::body::Body;
use crate::server::headers::{ANSWER, Hop, RAN};
use crate::shared::Shared;

/// The largest problem document that is read, in bytes.
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// What became of a forwarded request.
#[derive(Debug)]
pub(crate) enum Forwarded {
    /// The worker's own answer.
    Ran(Response<ResponseBody>),
    /// It certainly did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// It ran and failed.
    Failed(Problem),
}

/// Forwards one attempt of a request.
pub(crate) async fn forward(
    shared: &Shared,
    siblings: &Siblings,
    member: &Member,
    request: &LiveRequest,
    body: Body,
    attempt: u32,
) -> Forwarded {
    let Some(client) = siblings.client(member) else {
        return Forwarded::NotRun("the sibling's address is malformed".into());
    };
    let now = shared.now();
    let left = request.time_left(now);
    let deadline = Instant::now() + Duration::from(left);
    let mut message = request.instance_message(body, left);
    let headers = message.headers_mut();
    let waited = now.since(request.arrived);
    let hop = Hop {
        request: request.id,
        attempt,
        from: shared.incarnation.0,
        waited,
    };
    hop.write(headers);
    match client.send(message, deadline).await {
        Ok(response) => judge(response).await,
        Err(SendError::NotSent(cause)) => Forwarded::NotRun(not_sent(&cause)),
        Err(SendError::Lost(cause)) => Forwarded::Unknown(cause.to_string()),
    }
}

fn not_sent(cause: &NotSentCause) -> String {
    format!("the sibling was not reached: {cause}")
}

/// Only an answer that says so is the worker's own.
async fn judge(response: Response<ResponseBody>) -> Forwarded {
    if response.headers().get(ANSWER) == Some(&HeaderValue::from_static(RAN)) {
        return Forwarded::Ran(response);
    }
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_PROBLEM_BYTES)
        .collect()
        .await;
    let problem = body.ok().and_then(|body| {
        let problem: Option<Problem> = serde_json::from_slice(&body.to_bytes()).ok();
        problem
    });
    match problem {
        Some(problem) if problem.outcome == ProblemOutcome::NotRun => {
            Forwarded::NotRun(problem.detail.to_string())
        }
        Some(problem) if problem.outcome == ProblemOutcome::Failed => Forwarded::Failed(problem),
        Some(problem) => Forwarded::Unknown(problem.detail.to_string()),
        None => Forwarded::Unknown(format!("the sibling answered {status} without a reason")),
    }
}
