//! Measures the latency of live requests through one daemon, compared with calling the workers
//! directly.
//!
//! The log, the instance list, the workers, one daemon and the callers run in one process on
//! loopback. The workers answer at once, so the result is the overhead of the daemon.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kingcupwinch_config::load_texts;
use kingcupwinch_coord::id::{RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Stamped};
use kingcupwinch_daemon::settings::{Instance, Listen, Platform, Settings, Stop};
use kingcupwinch_daemon::{Daemon, Running};
use kingcupwinch_fakes::{
    FakeInstanceList, FakeLog, FakeWorker, History, InstanceListServer, LogServer, WorkerSpec,
};
use kingcupwinch_time::{Span, WallTime};
use kingcupwinch_wire::encode_config;
use kingcupwinch_wire::instance_list::Capacity;
use kingcupwinch_wire::worker::{ATTEMPT_HEADER, NOT_AFTER_HEADER, TASK_HEADER, TERM_HEADER};
use uuid::Uuid;

type Failure = Box<dyn Error + Send + Sync>;
type Http = Client<HttpConnector, Full<Bytes>>;

const DOMAIN: &str = "harju-a";
const WORKERS: usize = 8;
const SLOTS: u32 = 32;
const CONNECTIONS: u32 = 64;
const SIGNIFICANT_DIGITS: u8 = 3;
const BODY: &[u8] = b"is the open-air stage free on the 24th?";
const ROUNDS: usize = 10;
const READY_TIMEOUT: Duration = Duration::from_secs(30);

const TREE: &str = r#"
[domains.harju-a]
region = "harju"
shards = 16
workers = 8
rack_workers = 4
slots = 32
connections = 64
millicores = 32_000
memory_mb = 131_072

[classes.check]
kind = "live"
band = 0
deadline_ms = 20_000
idempotent = true
task = { millicores = 100, memory_mb = 64, run_ms = 1 }

[services.booking]
classes = ["check"]
default_class = "check"

[customers.festival]
weight = 1
"#;

fn command() -> Command {
    Command::new("bench_live")
        .about("Measures live requests through one daemon against calling workers directly")
        .arg(number(
            "requests",
            "20000",
            "Number of requests in each run",
        ))
        .arg(number(
            "callers",
            "8",
            "Concurrent callers in the latency run",
        ))
        .arg(number(
            "crowd",
            "64",
            "Concurrent callers in the throughput run",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(usize))
        .default_value(default)
        .help(help)
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let matches = command().get_matches();
    let get = |name| matches.get_one::<usize>(name).copied().unwrap_or(1).max(1);
    let (requests, callers) = (get("requests"), get("callers"));
    let cluster = Cluster::start().await?;
    let daemon = cluster.start_daemon().await?;
    let through = Target::Daemon(daemon.addresses().callers);
    let direct = Target::Workers(cluster.workers.iter().map(FakeWorker::address).collect());

    let warm = requests / 10 + 1;
    load(&direct, callers, warm).await?;
    load(&through, callers, warm).await?;
    let mut direct_run = Measurement::new()?;
    let mut daemon_run = Measurement::new()?;
    // Alternating runs expose both targets to the same load of the machine.
    for _ in 0..ROUNDS {
        let share = requests.div_ceil(ROUNDS);
        direct_run.add(load(&direct, callers, share).await?)?;
        daemon_run.add(load(&through, callers, share).await?)?;
    }
    let throughput_run = load(&through, get("crowd"), requests).await?;
    direct_run.print("workers directly", callers);
    daemon_run.print("through the daemon", callers);
    throughput_run.print("through the daemon", get("crowd"));
    for quantile in [0.5, 0.99] {
        let added = daemon_run.micros_at(quantile) as i64 - direct_run.micros_at(quantile) as i64;
        println!("added latency at p{}: {added} us", quantile * 100.0);
    }
    let overflows: u32 = cluster.workers.iter().map(|w| w.counts().overflows).sum();
    println!("starts beyond a worker's capacity: {overflows}");
    daemon.stop().await;
    Ok(())
}

/// Target of the requests.
#[derive(Debug, Clone)]
enum Target {
    Daemon(SocketAddr),
    Workers(Arc<[SocketAddr]>),
}

/// Latencies and duration of one run.
struct Measurement {
    micros: Histogram<u64>,
    elapsed: Duration,
}

impl Measurement {
    fn new() -> Result<Self, Failure> {
        Ok(Measurement {
            micros: Histogram::new(SIGNIFICANT_DIGITS)?,
            elapsed: Duration::ZERO,
        })
    }

    fn add(&mut self, other: Measurement) -> Result<(), Failure> {
        self.elapsed += other.elapsed;
        Ok(self.micros.add(other.micros)?)
    }

    fn micros_at(&self, quantile: f64) -> u64 {
        self.micros.value_at_quantile(quantile)
    }

    fn print(&self, name: &str, callers: usize) {
        let (p50, p99) = (self.micros_at(0.5), self.micros_at(0.99));
        let rate = self.micros.len() as f64 / self.elapsed.as_secs_f64();
        println!("{name}, {callers} callers: {rate:.0} requests/s, p50 {p50} us, p99 {p99} us");
    }
}

async fn load(target: &Target, callers: usize, requests: usize) -> Result<Measurement, Failure> {
    let began = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| tokio::spawn(call(target.clone(), caller, requests.div_ceil(callers))))
        .collect();
    let mut measurement = Measurement::new()?;
    for task in tasks {
        measurement.micros.add(task.await??)?;
    }
    measurement.elapsed = began.elapsed();
    Ok(measurement)
}

