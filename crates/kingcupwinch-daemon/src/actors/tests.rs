//! The scheduler and the job manager of one instance on a simulated log, without ownership actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kingcupwinch_config::load_texts;
use kingcupwinch_coord::id::{Incarnation, Offset, RecordId, ShardId, Term, Version};
use kingcupwinch_coord::ownership::{OwnedShard, Permit};
use kingcupwinch_coord::record::{AcceptedJob, JobRecord, Member, Stamped};
use kingcupwinch_fakes::{FakeLog, LogServer};
use kingcupwinch_link::Links;
use kingcupwinch_platform::LogClient;
use kingcupwinch_time::{BoottimeClock, Span, WallTime};
use kingcupwinch_wire::api::{JobSpec, JobStatus};
use kingcupwinch_wire::encode_job;
use kingcupwinch_wire::instance_list::{Capacity, Instance as Listed, InstanceState, Role};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::jobs::{AcceptJob, HomeGained, JobManager, JobsArgs, LookupJob};
use super::reader::StreamReader;
use super::scheduler::{
    ConnectSiblings, GetStatus, Scheduler, SchedulerArgs, ShardGained, WorkersListed,
};
use crate::jobs::JobIdParts;
use crate::logging::EventLog;
use crate::metrics::Metrics;
use crate::server::body_memory::BodyMemory;
use crate::settings::{Instance, Platform, Settings};
use crate::shared::{ActiveConfig, Lifecycle, OwnershipView, ShardView, Shared};
use crate::siblings::Siblings;

const DOMAIN: &str = "harju-a";
const STREAM: &str = "jobs-harju-a";

/// The shard that the instance owns.
pub(super) const OWN_SHARD: ShardId = ShardId(0);

/// A shard without an owner.
pub(super) const FREE_SHARD: ShardId = ShardId(1);

/// Lifetime of the permit of [`OWN_SHARD`].
const PERMIT_LIFETIME: Span = Span::from_secs(3_600);

const CONFIG: &str = r#"
[domains.harju-a]
region = "harju"
shards = 2
workers = 1
rack_workers = 1
slots = 4
connections = 32
millicores = 16_000
memory_mb = 65_536

[classes.manifest]
kind = "batch"
band = 5
idempotent = true
task = { millicores = 1_000, memory_mb = 512, run_ms = 50 }

[customers.festival]
weight = 1

[timers]
task_lease_ms = 1_000
"#;

