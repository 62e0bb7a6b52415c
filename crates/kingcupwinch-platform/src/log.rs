use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use kingcupwinch_coord::id::Offset;
use kingcupwinch_time::Span;
use kingcupwinch_wire::{Appended, LogPage, decode_page};
use tokio::time::Instant;

use crate::body::full_body;
use crate::error::{AppendError, LostCause, ReadError};
use crate::pool::Pool;
use crate::reply::{Reply, request};

/// Maximum number of connections to the log: one long poll per stream, and appends.
const MAX_CONNECTIONS: usize = 8;

/// A client of the log service; clones share its connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    pool: Arc<Pool>,
}

impl LogClient {
    /// Creates a client for the service at an address; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        LogClient {
            pool: Pool::new(address, MAX_CONNECTIONS),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an [`AppendError`], which tells whether the record may have been appended.
    pub async fn append(
        &self,
        stream: &str,
        record: impl Into<Bytes>,
        deadline: Instant,
    ) -> Result<Offset, AppendError> {
        let path = format!("/v1/streams/{stream}/records");
        let request = request(Method::POST, &path, full_body(record));
        let answer = self.pool.send(request, deadline, |_, _| true).await?;
        let status = answer.status();
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(AppendError::Refused(status.as_u16()));
        }
        let appended = appended(answer, deadline).await;
        appended.map_err(AppendError::Unknown)
    }

    /// Reads up to `max` records starting at offset `from`; waits up to `wait` for the first
    /// record.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] if the log can't be read, and [`ReadError::Malformed`] if
    /// the response is not a valid page.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: u32,
        wait: Span,
        deadline: Instant,
    ) -> Result<LogPage, ReadError> {
        let from = from.0;
        let wait = wait.as_millis();
        let path = format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait}&max={max}");
        let request = request(Method::GET, &path, full_body(Bytes::new()));
        let answer = self.pool.send(request, deadline, |_, _| true).await?;
        let reply = Reply::read(answer, deadline).await?;
        let reply = reply.expect(StatusCode::OK)?;
        Ok(decode_page(reply.bytes)?)
    }
}

async fn appended(
    answer: hyper::Response<crate::ResponseBody>,
    deadline: Instant,
) -> Result<Offset, LostCause> {
    let reply = Reply::read(answer, deadline).await?;
    let appended: Appended = reply.expect(StatusCode::CREATED)?.json()?;
    Ok(Offset(appended.offset))
}
