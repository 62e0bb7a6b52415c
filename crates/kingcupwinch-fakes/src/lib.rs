//! In-memory stand-ins for the log service, the instance list and workers.
//!
//! Each stand-in consists of an engine without I/O and an HTTP server around it that supports
//! HTTP/1.1 and HTTP/2. A handle returns the server's address and injects faults. The [`History`]
//! records every start on every worker, so that a test can check what ran where.
//!
//! ```
//! use kingcupwinch_fakes::{FakeLog, LogServer};
//!
//! # fn main() -> std::io::Result<()> {
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
//! let log = FakeLog::new();
//! let server = LogServer::start(&log, "127.0.0.1:0".parse().expect("a valid address")).await?;
//! assert_ne!(server.address().port(), 0);
//! assert_eq!(log.records("config"), []);
//! # Ok(())
//! # })
//! # }
//! ```

mod clock;
mod fault;
mod http;
mod instance_list;
mod log;
mod worker;

pub use fault::Availability;
pub use instance_list::{FakeInstanceList, InstanceListEngine, InstanceListServer};
pub use log::{FakeLog, LogEngine, LogServer};
pub use worker::{
    Counts, FakeWorker, History, LiveStart, Start, StartIndex, WorkerEngine, WorkerFaults,
    WorkerSpec, live_response,
};