/// The actors of one instance that owns [`OWN_SHARD`].
pub(super) struct Node {
    pub(super) shared: Arc<Shared>,
    log: FakeLog,
    pub(super) log_server: LogServer,
    pub(super) scheduler: ActorRef<Scheduler>,
    pub(super) jobs: ActorRef<JobManager>,
    reader: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Node {
    /// Starts the actors. The scheduler dispatches nothing before it is told of its permit.
    /// `inherited` tells whether an earlier owner may have left work running.
    pub(super) async fn start(inherited: bool) -> Self {
        let log = FakeLog::new();
        let log_server = LogServer::start(&log, ([127, 0, 0, 1], 0).into())
            .await
            .unwrap();
        let shared = make_shared(&log_server);
        let scheduler = Scheduler::spawn_with_mailbox(
            SchedulerArgs {
                shared: Arc::clone(&shared),
                seed: 7,
            },
            mailbox::unbounded(),
        );
        let args = JobsArgs {
            shared: Arc::clone(&shared),
            log: LogClient::new(log_server.address()),
            stream: STREAM.into(),
            scheduler: scheduler.clone(),
        };
        let jobs = JobManager::spawn_with_mailbox(args, mailbox::unbounded());
        let links = Links::start(([127, 0, 0, 1], 0).into(), shared.incarnation).await;
        let (links, _inbox) = links.unwrap();
        let connect = ConnectSiblings {
            siblings: Arc::new(Siblings::new(links)),
            jobs: jobs.clone(),
        };
        scheduler.tell(connect).await.unwrap();
        let owned = OwnedShard {
            shard: OWN_SHARD,
            term: Term(1),
            effective: shared.now(),
            inherited,
        };
        jobs.tell(HomeGained(owned)).await.unwrap();
        scheduler.tell(ShardGained(owned)).await.unwrap();
        let reader = StreamReader {
            shared: Arc::clone(&shared),
            log: LogClient::new(log_server.address()),
            stream: STREAM.into(),
            wait: Span::from_millis(50),
        };
        let reader = tokio::spawn(reader.run(jobs.clone(), Offset(0)));
        Node {
            shared,
            log,
            log_server,
            scheduler,
            jobs,
            reader,
        }
    }

    /// Lists a worker of [`OWN_SHARD`] that can't be reached, and returns its name.
    pub(super) async fn list_worker(&self) -> Arc<str> {
        self.list_worker_at(([127, 0, 0, 1], 1).into()).await
    }

    /// Lists a worker of [`OWN_SHARD`], and returns its name.
    pub(super) async fn list_worker_at(&self, address: SocketAddr) -> Arc<str> {
        let name = (0..)
            .map(|n| format!("worker-{n}"))
            .find(|name| kingcupwinch_coord::hash::shard_of_name(name, 2) == OWN_SHARD)
            .unwrap();
        let listed = Listed {
            name: name.into(),
            domain: DOMAIN.into(),
            rack: "rack-0".into(),
            role: Role::Worker,
            state: InstanceState::Live,
            address,
            capacity: Capacity {
                slots: 4,
                connections: 32,
                millicores: 16_000,
                memory_mb: 65_536,
                accelerators: 0,
                services: Vec::new(),
            },
        };
        let name = Arc::clone(&listed.name);
        self.scheduler
            .ask(WorkersListed(vec![listed]))
            .await
            .unwrap();
        name
    }

    /// Accepts a job of [`OWN_SHARD`] and waits until it is on the log.
    pub(super) async fn accept(&self, tasks: u32, idempotent: bool) -> JobIdParts {
        let parts = make_id(OWN_SHARD);
        let (persisted, confirmed) = oneshot::channel();
        let accept = AcceptJob {
            parts,
            spec: Arc::new(make_spec(tasks)),
            idempotent,
            persisted,
        };
        self.jobs.ask(accept).await.unwrap();
        confirmed.await.unwrap();
        parts
    }

    /// Appends a job as another instance would that has accepted it.
    pub(super) fn append_job(&self, home: ShardId, tasks: u32, idempotent: bool) -> JobIdParts {
        let parts = make_id(home);
        let accepted = AcceptedJob {
            job: parts.id,
            home,
            accepted: WallTime::from_millis(0),
            idempotent,
            spec: serde_json::to_vec(&make_spec(tasks)).unwrap().into(),
        };
        self.append(JobRecord::Accepted(vec![accepted]));
        parts
    }

    /// Appends a record as another instance would.
    pub(super) fn append(&self, body: JobRecord) {
        let record = Stamped {
            id: RecordId(Uuid::now_v7()),
            body,
        };
        self.log.append(STREAM, encode_job(&record));
    }

    /// Returns the numbers of waiting and running tasks in the scheduler.
    pub(super) async fn queue(&self) -> (u64, u64) {
        let status = self.scheduler.ask(GetStatus).await.unwrap();
        let queue = &status.queues[0];
        (queue.waiting, queue.running)
    }

    /// Returns the number of slots in use on the listed worker.
    pub(super) async fn busy(&self) -> u32 {
        let status = self.scheduler.ask(GetStatus).await.unwrap();
        status.workers[0].busy
    }

    /// Returns a job's state.
    pub(super) async fn status(&self, job: JobIdParts) -> Option<JobStatus> {
        self.jobs.ask(LookupJob(job.id)).await.unwrap().0
    }
}

/// Waits up to ten seconds until the condition is true; returns whether it became true.
pub(super) async fn holds_soon(mut condition: impl AsyncFnMut() -> bool) -> bool {
    let waited = tokio::time::timeout(Duration::from_secs(10), async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    waited.await.is_ok()
}

fn make_id(home: ShardId) -> JobIdParts {
    JobIdParts::new(DOMAIN, home, WallTime::from_millis(1), &mut rand::rng())
}

fn make_spec(tasks: u32) -> JobSpec {
    serde_json::from_value(serde_json::json!({
        "class": "manifest", "customer": "festival", "tasks": tasks,
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": 50,
    }))
    .unwrap()
}

fn make_shared(log_server: &LogServer) -> Arc<Shared> {
    let incarnation = Incarnation(Uuid::now_v7());
    let clock = Arc::new(BoottimeClock);
    let platform = Platform::new(log_server.address(), ([127, 0, 0, 1], 1).into());
    let shared = Shared {
        settings: Settings::new(Instance::new("entry-1", DOMAIN), platform),
        incarnation,
        clock,
        log: EventLog::discard(),
        metrics: Metrics::new(),
        config: ArcSwap::from_pointee(ActiveConfig {
            version: Version(1),
            tree: load_texts([("10-base.toml", CONFIG)]).unwrap().tree,
        }),
        ownership: ArcSwap::from_pointee(OwnershipView::default()),
        body_memory: BodyMemory::new(0),
        lifecycle: Lifecycle::new(),
        log_unreadable: AtomicBool::new(false),
    };
    shared.ownership.store(Arc::new(make_view(&shared)));
    Arc::new(shared)
}

fn make_view(shared: &Shared) -> OwnershipView {
    let me = Arc::new(Member {
        incarnation: shared.incarnation,
        instance: "entry-1".into(),
        link: "127.0.0.1:1".into(),
        forward: "127.0.0.1:1".into(),
        weight: 1,
    });
    let own = ShardView {
        term: 1,
        owner: Some(Arc::clone(&me)),
        permit: Some(Permit {
            shard: OWN_SHARD,
            term: Term(1),
            until: shared.now() + PERMIT_LIFETIME,
        }),
    };
    OwnershipView {
        phase: "serving",
        members: vec![me],
        shards: vec![own, ShardView::default()],
        next: 0,
        tail: 0,
    }
}
