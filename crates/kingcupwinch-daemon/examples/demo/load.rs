//! The mixed load: checks, van dispatches, plans, manifests, calendars and one gang.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kingcupwinch_fakes::live_response;
use kingcupwinch_wire::api::{JobAccepted, Problem, ProblemOutcome};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::Failure;
use crate::cluster::{Cluster, Target, Targets};
use crate::results::{CallResult, Results};

/// Seed of the load's random numbers.
const SEED: u64 = 20_261_203;
/// Checks per second.
const CHECK_RATE: u64 = 200;
/// Van dispatches per second.
const VAN_RATE: u64 = 15;
/// Time at which the gang is submitted.
const GANG_TIME: Duration = Duration::from_secs(2);
/// One van dispatch in this many is sent twice with the same key.
const DUPLICATE_RATIO: u32 = 3;

/// A complete response.
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// An HTTP client with its own connections.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller.
    pub(crate) fn new() -> Self {
        Caller {
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a GET request.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, Failure> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let answer = self.http.request(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        Ok(Reply { status, body })
    }
}

/// The running load.
pub(crate) struct Load {
    stopped: Arc<AtomicBool>,
    sources: Vec<JoinHandle<()>>,
}

/// State shared by the tasks that generate load.
#[derive(Clone)]
struct LoadSource {
    targets: Targets,
    results: Arc<Results>,
    caller: Caller,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

impl Load {
    /// Starts all tasks that generate load.
    pub(crate) fn start(cluster: &Cluster, results: &Arc<Results>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let source = LoadSource {
            targets: cluster.targets(),
            results: Arc::clone(results),
            caller: Caller::new(),
            stopped: Arc::clone(&stopped),
            open: Arc::default(),
        };
        let jobs = [
            ("coverage-plan", 20, 2_500, 500),
            ("load-out-manifest", 8, 300, 200),
            ("shot-calendar", 16, 500, 400),
        ];
        let mut sources = vec![
            tokio::spawn(source.clone().checks()),
            tokio::spawn(source.clone().vans()),
            tokio::spawn(source.clone().gang()),
        ];
        for (class, tasks, run_ms, gap_ms) in jobs {
            let gap = Duration::from_millis(gap_ms);
            sources.push(tokio::spawn(source.clone().jobs(class, tasks, run_ms, gap)));
        }
        Load { stopped, sources }
    }

    /// Stops the load and waits for open requests.
    pub(crate) async fn end(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for source in self.sources {
            // A task that failed has no open requests.
            let _ = source.await;
        }
    }
}

impl LoadSource {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> Option<Target> {
        self.targets.all().choose(rng).copied()
    }

    async fn checks(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut n = 0;
        while !self.is_stopped() {
            let run_ms = rng.random_range(10..50);
            if let Some(target) = self.choose(&mut rng) {
                let source = self.clone();
                let id = format!("check-{n}");
                tokio::spawn(async move {
                    source
                        .live("availability-check", target, id, run_ms, None)
                        .await;
                });
            }
            n += 1;
            tokio::time::sleep(Duration::from_micros(1_000_000 / CHECK_RATE)).await;
        }
        self.wait_until_answered().await;
    }

    async fn vans(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED + 1);
        let mut n = 0;
        while !self.is_stopped() {
            let key = Uuid::now_v7().to_string();
            let copies = if rng.random_ratio(1, DUPLICATE_RATIO) {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if let Some(target) = self.choose(&mut rng) {
                    let source = self.clone();
                    let (id, key) = (format!("van-{n}"), key.clone());
                    tokio::spawn(async move {
                        source.live("van-dispatch", target, id, 60, Some(key)).await;
                    });
                }
            }
            n += 1;
            tokio::time::sleep(Duration::from_micros(1_000_000 / VAN_RATE)).await;
        }
    }

    /// Waits until every live request is answered.
    async fn wait_until_answered(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn live(
        &self,
        class: &'static str,
        target: Target,
        id: String,
        run_ms: u64,
        key: Option<String>,
    ) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let began = Instant::now();
        let result = self
            .request(class, target, &id, run_ms, key.as_deref())
            .await;
        // A caller of a killed daemon gets no answer, which violates no guarantee.
        let killed = !self
            .targets
            .all()
            .iter()
            .any(|up| up.callers == target.callers);
        let result = result.unwrap_or(if killed {
            CallResult::DaemonKilled
        } else {
            CallResult::Disconnected
        });
        self.results.record(class, &id, result, began.elapsed());
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn request(
        &self,
        class: &str,
        target: Target,
        id: &str,
        run_ms: u64,
        key: Option<&str>,
    ) -> Result<CallResult, Failure> {
        let mut request = Request::post(format!("http://{}/v1/run/hire-booking", target.callers))
            .header("kcw-class", class)
            .header("kcw-customer", "riigi")
            .header("x-request-id", id)
            .header("x-run-ms", run_ms);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(format!("body of {id}")));
        let reply = self.caller.send(request.body(body)?).await?;
        if reply.status == StatusCode::OK {
            let whole = reply.body == live_response(id, format!("body of {id}").as_bytes(), 0);
            return Ok(if whole {
                CallResult::Ran
            } else {
                CallResult::WrongAnswer
            });
        }
        let problem: Problem = serde_json::from_slice(&reply.body)?;
        Ok(match problem.outcome {
            ProblemOutcome::NotRun => CallResult::NotRun,
            ProblemOutcome::Unknown if *problem.code == *"key-running" => CallResult::Running,
            ProblemOutcome::Unknown => CallResult::Unknown,
            ProblemOutcome::Failed => CallResult::Failed,
        })
    }

    async fn jobs(self, class: &'static str, tasks: u32, run_ms: u64, gap: Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED + run_ms);
        while !self.is_stopped() {
            if let Some(target) = self.choose(&mut rng) {
                self.submit(class, target, tasks, run_ms, false).await;
            }
            tokio::time::sleep(gap).await;
        }
    }

    async fn gang(self) {
        tokio::time::sleep(GANG_TIME).await;
        let mut rng = ChaCha8Rng::seed_from_u64(SEED + 2);
        if let Some(target) = self.choose(&mut rng) {
            self.submit("site-coverage", target, 10, 800, true).await;
        }
    }

    async fn submit(
        &self,
        class: &'static str,
        target: Target,
        tasks: u32,
        run_ms: u64,
        gang: bool,
    ) {
        let job = json!({
            "class": class, "customer": "magnolia", "tasks": tasks, "gang": gang, "run_ms": run_ms,
            "size": { "millicores": 1_000, "memory_mb": 1_024 },
        });
        let request = Request::post(format!("http://{}/v1/jobs", target.callers));
        let Ok(request) = request.body(Full::new(Bytes::from(job.to_string()))) else {
            return;
        };
        let began = Instant::now();
        let result = match self.caller.send(request).await {
            Ok(reply) if reply.status == StatusCode::ACCEPTED => {
                if let Ok(accepted) = serde_json::from_slice::<JobAccepted>(&reply.body) {
                    self.results.record_job(accepted.job);
                }
                CallResult::Ran
            }
            Ok(reply) => match serde_json::from_slice::<Problem>(&reply.body) {
                Ok(problem) if problem.outcome == ProblemOutcome::NotRun => CallResult::JobRefused,
                _ => CallResult::Unknown,
            },
            Err(_) => CallResult::DaemonKilled,
        };
        self.results.record(class, "", result, began.elapsed());
    }
}
