//! Starts and stops the parts of the daemon in order.

mod boot;
mod stop;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kingcupwinch_coord::id::{Incarnation, Version};
use kingcupwinch_link::{Inbox, LinkError, Links};
use kingcupwinch_platform::{InstanceListClient, LogClient};
use kingcupwinch_time::{BoottimeClock, Clock};
use quick_error::quick_error;
use rand::Rng;
use slog::o;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::actors::config::{Config, ConfigArgs};
use crate::actors::jobs::{JobManager, JobsArgs};
use crate::actors::keys::{KeyStore, KeysArgs};
use crate::actors::scheduler::{Scheduler, SchedulerArgs};
use crate::jobs::JobService;
use crate::keys::KeyService;
use crate::live::LiveService;
use crate::logging::{EventId, EventLog};
use crate::metrics::Metrics;
use crate::server::body_memory::BodyMemory;
use crate::server::callers::CallerHandler;
use crate::server::forward::ForwardHandler;
use crate::server::listener::Listener;
use crate::server::operators::OperatorHandler;
use crate::settings::Settings;
use crate::shared::{ActiveConfig, Lifecycle, OwnershipView, Shared};
use crate::siblings::{RemoteDomains, Siblings};
use boot::{Boot, Booted};

pub use stop::StopEnd;

quick_error! {
    /// The reason for which a daemon could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A port could not be bound.
        Bind(port: &'static str, address: SocketAddr, err: io::Error) {
            display("can't bind the port for {port} to {address}: {err}; choose another address in [listen]")
            source(err)
        }
        /// The port for sibling links could not be bound.
        Link(address: SocketAddr, err: LinkError) {
            display("can't bind the port for sibling links to {address}: {err}; choose another address in [listen]")
            source(err)
        }
    }
}

/// The addresses that a running daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Port for callers' requests.
    pub callers: SocketAddr,
    /// Port for requests that siblings forward.
    pub forward: SocketAddr,
    /// Port for sibling links.
    pub link: SocketAddr,
    /// Port for operators' requests and metrics.
    pub operators: SocketAddr,
}

/// A daemon that has not started.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: EventLog,
}

impl Daemon {
    /// Creates a daemon that logs as its settings say.
    pub fn new(settings: Settings) -> Self {
        let log = EventLog::new(&settings.log, &settings.instance.name);
        Daemon {
            settings,
            clock: Arc::new(BoottimeClock),
            log,
        }
    }

    /// Sets the clock used for leases and deadlines.
    #[must_use]
    pub fn with_clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Starts the daemon. It serves as soon as it has read a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a port can't be bound.
    pub async fn start(self) -> Result<Running, StartError> {
        let listen = self.settings.listen;
        let ports = Ports {
            callers: self.bind("callers", listen.callers).await?,
            forward: self.bind("forwarded requests", listen.forward).await?,
            operators: self.bind("operators", listen.operators).await?,
        };
        let incarnation = Incarnation(Uuid::now_v7());
        let links = Links::start(listen.link, incarnation).await;
        let (links, inbox) = links.map_err(|err| StartError::Link(listen.link, err))?;
        let shared = Arc::new(Shared {
            incarnation,
            clock: self.clock,
            log: self.log,
            metrics: Metrics::new(),
            config: ArcSwap::from_pointee(ActiveConfig::default()),
            ownership: ArcSwap::from_pointee(OwnershipView::default()),
            body_memory: BodyMemory::new(self.settings.hold.memory_bytes),
            lifecycle: Lifecycle::new(),
            log_unreadable: AtomicBool::new(false),
            settings: self.settings,
        });
        Ok(Running::launch(shared, ports, links, inbox))
    }

    async fn bind(&self, port: &'static str, address: SocketAddr) -> Result<Listener, StartError> {
        let listener = Listener::bind(address, self.settings.hold, self.log.clone()).await;
        listener.map_err(|err| StartError::Bind(port, address, err))
    }
}

/// The bound ports.
struct Ports {
    callers: Listener,
    forward: Listener,
    operators: Listener,
}

impl Ports {
    fn addresses(&self, links: &Links) -> Addresses {
        Addresses {
            callers: self.callers.address(),
            forward: self.forward.address(),
            link: links.address(),
            operators: self.operators.address(),
        }
    }
}

