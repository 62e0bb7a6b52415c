//! Bodies of requests and answers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::pool::Lease;

/// Any failure of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request, whole or streamed.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a request's body of bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> RequestBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The streamed body of an answer. Once it has ended, its connection can carry another request;
/// dropping it earlier closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    lease: Option<Lease>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, lease: Lease) -> Self {
        let mut body = ResponseBody {
            incoming,
            lease: Some(lease),
        };
        body.release_at_end();
        body
    }

    fn release_at_end(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(lease) = self.lease.take()
        {
            lease.release();
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
            // The dropped lease closes the connection.
            Some(Err(_)) => self.lease = None,
            None => {
                if let Some(lease) = self.lease.take() {
                    lease.release();
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
