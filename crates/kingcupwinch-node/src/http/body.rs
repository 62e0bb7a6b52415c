//! Reading of a request's body into one buffer that is charged to the listener's budget.

use std::ops::Deref;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Frame, Incoming};
use hyper::{Request, StatusCode};
use kingcupwinch_platform::discard_body;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use super::budget::{Charge, HANDLED_COPIES};
use super::connection::Connection;
use super::progress::Reason;
use super::{HttpResponse, close_after, empty, retry_after};

/// Time for a displaced body to release its memory: its task only has to be polled.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Frames of a body after which others have their turn. A chunk of one byte is a frame.
const FRAMES_PER_TURN: u32 = 32;
/// Bytes of a body after which its progress is recorded.
const PROGRESS_STEP: u64 = 1 << 10;
/// Callers whose body did not fit into memory are asked to retry after so many seconds: stalled bodies
/// are displaced after one.
const RETRY_AFTER_S: u32 = 1;

/// A whole body. What it has charged is released when it is dropped.
pub(crate) struct Body {
    buffer: Vec<u8>,
    charge: Charge,
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.buffer
    }
}

/// Why a body was not read. The request was not acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It is larger than allowed.
    TooLarge,
    /// The connection failed.
    Incomplete,
    /// It did not arrive in time.
    Slow,
    /// The memory or the connection is needed for others.
    NoMemory,
}

impl Refusal {
    /// Returns the response to a caller.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            Refusal::NoMemory => {
                closing(retry_after(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S))
            }
            _ => self.into_internal_response(),
        }
    }

    /// Returns the response to a sibling, which takes only client errors for a refusal.
    pub(crate) fn into_internal_response(self) -> HttpResponse {
        closing(empty(match self {
            Refusal::TooLarge | Refusal::Incomplete => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoMemory => StatusCode::TOO_MANY_REQUESTS,
        }))
    }
}

/// A part of the body may still arrive on the connection.
fn closing(mut response: HttpResponse) -> HttpResponse {
    close_after(&mut response);
    response
}

/// Reads the body of a request of this server, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large, breaks off or is too slow, or if there is no memory for it.
pub(crate) async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Body, Refusal> {
    let (mut parts, mut body) = request.into_parts();
    let Some(connection) = parts.extensions.remove::<Arc<Connection>>() else {
        return Err(Refusal::Incomplete);
    };
    // Its headers share a buffer of the connection.
    drop(parts);
    let timeouts = connection.listener.timeouts();
    connection.set_charge(false);
    connection.advance(|progress, now| progress.on_body_start(now, &timeouts));
    let result = Reader::new(&connection, limit).read(&mut body).await;
    let is_place_needed = connection.is_displaced(Reason::Displaced);
    connection.begin_request();
    if matches!(result, Err(Refusal::Slow)) {
        connection.listener.count(Reason::SlowBody);
    }
    if result.is_err() && !is_place_needed {
        connection.advance(|progress, _| progress.on_refusal());
        tokio::spawn(discard_body(body));
    }
    result
}

struct Reader<'a> {
    connection: &'a Connection,
    limit: usize,
    body: Body,
}

impl<'a> Reader<'a> {
    fn new(connection: &'a Connection, limit: usize) -> Self {
        let body = Body {
            buffer: Vec::new(),
            charge: Charge::new(&connection.listener.budget),
        };
        Reader {
            connection,
            limit,
            body,
        }
    }

    async fn read(mut self, body: &mut Incoming) -> Result<Body, Refusal> {
        let size = body.size_hint();
        if size.lower() > self.limit as u64 {
            return Err(Refusal::TooLarge);
        }
        let expected = size.exact().map_or(self.limit, |size| size as usize);
        let timeouts = self.connection.listener.timeouts();
        let (mut frames, mut unrecorded) = (0, 0);
        while let Some(frame) = self.next_frame(body).await? {
            frames += 1;
            if frames % FRAMES_PER_TURN == 0 {
                yield_now().await;
            }
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.append(&data, expected).await?;
            unrecorded += data.len() as u64;
            if unrecorded >= PROGRESS_STEP {
                self.connection
                    .advance(|progress, now| progress.on_body(now, unrecorded, &timeouts));
                unrecorded = 0;
            }
        }
        let handled = self.body.buffer.capacity() + self.body.len() * (HANDLED_COPIES - 1);
        if !self.charge(handled).await {
            return Err(Refusal::NoMemory);
        }
        Ok(self.body)
    }

    async fn next_frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Refusal> {
        let deadline = self.connection.deadline().unwrap_or_else(Instant::now);
        tokio::select! {
            // What has arrived counts, however late this instance reads it, unless the place is needed:
            // decoding what a peer sent in tiny chunks can take longer than others wait.
            biased;
            _ = self.connection.displaced() => Err(Refusal::NoMemory),
            frame = body.frame() => frame.transpose().map_err(|_| Refusal::Incomplete),
            () = sleep_until(deadline) => Err(Refusal::Slow),
        }
    }

    async fn append(&mut self, data: &[u8], expected: usize) -> Result<(), Refusal> {
        let capacity = self.body.buffer.capacity();
        let needed = self.body.len() + data.len();
        if needed > self.limit {
            return Err(Refusal::TooLarge);
        }
        if needed > capacity {
            let preferred = (2 * capacity).min(expected).max(needed);
            let size = if self.body.charge.raise(preferred) {
                self.connection.set_charge(self.body.charge.bytes() > 0);
                preferred
            } else if self.charge(needed).await {
                needed
            } else {
                return Err(Refusal::NoMemory);
            };
            let added = size - self.body.len();
            self.body.buffer.reserve_exact(added);
        }
        self.body.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Charges what `size` bytes cost, if necessary instead of a body that makes no progress; returns
    /// whether there is so much memory.
    async fn charge(&mut self, size: usize) -> bool {
        let listener = &self.connection.listener;
        let mut is_charged = self.body.charge.raise(size);
        if !is_charged {
            let mut released = pin!(listener.budget.released());
            released.as_mut().enable();
            is_charged = listener.displace_body()
                && timeout(RELEASE_TIMEOUT, released).await.is_ok()
                && self.body.charge.raise(size);
        }
        if !is_charged {
            listener.count(Reason::BodyMemory);
        }
        self.connection.set_charge(self.body.charge.bytes() > 0);
        is_charged
    }
}
