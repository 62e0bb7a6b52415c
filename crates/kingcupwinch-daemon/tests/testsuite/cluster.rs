//! A test cluster: one failure domain with a simulated platform, in which daemons run.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_config::load_texts;
use kingcupwinch_coord::id::{RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Stamped};
use kingcupwinch_daemon::settings::{Instance, Listen, Platform, Settings, Stop};
use kingcupwinch_daemon::{Daemon, Running, StopEnd};
use kingcupwinch_fakes::{
    FakeInstanceList, FakeLog, FakeWorker, History, InstanceListServer, LogServer, WorkerSpec,
};
use kingcupwinch_time::WallTime;
use kingcupwinch_wire::api::Status;
use kingcupwinch_wire::encode_config;
use kingcupwinch_wire::instance_list::Capacity;
use tokio::runtime::Runtime;
use uuid::Uuid;

use crate::caller::{Caller, wait_until};

/// Time without appends after which shard ownership counts as stable.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

pub(crate) const DOMAIN: &str = "harju-a";

pub(crate) const BASE: &str = r#"
[domains.harju-a]
region = "harju"
shards = 16
workers = 4
rack_workers = 2
slots = 4
connections = 32
millicores = 16_000
memory_mb = 65_536

[classes.check]
kind = "live"
band = 0
deadline_ms = 20_000
idempotent = true
task = { millicores = 500, memory_mb = 256, run_ms = 20 }

[classes.dispatch]
kind = "live"
band = 1
deadline_ms = 20_000
task = { millicores = 500, memory_mb = 256, run_ms = 20 }

[classes.manifest]
kind = "batch"
band = 5
idempotent = true
throttle = true
stop = true
task = { millicores = 1_000, memory_mb = 512, run_ms = 50 }

[classes.repair]
kind = "batch"
band = 5
task = { millicores = 1_000, memory_mb = 512, run_ms = 50 }

[classes.coverage]
kind = "gang"
band = 6
idempotent = true
gang_most = 8
task = { millicores = 2_000, memory_mb = 1_024, run_ms = 100 }

[services.booking]
classes = ["check", "dispatch"]
default_class = "check"

[customers.festival]
weight = 1
"#;

pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns the specification of a worker as [`BASE`] declares it.
pub(crate) fn make_spec(name: &str) -> WorkerSpec {
    let capacity = Capacity {
        slots: 4,
        connections: 32,
        millicores: 16_000,
        memory_mb: 65_536,
        accelerators: 0,
        services: vec!["booking".into()],
    };
    WorkerSpec::new(name, capacity)
}

/// The simulated platform of one failure domain.
pub(crate) struct Cluster {
    pub(crate) log: FakeLog,
    pub(crate) log_server: LogServer,
    pub(crate) instance_list: FakeInstanceList,
    pub(crate) list_server: InstanceListServer,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) history: History,
}

impl Cluster {
    /// Starts the platform with `workers` identical workers and publishes [`BASE`].
    pub(crate) async fn start(workers: usize) -> Self {
        let log = FakeLog::new();
        let instance_list = FakeInstanceList::new();
        let mut cluster = Cluster {
            log_server: LogServer::start(&log, any_port()).await.unwrap(),
            list_server: InstanceListServer::start(&instance_list, any_port())
                .await
                .unwrap(),
            log,
            instance_list,
            workers: Vec::new(),
            history: History::new(),
        };
        for index in 0..workers {
            cluster.add_worker(index).await;
        }
        cluster.publish(BASE, 0);
        cluster
    }

    async fn add_worker(&mut self, index: usize) {
        let spec = make_spec(&format!("worker-{index}"));
        let worker = FakeWorker::start(spec, &self.history, any_port())
            .await
            .unwrap();
        let rack = format!("rack-{}", index % 2);
        self.instance_list.put(worker.instance(DOMAIN, &rack));
        self.workers.push(worker);
    }

    /// Publishes a tree on top of version `based`.
    pub(crate) fn publish(&self, toml: &str, based: u64) {
        let loaded = load_texts([("10-base.toml", toml)]).unwrap();
        let record = ConfigRecord {
            based: Version(based),
            version: Version(based + 1),
            origin: None,
            author: "test".into(),
            published: WallTime::from_millis(0),
            tree: loaded.tree.to_canonical_json().into(),
        };
        let record = Stamped {
            id: RecordId(Uuid::now_v7()),
            body: record,
        };
        self.log.append("config", encode_config(&record));
    }

    /// Returns the settings of an entry instance.
    pub(crate) fn settings(&self, name: &str) -> Settings {
        let mut platform = Platform::new(self.log_server.address(), self.list_server.address());
        platform.poll_ms = 100;
        Settings::new(Instance::new(name, DOMAIN), platform)
            .with_listen(Listen::on_loopback())
            .with_log_off()
            .with_stop(Stop {
                balancer_ms: 50,
                deadline_ms: 30_000,
            })
    }

