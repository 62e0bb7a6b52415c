//! Starting and stopping everything in order.

mod boot;
mod stop;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use kingcupwinch_coord::id::{Incarnation, Version};
use kingcupwinch_platform::LogClient;
use kingcupwinch_time::{Clock, SuspendClock};
use quick_error::quick_error;
use rand::Rng;
use slog::o;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::actors::config::{Config, ConfigArgs};
use crate::actors::scheduler::{Scheduler, SchedulerArgs};
use crate::live::LiveService;
use crate::logging::{EventId, EventLog};
use crate::metrics::Metrics;
use crate::server::callers::Callers;
use crate::server::listener::Listener;
use crate::server::operators::Operators;
use crate::settings::Settings;
use crate::shared::{InForce, Lifecycle, OwnershipView, Shared};
use boot::Boot;

pub use stop::StopEnd;

quick_error! {
    /// Why a daemon could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A port could not be bound.
        Bind(port: &'static str, address: SocketAddr, err: io::Error) {
            display("can't listen for {port} at {address}: {err}; choose another address in [listen]")
            source(err)
        }
    }
}

/// Where a running daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators' requests and metrics.
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
    /// Makes a daemon that logs as its settings say.
    pub fn new(settings: Settings) -> Self {
        let log = EventLog::new(&settings.log, &settings.instance.name);
        Daemon {
            settings,
            clock: Arc::new(SuspendClock),
            log,
        }
    }

    /// Sets the clock that leases and deadlines are counted on.
    #[must_use]
    pub fn with_clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Starts it; it serves as soon as it has read a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a port can't be bound.
    pub async fn start(self) -> Result<Running, StartError> {
        let listen = self.settings.listen;
        let callers = self.bind("callers", listen.callers).await?;
        let operators = self.bind("operators", listen.operators).await?;
        let addresses = Addresses {
            callers: callers.address(),
            operators: operators.address(),
        };
        let shared = Arc::new(Shared {
            incarnation: Incarnation(Uuid::now_v7()),
            clock: self.clock,
            log: self.log,
            metrics: Metrics::new(),
            config: ArcSwap::from_pointee(InForce::default()),
            ownership: ArcSwap::from_pointee(OwnershipView::default()),
            lifecycle: Lifecycle::new(),
            settings: self.settings,
        });
        Ok(Running::launch(shared, addresses, callers, operators))
    }

    async fn bind(&self, port: &'static str, address: SocketAddr) -> Result<Listener, StartError> {
        let listener = Listener::bind(address, self.settings.hold, self.log.clone()).await;
        listener.map_err(|err| StartError::Bind(port, address, err))
    }
}

/// A daemon that runs.
pub struct Running {
    shared: Arc<Shared>,
    addresses: Addresses,
    scheduler: ActorRef<Scheduler>,
    close: watch::Sender<bool>,
    boot: watch::Receiver<Option<boot::Booted>>,
    servers: Vec<JoinHandle<()>>,
    helpers: Vec<JoinHandle<()>>,
}

impl Running {
    fn launch(
        shared: Arc<Shared>,
        addresses: Addresses,
        callers: Listener,
        operators: Listener,
    ) -> Self {
        let settings = &shared.settings;
        let seed = settings
            .instance
            .seed
            .unwrap_or_else(|| rand::rng().random());
        let log = LogClient::new(settings.platform.log);
        let (versions, version) = watch::channel(Version(0));
        let args = SchedulerArgs {
            shared: Arc::clone(&shared),
            seed,
        };
        let scheduler = Scheduler::spawn(args);
        let args = ConfigArgs {
            shared: Arc::clone(&shared),
            log: log.clone(),
            versions,
        };
        let config = Config::spawn(args);
        let (booted, boot) = watch::channel(None);
        let starter = Boot {
            shared: Arc::clone(&shared),
            log,
            config,
            scheduler: scheduler.clone(),
            version,
            booted,
        };
        let helpers = starter.spawn();
        let (close, closed) = watch::channel(false);
        let live = LiveService::new(Arc::clone(&shared), scheduler.clone());
        let handler = Arc::new(Callers::new(Arc::clone(&shared), live));
        let callers = tokio::spawn(callers.serve(handler, closed.clone()));
        let handler = Arc::new(Operators::new(Arc::clone(&shared), scheduler.clone()));
        let operators = tokio::spawn(operators.serve(handler, closed));
        let fields = o!("callers" => addresses.callers.to_string(),
            "operators" => addresses.operators.to_string());
        shared.log.write(EventId::Started, fields);
        let servers = vec![callers, operators];
        Running {
            shared,
            addresses,
            scheduler,
            close,
            boot,
            servers,
            helpers,
        }
    }

    /// Returns where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in self.helpers.iter().chain(&self.servers) {
            task.abort();
        }
    }
}
