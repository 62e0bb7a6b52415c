//! Complete responses of bounded size.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::body::{RequestBody, ResponseBody};
use crate::error::LostCause;

/// The maximum size of a response body that is read completely, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A response with its complete body.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The body's bytes.
    pub bytes: Bytes,
}

impl Reply {
    /// Reads a response body to its end.
    ///
    /// # Errors
    ///
    /// Returns [`LostCause::Timeout`] at the deadline, and [`LostCause::Body`] if the body is too
    /// large or incomplete.
    pub async fn read(
        response: Response<ResponseBody>,
        deadline: Instant,
    ) -> Result<Self, LostCause> {
        Reply::read_steadily(response, Duration::MAX, deadline).await
    }

    /// Reads a response body to its end, as long as a part of it arrives every `stall`.
    ///
    /// # Errors
    ///
    /// Returns [`LostCause::Timeout`] at the deadline or if nothing arrives for `stall`, and
    /// [`LostCause::Body`] if the body is too large or incomplete.
    pub async fn read_steadily(
        response: Response<ResponseBody>,
        stall: Duration,
        deadline: Instant,
    ) -> Result<Self, LostCause> {
        let status = response.status();
        let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        loop {
            let stalled_at = Instant::now().checked_add(stall).unwrap_or(deadline);
            let frame = timeout_at(deadline.min(stalled_at), body.frame()).await;
            let Some(frame) = frame.map_err(|_| LostCause::Timeout)? else {
                break;
            };
            if let Ok(data) = frame.map_err(|_| LostCause::Body)?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(Reply {
            status,
            bytes: bytes.freeze(),
        })
    }

    /// Returns [`LostCause::Status`] unless the response has the expected status.
    pub(crate) fn expect(self, status: StatusCode) -> Result<Self, LostCause> {
        if self.status != status {
            return Err(LostCause::Status(self.status.as_u16()));
        }
        Ok(self)
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, LostCause> {
        serde_json::from_slice(&self.bytes).map_err(LostCause::Malformed)
    }
}

/// Builds a request for a path that needs no percent-encoding.
pub fn request(method: Method, path: &str, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}
