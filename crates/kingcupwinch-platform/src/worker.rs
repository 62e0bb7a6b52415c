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
use crate::pool::{ConnectionHistory, Pool};
use crate::reply::{Reply, request};

/// Number of connections reserved for control: the long poll for usage reports, and commands.
pub const CONTROL_CONNECTIONS: usize = 2;

/// The fencing headers of a dispatch, created immediately before the request is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencingToken {
    /// The task's ID, or the ID of a live request.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// The owner's term.
    pub term: Term,
    /// The time left until the start deadline, in whole milliseconds.
    pub time_left: Span,
}

impl FencingToken {
    fn write(self, headers: &mut HeaderMap) {
        headers.insert(TASK_HEADER, header_value(&self.task.to_string()));
        headers.insert(ATTEMPT_HEADER, self.attempt.0.into());
        headers.insert(TERM_HEADER, self.term.0.into());
        headers.insert(NOT_AFTER_HEADER, self.time_left.as_millis().into());
    }
}

/// A client of one worker with a limit on open connections; clones share the connections. The
/// worker may briefly still count a connection that the client has already closed.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    live: Arc<Pool>,
    control: Arc<Pool>,
}

impl WorkerClient {
    /// Creates a client for a worker that accepts `connections` connections, at least three;
    /// [`CONTROL_CONNECTIONS`] of them are reserved for control.
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        let live = connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        WorkerClient {
            live: Pool::new(address, live),
            control: Pool::new(address, CONTROL_CONNECTIONS),
        }
    }

    /// Runs a live request and returns the worker's response with a streamed body. `token` is
    /// called immediately before each write; returning none withholds the request. The deadline
    /// applies to the response head.
    ///
    /// # Errors
    ///
    /// Returns a [`WorkerError`], which tells whether the work may have run.
    pub async fn run(
        &self,
        service: &str,
        mut request: Request<RequestBody>,
        deadline: Instant,
        token: impl FnMut() -> Option<FencingToken>,
    ) -> Result<Response<ResponseBody>, WorkerError> {
        let path = format!("/v1/run/{service}");
        // A service name that is no valid path is sent as the root path, which the worker rejects.
        *request.uri_mut() = path.parse().unwrap_or_default();
        let check = token_writer(token);
        let answer = self.live.send(request, deadline, check).await?;
        check_refusal(answer)
    }

    /// Starts a task. `token` is called as in [`WorkerClient::run`].
    ///
    /// # Errors
    ///
    /// Returns a [`WorkerError`], which tells whether the task may have started.
    pub async fn start(
        &self,
        task: &TaskStart,
        deadline: Instant,
        token: impl FnMut() -> Option<FencingToken>,
    ) -> Result<(), WorkerError> {
        let request = json_request("/v1/tasks", task);
        let answer = self
            .control
            .send(request, deadline, token_writer(token))
            .await?;
        let reply = Reply::read(check_refusal(answer)?, deadline).await?;
        reply.expect(StatusCode::ACCEPTED)?;
        Ok(())
    }

    /// Renews leases; the reply lists the tasks that the worker does not run.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is lost or malformed; the leases may have been renewed.
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
    /// Returns an error if the response is lost; the checkpoint may have been taken.
    pub async fn checkpoint(&self, task: TaskId, deadline: Instant) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/checkpoint");
        let request = request(Method::POST, &path, full_body(Bytes::new()));
        is_found(self.command(request, deadline).await?)
    }

    /// Throttles a task to `percent` of full speed; returns false if the worker does not run it.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is lost; the task may have been throttled.
    pub async fn throttle(
        &self,
        task: TaskId,
        percent: u8,
        deadline: Instant,
    ) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/throttle");
        let request = json_request(&path, &Throttle { percent });
        is_found(self.command(request, deadline).await?)
    }

    /// Stops a task; returns false if the worker does not run it.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is lost; the task may have been stopped.
    pub async fn stop(&self, task: TaskId, deadline: Instant) -> Result<bool, WorkerError> {
        let path = format!("/v1/tasks/{task}/stop");
        let request = request(Method::POST, &path, full_body(Bytes::new()));
        is_found(self.command(request, deadline).await?)
    }

    /// Returns a usage report newer than sequence number `after`, or the current report once `wait`
    /// has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be reached or its response is malformed.
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

    /// Closes the idle connections, so that the worker's next owner can connect.
    pub fn close_idle(&self) {
        self.live.close_idle();
        self.control.close_idle();
    }

    async fn command(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Reply, WorkerError> {
        let answer = self.control.send(request, deadline, |_, _| true).await?;
        Ok(Reply::read(answer, deadline).await?)
    }
}

fn token_writer(
    mut token: impl FnMut() -> Option<FencingToken>,
) -> impl FnMut(&mut Request<RequestBody>, ConnectionHistory) -> bool {
    move |request, _| {
        let Some(token) = token() else {
            return false;
        };
        token.write(request.headers_mut());
        true
    }
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Returns an error if the response is a refusal.
fn check_refusal(response: Response<ResponseBody>) -> Result<Response<ResponseBody>, WorkerError> {
    let Some(reason) = response.headers().get(REFUSED_HEADER) else {
        return Ok(response);
    };
    let refusal = reason.to_str().ok().and_then(|r| r.parse().ok());
    Err(refusal.map_or(WorkerError::UnknownRefusal, WorkerError::Refused))
}

fn is_found(reply: Reply) -> Result<bool, WorkerError> {
    match reply.status {
        StatusCode::ACCEPTED => Ok(true),
        StatusCode::NOT_FOUND => Ok(false),
        status => Err(LostCause::Status(status.as_u16()).into()),
    }
}

fn json_request<T: Serialize>(path: &str, value: &T) -> Request<RequestBody> {
    // The types of this workspace always serialize successfully.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut request = request(Method::POST, path, full_body(bytes));
    let media = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, media);
    request
}
