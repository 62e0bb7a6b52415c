use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use kingcupwinch_coord::id::{Attempt, TaskId, Term};
use kingcupwinch_time::Span;
use kingcupwinch_wire::worker::{
    ATTEMPT_HEADER, NOT_AFTER_HEADER, REFUSED_HEADER, Renewal, RenewalReply, TASK_HEADER,
    TERM_HEADER, TaskStart, Throttle, Usage,
};
use serde::Serialize;
use tokio::time::Instant;

use crate::body::{RequestBody, ResponseBody, full_body};
use crate::error::{LostCause, WorkerError};
use crate::pool::Pool;
use crate::reply::{Reply, request};

/// Connections that a client keeps apart for control: the waiting usage report, and commands.
pub const CONTROL_CONNECTIONS: usize = 2;

/// What fences a dispatch, made at the last step before it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencingToken {
    /// The task, or the id of a live request.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The owner's term.
    pub term: Term,
    /// The time left in which the work may start, at a resolution of milliseconds.
    pub time_left: Span,
}

impl FencingToken {
    fn write(self, headers: &mut HeaderMap) {
        headers.insert(TASK_HEADER, text(&self.task.to_string()));
        headers.insert(ATTEMPT_HEADER, self.attempt.0.into());
        headers.insert(TERM_HEADER, self.term.0.into());
        headers.insert(NOT_AFTER_HEADER, self.time_left.as_millis().into());
    }
}

/// A client of one worker; clones share its connections, and it never has more open than its
/// limit. For a moment the worker may still count one that this side has closed.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    live: Arc<Pool>,
    control: Arc<Pool>,
}

impl WorkerClient {
    /// Makes a client of a worker that takes `connections` connections, at least three;
    /// [`CONTROL_CONNECTIONS`] of them are kept for control.
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        let live = connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        WorkerClient {
            live: Pool::new(address, live),
            control: Pool::new(address, CONTROL_CONNECTIONS),
        }
    }

    /// Runs a live request and returns the worker's own answer, whose body streams. `stamp` is
    /// called at the last step before each write; none withholds the request. The deadline holds
    /// for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells apart work that certainly did not run from work that may have run.
    pub async fn run(
        &self,
        service: &str,
        mut request: Request<RequestBody>,
        deadline: Instant,
        stamp: impl FnMut() -> Option<FencingToken>,
    ) -> Result<Response<ResponseBody>, WorkerError> {
        let path = format!("/v1/run/{service}");
        // A name that makes no path would reach the worker as an unknown one.
        *request.uri_mut() = path.parse().unwrap_or_default();
        let check = stamper(stamp);
        let answer = self.live.send(request, deadline, check).await?;
        refuse(answer)
    }

    /// Starts a task. `stamp` is called as for [`WorkerClient::run`].
    ///
    /// # Errors
    ///
    /// Tells apart a task that certainly did not start from one that may have.
    pub async fn start(
        &self,
        task: &TaskStart,
        deadline: Instant,
        stamp: impl FnMut() -> Option<FencingToken>,
    ) -> Result<(), WorkerError> {
        let request = json_request("/v1/tasks", task);
        let answer = self.control.send(request, deadline, stamper(stamp)).await?;
        let reply = Reply::read(refuse(answer)?, deadline).await?;
        reply.expect(StatusCode::ACCEPTED)?;
        Ok(())
    }

    /// Renews leases and returns the tasks that the worker does not run.
    ///
    /// # Errors
    ///
    /// Fails if the answer is lost or malformed; the leases may have been renewed.
    pub async fn renew(
        &self,
        renewal: &Renewal,
        deadline: Instant,
    ) -> Result<RenewalReply, WorkerError> {
        let request = json_request("/v1/leases", renewal);
        let reply = self.command(request, deadline).await?;
        Ok(reply.expect(StatusCode::OK)?.json()?)
    }

    /// Checkpoints a task; returns false if the worker does not run it.
    ///
    /// # Errors
    ///
    /// Fails if the answer is lost; the checkpoint may have been taken.
    pub async fn checkpoint(&self, task: TaskId, deadline: Instant) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/checkpoint");
        let request = request(Method::POST, &path, full_body(Bytes::new()));
        found(self.command(request, deadline).await?)
    }

    /// Slows a task to `percent` of full speed; returns false if the worker does not run it.
    ///
    /// # Errors
    ///
    /// Fails if the answer is lost; the task may have been slowed.
    pub async fn throttle(
        &self,
        task: TaskId,
        percent: u8,
        deadline: Instant,
    ) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/throttle");
        let request = json_request(&path, &Throttle { percent });
        found(self.command(request, deadline).await?)
    }

    /// Stops a task; returns false if the worker does not run it.
    ///
    /// # Errors
    ///
    /// Fails if the answer is lost; the task may have been stopped.
    pub async fn stop(&self, task: TaskId, deadline: Instant) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/stop");
        let request = request(Method::POST, &path, full_body(Bytes::new()));
        found(self.command(request, deadline).await?)
    }

    /// Returns the usage report after report `after`, or the same one once `wait` has passed.
    ///
    /// # Errors
    ///
    /// Fails if the worker can't be reached or its answer is malformed.
    pub async fn usage(
        &self,
        after: u64,
        wait: Span,
        deadline: Instant,
    ) -> Result<Usage, WorkerError> {
        let wait = wait.as_millis();
        let path = format!("/v1/usage?after={after}&wait_ms={wait}");
        let request = request(Method::GET, &path, full_body(Bytes::new()));
        let reply = self.command(request, deadline).await?;
        Ok(reply.expect(StatusCode::OK)?.json()?)
    }

    /// Closes the connections that are not in use, for the worker's next owner.
    pub fn close_idle(&self) {
        self.live.close_idle();
        self.control.close_idle();
    }

    async fn command(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Reply, WorkerError> {
        let answer = self.control.send(request, deadline, |_| true).await?;
        Ok(Reply::read(answer, deadline).await?)
    }
}

fn stamper(mut stamp: impl FnMut() -> Option<FencingToken>) -> impl FnMut(&mut HeaderMap) -> bool {
    move |headers| {
        let Some(stamp) = stamp() else {
            return false;
        };
        stamp.write(headers);
        true
    }
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Separates a refusal from an answer to work that ran.
fn refuse(answer: Response<ResponseBody>) -> Result<Response<ResponseBody>, WorkerError> {
    let Some(reason) = answer.headers().get(REFUSED_HEADER) else {
        return Ok(answer);
    };
    let refusal = reason.to_str().ok().and_then(|r| r.parse().ok());
    Err(refusal.map_or(WorkerError::UnknownRefusal, WorkerError::Refused))
}

fn found(reply: Reply) -> Result<bool, WorkerError> {
    match reply.status {
        StatusCode::ACCEPTED => Ok(true),
        StatusCode::NOT_FOUND => Ok(false),
        status => Err(LostCause::Status(status.as_u16()).into()),
    }
}

fn json_request<T: Serialize>(path: &str, value: &T) -> Request<RequestBody> {
    // Types of this workspace always serialize.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut request = request(Method::POST, path, full_body(bytes));
    let media = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, media);
    request
}
