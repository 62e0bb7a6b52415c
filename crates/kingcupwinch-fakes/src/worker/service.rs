use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::{Instance, InstanceState, Role};
use kingcupwinch_wire::worker::{Renewal, TaskStart, Throttle};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use uuid::Uuid;

use super::live;
use super::{Counts, History, WorkerEngine, WorkerFaults, WorkerSpec};
use crate::clock::TokioClock;
use crate::fault::{Availability, ServerFaults};
use crate::http::{Answer, Dropped, Handler, Server, empty, json, query_number, read_json};

/// Field of a task's payload with the time after which the task crashes the worker, in milliseconds.
const CRASH_FIELD: &str = "crash_ms";
/// The maximum wait of a long poll for a usage report, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Time that a crashed worker takes to come back.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Time between two tries to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(50);
const IDLE_INTERVAL: Duration = Duration::from_secs(3_600);

/// A running worker, shut down gracefully on drop.
#[derive(Debug)]
pub struct FakeWorker {
    address: SocketAddr,
    shared: Arc<Shared>,
    driver: JoinHandle<()>,
}

impl FakeWorker {
    /// Starts a worker that records its starts in `history`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        spec: WorkerSpec,
        history: &History,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let clock = history.clock();
        let shared = Arc::new(Shared {
            name: Arc::clone(&spec.name),
            clock,
            engine: Mutex::new(WorkerEngine::new(clock.now(), spec, history.clone())),
            changes: watch::Sender::new(()),
            server_faults: ServerFaults::new(),
            server: Mutex::new(None),
        });
        let service = WorkerService(Arc::clone(&shared));
        let server = Server::start(address, Arc::new(service)).await?;
        let address = server.address();
        *shared.server() = Some(server);
        let driver = tokio::spawn(drive(Arc::clone(&shared)));
        Ok(FakeWorker {
            address,
            shared,
            driver,
        })
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the worker's entry for the instance list.
    pub fn instance(&self, domain: &str, rack: &str) -> Instance {
        Instance {
            name: Arc::clone(&self.shared.name),
            domain: domain.into(),
            rack: rack.into(),
            role: Role::Worker,
            state: InstanceState::Live,
            address: self.address(),
            capacity: self.shared.read(|engine| engine.spec().capacity.clone()),
        }
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> WorkerFaults {
        self.shared.read(WorkerEngine::faults)
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.shared.change(|engine| engine.set_faults(faults));
    }

    /// Sets whether the worker is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.change(|engine| engine.set_leaving(leaving));
    }

    /// Sets how the worker responds to requests.
    pub fn set_availability(&self, availability: Availability) {
        self.shared.server_faults.set_availability(availability);
    }

    /// Sets the delay before each request is handled.
    pub fn set_delay(&self, delay: Span) {
        self.shared.server_faults.set_delay(delay);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.shared.read(WorkerEngine::counts)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.shared.read(WorkerEngine::open_connections)
    }

    /// Closes all connections and stops listening; tasks run on until they end or their leases
    /// expire.
    pub fn kill(&self) {
        self.shared.take_server();
    }
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.driver.abort();
        drop(self.shared.server().take());
    }
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) name: Arc<str>,
    clock: TokioClock,
    engine: Mutex<WorkerEngine>,
    changes: watch::Sender<()>,
    server_faults: ServerFaults,
    /// The server, which holds this state; `None` while the worker is down.
    server: Mutex<Option<Server>>,
}

impl Shared {
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn read<T>(&self, f: impl FnOnce(&WorkerEngine) -> T) -> T {
        f(&self.engine())
    }

    /// Changes the worker and notifies the tasks that wait for a change.
    pub(super) fn change<T>(&self, f: impl FnOnce(&mut WorkerEngine) -> T) -> T {
        let result = f(&mut self.engine());
        self.changes.send_replace(());
        result
    }

