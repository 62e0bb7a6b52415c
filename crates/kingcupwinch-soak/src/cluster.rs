//! Instances, workers and store of one run, and the injection of faults into them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{
    Caller, Fleet, History, InstanceSettings, StandinAdviser, StandinStore, StoreMode,
    WorkerEventKind, WorkerFaults, WorkerHandle, write_odd_entries,
};
use rustix::process::Signal;
use tokio::sync::MutexGuard;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::crowd::Crowd;
use crate::disturbances::Disturbances;
use crate::instance::Instance;
use crate::operator::Operator;
use crate::plan::{Fault, Trigger};
use crate::ports::{free_address, free_pair};
use crate::proxy::{Closing, Mode, Proxy};
use crate::routes::CONFIG_BOUND;
use crate::workers::{MAX_LEASE_MS, WORKER_MILLICORES, WorkerNode};

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
    crowd: Option<Crowd>,
}

/// Whether a run has customers, and how long instances out of touch serve their keys.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyMode {
    pub(crate) has_customers: bool,
    pub(crate) revoke_limit: Option<Duration>,
}

/// The instances, workers and store of one run.
pub(crate) struct Cluster {
    pub(crate) store: Arc<StandinStore>,
    pub(crate) history: History,
    instances: Vec<InstanceNode>,
    workers: Vec<WorkerNode>,
    /// Keeps the workers up.
    _upkeep: JoinSet<()>,
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
        link_kbps: Option<u64>,
        keys: KeyMode,
    ) -> io::Result<Self> {
        let store = StandinStore::new();
        let operator = Operator::new(Arc::clone(&store), keys.has_customers);
        let history = History::default();
        let adviser = Arc::<StandinAdviser>::default();
        let adviser_address = free_address()?;
        adviser.start(adviser_address).await?;
        let fleet = Fleet::new(Arc::clone(&store), adviser, history.clone()).with_drawn_clocks();
        let (mut workers, mut upkeep) = (Vec::new(), JoinSet::new());
        // On a narrow link the entries alone would take a fifth of it.
        if link_kbps.is_none() {
            upkeep.spawn(write_odd_entries(Arc::clone(&store)));
        }
        for index in 0..worker_count {
            workers.push(WorkerNode::start(&fleet, index, &mut upkeep).await?);
        }
        let mut instances = Vec::new();
        for index in 0..instance_count {
            let (address, _) = store.start(index).await?;
            let services = (address, adviser_address);
            instances.push(start_instance(program, dir, index, services, link_kbps, keys).await?);
        }
        Ok(Cluster {
            store,
            history,
            instances,
            workers,
            _upkeep: upkeep,
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
            Trigger::Crash => Some(WorkerEventKind::Ended("crashed")),
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
    pub(crate) async fn begin(&mut self, fault: Fault) -> io::Result<()> {
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
            Fault::Crowd(index) => {
                let node = &mut self.instances[index];
                node.crowd = Some(Crowd::start(node.callers));
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
            Fault::StoreRejects(quarter) => {
                self.store.with_log(|log| log.reject_quarter(Some(quarter)));
            }
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
                self.worker(index).await.crash();
            }
            Fault::DrainWorker(index) | Fault::LeaveWorker(index) => {
                self.worker(index).await.register("draining");
            }
            Fault::ShrinkWorker(index, percent) => {
                self.resize(index, WORKER_MILLICORES * percent / 100).await;
            }
            Fault::UnlistWorker(index) => self.worker(index).await.expire_entry(),
            Fault::ListPreviousWorker(index) => {
                self.worker(index).await.register_previous();
            }
            Fault::CloseWorker(index) => self.workers[index].link.close(Closing::Finish),
            Fault::AbortWorker(index) => self.workers[index].link.close(Closing::Abort),
            Fault::HangWorker(index)
            | Fault::FailWorker(index)
            | Fault::LoseWorkerResponses(index)
            | Fault::DelayStarts(index)
            | Fault::DelayCalls(index)
            | Fault::DelayStops(index) => self.change_faults(index, fault, true).await,
            Fault::Publish => self.operator.publish(),
        }
        Ok(())
    }

    /// Returns the time from the start of a fault to its second phase, if it has one.
    pub(crate) fn advance_after(fault: Fault) -> Option<Duration> {
        matches!(fault, Fault::DrainWorker(_)).then_some(DRAIN_TIME)
    }

    /// Carries out the second phase of a fault.
    pub(crate) async fn advance(&mut self, fault: Fault) {
        if let Fault::DrainWorker(index) = fault {
            let mut worker = self.worker(index).await;
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
            Fault::Crowd(index) => self.instances[index].crowd = None,
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
            Fault::StoreRejects(_) => self.store.with_log(|log| log.reject_quarter(None)),
            Fault::PartitionStore(index)
            | Fault::BlockStoreResponses(index)
            | Fault::ResetStore(index)
            | Fault::DelayStore(index) => self.instances[index].store_link.set(Mode::Open),
            Fault::PartitionWorker(index)
            | Fault::BlockWorkerResponses(index)
            | Fault::ResetWorker(index) => self.workers[index].link.set(Mode::Open),
            Fault::CrashWorker(index) | Fault::DrainWorker(index) => {
                self.worker(index).await.restart().await?;
            }
            Fault::ReplaceWorker(index) => {
                self.worker(index).await.replace().await?;
            }
            Fault::LeaveWorker(index) => self.worker(index).await.leave(),
            Fault::ShrinkWorker(index, _) => self.resize(index, WORKER_MILLICORES).await,
            Fault::UnlistWorker(index) | Fault::ListPreviousWorker(index) => {
                self.worker(index).await.register("ready");
            }
            Fault::HangWorker(index)
            | Fault::FailWorker(index)
            | Fault::LoseWorkerResponses(index)
            | Fault::DelayStarts(index)
            | Fault::DelayCalls(index)
            | Fault::DelayStops(index) => self.change_faults(index, fault, false).await,
        }
        self.disturbances.end(fault);
        Ok(())
    }

    async fn worker(&self, index: usize) -> MutexGuard<'_, WorkerHandle> {
        self.workers[index].worker.lock().await
    }

    async fn resize(&self, index: usize, cpu: u64) {
        self.worker(index).await.resize(cpu);
    }

    async fn change_faults(&self, index: usize, fault: Fault, is_active: bool) {
        self.worker(index)
            .await
            .change_faults(|faults| match fault {
                Fault::HangWorker(_) => faults.hangs = is_active,
                Fault::FailWorker(_) => faults.fails = is_active,
                Fault::LoseWorkerResponses(_) => faults.loses_responses = is_active,
                Fault::DelayStarts(_) => faults.starts_late = is_active,
                Fault::DelayCalls(_) => faults.calls_late = is_active,
                Fault::DelayStops(_) => faults.stops_late = is_active,
                _ => {}
            });
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
            let mut worker = node.worker.lock().await;
            worker.change_faults(|faults| *faults = WorkerFaults::default());
            worker.resize(WORKER_MILLICORES);
            worker.restart().await?;
            worker.register("ready");
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

async fn start_instance(
    program: &Path,
    dir: &Path,
    index: usize,
    (store, adviser): (SocketAddr, SocketAddr),
    link_kbps: Option<u64>,
    keys: KeyMode,
) -> io::Result<InstanceNode> {
    let store_link = Proxy::with_bandwidth(store, link_kbps).await?;
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
        revoke_ms: keys.revoke_limit.map(|limit| limit.as_millis() as u64),
        link_kbps,
    };
    Ok(InstanceNode {
        instance: Instance::start(program, dir, &settings)?,
        store_link,
        callers,
        crowd: None,
    })
}
