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

/// The most records in one answer to a read.
const MAX_READ: u64 = 4_096;
/// The longest wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
const PATH_START: &str = "/v1/streams/";
const PATH_END: &str = "/records";

/// The log behind any number of servers; clones share one log.
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
    /// Makes an empty log that keeps its records for ever.
    pub fn new() -> Self {
        FakeLog::with_engine(LogEngine::new())
    }

    /// Makes a log around an engine.
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

    /// Returns how many records were ever appended to any stream.
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

/// One server of a log, with faults of its own: a test gives each client its own server to cut one
/// off and not the others. Dropping it stops it gracefully.
#[derive(Debug)]
pub struct LogServer {
    server: Server,
    faults: Arc<ServerFaults>,
}

impl LogServer {
    /// Starts a server; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(log: &FakeLog, address: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(ServerFaults::new());
        let service = LogService {
            log: log.clone(),
            faults: Arc::clone(&faults),
        };
        let server = Server::start(address, Arc::new(service)).await?;
        Ok(LogServer { server, faults })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how it meets requests; reads that wait are ended.
    pub fn set_availability(&self, availability: Availability) {
        self.faults.set_availability(availability);
    }

    /// Sets how long each request waits before it is looked at.
    pub fn set_delay(&self, delay: Span) {
        self.faults.set_delay(delay);
    }

    /// Loses the answers to the next `count` appends after these took effect.
    pub fn drop_responses(&self, count: u32) {
        self.faults.drop_responses(count);
    }

    /// Cuts every connection and stops listening.
    pub fn kill(&self) {
        self.server.kill();
    }
}

struct LogService {
    log: FakeLog,
    faults: Arc<ServerFaults>,
}

impl Handler for LogService {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Dropped> {
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
            0 => MAX_READ,
            max => max.min(MAX_READ),
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
    let name = path.strip_prefix(PATH_START)?.strip_suffix(PATH_END)?;
    let valid = !name.is_empty() && !name.contains('/');
    valid.then(|| name.to_owned())
}