    /// Starts an entry instance in its own runtime, which can be killed like a process.
    pub(crate) async fn start_entry(&self, name: &str) -> Entry {
        Entry::start(self.settings(name)).await
    }

    /// Starts an entry instance with its own server of the log, so that only this instance can be
    /// cut off.
    pub(crate) async fn start_entry_with_own_log(&self, name: &str) -> (Entry, LogServer) {
        let log_server = LogServer::start(&self.log, any_port()).await.unwrap();
        let mut settings = self.settings(name);
        settings.platform.log = log_server.address();
        (Entry::start(settings).await, log_server)
    }

    /// Starts entry instances and waits until every shard is dispatched to and every instance owns
    /// a shard.
    pub(crate) async fn start_entries(&self, names: &[&str]) -> Vec<Entry> {
        let mut entries = Vec::new();
        for name in names {
            entries.push(self.start_entry(name).await);
        }
        wait_until("every shard is dispatched to", || async {
            all_dispatched(&entries).await && each_owns_a_shard(&entries).await
        })
        .await;
        entries
    }

    /// Starts an entry instance without waiting for it.
    pub(crate) async fn launch_daemon(&self, name: &str) -> Running {
        Daemon::new(self.settings(name)).start().await.unwrap()
    }

    /// Waits until shard ownership is stable: every shard is dispatched to, and nothing has been
    /// appended to the log for [`QUIET_PERIOD`].
    pub(crate) async fn wait_until_stable(&self, entries: &[Entry]) {
        let mut appends = u64::MAX;
        wait_until("shard ownership is stable", || {
            let before = std::mem::replace(&mut appends, self.log.appends());
            let is_quiet = before == appends;
            async move {
                tokio::time::sleep(QUIET_PERIOD).await;
                is_quiet && all_dispatched(entries).await
            }
        })
        .await;
    }

    /// Starts an entry instance and waits until it can dispatch to a worker.
    pub(crate) async fn start_daemon(&self, name: &str) -> Running {
        let running = self.launch_daemon(name).await;
        let operators = Caller::new(running.addresses().operators);
        wait_until("the daemon can dispatch to a worker", || async {
            let metrics = operators.get("/metrics").await;
            let slots = metrics.text().lines().find_map(|line| {
                line.strip_prefix("kingcupwinch_worker_slots ")?
                    .parse::<u64>()
                    .ok()
            });
            slots.is_some_and(|slots| slots > 0)
        })
        .await;
        running
    }
}

/// An entry instance in its own runtime.
pub(crate) struct Entry {
    running: Option<Running>,
    runtime: Option<Runtime>,
}

impl Entry {
    /// Starts a daemon with these settings.
    pub(crate) async fn start(settings: Settings) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let daemon = Daemon::new(settings);
        let running = runtime.spawn(daemon.start()).await.unwrap().unwrap();
        Entry {
            running: Some(running),
            runtime: Some(runtime),
        }
    }

    pub(crate) fn callers_address(&self) -> SocketAddr {
        self.running().addresses().callers
    }

    fn running(&self) -> &Running {
        self.running.as_ref().unwrap()
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.running().addresses().callers)
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.running().addresses().callers
    }

    pub(crate) fn operators(&self) -> Caller {
        Caller::new(self.running().addresses().operators)
    }

    pub(crate) async fn status(&self) -> Status {
        serde_json::from_slice(&self.operators().get("/v1/status").await.body).unwrap()
    }

    /// Stops the instance gracefully.
    pub(crate) async fn stop(mut self) -> StopEnd {
        let running = self.running.take().unwrap();
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(running.stop()).await.unwrap()
    }

    /// Ends the instance at once, like a killed process.
    pub(crate) fn kill(self) {}
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.running = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns whether every shard has an owner among these instances that dispatches to it.
pub(crate) async fn all_dispatched(entries: &[Entry]) -> bool {
    let mut owned = BTreeSet::new();
    let mut count = 0;
    for entry in entries {
        let status = entry.status().await;
        count = status.shards.len();
        owned.extend(
            status
                .shards
                .iter()
                .filter(|s| s.dispatching)
                .map(|s| s.shard),
        );
    }
    count > 0 && owned.len() == count
}

/// Returns whether every one of these instances dispatches to a shard.
async fn each_owns_a_shard(entries: &[Entry]) -> bool {
    for entry in entries {
        if !entry
            .status()
            .await
            .shards
            .iter()
            .any(|shard| shard.dispatching)
        {
            return false;
        }
    }
    true
}
