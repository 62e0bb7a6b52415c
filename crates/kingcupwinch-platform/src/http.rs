use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{Request, Response};
use tokio::time::Instant;

use crate::body::{RequestBody, ResponseBody};
use crate::error::SendError;
use crate::pool::{ConnectionHistory, Pool};
use crate::traffic::ByteCounter;

/// An HTTP client that reports whether a failed request was certainly not sent; clones share its
/// connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pool: Arc<Pool>,
}

impl HttpClient {
    /// Creates a client for the service at an address, with at most `connections` connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        HttpClient {
            pool: Pool::new(address, connections),
        }
    }

    /// Creates a client as [`HttpClient::new`] does, whose bytes are added to a counter.
    pub fn with_counter(
        address: SocketAddr,
        connections: usize,
        counter: Arc<ByteCounter>,
    ) -> Self {
        HttpClient {
            pool: Pool::with_counter(address, connections, counter),
        }
    }

    /// Sends a request and returns the response with a streamed body. The deadline applies to the
    /// response head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no byte of the request was written, and
    /// [`SendError::Lost`] if the request may have taken effect.
    pub async fn send(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.pool.send(request, deadline, |_, _| true).await
    }

    /// Sends a request as [`HttpClient::send`] does. `prepare` may modify it immediately before each
    /// write, depending on what the connection that was chosen has carried before.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_prepared(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
        mut prepare: impl FnMut(&mut Request<RequestBody>, ConnectionHistory),
    ) -> Result<Response<ResponseBody>, SendError> {
        let check = |request: &mut Request<RequestBody>, history| {
            prepare(request, history);
            true
        };
        self.pool.send(request, deadline, check).await
    }
}
