//! What starts once a configuration has been read.

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
use crate::actors::jobs::JobKeeper;
use crate::actors::keys::KeyMemory;
use crate::actors::ownership::{Outbox, Ownership, OwnershipArgs};
use crate::actors::reader::Reader;
use crate::actors::roster::RosterPoll;
use crate::actors::scheduler::{Connect, Replan, Scheduler};
use crate::jobs::JobService;
use crate::keys::KeyService;
use crate::shared::Shared;
use crate::siblings::{Router, Siblings, follow_siblings};

/// How long a read of the configuration stream waits.
const CONFIG_WAIT: Span = Span::from_secs(2);

/// How long a read of the ownership stream waits; well below the lease that it keeps fresh.
const OWNERS_WAIT: Span = Span::from_millis(400);

/// How long a read of the job stream waits.
const JOBS_WAIT: Span = Span::from_secs(2);

/// Returns the name of a failure domain's job stream.
pub(super) fn jobs_stream(domain: &str) -> Arc<str> {
    format!("jobs-{domain}").into()
}

/// What exists once the configuration is known.
#[derive(Clone)]
pub(super) struct Booted {
    /// The ownership actor.
    pub(super) ownership: ActorRef<Ownership>,
    /// Turns true when this incarnation has left the group.
    pub(super) left: watch::Receiver<bool>,
}

/// Starts ownership when the configuration names this failure domain.
pub(super) struct Boot {
    /// What every part shares.
    pub(super) shared: Arc<Shared>,
    /// Where the daemon listens.
    pub(super) addresses: Addresses,
    /// The log service.
    pub(super) log: LogClient,
    /// Follows the configuration.
    pub(super) config: ActorRef<Config>,
    /// Dispatches.
    pub(super) scheduler: ActorRef<Scheduler>,
    /// The memories of the at-most-once rule.
    pub(super) memory: ActorRef<KeyMemory>,
    /// Decides keys.
    pub(super) keys: KeyService,
    /// Keeps jobs.
    pub(super) keeper: ActorRef<JobKeeper>,
    /// Answers for jobs.
    pub(super) jobs: JobService,
    /// The other instances of the failure domain.
    pub(super) siblings: Arc<Siblings>,
    /// The version in force.
    pub(super) version: watch::Receiver<Version>,
    /// Hears of the ownership actor.
    pub(super) booted: watch::Sender<Option<Booted>>,
}

impl Boot {
    /// Starts the tasks that run as long as the daemon.
    pub(super) fn spawn(self, inbox: Inbox) -> Vec<JoinHandle<()>> {
        let reader = self.reader(config::STREAM.into(), CONFIG_WAIT);
        let config = self.config.clone();
        let reader = tokio::spawn(reader.run(config, Offset(0)));
        let boot = tokio::spawn(self.run(inbox));
        vec![reader, boot]
    }

    fn reader(&self, stream: Arc<str>, wait: Span) -> Reader {
        let shared = Arc::clone(&self.shared);
        Reader {
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
        let poll = RosterPoll {
            shared: Arc::clone(&self.shared),
            list: InstanceListClient::new(self.shared.settings.platform.list),
            ownership: ownership.clone(),
            scheduler: self.scheduler.clone(),
        };
        self.booted.send_replace(Some(Booted {
            ownership: ownership.clone(),
            left,
        }));
        // A scheduler that is gone lends and borrows nothing.
        let connect = Connect {
            siblings: Arc::clone(&self.siblings),
            jobs: self.keeper.clone(),
        };
        let _ = self.scheduler.tell(connect).await;
        let router = Router {
            shared: Arc::clone(&self.shared),
            ownership: ownership.clone(),
            scheduler: self.scheduler.clone(),
            config: self.config.clone(),
            keys: self.keys.clone(),
            keeper: self.keeper.clone(),
            jobs: self.jobs.clone(),
        };
        let shared = Arc::clone(&self.shared);
        let relay = follow_siblings(shared, Arc::clone(&self.siblings), self.config.clone());
        tokio::join!(
            reader.run(ownership, Offset(0)),
            jobs_reader.run(self.keeper.clone(), Offset(0)),
            poll.run(),
            router.run(inbox),
            relay,
            self.follow_versions(),
        );
    }

    /// Waits for a configuration that names this failure domain, and returns its shards.
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
            keys: self.memory.clone(),
            jobs: self.keeper.clone(),
        }
    }
}
