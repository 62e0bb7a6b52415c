//! Forwards requests to siblings that granted capacity for them.

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

/// Maximum size of a problem document, in bytes.
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// The result of forwarding a request.
#[derive(Debug)]
pub(crate) enum ForwardReply {
    /// The worker's own answer.
    Ran(Response<ResponseBody>),
    /// The request certainly did not run.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// The request ran and failed.
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
) -> ForwardReply {
    let Some(client) = siblings.client(member) else {
        return ForwardReply::NotRun("the sibling's address is malformed".into());
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
        Ok(response) => classify_answer(response).await,
        Err(SendError::NotSent(cause)) => ForwardReply::NotRun(not_sent(&cause)),
        Err(SendError::Lost(cause)) => ForwardReply::Unknown(cause.to_string()),
    }
}

fn not_sent(cause: &NotSentCause) -> String {
    format!("the sibling could not be reached: {cause}")
}

/// Classifies a sibling's answer. It is the worker's own only if its header says so.
async fn classify_answer(response: Response<ResponseBody>) -> ForwardReply {
    if response.headers().get(ANSWER) == Some(&HeaderValue::from_static(RAN)) {
        return ForwardReply::Ran(response);
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
            ForwardReply::NotRun(problem.detail.to_string())
        }
        Some(problem) if problem.outcome == ProblemOutcome::Failed => ForwardReply::Failed(problem),
        Some(problem) => ForwardReply::Unknown(problem.detail.to_string()),
        None => ForwardReply::Unknown(format!("the sibling answered {status} without details")),
    }
}
