//! The configuration stream of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_coord::id::Offset;
use kingcupwinch_platform::{AppendError, LogClient, ReadError};
use kingcupwinch_wire::LogPage;
use quick_error::quick_error;
use tokio::time::Instant;

/// The stream that carries the published configuration.
const STREAM: &str = "config";

/// The most records of one page.
const PAGE_RECORDS: u32 = 256;

quick_error! {
    /// The log service failed.
    #[derive(Debug)]
    pub enum LogError {
        /// Nothing could be read.
        Read(address: SocketAddr, cause: ReadError) {
            display("{cause}; nothing was changed, check the address {address} or try again when it is back")
            source(cause)
        }
        /// The record was certainly not appended.
        Append(address: SocketAddr, cause: AppendError) {
            display("{cause}; check the log's address {address} or try again when it is back")
            source(cause)
        }
    }
}

/// A client of the configuration stream.
#[derive(Debug, Clone)]
pub(crate) struct ConfigLog {
    address: SocketAddr,
    client: LogClient,
    timeout: Duration,
}

impl ConfigLog {
    /// Makes a client whose requests end within `timeout`, beyond the wait of a long poll.
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        ConfigLog {
            address,
            client: LogClient::new(address),
            timeout,
        }
    }

    /// Appends one record; gives the cause where it may have been appended without an answer.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Result<Option<AppendError>, LogError> {
        let deadline = Instant::now() + self.timeout;
        match self.client.append(STREAM, record, deadline).await {
            Ok(_) => Ok(None),
            Err(cause) if cause.is_not_appended() => Err(LogError::Append(self.address, cause)),
            Err(cause) => Ok(Some(cause)),
        }
    }

    /// Reads a page from an offset on, after waiting up to `wait` for a record.
    pub(crate) async fn read(&self, from: Offset, wait: Duration) -> Result<LogPage, LogError> {
        let deadline = Instant::now() + wait + self.timeout;
        let page = self
            .client
            .read(STREAM, from, PAGE_RECORDS, wait.into(), deadline)
            .await;
        page.map_err(|cause| LogError::Read(self.address, cause))
    }
}