/// A running daemon.
pub struct Running {
    shared: Arc<Shared>,
    addresses: Addresses,
    scheduler: ActorRef<Scheduler>,
    close_callers: watch::Sender<bool>,
    close: watch::Sender<bool>,
    boot: watch::Receiver<Option<Booted>>,
    callers: JoinHandle<()>,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    fn launch(shared: Arc<Shared>, ports: Ports, links: Links, inbox: Inbox) -> Self {
        let addresses = ports.addresses(&links);
        let settings = &shared.settings;
        let seed = settings
            .instance
            .seed
            .unwrap_or_else(|| rand::rng().random());
        let log = LogClient::new(settings.platform.log);
        let siblings = Arc::new(Siblings::new(links));
        let (versions, version) = watch::channel(Version(0));
        let args = SchedulerArgs {
            shared: Arc::clone(&shared),
            seed,
        };
        let scheduler = Scheduler::spawn_with_mailbox(args, mailbox::unbounded());
        let key_store = KeyStore::spawn(KeysArgs {
            shared: Arc::clone(&shared),
        });
        let keys = KeyService::new(
            Arc::clone(&shared),
            key_store.clone(),
            Arc::clone(&siblings),
        );
        let args = ConfigArgs {
            shared: Arc::clone(&shared),
            log: log.clone(),
            versions,
        };
        let config = Config::spawn(args);
        let domains = Arc::new(RemoteDomains::new(InstanceListClient::new(
            settings.platform.list,
        )));
        let live = LiveService::new(
            Arc::clone(&shared),
            scheduler.clone(),
            Arc::clone(&siblings),
            keys.clone(),
            Arc::clone(&domains),
        );
        let args = JobsArgs {
            shared: Arc::clone(&shared),
            log: log.clone(),
            stream: boot::jobs_stream(&settings.instance.domain),
            scheduler: scheduler.clone(),
        };
        let manager = JobManager::spawn_with_mailbox(args, mailbox::unbounded());
        let jobs = JobService::new(
            Arc::clone(&shared),
            manager.clone(),
            Arc::clone(&siblings),
            domains,
        );
        let (booted, boot) = watch::channel(None);
        let starter = Boot {
            shared: Arc::clone(&shared),
            addresses,
            log,
            config,
            scheduler: scheduler.clone(),
            key_store,
            keys,
            manager,
            jobs: jobs.clone(),
            siblings,
            version,
            booted,
        };
        let tasks = starter.spawn(inbox);
        let (close_callers, callers_closed) = watch::channel(false);
        let (close, closed) = watch::channel(false);
        let handler = Arc::new(CallerHandler::new(Arc::clone(&shared), live.clone(), jobs));
        let callers = tokio::spawn(ports.callers.serve(handler, callers_closed));
        let handler = Arc::new(ForwardHandler::new(Arc::clone(&shared), live));
        let forward = tokio::spawn(ports.forward.serve(handler, closed.clone()));
        let handler = Arc::new(OperatorHandler::new(Arc::clone(&shared), scheduler.clone()));
        let operators = tokio::spawn(ports.operators.serve(handler, closed));
        log_start(&shared, addresses);
        Running {
            shared,
            addresses,
            scheduler,
            close_callers,
            close,
            boot,
            callers,
            servers: vec![forward, operators],
            tasks,
        }
    }

    /// Waits until an operator requests a graceful stop, which [`Running::stop`] then performs.
    pub async fn stop_requested(&self) {
        self.shared.lifecycle.stop_requested().await;
    }

    /// Waits until the group has declared this incarnation dead although the process runs. The
    /// process then has to be restarted.
    pub async fn declared_dead(&self) {
        let mut boot = self.boot.clone();
        let booted = boot
            .wait_for(Option::is_some)
            .await
            .ok()
            .and_then(|booted| booted.clone());
        let Some(mut booted) = booted else {
            return std::future::pending().await;
        };
        // An ownership actor that has stopped has left the group.
        let _ = booted.left.wait_for(|left| *left).await;
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in self
            .tasks
            .iter()
            .chain(&self.servers)
            .chain([&self.callers])
        {
            task.abort();
        }
    }
}

fn log_start(shared: &Shared, addresses: Addresses) {
    let fields = o!(
        "callers" => addresses.callers.to_string(),
        "operators" => addresses.operators.to_string(),
    );
    shared.log.write(EventId::Started, fields);
}
