//! The configuration stream of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use kingcupwinch_coord::id::Offset;
use kingcupwinch_wire::{DecodeError, LogPage, decode_page};
use quick_error::quick_error;

use crate::http::{Http, HttpError};

/// The stream that carries the published configuration.
const STREAM: &str = "config";

/// The most records of one page.
const PAGE_RECORDS: usize = 256;

quick_error! {
    /// The log service failed.
    #[derive(Debug)]
    pub enum LogError {
        /// No usable answer came.
        Http(address: SocketAddr, cause: HttpError) {
            display("the log service at {address} did not answer: {cause}; nothing was changed, try again when it is back")
            source(cause)
        }
        /// The answer is not a page of records.
        Page(address: SocketAddr, cause: DecodeError) {
            display("the log service at {address} sent an answer that can't be understood: {cause}; check the address")
            source(cause)
        }
    }
}

quick_error! {
    /// An append without an answer of success.
    #[derive(Debug)]
    pub enum AppendError {
        /// The record was certainly not appended.
        Refused(cause: LogError) {
            display("{cause}")
            source(cause)
        }
        /// The record may have been appended.
        Lost(cause: HttpError) {
            display("{cause}")
            source(cause)
        }
    }
}

/// A client of the configuration stream.
#[derive(Debug, Clone)]
pub(crate) struct LogClient {
    address: SocketAddr,
    http: Http,
}

impl LogClient {
    /// Makes a client whose requests end within `timeout`, beyond the wait of a long poll.
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        LogClient {
            address,
            http: Http::new(timeout),
        }
    }

    /// Appends one record.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Result<(), AppendError> {
        let uri = format!("http://{}/v1/streams/{STREAM}/records", self.address);
        let answer = self
            .http
            .send(Method::POST, &uri, Bytes::from(record))
            .await;
        match answer {
            Ok(_) => Ok(()),
            Err(cause) if is_refusal(&cause) => {
                Err(AppendError::Refused(LogError::Http(self.address, cause)))
            }
            Err(cause) => Err(AppendError::Lost(cause)),
        }
    }

    /// Reads a page from an offset on, after waiting up to `wait` for a record.
    pub(crate) async fn read(&self, from: Offset, wait: Duration) -> Result<LogPage, LogError> {
        let uri = format!(
            "http://{}/v1/streams/{STREAM}/records?from={}&wait_ms={}&max={PAGE_RECORDS}",
            self.address,
            from.0,
            wait.as_millis()
        );
        let timeout = self.http.timeout() + wait;
        let answer = self
            .http
            .send_within(timeout, Method::GET, &uri, Bytes::new());
        let body = answer.await.map_err(|e| LogError::Http(self.address, e))?;
        decode_page(body).map_err(|e| LogError::Page(self.address, e))
    }
}

/// Returns whether the log service has certainly not taken the record.
fn is_refusal(error: &HttpError) -> bool {
    match error {
        HttpError::Request(_) | HttpError::Connect(_) => true,
        HttpError::Status(status, _) => {
            *status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error()
        }
        _ => false,
    }
}