/// Sends requests one after another on its own connections.
async fn call(target: Target, caller: usize, requests: usize) -> Result<Histogram<u64>, Failure> {
    let http: Http = Client::builder(TokioExecutor::new()).build_http();
    let mut micros = Histogram::new(SIGNIFICANT_DIGITS)?;
    for n in 0..requests {
        let began = Instant::now();
        let answer = http.request(make_request(&target, caller, n)?).await?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()).into());
        }
        answer.into_body().collect().await?;
        micros.record(u64::try_from(began.elapsed().as_micros())?)?;
    }
    Ok(micros)
}

fn make_request(target: &Target, caller: usize, n: usize) -> Result<Request<Full<Bytes>>, Failure> {
    let body = Full::new(Bytes::from_static(BODY));
    let request = match target {
        Target::Daemon(address) => Request::post(format!("http://{address}/v1/run/booking")),
        Target::Workers(addresses) => {
            let address = addresses[(caller + n) % addresses.len()];
            Request::post(format!("http://{address}/v1/run/booking"))
                .header(TASK_HEADER, Uuid::now_v7().to_string())
                .header(ATTEMPT_HEADER, 1)
                .header(TERM_HEADER, u64::MAX)
                .header(NOT_AFTER_HEADER, 60_000)
        }
    };
    Ok(request.body(body)?)
}

/// The simulated platform of one failure domain.
struct Cluster {
    log_server: LogServer,
    list_server: InstanceListServer,
    workers: Vec<FakeWorker>,
}

impl Cluster {
    async fn start() -> Result<Self, Failure> {
        let log = FakeLog::new();
        publish(&log)?;
        let instance_list = FakeInstanceList::new();
        let history = History::new();
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let spec = WorkerSpec::new(format!("worker-{index}"), capacity())
                .with_usage_lag(Span::from_millis(100));
            let worker = FakeWorker::start(spec, &history, any_port()).await?;
            // Direct calls carry an arbitrary term, which the worker must not check.
            let mut faults = worker.faults();
            faults.checks_fencing = false;
            worker.set_faults(faults);
            instance_list.put(worker.instance(DOMAIN, &format!("rack-{}", index % 2)));
            workers.push(worker);
        }
        Ok(Cluster {
            log_server: LogServer::start(&log, any_port()).await?,
            list_server: InstanceListServer::start(&instance_list, any_port()).await?,
            workers,
        })
    }

    async fn start_daemon(&self) -> Result<Running, Failure> {
        let daemon = Daemon::new(self.settings()).start().await?;
        let target = Target::Daemon(daemon.addresses().callers);
        let deadline = Instant::now() + READY_TIMEOUT;
        while let Err(error) = call(target.clone(), 0, 1).await {
            if Instant::now() > deadline {
                return Err(error);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(daemon)
    }

    fn settings(&self) -> Settings {
        let platform = Platform::new(self.log_server.address(), self.list_server.address());
        Settings::new(Instance::new("entry-1", DOMAIN), platform)
            .with_listen(Listen::on_loopback())
            .with_log_off()
            .with_stop(Stop {
                balancer_ms: 0,
                deadline_ms: 10_000,
            })
    }
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn capacity() -> Capacity {
    Capacity {
        slots: SLOTS,
        connections: CONNECTIONS,
        millicores: 32_000,
        memory_mb: 131_072,
        accelerators: 0,
        services: vec!["booking".into()],
    }
}

fn publish(log: &FakeLog) -> Result<(), Failure> {
    let loaded =
        load_texts([("10-bench.toml", TREE)]).map_err(|_| "the configuration tree is invalid")?;
    let body = ConfigRecord {
        based: Version(0),
        version: Version(1),
        origin: None,
        author: "bench".into(),
        published: WallTime::from_millis(0),
        tree: loaded.tree.to_canonical_json().into(),
    };
    let id = RecordId(Uuid::now_v7());
    log.append("config", encode_config(&Stamped { id, body }));
    Ok(())
}
