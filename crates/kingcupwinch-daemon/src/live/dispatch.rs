//! Dispatches a live request to a worker.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use kingcupwinch_coord::id::{Attempt, TaskId};
use kingcupwinch_platform::{FencingToken, NotSentCause, ResponseBody, WorkerError};
use kingcupwinch_policy::NotStarted;
use kingcupwinch_wire::worker::Refusal;
use tokio::time::Instant;

use super::LiveRequest;
use crate::actors::scheduler::LiveStart;
use crate::server::body::Body;
use crate::shared::Shared;

/// Sends a request to the worker, and checks the permit again before each write.
pub(super) async fn run_on_worker(
    shared: &Arc<Shared>,
    request: &LiveRequest,
    body: Body,
    start: &LiveStart,
) -> Result<Response<ResponseBody>, WorkerError> {
    let now = shared.now();
    let left = request.time_left(now);
    let deadline = Instant::now() + Duration::from(left);
    let worker = &start.worker;
    let token = || {
        let now = shared.now();
        let permit = shared.ownership.load().permit(worker.shard, now)?;
        let until = request
            .deadline
            .map_or(permit.until, |deadline| deadline.min(permit.until));
        Some(FencingToken {
            task: TaskId(request.id),
            attempt: Attempt(start.place.attempt),
            term: permit.term,
            time_left: until.since(now),
        })
    };
    let message = request.worker_message(body);
    worker
        .client
        .run(&request.service, message, deadline, token)
        .await
}

/// Returns the reason for which a run did not start, in the policy's terms, or `None` if it may
/// have started.
pub(crate) fn not_started_reason(error: &WorkerError) -> Option<NotStarted> {
    match error {
        WorkerError::Refused(Refusal::Leaving) => Some(NotStarted::Leaving),
        WorkerError::Refused(Refusal::Full | Refusal::Late | Refusal::StaleTerm) => {
            Some(NotStarted::Full)
        }
        WorkerError::Refused(Refusal::UnknownService) | WorkerError::UnknownRefusal => {
            Some(NotStarted::Refused)
        }
        WorkerError::NotSent(NotSentCause::Withheld) => Some(NotStarted::Withheld),
        WorkerError::NotSent(_) => Some(NotStarted::Unreachable),
        WorkerError::Unknown(_) => None,
    }
}
