//! Requests to the operators' port of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

/// The most bytes of an instance's answer.
const MAX_BODY_BYTES: usize = 32 << 20;

quick_error! {
    /// An instance that could not be asked.
    #[derive(Debug)]
    pub(crate) enum HttpError {
        /// The request could not be made.
        Request(cause: hyper::http::Error) {
            display("the request can't be made: {cause}")
            from()
        }
        /// The connection failed.
        Connection(cause: String) {
            display("{cause}")
        }
        /// No answer came in time.
        Timeout(after: Duration) {
            display("no answer within {} ms", after.as_millis())
        }
        /// The answer is not a success.
        Status(status: StatusCode, detail: String) {
            display("it answered {status}{detail}")
        }
        /// The answer is too large.
        TooLarge {
            display("its answer is larger than {MAX_BODY_BYTES} bytes")
        }
        /// The answer is not what was expected.
        Answer(cause: String) {
            display("its answer can't be understood: {cause}")
        }
    }
}

/// A client of the operators' ports.
#[derive(Debug, Clone)]
pub(crate) struct Operator {
    client: Client<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl Operator {
    /// Makes a client whose requests end within `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Operator {
            client: Client::builder(TokioExecutor::new()).build_http(),
            timeout,
        }
    }

    /// Gets a JSON document.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpError> {
        let body = self.send(Method::GET, address, path).await?;
        serde_json::from_slice(&body).map_err(|e| HttpError::Answer(e.to_string()))
    }

    /// Gets a text.
    pub(crate) async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<String, HttpError> {
        let body = self.send(Method::GET, address, path).await?;
        String::from_utf8(body.into()).map_err(|e| HttpError::Answer(e.to_string()))
    }

    /// Posts an empty body.
    pub(crate) async fn post(&self, address: SocketAddr, path: &str) -> Result<(), HttpError> {
        self.send(Method::POST, address, path).await.map(drop)
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Empty::new())?;
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        answer.unwrap_or(Err(HttpError::Timeout(self.timeout)))
    }

    async fn exchange(&self, request: Request<Empty<Bytes>>) -> Result<Bytes, HttpError> {
        let answer = self.client.request(request).await;
        let answer = answer.map_err(|e| HttpError::Connection(root_cause(&e)))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES);
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

/// Returns a problem document's detail, ready to follow the status.
fn detail(body: &[u8]) -> String {
    let problem: Option<kingcupwinch_wire::api::Problem> = serde_json::from_slice(body).ok();
    problem.map_or_else(String::new, |p| format!(" ({})", p.detail))
}

/// Returns the innermost cause, which names what happened on the connection.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
