//! HTTP clients for the platform's log service, instance list and workers.
//!
//! Every call has a deadline and a typed error that distinguishes calls without effect from calls
//! that may have taken effect. A request counts as not sent only if no byte of it was written, in
//! which case hyper returns the request.
//!
//! ```
//! use std::time::Duration;
//!
//! use kingcupwinch_fakes::{FakeLog, LogServer};
//! use kingcupwinch_platform::LogClient;
//! use tokio::time::Instant;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
//! let log = FakeLog::new();
//! let server = LogServer::start(&log, "127.0.0.1:0".parse()?).await?;
//! let client = LogClient::new(server.address());
//! let deadline = Instant::now() + Duration::from_secs(5);
//! let offset = client.append("config", "a record", deadline).await?;
//! assert_eq!(offset.0, 0);
//! # Ok(())
//! # })
//! # }
//! ```

mod adaptive_timeout;
mod body;
mod error;
mod http;
mod instance_list;
mod log;
mod pool;
mod reply;
mod traffic;
mod worker;

pub use adaptive_timeout::AdaptiveTimeout;
pub use body::{BodyError, RequestBody, ResponseBody, discard_body, full_body};
pub use error::{
    AppendError, InstanceListError, LostCause, NotSentCause, ReadError, SendError, WorkerError,
};
pub use http::HttpClient;
pub use instance_list::InstanceListClient;
pub use log::LogClient;
pub use pool::ConnectionHistory;
pub use reply::{Reply, request};
pub use traffic::{ByteCounter, Counted, Traffic};
pub use worker::{CONTROL_CONNECTIONS, FencingToken, WorkerClient};
