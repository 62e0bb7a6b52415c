//! Instances, workers and the store of one run, and the faults that they suffer.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{
    Caller, Fleet, History, InstanceSettings, StandinStore, StoreMode, WorkerFaults, WorkerHandle,
    WorkerSpec, publish_queue,
};
use rustix::process::Signal;

use crate::instance::Instance;
use crate::plan::Fault;
use crate::ports::{free_address, free_pair};
use crate::proxy::{Link, Proxy};

/// The longest lease of the workers, in milliseconds.
const HOLD_MS: u64 = 6_000;
/// Thousandths of a core of each worker.
const WORKER_CPU: u64 = 4_000;
/// How much later a slow link passes everything.
const LINK_DELAY: Duration = Duration::from_millis(120);
/// How long a worker drains before it leaves, in the middle of its fault.
const DRAIN_TIME: Duration = Duration::from_millis(800);
/// How long an instance may take to stop: the grace of its settings and a little.
const STOP_TIME: Duration = Duration::from_millis(7_500);

/// An instance and its link to the store.
struct Place {
    instance: Instance,
    store_link: Proxy,
    callers: SocketAddr,
}

/// A worker and its link.
struct Post {
    worker: WorkerHandle,
    link: Proxy,
}

/// Everything of one run.
pub(crate) struct Site {
    store: Arc<StandinStore>,
    pub(crate) ledger: History,
    places: Vec<Place>,
    posts: Vec<Post>,
    version: u64,
    /// What did not stop as it should.
    pub(crate) bad_stops: Vec<String>,
}

