//! HTTP client with limits on time and size.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

quick_error! {
    /// Error of an HTTP request.
    #[derive(Debug)]
    pub enum HttpError {
        /// The request could not be built.
        Request(cause: hyper::http::Error) {
            display("the request can't be built: {cause}")
            from()
        }
        /// The connection failed.
        Connection(cause: String) {
            display("{cause}")
        }
        /// No response arrived within the timeout.
        Timeout(after: Duration) {
            display("no response within {} ms", after.as_millis())
        }
        /// The status of the response is not a success.
        Status(status: StatusCode, detail: String) {
            display("it answered {status}{detail}")
        }
        /// The response body is too large.
        TooLarge {
            display("its response is larger than {MAX_BODY_BYTES} bytes")
        }
        /// The response body is invalid.
        InvalidResponse(cause: String) {
            display("its response is invalid: {cause}")
        }
    }
}

/// HTTP client whose requests are bounded in time and size.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client that bounds each request by `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        HttpClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
            timeout,
        }
    }

    /// Sends a request without a body and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Fails on a lost connection, a timeout, an unsuccessful status and a body that is too large.
    pub(crate) async fn send(&self, method: Method, uri: &str) -> Result<Bytes, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Empty::new())?;
        let response = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        response.unwrap_or(Err(HttpError::Timeout(self.timeout)))
    }

    async fn exchange(&self, request: Request<Empty<Bytes>>) -> Result<Bytes, HttpError> {
        let response = self.client.request(request).await;
        let response = response.map_err(|e| HttpError::Connection(root_cause(&e)))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await.map_err(|e| {
            if e.is::<LengthLimitError>() {
                return HttpError::TooLarge;
            }
            HttpError::Connection(e.to_string())
        })?;
        let body = body.to_bytes();
        if !status.is_success() {
            return Err(HttpError::Status(status, detail(&body)));
        }
        Ok(body)
    }
}

/// Returns the detail of a problem document in parentheses, or an empty string if the body isn't a
/// problem document.
fn detail(body: &[u8]) -> String {
    let problem: Option<kingcupwinch_wire::api::Problem> = serde_json::from_slice(body).ok();
    problem.map_or_else(String::new, |p| format!(" ({})", p.detail))
}

/// Returns the innermost cause, which names the failure of the connection.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
