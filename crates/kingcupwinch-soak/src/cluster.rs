//! Instances, workers and store of one run, and the injection of faults into them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{
    Caller, Fleet, History, InstanceSettings, StandinAdviser, StandinStore, StoreMode,
    WorkerEventKind, WorkerFaults, WorkerHandle, WorkerSpec,
};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::disturbances::Disturbances;
use crate::instance::Instance;
use crate::operator::Operator;
use crate::plan::{Fault, Trigger};
use crate::ports::{free_address, free_pair};
use crate::proxy::{Closing, Mode, Proxy};
use crate::routes::CONFIG_BOUND;

/// Maximum lease of the workers, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;
/// CPU capacity of each worker, in millicores.
pub(crate) const WORKER_MILLICORES: u64 = 4_000;
/// Delay that a slow link adds to every chunk.
const LINK_DELAY: Duration = Duration::from_millis(120);
/// Interval at which the events are checked for a trigger.
const TRIGGER_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which a fault begins without its trigger.
const MAX_TRIGGER_WAIT: Duration = Duration::from_millis(400);
/// Time that a worker drains before it is unregistered in the middle of its fault.
const DRAIN_TIME: Duration = Duration::from_millis(800);
/// Time within which an instance must stop: the grace period of its settings plus a margin.
const STOP_TIMEOUT: Duration = Duration::from_millis(7_500);

/// An instance, its link to the store and the address for callers.
struct InstanceNode {
    instance: Instance,
    store_link: Proxy,
    callers: SocketAddr,
}

/// A worker and the link to it.
struct WorkerNode {
    worker: WorkerHandle,
    link: Proxy,
}

/// The instances, workers and store of one run.
pub(crate) struct Cluster {
    pub(crate) store: Arc<StandinStore>,
    pub(crate) history: History,
    instances: Vec<InstanceNode>,
    workers: Vec<WorkerNode>,
    pub(crate) operator: Operator,
    pub(crate) disturbances: Disturbances,
    /// Descriptions of the instances that did not stop in time and with success.
    pub(crate) unclean_stops: Vec<String>,
}

