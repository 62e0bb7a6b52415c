//! Request and response bodies.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::task::yield_now;

use crate::pool::PooledConnection;

/// Maximum size of what is dropped of a refused body, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Bytes that a frame counts for at least when it is dropped: to decode a chunk of one byte takes as long.
const MIN_FRAME_BYTES: usize = 1 << 10;

/// An error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request body, complete or streamed.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a complete request body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> RequestBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A streamed response body. At its end the connection returns to the pool; dropping the body
/// earlier closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, connection: PooledConnection) -> Self {
        let mut body = ResponseBody {
            incoming,
            connection: Some(connection),
        };
        body.release_at_end();
        body
    }

    fn release_at_end(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(connection) = self.connection.take()
        {
            connection.release();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => self.release_at_end(),
            // Dropping the pooled connection closes it.
            Some(Err(_)) => self.connection = None,
            None => {
                if let Some(connection) = self.connection.take() {
                    connection.release();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Reads and drops up to 256 KiB of a refused request's body, so that the response reaches a caller that is
/// still sending: a connection that is closed with unread bytes is reset. Ends with the connection.
pub async fn discard_body(mut body: Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let bytes = frame.data_ref().map_or(0, Bytes::len).max(MIN_FRAME_BYTES);
        if bytes >= left {
            return;
        }
        left -= bytes;
        yield_now().await;
    }
}
