//! Whole answers of a bounded size.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::body::{RequestBody, ResponseBody};
use crate::error::LostCause;

/// The largest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An answer with its whole body.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub bytes: Bytes,
}

impl Reply {
    /// Reads an answer's body to its end.
    ///
    /// # Errors
    ///
    /// Fails at the deadline, or if the body is too large or broken off.
    pub async fn read(
        answer: Response<ResponseBody>,
        deadline: Instant,
    ) -> Result<Self, LostCause> {
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let collected = timeout_at(deadline, body.collect()).await;
        let collected = collected.map_err(|_| LostCause::Timeout)?;
        let collected = collected.map_err(|_| LostCause::Body)?;
        Ok(Reply {
            status,
            bytes: collected.to_bytes(),
        })
    }

    /// Fails unless the answer has the expected status.
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

/// Makes a request to a path whose parts need no escapes.
pub fn request(method: Method, path: &str, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}
