use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kingcupwinch_coord::id::Offset;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::{Appended, LogPage, LogRecord, encode_page};
use tokio::sync::watch;

use super::LogEngine;
use crate::clock::TokioClock;
use crate::fault::{Availability, ServerFaults};
use crate::http::{
    Answer, Dropped, Handler, Server, empty, json, query_number, read_body, with_body,
};

/// Maximum number of records in one read response.
const MAX_READ_RECORDS: u64 = 4_096;
/// The maximum wait of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
const PATH_PREFIX: &str = "/v1/streams/";
const PATH_SUFFIX: &str = "/records";

/// A log that any number of servers can serve; clones share the log.
#[derive(Debug, Clone)]
pub struct FakeLog {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: TokioClock,
    engine: Mutex<LogEngine>,
    appends: watch::Sender<u64>,
}

impl FakeLog {
    /// Creates an empty log that retains its records forever.
    pub fn new() -> Self {
        FakeLog::with_engine(LogEngine::new())
    }

    /// Creates a log with the given engine.
    pub fn with_engine(engine: LogEngine) -> Self {
        let shared = Shared {
            clock: TokioClock::new(),
            engine: Mutex::new(engine),
            appends: watch::Sender::new(0),
        };
        FakeLog {
            shared: Arc::new(shared),
        }
    }

    /// Appends a record as another client would.
    pub fn append(&self, stream: &str, bytes: impl Into<Bytes>) -> Offset {
        let offset = self.engine().append(self.now(), stream, bytes.into());
        self.shared.appends.send_modify(|n| *n += 1);
        offset
    }

    /// Returns the retained records of a stream.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.read(stream, Offset(0), usize::MAX).records
    }

    /// Returns the total number of records appended to all streams.
    pub fn appends(&self) -> u64 {
        *self.shared.appends.borrow()
    }

    /// Drops the records of a stream before an offset, as if they had expired.
    pub fn expire_before(&self, stream: &str, offset: Offset) {
        self.engine().expire_before(stream, offset);
    }

    fn read(&self, stream: &str, from: Offset, max: usize) -> LogPage {
        self.engine().read(self.now(), stream, from, max)
    }

    fn now(&self) -> Time {
        self.shared.clock.now()
    }

    fn engine(&self) -> MutexGuard<'_, LogEngine> {
        let engine = self.shared.engine.lock();
        engine.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for FakeLog {
    fn default() -> Self {
        FakeLog::new()
    }
}

/// A server of a log with its own faults: a test gives each client its own server to partition one
/// client and not the others. Dropping the server shuts it down gracefully.
#[derive(Debug)]
pub struct LogServer {
    server: Server,
    faults: Arc<ServerFaults>,
}

impl LogServer {
    /// Starts a server; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(log: &FakeLog, address: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(ServerFaults::new());
        let service = LogService {
            log: log.clone(),
            faults: Arc::clone(&faults),
        };
        let server = Server::start(address, Arc::new(service)).await?;
        Ok(LogServer { server, faults })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the server responds to requests; this ends pending long polls.
    pub fn set_availability(&self, availability: Availability) {
        self.faults.set_availability(availability);
    }

    /// Sets the delay before each request is handled.
    pub fn set_delay(&self, delay: Span) {
        self.faults.set_delay(delay);
    }

    /// Drops the responses to the next `count` appends after the appends took effect.
    pub fn drop_responses(&self, count: u32) {
        self.faults.drop_responses(count);
    }

    /// Closes all connections and stops listening.
    pub fn kill(&self) {
        self.server.kill();
    }
}

struct LogService {
    log: FakeLog,
    faults: Arc<ServerFaults>,
}

impl Handler for LogService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Dropped> {
        if !self.faults.admit().await {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(stream) = stream_name(request.uri().path()) else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        match *request.method() {
            Method::GET => Ok(self.read(&stream, &request).await),
            Method::POST => self.append(&stream, request).await,
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}

impl LogService {
    async fn append(&self, stream: &str, request: Request<Incoming>) -> Result<Answer, Dropped> {
        let bytes = match read_body(request.into_body()).await {
            Ok(bytes) => bytes,
            Err(answer) => return Ok(answer),
        };
        let offset = self.log.append(stream, bytes).0;
        if self.faults.take_dropped_response() {
            return Err(Dropped);
        }
        Ok(json(StatusCode::CREATED, &Appended { offset }))
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Answer {
        let from = Offset(query_number(request, "from"));
        let wait = query_number(request, "wait_ms").min(MAX_WAIT_MS);
        let max = match query_number(request, "max") {
            0 => MAX_READ_RECORDS,
            max => max.min(MAX_READ_RECORDS),
        };
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut appends = self.log.shared.appends.subscribe();
        let mut availability = self.faults.watch_availability();
        loop {
            let page = self.log.read(stream, from, max);
            if self.faults.availability() != Availability::Up {
                self.faults.admit().await;
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            if !page.records.is_empty() {
                return with_body(StatusCode::OK, encode_page(&page));
            }
            tokio::select! {
                _ = appends.changed() => {}
                _ = availability.changed() => {}
                () = tokio::time::sleep_until(until) => {
                    return with_body(StatusCode::OK, encode_page(&page));
                }
            }
        }
    }
}

fn stream_name(path: &str) -> Option<String> {
    let name = path.strip_prefix(PATH_PREFIX)?.strip_suffix(PATH_SUFFIX)?;
    let valid = !name.is_empty() && !name.contains('/');
    valid.then(|| name.to_owned())
}
