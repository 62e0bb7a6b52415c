//! The part of the start that needs a configuration.

use std::sync::Arc;

use kameo::actor::{ActorRef, Spawn};
use kingcupwinch_coord::id::{Offset, Version};
use kingcupwinch_coord::ownership::{Coordinator, Timers};
use kingcupwinch_coord::record::Member;
use kingcupwinch_link::Inbox;
use kingcupwinch_platform::{InstanceListClient, LogClient};
use kingcupwinch_time::Span;
use rand::Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Addresses;
use crate::actors::config::{self, Config};
use crate::actors::instance_list::InstanceListPoller;
use crate::actors::jobs::JobManager;
use crate::actors::keys::KeyStore;
use crate::actors::ownership::{Outbox, Ownership, OwnershipArgs};
use crate::actors::reader::StreamReader;
use crate::actors::scheduler::{ConnectSiblings, Replan, Scheduler};
use crate::jobs::JobService;
use crate::keys::KeyService;
use crate::shared::Shared;
use crate::siblings::{Router, Siblings, poll_siblings};

/// Maximum wait of one read of the configuration stream.
const CONFIG_WAIT: Span = Span::from_secs(2);

/// Maximum wait of one read of the ownership stream; well below the lease that these reads renew.
const OWNERS_WAIT: Span = Span::from_millis(400);

/// Maximum wait of one read of the job stream.
const JOBS_WAIT: Span = Span::from_secs(2);

/// Returns the name of a failure domain's job stream.
pub(super) fn jobs_stream(domain: &str) -> Arc<str> {
    format!("jobs-{domain}").into()
}

/// The handles that exist once a configuration is known.
#[derive(Clone)]
pub(super) struct Booted {
    /// The ownership actor.
    pub(super) ownership: ActorRef<Ownership>,
    /// Set to true when this incarnation has left the group.
    pub(super) left: watch::Receiver<bool>,
}

/// Starts the ownership actor once the configuration names this failure domain.
pub(super) struct Boot {
    /// State shared by every part of the daemon.
    pub(super) shared: Arc<Shared>,
    /// The addresses that the daemon listens on.
    pub(super) addresses: Addresses,
    /// Client of the platform's log service.
    pub(super) log: LogClient,
    /// The actor that follows the configuration stream.
    pub(super) config: ActorRef<Config>,
    /// The scheduler.
    pub(super) scheduler: ActorRef<Scheduler>,
    /// The key store.
    pub(super) key_store: ActorRef<KeyStore>,
    /// The service that decides keys.
    pub(super) keys: KeyService,
    /// The job manager.
    pub(super) manager: ActorRef<JobManager>,
    /// The service that answers requests about jobs.
    pub(super) jobs: JobService,
    /// The other instances of the failure domain.
    pub(super) siblings: Arc<Siblings>,
    /// The version of the active configuration.
    pub(super) version: watch::Receiver<Version>,
    /// Receives the ownership actor once it is started.
    pub(super) booted: watch::Sender<Option<Booted>>,
}

impl Boot {
    /// Spawns the tasks that run as long as the daemon.
    pub(super) fn spawn(self, inbox: Inbox) -> Vec<JoinHandle<()>> {
        let reader = self.reader(config::STREAM.into(), CONFIG_WAIT);
        let config = self.config.clone();
        let reader = tokio::spawn(reader.run(config, Offset(0)));
        let boot = tokio::spawn(self.run(inbox));
        vec![reader, boot]
    }

    fn reader(&self, stream: Arc<str>, wait: Span) -> StreamReader {
        let shared = Arc::clone(&self.shared);
        StreamReader {
            shared,
            log: self.log.clone(),
            stream,
            wait,
        }
    }

    async fn run(mut self, inbox: Inbox) {
        let shards = self.wait_for_domain().await;
        let Some(shards) = shards else { return };
        let (stopped, left) = watch::channel(false);
        let ownership = Ownership::spawn(self.ownership_args(shards, stopped));
        let reader = self.reader(self.owners_stream(), OWNERS_WAIT);
        let domain = &self.shared.settings.instance.domain;
        let jobs_reader = self.reader(jobs_stream(domain), JOBS_WAIT);
        let poll = InstanceListPoller {
            shared: Arc::clone(&self.shared),
            list: InstanceListClient::new(self.shared.settings.platform.list),
            ownership: ownership.clone(),
            scheduler: self.scheduler.clone(),
        };
        self.booted.send_replace(Some(Booted {
            ownership: ownership.clone(),
            left,
        }));
        // A stopped scheduler neither delegates nor receives work.
        let connect = ConnectSiblings {
            siblings: Arc::clone(&self.siblings),
            jobs: self.manager.clone(),
        };
        let _ = self.scheduler.tell(connect).await;
        let router = Router {
            shared: Arc::clone(&self.shared),
            ownership: ownership.clone(),
            scheduler: self.scheduler.clone(),
            config: self.config.clone(),
            keys: self.keys.clone(),
            manager: self.manager.clone(),
            jobs: self.jobs.clone(),
        };
        let shared = Arc::clone(&self.shared);
        let relay = poll_siblings(shared, Arc::clone(&self.siblings), self.config.clone());
        tokio::join!(
            reader.run(ownership, Offset(0)),
            jobs_reader.run(self.manager.clone(), Offset(0)),
            poll.run(),
            router.run(inbox),
            relay,
            self.follow_versions(),
        );
    }

    /// Waits for a configuration that names this failure domain, and returns its number of shards.
    async fn wait_for_domain(&mut self) -> Option<u16> {
        loop {
            let config = self.shared.config.load_full();
            let domain = &self.shared.settings.instance.domain;
            if let Some(domain) = config.tree.domains.get(domain) {
                return Some(domain.shards);
            }
            self.version.changed().await.ok()?;
        }
    }

    async fn follow_versions(&self) {
        let mut version = self.version.clone();
        version.mark_changed();
        while version.changed().await.is_ok() {
            if self.scheduler.tell(Replan).await.is_err() {
                return;
            }
        }
    }

    fn owners_stream(&self) -> Arc<str> {
        format!("owners-{}", self.shared.settings.instance.domain).into()
    }

    fn ownership_args(&self, shards: u16, stopped: watch::Sender<bool>) -> OwnershipArgs {
        let settings = &self.shared.settings;
        let member = Member {
            incarnation: self.shared.incarnation,
            instance: Arc::clone(&settings.instance.name),
            link: self.addresses.link.to_string().into(),
            forward: self.addresses.forward.to_string().into(),
            weight: settings.instance.weight,
        };
        let seed = settings
            .instance
            .seed
            .unwrap_or_else(|| rand::rng().random());
        let now = self.shared.now();
        OwnershipArgs {
            shared: Arc::clone(&self.shared),
            coordinator: Coordinator::new(member, shards, Timers::default(), seed, now),
            log: self.log.clone(),
            stream: self.owners_stream(),
            shards,
            scheduler: self.scheduler.clone(),
            stopped,
            outbox: Arc::clone(&self.siblings) as Outbox,
            keys: self.key_store.clone(),
            jobs: self.manager.clone(),
        }
    }
}
