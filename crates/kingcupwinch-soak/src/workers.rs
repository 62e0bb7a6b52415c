//! Workers of one run, which come back after a task has crashed them.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{Fleet, WorkerHandle, WorkerSpec};
use rand::Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use crate::ports::free_address;
use crate::proxy::Proxy;

/// Maximum lease of the workers, in milliseconds: longer than what owners grant.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;
/// CPU capacity of each worker, in millicores.
pub(crate) const WORKER_MILLICORES: u64 = 4_000;
/// Interval between two heartbeats of a worker, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Range of the time after which a worker that a task has crashed is back, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 500..3_000;
/// Fraction of these workers that come back under another id.
const REPLACED_SHARE: f64 = 0.3;

/// A worker and the link to it.
pub(crate) struct WorkerNode {
    pub(crate) worker: Arc<Mutex<WorkerHandle>>,
    pub(crate) link: Proxy,
}

impl WorkerNode {
    /// Starts a worker; `tasks` receives what keeps it up.
    pub(crate) async fn start(
        fleet: &Fleet,
        index: usize,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<Self> {
        let spec = WorkerSpec {
            id: format!("w-{index}").into(),
            domain: "domain-a".into(),
            cpu: WORKER_MILLICORES,
            max_lease_ms: MAX_LEASE_MS,
        };
        let mut link = None;
        let worker = fleet
            .start(spec, free_address()?, async |address| {
                let proxy = Proxy::start(address).await?;
                let address = proxy.address();
                link = Some(proxy);
                Ok(address)
            })
            .await?;
        let link =
            link.ok_or_else(|| io::Error::other("the worker was started without a proxy"))?;
        let worker = Arc::new(Mutex::new(worker));
        tasks.spawn(send_heartbeats(Arc::clone(&worker)));
        tasks.spawn(bring_back(Arc::clone(&worker)));
        Ok(WorkerNode { worker, link })
    }
}

/// Shows changes of a worker's capacity in the directory.
async fn send_heartbeats(worker: Arc<Mutex<WorkerHandle>>) {
    let phase = Duration::from_millis(rand::rng().random_range(0..HEARTBEAT_MS));
    let mut heartbeats = interval_at(Instant::now() + phase, Duration::from_millis(HEARTBEAT_MS));
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        heartbeats.tick().await;
        worker.lock().await.send_heartbeat();
    }
}

/// Starts a worker again whenever a task has crashed it.
async fn bring_back(worker: Arc<Mutex<WorkerHandle>>) {
    let crashed = worker.lock().await.crash_signal();
    let mut returns = JoinSet::new();
    loop {
        crashed.notified().await;
        if !worker.lock().await.reap() {
            continue;
        }
        let down = Duration::from_millis(rand::rng().random_range(DOWN_MS));
        let worker = Arc::clone(&worker);
        returns.spawn(async move {
            tokio::time::sleep(down).await;
            let is_replaced = rand::rng().random_bool(REPLACED_SHARE);
            let mut worker = worker.lock().await;
            // A worker whose port is taken stays down until its next fault ends.
            let _ = if is_replaced {
                worker.replace().await
            } else {
                worker.restart().await
            };
        });
    }
}