    /// Crashes the worker after a delay. It accepts no connections until it is back.
    pub(super) async fn crash_after(self: Arc<Self>, delay: Duration) {
        tokio::time::sleep(delay).await;
        let Some(address) = self.take_server() else {
            return;
        };
        let now = self.now();
        self.change(|engine| engine.crash(now));
        tokio::time::sleep(DOWNTIME).await;
        let service = Arc::new(WorkerService(Arc::clone(&self)));
        loop {
            match Server::start(address, Arc::clone(&service)).await {
                Ok(server) => {
                    *self.server() = Some(server);
                    return;
                }
                // The address is in use until the connections are closed.
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        }
    }

    /// Closes all connections and stops listening; returns the address if the worker was up.
    fn take_server(&self) -> Option<SocketAddr> {
        let server = self.server().take()?;
        server.kill();
        Some(server.address())
    }

    fn server(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn engine(&self) -> MutexGuard<'_, WorkerEngine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends tasks and creates reports when they are due.
async fn drive(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        let now = shared.now();
        let next = {
            let mut engine = shared.engine();
            engine.tick(now);
            engine.next_event()
        };
        let idle = Instant::now() + IDLE_INTERVAL;
        let until = next.map_or(idle, |t| shared.clock.instant(t).min(idle));
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep_until(until) => shared.changes.send_replace(()),
        }
    }
}

struct WorkerService(Arc<Shared>);

impl Handler for WorkerService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Dropped> {
        if !self.0.server_faults.admit().await {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (_, ["v1", "run", service]) => live::run(&self.0, service, request).await,
            (&Method::POST, ["v1", "tasks"]) => self.start_task(request).await,
            (&Method::POST, ["v1", "leases"]) => Ok(self.renew(request).await),
            (&Method::POST, ["v1", "tasks", task, action]) => {
                Ok(self.act(task, action, request).await)
            }
            (&Method::GET, ["v1", "usage"]) => Ok(self.usage(&request).await),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn connected(&self) -> bool {
        self.0.engine().connect()
    }

    fn closed(&self) {
        self.0.engine().disconnect();
    }
}

impl WorkerService {
    async fn start_task(&self, request: Request<Incoming>) -> Result<Answer, Dropped> {
        let arrived = self.0.now();
        let Some(not_after) = live::not_after(&request, arrived) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        let task: TaskStart = match read_json(request.into_body()).await {
            Ok(task) => task,
            Err(answer) => return Ok(answer),
        };
        let now = self.0.now();
        let started = self.0.change(|e| e.start_task(now, &task, not_after));
        let crash_ms = task.payload[CRASH_FIELD].as_u64();
        if let Some(crash_ms) = crash_ms.filter(|_| started.is_ok()) {
            tokio::spawn(Arc::clone(&self.0).crash_after(Duration::from_millis(crash_ms)));
        }
        match started {
            Ok(()) if self.0.read(WorkerEngine::faults).drops_responses => Err(Dropped),
            Ok(()) => Ok(empty(StatusCode::ACCEPTED)),
            Err(refusal) => Ok(live::refused(refusal)),
        }
    }

    async fn renew(&self, request: Request<Incoming>) -> Answer {
        let renewal: Renewal = match read_json(request.into_body()).await {
            Ok(renewal) => renewal,
            Err(answer) => return answer,
        };
        let now = self.0.now();
        let reply = self.0.change(|engine| engine.renew(now, &renewal));
        json(StatusCode::OK, &reply)
    }

    async fn act(&self, task: &str, action: &str, request: Request<Incoming>) -> Answer {
        let Ok(task) = task.parse::<Uuid>() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let now = self.0.now();
        let found = match action {
            "checkpoint" => self.0.change(|engine| engine.checkpoint(now, task)),
            "stop" => self.0.change(|engine| engine.stop(now, task)),
            "throttle" => match read_json::<Throttle>(request.into_body()).await {
                Ok(t) => self
                    .0
                    .change(|engine| engine.throttle(now, task, t.percent)),
                Err(answer) => return answer,
            },
            _ => false,
        };
        let status = if found {
            StatusCode::ACCEPTED
        } else {
            StatusCode::NOT_FOUND
        };
        empty(status)
    }

    async fn usage(&self, request: &Request<Incoming>) -> Answer {
        let after = query_number(request, "after");
        let wait = query_number(request, "wait_ms").min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut changes = self.0.changes.subscribe();
        loop {
            let now = self.0.now();
            let (is_newer, visible) = {
                let mut engine = self.0.engine();
                (engine.has_new_report(now, after), engine.next_visible(now))
            };
            if is_newer || Instant::now() >= until {
                let usage = self.0.engine().usage(now, after);
                return json(StatusCode::OK, &usage);
            }
            let wake = visible.map_or(until, |t| self.0.clock.instant(t).min(until));
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }
}
