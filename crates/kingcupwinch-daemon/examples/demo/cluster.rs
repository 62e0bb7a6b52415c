//! The simulated platform, the workers and the daemons.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kingcupwinch_config::load_texts;
use kingcupwinch_coord::id::{RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Stamped};
use kingcupwinch_daemon::settings::{Instance, Listen, Platform, Settings, Stop};
use kingcupwinch_daemon::{Daemon, Running, StopEnd};
use kingcupwinch_fakes::{
    FakeInstanceList, FakeLog, FakeWorker, History, InstanceListServer, LogServer, WorkerSpec,
};
use kingcupwinch_time::{Span, Time, WallClock};
use kingcupwinch_wire::api::Status;
use kingcupwinch_wire::encode_config;
use kingcupwinch_wire::instance_list::{Capacity, Instance as ListedInstance, InstanceState, Role};
use tokio::runtime::Runtime;
use uuid::Uuid;

use crate::Failure;
use crate::load::Caller;

/// Name of the failure domain.
const DOMAIN: &str = "harju-a";
/// Number of workers.
const WORKERS: usize = 16;
/// Time limit for the daemons to own every shard.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Speeds of the workers, in percent of a normal one.
const SPEEDS: [u32; 4] = [50, 100, 150, 300];
/// Slots of the workers.
const SLOTS: [u32; 4] = [4, 8, 8, 12];

const BASE_TREE: &str = include_str!("base.toml");
const SECOND_TREE: &str = include_str!("second.toml");

/// A daemon that can be killed like a process.
struct Entry {
    name: &'static str,
    running: Option<Running>,
    runtime: Option<Runtime>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.running = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The addresses of a running daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    /// Port for callers.
    pub(crate) callers: SocketAddr,
    /// Port for operators.
    pub(crate) operators: SocketAddr,
}

/// The daemons that the load balancer sends requests to. Clones share the list.
#[derive(Debug, Clone, Default)]
pub(crate) struct Targets {
    list: Arc<Mutex<Vec<Target>>>,
}

