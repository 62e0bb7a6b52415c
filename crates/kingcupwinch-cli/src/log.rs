//! Client of the configuration stream in the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_coord::id::Offset;
use kingcupwinch_platform::{AppendError, LogClient, ReadError};
use kingcupwinch_wire::LogPage;
use quick_error::quick_error;
use tokio::time::Instant;

/// Name of the stream with the published configurations.
const STREAM: &str = "config";

/// Maximum number of records in a page.
const PAGE_RECORDS: u32 = 256;

quick_error! {
    /// Error of the log service.
    #[derive(Debug)]
    pub enum LogError {
        /// The stream could not be read.
        Read(address: SocketAddr, cause: ReadError) {
            display("{cause}; nothing was changed, check the address {address} or try again when it is back")
            source(cause)
        }
        /// The record was definitely not appended.
        Append(address: SocketAddr, cause: AppendError) {
            display("{cause}; check the log's address {address} or try again when it is back")
            source(cause)
        }
    }
}

/// Client of the configuration stream.
#[derive(Debug, Clone)]
pub(crate) struct ConfigLog {
    address: SocketAddr,
    client: LogClient,
    timeout: Duration,
}

impl ConfigLog {
    /// Creates a client that bounds each request by `timeout`, plus the wait of a long poll.
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        ConfigLog {
            address,
            client: LogClient::new(address),
            timeout,
        }
    }

    /// Appends a record.
    ///
    /// Returns `Some` cause if the outcome is unknown: the record may have been appended.
    ///
    /// # Errors
    ///
    /// Fails if the record was definitely not appended.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Result<Option<AppendError>, LogError> {
        let deadline = Instant::now() + self.timeout;
        match self.client.append(STREAM, record, deadline).await {
            Ok(_) => Ok(None),
            Err(cause) if cause.is_not_appended() => Err(LogError::Append(self.address, cause)),
            Err(cause) => Ok(Some(cause)),
        }
    }

    /// Reads a page starting at an offset, waiting up to `wait` for a record.
    pub(crate) async fn read(&self, from: Offset, wait: Duration) -> Result<LogPage, LogError> {
        let deadline = Instant::now() + wait + self.timeout;
        let page = self
            .client
            .read(STREAM, from, PAGE_RECORDS, wait.into(), deadline)
            .await;
        page.map_err(|cause| LogError::Read(self.address, cause))
    }
}
