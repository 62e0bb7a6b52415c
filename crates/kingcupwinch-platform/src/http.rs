use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{Request, Response};
use tokio::time::Instant;

use crate::body::{RequestBody, ResponseBody};
use crate::error::SendError;
use crate::pool::Pool;

/// A client of any HTTP service that needs to know what certainly was not sent; clones share its
/// connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pool: Arc<Pool>,
}

impl HttpClient {
    /// Makes a client of the service at an address, with up to `connections` connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        HttpClient {
            pool: Pool::new(address, connections),
        }
    }

    /// Sends a request and returns the head of its answer, whose body streams. The deadline holds
    /// for the head.
    ///
    /// # Errors
    ///
    /// Tells apart a request of which no byte was written from one that may have taken effect.
    pub async fn send(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.pool.send(request, deadline, |_| true).await
    }
}