impl Targets {
    /// Returns the running daemons.
    pub(crate) fn all(&self) -> Vec<Target> {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Target>)) {
        change(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// A failure domain in one process.
pub(crate) struct Cluster {
    /// The log service.
    pub(crate) log: FakeLog,
    /// The log's server, which can be made unreachable.
    pub(crate) log_server: LogServer,
    /// The instance list.
    pub(crate) instance_list: FakeInstanceList,
    /// The workers.
    pub(crate) workers: Vec<FakeWorker>,
    /// All starts on all workers.
    pub(crate) history: History,
    list_server: InstanceListServer,
    entries: Vec<Entry>,
    targets: Targets,
}

impl Cluster {
    /// Starts the platform and the workers, and publishes the first configuration.
    pub(crate) async fn start() -> Result<Self, Failure> {
        let log = FakeLog::new();
        let instance_list = FakeInstanceList::new();
        let history = History::new();
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let worker = FakeWorker::start(make_worker(index), &history, any_port()).await?;
            instance_list.put(worker.instance(DOMAIN, &format!("rack-{}", index / 4)));
            workers.push(worker);
        }
        let cluster = Cluster {
            log_server: LogServer::start(&log, any_port()).await?,
            list_server: InstanceListServer::start(&instance_list, any_port()).await?,
            log,
            instance_list,
            workers,
            history,
            entries: Vec::new(),
            targets: Targets::default(),
        };
        cluster.publish(&[("10-base.toml", BASE_TREE)], 0)?;
        Ok(cluster)
    }

    /// Publishes a second configuration on top of the first.
    pub(crate) fn publish_second(&self) -> Result<(), Failure> {
        self.publish(
            &[("10-base.toml", BASE_TREE), ("20-second.toml", SECOND_TREE)],
            1,
        )
    }

    fn publish(&self, files: &[(&str, &str)], based: u64) -> Result<(), Failure> {
        let loaded = load_texts(files.iter().copied()).map_err(|faults| faults.to_string())?;
        let body = ConfigRecord {
            based: Version(based),
            version: Version(based + 1),
            origin: None,
            author: "demo".into(),
            published: WallClock.now(),
            tree: loaded.tree.to_canonical_json().into(),
        };
        let id = RecordId(Uuid::now_v7());
        self.log
            .append("config", encode_config(&Stamped { id, body }));
        Ok(())
    }

    /// Starts three daemons and waits until they dispatch to every shard.
    pub(crate) async fn start_entries(&mut self) -> Result<(), Failure> {
        for name in ["entry-1", "entry-2", "entry-3"] {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()?;
            let daemon = Daemon::new(self.settings(name));
            let running = runtime.spawn(daemon.start()).await??;
            let addresses = running.addresses();
            let target = Target {
                callers: addresses.callers,
                operators: addresses.operators,
            };
            self.instance_list.put(make_entry(name, addresses.callers));
            self.targets.change(|list| list.push(target));
            self.entries.push(Entry {
                name,
                running: Some(running),
                runtime: Some(runtime),
            });
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > deadline {
                return Err("the daemons did not own every shard in time".into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let mut shards = 0;
        let mut dispatching = 0;
        for target in self.targets.all() {
            let Some(status) = read_status(&target).await else {
                return false;
            };
            let owned = status
                .shards
                .iter()
                .filter(|shard| shard.dispatching)
                .count();
            if owned == 0 {
                return false;
            }
            shards = status.shards.len();
            dispatching += owned;
        }
        dispatching == shards
    }

    fn settings(&self, name: &str) -> Settings {
        let mut platform = Platform::new(self.log_server.address(), self.list_server.address());
        platform.poll_ms = 500;
        Settings::new(Instance::new(name, DOMAIN), platform)
            .with_listen(Listen::on_loopback())
            .with_log_off()
            .with_stop(Stop {
                balancer_ms: 500,
                deadline_ms: 10_000,
            })
    }

    /// Returns the running daemons.
    pub(crate) fn targets(&self) -> Targets {
        self.targets.clone()
    }

    /// Ends a daemon at once, like a killed process. The load balancer notices at once.
    pub(crate) fn kill(&mut self, name: &str) {
        drop(self.take(name));
    }

    /// Stops a daemon gracefully; returns whether nothing was cut off.
    pub(crate) async fn stop(&mut self, name: &str) -> Result<bool, Failure> {
        let Some(mut entry) = self.take(name) else {
            return Err("no such daemon".into());
        };
        let (Some(running), Some(runtime)) = (entry.running.take(), &entry.runtime) else {
            return Err("the daemon does not run".into());
        };
        let end = runtime.spawn(running.stop()).await?;
        Ok(end == StopEnd::Clean)
    }

    /// Removes a daemon from the load balancer's list.
    fn take(&mut self, name: &str) -> Option<Entry> {
        let index = self.entries.iter().position(|entry| entry.name == name)?;
        let entry = self.entries.remove(index);
        self.instance_list.remove(name);
        let callers = entry
            .running
            .as_ref()
            .map(|running| running.addresses().callers);
        self.targets
            .change(|list| list.retain(|target| Some(target.callers) != callers));
        Some(entry)
    }

    /// Returns the total number of slots of all workers.
    pub(crate) fn slots(&self) -> u32 {
        (0..WORKERS).map(|index| SLOTS[index % SLOTS.len()]).sum()
    }

    /// Returns the time of the last start.
    pub(crate) fn last_start(&self) -> Time {
        let starts = self.history.starts();
        starts
            .iter()
            .map(|start| start.started)
            .max()
            .unwrap_or(Time::ZERO)
    }
}

/// Returns a daemon's status, or `None` if it can't be reached.
pub(crate) async fn read_status(target: &Target) -> Option<Status> {
    let reply = Caller::new()
        .get(target.operators, "/v1/status")
        .await
        .ok()?;
    serde_json::from_slice(&reply.body).ok()
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn make_entry(name: &str, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        domain: DOMAIN.into(),
        rack: "rack-0".into(),
        role: Role::Entry,
        state: InstanceState::Live,
        address,
        capacity: Capacity::default(),
    }
}

fn make_worker(index: usize) -> WorkerSpec {
    let slots = SLOTS[index % SLOTS.len()];
    let capacity = Capacity {
        slots,
        connections: 64,
        millicores: slots * 2_000,
        memory_mb: slots * 4_096,
        accelerators: 0,
        services: vec!["hire-booking".into()],
    };
    WorkerSpec::new(format!("worker-{index}"), capacity)
        .with_speed(SPEEDS[(index / 2) % SPEEDS.len()])
        .with_usage_lag(Span::from_millis(100))
}