impl Site {
    /// Starts so many instances and workers; files go to a directory.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        instances: usize,
        workers: usize,
    ) -> io::Result<Self> {
        let store = StandinStore::new();
        let (store_address, _) = store.start().await?;
        publish_queue(&store, 1);
        let ledger = History::default();
        let fleet = Fleet::new(Arc::clone(&store), ledger.clone());
        let mut posts = Vec::new();
        for number in 0..workers {
            posts.push(start_worker(&fleet, number).await?);
        }
        let mut places = Vec::new();
        for number in 0..instances {
            places.push(start_instance(program, dir, number, store_address).await?);
        }
        Ok(Site {
            store,
            ledger,
            places,
            posts,
            version: 1,
            bad_stops: Vec::new(),
        })
    }

    /// Returns a client of each instance.
    pub(crate) fn callers(&self) -> Vec<Caller> {
        let caller = |place: &Place| Caller::new(place.callers);
        self.places.iter().map(caller).collect()
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(number) => self.places[number].instance.kill()?,
            Fault::KillAll => {
                for place in &mut self.places {
                    place.instance.kill()?;
                }
            }
            Fault::Pause(number) => self.places[number].instance.signal(Signal::STOP)?,
            Fault::Terminate(number) => self.places[number].instance.signal(Signal::TERM)?,
            Fault::Hangup(number) => {
                let instance = &mut self.places[number].instance;
                if instance.handles_signals() {
                    instance.signal(Signal::HUP)?;
                }
            }
            Fault::StoreBusy => self.store.set_mode(StoreMode::Busy),
            Fault::StoreSilent => self.store.set_mode(StoreMode::Silent),
            Fault::StoreSlow(ms) => {
                self.store
                    .set_mode(StoreMode::Slow(Duration::from_millis(ms)));
            }
            Fault::StoreLossy => self.store.set_mode(StoreMode::Lossy(0.3)),
            Fault::StoreForgets => self.store.with_log(kingcupwinch_standin::Log::truncate),
            Fault::CutStore(number) => self.places[number].store_link.set(Link::Cut),
            Fault::CutAnswers(number) => self.places[number].store_link.set(Link::AnswersCut),
            Fault::ResetStore(number) => self.places[number].store_link.set(Link::Reset),
            Fault::DelayStore(number) => {
                self.places[number].store_link.set(Link::Slow(LINK_DELAY));
            }
            Fault::CutWorker(number) => self.posts[number].link.set(Link::Cut),
            Fault::CutWorkerAnswers(number) => self.posts[number].link.set(Link::AnswersCut),
            Fault::ResetWorker(number) => self.posts[number].link.set(Link::Reset),
            Fault::CrashWorker(number) => self.posts[number].worker.crash(),
            Fault::DrainWorker(number) => self.posts[number].worker.register("draining"),
            Fault::HangWorker(number) => self.conduct(number, true, false),
            Fault::FailWorker(number) => self.conduct(number, false, true),
            Fault::Publish => {
                self.version += 1;
                publish_queue(&self.store, self.version);
            }
        }
        Ok(())
    }

    /// Returns how long after its begin a fault has a second part.
    pub(crate) fn turn_of(fault: Fault) -> Option<Duration> {
        matches!(fault, Fault::DrainWorker(_)).then_some(DRAIN_TIME)
    }

    /// Carries out the second part of a fault.
    pub(crate) fn turn(&mut self, fault: Fault) {
        if let Fault::DrainWorker(number) = fault {
            let worker = &mut self.posts[number].worker;
            worker.crash();
            worker.unregister();
        }
    }

    /// Ends a fault.
    pub(crate) async fn end(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(number) => self.places[number].instance.ensure_started()?,
            Fault::KillAll => {
                for place in &mut self.places {
                    place.instance.ensure_started()?;
                }
            }
            Fault::Pause(number) => self.places[number].instance.signal(Signal::CONT)?,
            Fault::Terminate(number) => self.restart(number).await?,
            Fault::Hangup(_) | Fault::StoreForgets | Fault::Publish => {}
            Fault::StoreBusy | Fault::StoreSilent | Fault::StoreSlow(_) | Fault::StoreLossy => {
                self.store.set_mode(StoreMode::Up);
            }
            Fault::CutStore(number)
            | Fault::CutAnswers(number)
            | Fault::ResetStore(number)
            | Fault::DelayStore(number) => self.places[number].store_link.set(Link::Open),
            Fault::CutWorker(number)
            | Fault::CutWorkerAnswers(number)
            | Fault::ResetWorker(number) => self.posts[number].link.set(Link::Open),
            Fault::CrashWorker(number) | Fault::DrainWorker(number) => {
                self.posts[number].worker.restart().await?;
            }
            Fault::HangWorker(number) | Fault::FailWorker(number) => {
                self.conduct(number, false, false);
            }
        }
        Ok(())
    }

    fn conduct(&mut self, number: usize, hangs: bool, fails: bool) {
        let conduct = WorkerFaults { fails, hangs };
        self.posts[number].worker.set_faults(conduct);
    }

    /// Starts an instance again that was asked to stop, once it has.
    async fn restart(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.places[number].instance;
        // Another fault may have paused it meanwhile.
        instance.signal(Signal::CONT)?;
        instance.wait_end(STOP_TIME).await;
        instance.kill()?;
        instance.ensure_started()
    }

    /// Heals everything that a fault may have left.
    pub(crate) async fn heal(&mut self) -> io::Result<()> {
        self.store.set_mode(StoreMode::Up);
        for place in &mut self.places {
            place.store_link.set(Link::Open);
            place.instance.signal(Signal::CONT)?;
            place.instance.ensure_started()?;
        }
        for post in &mut self.posts {
            post.link.set(Link::Open);
            post.worker.set_faults(WorkerFaults::default());
            post.worker.restart().await?;
            post.worker.register("ready");
        }
        Ok(())
    }

    /// Asks every instance to stop; notes those that don't do so in time and in order.
    pub(crate) async fn stop(&mut self) -> io::Result<()> {
        for place in &mut self.places {
            place.instance.signal(Signal::TERM)?;
        }
        for (number, place) in self.places.iter_mut().enumerate() {
            let ended = place.instance.wait_end(STOP_TIME).await;
            if ended.is_none_or(|status| !status.success()) {
                self.bad_stops.push(format!("instance-{number}: {ended:?}"));
            }
        }
        Ok(())
    }
}

async fn start_worker(fleet: &Fleet, number: usize) -> io::Result<Post> {
    let spec = WorkerSpec {
        id: format!("w-{number}").into(),
        domain: "domain-a".into(),
        cpu: WORKER_CPU,
        max_lease_ms: HOLD_MS,
    };
    let mut link = None;
    let worker = fleet
        .start(spec, free_address()?, async |address| {
            let proxy = Proxy::start(address).await?;
            let listed = proxy.address();
            link = Some(proxy);
            Ok(listed)
        })
        .await?;
    let link = link.ok_or_else(|| io::Error::other("no link to the worker"))?;
    Ok(Post { worker, link })
}

async fn start_instance(
    program: &Path,
    dir: &Path,
    number: usize,
    store: SocketAddr,
) -> io::Result<Place> {
    let store_link = Proxy::start(store).await?;
    let (callers, ready) = (free_address()?, free_address()?);
    let settings = InstanceSettings {
        name: format!("instance-{number}"),
        domain: "domain-a".into(),
        callers,
        ready,
        first_port: free_pair()?,
        store: store_link.address(),
        max_lease_ms: HOLD_MS,
    };
    Ok(Place {
        instance: Instance::start(program, dir, &settings)?,
        store_link,
        callers,
    })
}
