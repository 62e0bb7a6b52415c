//! Shared addresses, deadlines and workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_coord::id::{Attempt, TaskId, Term};
use kingcupwinch_fakes::{FakeWorker, History, WorkerSpec};
use kingcupwinch_platform::{FencingToken, RequestBody, WorkerClient, full_body};
use kingcupwinch_time::Span;
use kingcupwinch_wire::instance_list::Capacity;
use tokio::time::Instant;
use uuid::Uuid;

pub(crate) const SERVICE: &str = "hire-booking";
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a deadline that no healthy call reaches.
pub(crate) fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

/// Returns a short deadline for calls to an unresponsive server.
pub(crate) fn soon() -> Instant {
    Instant::now() + Duration::from_millis(50)
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn spec() -> WorkerSpec {
    let capacity = Capacity {
        slots: 4,
        connections: 8,
        millicores: 16_000,
        memory_mb: 64_000,
        accelerators: 0,
        services: vec![SERVICE.into()],
    };
    let mut spec = WorkerSpec::new("worker-1", capacity);
    spec.report_interval = Span::ZERO;
    spec
}

pub(crate) struct Worker {
    pub(crate) fake: FakeWorker,
    pub(crate) history: History,
    pub(crate) client: Arc<WorkerClient>,
}

pub(crate) async fn worker() -> Worker {
    let history = History::new();
    let started = FakeWorker::start(spec(), &history, any_port()).await;
    let fake = started.expect("a free port");
    let client = Arc::new(WorkerClient::new(fake.address(), 8));
    Worker {
        fake,
        history,
        client,
    }
}

pub(crate) fn token(task: u128) -> FencingToken {
    FencingToken {
        task: TaskId(Uuid::from_u128(task)),
        attempt: Attempt(1),
        term: Term(5),
        time_left: Span::from_secs(30),
    }
}

pub(crate) fn request(id: &str, body: &'static str) -> hyper::Request<RequestBody> {
    let request = hyper::Request::post("/").header("x-request-id", id);
    request.body(full_body(body)).expect("a valid request")
}

/// Waits until a condition holds.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let deadline = deadline();
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "the condition holds before the timeout"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