impl Cluster {
    /// Starts the store, the workers and the instances; `dir` receives settings and logs.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        instance_count: usize,
        worker_count: usize,
    ) -> io::Result<Self> {
        let store = StandinStore::new();
        let operator = Operator::new(Arc::clone(&store));
        let history = History::default();
        let adviser = Arc::<StandinAdviser>::default();
        let adviser_address = free_address()?;
        adviser.start(adviser_address).await?;
        let fleet = Fleet::new(Arc::clone(&store), adviser, history.clone());
        let mut workers = Vec::new();
        for index in 0..worker_count {
            workers.push(start_worker(&fleet, index).await?);
        }
        let mut instances = Vec::new();
        for index in 0..instance_count {
            let (address, _) = store.start(index).await?;
            let services = (address, adviser_address);
            instances.push(start_instance(program, dir, index, services).await?);
        }
        Ok(Cluster {
            store,
            history,
            instances,
            workers,
            operator,
            disturbances: Disturbances::default(),
            unclean_stops: Vec::new(),
        })
    }

    /// Returns a client of each instance.
    pub(crate) fn callers(&self) -> Vec<Caller> {
        let caller = |node: &InstanceNode| Caller::new(node.callers);
        self.instances.iter().map(caller).collect()
    }

    /// Waits for the next event of a kind, but not for long.
    pub(crate) async fn wait_for(&self, trigger: Trigger) {
        let deadline = Instant::now() + MAX_TRIGGER_WAIT;
        let (seen, appends) = (self.history.count(), self.store.fenced_appends().len());
        let kind = match trigger {
            Trigger::Append => None,
            Trigger::Listing => Some(WorkerEventKind::Listed),
            Trigger::Ack => Some(WorkerEventKind::Acknowledged),
            Trigger::Start => Some(WorkerEventKind::Started),
        };
        while Instant::now() < deadline {
            let has_happened = match &kind {
                None => self.store.fenced_appends().len() > appends,
                Some(kind) => self
                    .history
                    .since(seen)
                    .iter()
                    .any(|event| event.kind == *kind),
            };
            if has_happened {
                return;
            }
            tokio::time::sleep(TRIGGER_POLL_INTERVAL).await;
        }
    }

    /// Returns the fault with the current owner as its instance, if it is to hit the owner. The
    /// owner is the instance that writes with a fencing token.
    pub(crate) fn resolve(&self, fault: Fault) -> Fault {
        match fault {
            Fault::OnOwner(kind) => kind.on(self.store.last_fenced_client().unwrap_or(0)),
            other => other,
        }
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: Fault) -> io::Result<()> {
        let fault = self.resolve(fault);
        self.disturbances.begin(fault);
        match fault {
            // Resolved above.
            Fault::OnOwner(_) => {}
            Fault::Kill(index) => self.instances[index].instance.kill()?,
            Fault::KillAll => {
                for node in &mut self.instances {
                    node.instance.kill()?;
                }
            }
            Fault::Pause(index) => self.instances[index].instance.signal(Signal::STOP)?,
            Fault::Terminate(index) => self.instances[index].instance.signal(Signal::TERM)?,
            Fault::Hangup(index) => {
                let instance = &mut self.instances[index].instance;
                if instance.handles_signals() {
                    instance.signal(Signal::HUP)?;
                }
            }
            Fault::StoreBusy => self.store.set_mode(StoreMode::Busy),
            Fault::StoreUnresponsive => self.store.set_mode(StoreMode::Unresponsive),
            Fault::StoreSlow(ms) => {
                self.store
                    .set_mode(StoreMode::Slow(Duration::from_millis(ms)));
            }
            Fault::StoreDropsResponses => self.store.set_mode(StoreMode::DropsResponses(0.3)),
            Fault::StoreDelaysAppends => self.store.set_mode(StoreMode::DelaysAppends(0.3)),
            Fault::StoreTruncates => self.store.with_log(kingcupwinch_standin::Log::truncate),
            Fault::PartitionStore(index) => self.instances[index].store_link.set(Mode::Blocked),
            Fault::BlockStoreResponses(index) => self.instances[index].store_link.set(Mode::OneWay),
            Fault::ResetStore(index) => self.instances[index].store_link.set(Mode::Reset),
            Fault::DelayStore(index) => {
                self.instances[index]
                    .store_link
                    .set(Mode::Delayed(LINK_DELAY));
            }
            Fault::SilenceStore(index) => {
                self.instances[index].store_link.close(Closing::Silence);
            }
            Fault::PartitionWorker(index) => self.workers[index].link.set(Mode::Blocked),
            Fault::BlockWorkerResponses(index) => self.workers[index].link.set(Mode::OneWay),
            Fault::ResetWorker(index) => self.workers[index].link.set(Mode::Reset),
            Fault::CrashWorker(index) | Fault::ReplaceWorker(index) => {
                self.workers[index].worker.crash();
            }
            Fault::DrainWorker(index) => self.workers[index].worker.register("draining"),
            Fault::UnlistWorker(index) => self.workers[index].worker.unregister(),
            Fault::ListPreviousWorker(index) => self.workers[index].worker.register_previous(),
            Fault::CloseWorker(index) => self.workers[index].link.close(Closing::Finish),
            Fault::AbortWorker(index) => self.workers[index].link.close(Closing::Abort),
            Fault::HangWorker(index) => self.change_faults(index, |faults| faults.hangs = true),
            Fault::FailWorker(index) => self.change_faults(index, |faults| faults.fails = true),
            Fault::LoseWorkerResponses(index) => {
                self.change_faults(index, |faults| faults.loses_responses = true);
            }
            Fault::DelayStarts(index) => {
                self.change_faults(index, |faults| faults.starts_late = true);
            }
            Fault::Publish => self.operator.publish(),
        }
        Ok(())
    }

    /// Returns the time from the start of a fault to its second phase, if it has one.
    pub(crate) fn advance_after(fault: Fault) -> Option<Duration> {
        matches!(fault, Fault::DrainWorker(_)).then_some(DRAIN_TIME)
    }

    /// Carries out the second phase of a fault.
    pub(crate) fn advance(&mut self, fault: Fault) {
        if let Fault::DrainWorker(index) = fault {
            let worker = &mut self.workers[index].worker;
            worker.crash();
            worker.unregister();
        }
    }

    /// Ends a fault.
    pub(crate) async fn end(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(index) => self.instances[index].instance.ensure_started()?,
            Fault::KillAll => {
                for node in &mut self.instances {
                    node.instance.ensure_started()?;
                }
            }
            Fault::Pause(index) => self.instances[index].instance.signal(Signal::CONT)?,
            Fault::Terminate(index) => self.restart(index)?,
            Fault::Hangup(_)
            | Fault::StoreTruncates
            | Fault::Publish
            | Fault::SilenceStore(_)
            | Fault::CloseWorker(_)
            | Fault::AbortWorker(_)
            | Fault::OnOwner(_) => {}
            Fault::StoreBusy
            | Fault::StoreUnresponsive
            | Fault::StoreSlow(_)
            | Fault::StoreDropsResponses
            | Fault::StoreDelaysAppends => {
                self.store.set_mode(StoreMode::Up);
            }
            Fault::PartitionStore(index)
            | Fault::BlockStoreResponses(index)
            | Fault::ResetStore(index)
            | Fault::DelayStore(index) => self.instances[index].store_link.set(Mode::Open),
            Fault::PartitionWorker(index)
            | Fault::BlockWorkerResponses(index)
            | Fault::ResetWorker(index) => self.workers[index].link.set(Mode::Open),
            Fault::CrashWorker(index) | Fault::DrainWorker(index) => {
                self.workers[index].worker.restart().await?;
            }
            Fault::ReplaceWorker(index) => self.workers[index].worker.replace().await?,
            Fault::UnlistWorker(index) | Fault::ListPreviousWorker(index) => {
                self.workers[index].worker.register("ready");
            }
            Fault::HangWorker(index) => self.change_faults(index, |faults| faults.hangs = false),
            Fault::FailWorker(index) => self.change_faults(index, |faults| faults.fails = false),
            Fault::LoseWorkerResponses(index) => {
                self.change_faults(index, |faults| faults.loses_responses = false);
            }
            Fault::DelayStarts(index) => {
                self.change_faults(index, |faults| faults.starts_late = false);
            }
        }
        self.disturbances.end(fault);
        Ok(())
    }

    fn change_faults(&self, index: usize, change: impl FnOnce(&mut WorkerFaults)) {
        self.workers[index].worker.change_faults(change);
    }

    /// Returns whether a fault is over only once an instance has stopped, which it still may do in
    /// time.
    pub(crate) fn is_stopping(&mut self, fault: Fault) -> io::Result<bool> {
        let Fault::Terminate(index) = fault else {
            return Ok(false);
        };
        let instance = &mut self.instances[index].instance;
        // Another fault may have paused the instance meanwhile.
        instance.signal(Signal::CONT)?;
        Ok(instance.is_stopping(STOP_TIMEOUT))
    }

    /// Kills an instance that was asked to stop, unless it has, and starts it again.
    fn restart(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index].instance;
        instance.kill()?;
        instance.ensure_started()
    }

    /// Ends all faults, and starts the instances and workers that do not run.
    pub(crate) async fn heal(&mut self) -> io::Result<()> {
        self.store.set_mode(StoreMode::Up);
        for node in &mut self.instances {
            node.store_link.set(Mode::Open);
            node.instance.signal(Signal::CONT)?;
            node.instance.ensure_started()?;
        }
        for node in &mut self.workers {
            node.link.set(Mode::Open);
            node.worker
                .change_faults(|faults| *faults = WorkerFaults::default());
            node.worker.restart().await?;
            node.worker.register("ready");
        }
        self.disturbances.end_all();
        Ok(())
    }

    /// Asks every instance to stop; records those that don't exit in time and with success.
    pub(crate) async fn stop(&mut self) -> io::Result<()> {
        for node in &mut self.instances {
            node.instance.signal(Signal::TERM)?;
        }
        for (index, node) in self.instances.iter_mut().enumerate() {
            let ended = node.instance.wait_exit(STOP_TIMEOUT).await;
            if ended.is_none_or(|status| !status.success()) {
                self.unclean_stops
                    .push(format!("instance-{index}: {ended:?}"));
            }
        }
        Ok(())
    }
}

async fn start_worker(fleet: &Fleet, index: usize) -> io::Result<WorkerNode> {
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
    let link = link.ok_or_else(|| io::Error::other("the worker was started without a proxy"))?;
    Ok(WorkerNode { worker, link })
}

async fn start_instance(
    program: &Path,
    dir: &Path,
    index: usize,
    (store, adviser): (SocketAddr, SocketAddr),
) -> io::Result<InstanceNode> {
    let store_link = Proxy::start(store).await?;
    let (callers, ready) = (free_address()?, free_address()?);
    let settings = InstanceSettings {
        name: format!("instance-{index}"),
        domain: "domain-a".into(),
        callers,
        ready,
        first_port: free_pair()?,
        store: store_link.address(),
        adviser,
        max_lease_ms: MAX_LEASE_MS,
        config_bound_ms: CONFIG_BOUND.as_millis() as u64,
    };
    Ok(InstanceNode {
        instance: Instance::start(program, dir, &settings)?,
        store_link,
        callers,
    })
}
