use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kingcupwinch_time::Span;
use kingcupwinch_wire::instance_list::{Instance, InstanceState, Instances};

use super::InstanceListEngine;
use crate::clock::TokioClock;
use crate::fault::{Availability, ServerFaults};
use crate::http::{Answer, Dropped, Handler, Server, empty, json, query_text};

const PATH: &str = "/v1/instances";

/// An instance list that any number of servers can serve; clones share the list.
#[derive(Debug, Clone)]
pub struct FakeInstanceList {
    clock: TokioClock,
    engine: Arc<Mutex<InstanceListEngine>>,
}

impl FakeInstanceList {
    /// Creates an empty list without lag.
    pub fn new() -> Self {
        FakeInstanceList::with_engine(InstanceListEngine::new())
    }

    /// Creates a list with the given engine.
    pub fn with_engine(engine: InstanceListEngine) -> Self {
        FakeInstanceList {
            clock: TokioClock::new(),
            engine: Arc::new(Mutex::new(engine)),
        }
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.engine().put(self.clock.now(), instance);
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.engine().remove(self.clock.now(), name);
    }

    /// Sets the state of an instance.
    pub fn set_state(&self, name: &str, state: InstanceState) {
        self.engine().set_state(self.clock.now(), name, state);
    }

    /// Omits an instance from the list until [`FakeInstanceList::show`].
    pub fn hide(&self, name: &str) {
        self.engine().hide(name);
    }

    /// Reverts [`FakeInstanceList::hide`].
    pub fn show(&self, name: &str) {
        self.engine().show(name);
    }

    fn read(&self, domain: Option<&str>) -> Vec<Instance> {
        self.engine().read(self.clock.now(), domain)
    }

    fn engine(&self) -> MutexGuard<'_, InstanceListEngine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for FakeInstanceList {
    fn default() -> Self {
        FakeInstanceList::new()
    }
}

/// A server of an instance list with its own faults, shut down gracefully on drop.
#[derive(Debug)]
pub struct InstanceListServer {
    server: Server,
    faults: Arc<ServerFaults>,
}

impl InstanceListServer {
    /// Starts a server; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(list: &FakeInstanceList, address: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(ServerFaults::new());
        let service = InstanceListService {
            list: list.clone(),
            faults: Arc::clone(&faults),
        };
        let server = Server::start(address, Arc::new(service)).await?;
        Ok(InstanceListServer { server, faults })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the server responds to requests.
    pub fn set_availability(&self, availability: Availability) {
        self.faults.set_availability(availability);
    }

    /// Sets the delay before each request is handled.
    pub fn set_delay(&self, delay: Span) {
        self.faults.set_delay(delay);
    }

    /// Closes all connections and stops listening.
    pub fn kill(&self) {
        self.server.kill();
    }
}

struct InstanceListService {
    list: FakeInstanceList,
    faults: Arc<ServerFaults>,
}

impl Handler for InstanceListService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Dropped> {
        if !self.faults.admit().await {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if request.uri().path() != PATH {
            return Ok(empty(StatusCode::NOT_FOUND));
        }
        if request.method() != Method::GET {
            return Ok(empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        let domain = query_text(&request, "domain");
        let instances = self.list.read(domain);
        Ok(json(StatusCode::OK, &Instances { instances }))
    }
}
