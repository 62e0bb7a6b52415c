//! The operators' port: health, metrics and status.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use kameo::actor::ActorRef;
use kingcupwinch_wire::api::{LogStatus, MemberStatus, ShardStatus, Status};

use super::body::{Body, full};
use super::listener::Handler;
use super::problem::{not_run, respond};
use crate::actors::scheduler::{DrainReply, DrainWorker, GetStatus, Scheduler};
use crate::shared::Shared;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";

/// Handles operators' requests.
#[derive(Debug)]
pub(crate) struct OperatorHandler {
    shared: Arc<Shared>,
    scheduler: ActorRef<Scheduler>,
}

impl OperatorHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>, scheduler: ActorRef<Scheduler>) -> Self {
        OperatorHandler { shared, scheduler }
    }

    async fn status(&self) -> Response<Body> {
        let Ok(view) = self.scheduler.ask(GetStatus).await else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return respond(&not_run(status, "stopping", "this instance is stopping"));
        };
        let ownership = self.shared.ownership.load_full();
        let settings = &self.shared.settings.instance;
        let now = self.shared.now();
        let members = ownership.members.iter().map(|member| MemberStatus {
            instance: Arc::clone(&member.instance),
            incarnation: member.incarnation.to_string().into(),
            link: Arc::clone(&member.link),
        });
        let shards = (0..)
            .zip(&ownership.shards)
            .map(|(shard, view)| ShardStatus {
                shard,
                term: view.term,
                owner: view.owner.as_ref().map(|owner| Arc::clone(&owner.instance)),
                dispatching: view.permit.is_some_and(|permit| now < permit.until),
            });
        let shards: Vec<_> = shards.collect();
        let status = Status {
            instance: Arc::clone(&settings.name),
            incarnation: self.shared.incarnation.to_string().into(),
            domain: Arc::clone(&settings.domain),
            phase: ownership.phase.into(),
            version: self.shared.config.load().version.0,
            log: LogStatus {
                next: ownership.next,
                tail: ownership.tail,
                fresh: shards.iter().any(|shard| shard.dispatching),
            },
            members: members.collect(),
            shards,
            workers: view.workers,
            queues: view.queues,
        };
        json(&status)
    }

    /// Requests a graceful stop from the code that runs the daemon.
    fn drain(&self) -> Response<Body> {
        self.shared.lifecycle.request_stop();
        accepted()
    }

    /// Drains a worker: it gets no new work, even if its shard moves to this instance later.
    async fn drain_worker(&self, name: &str) -> Response<Body> {
        match self.scheduler.ask(DrainWorker(name.into())).await {
            Ok(DrainReply(true)) => accepted(),
            Ok(DrainReply(false)) => {
                let detail = format!("worker {name} is not in the failure domain's list");
                respond(&not_run(StatusCode::NOT_FOUND, "unknown-worker", detail))
            }
            Err(_) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                respond(&not_run(status, "stopping", "this instance is stopping"))
            }
        }
    }

    fn metrics(&self) -> Response<Body> {
        match self.shared.metrics.encode() {
            Ok(text) => with_type(full(text), METRICS_TYPE),
            Err(_) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                respond(&not_run(status, "metrics", "the metrics can't be encoded"))
            }
        }
    }
}

fn accepted() -> Response<Body> {
    let mut response = Response::new(full("accepted\n"));
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}

/// Returns the name of the worker in the path of a drain request.
fn worker_name(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/workers/")?.strip_suffix("/drain")
}

/// Responds to the liveness check.
pub(crate) fn healthz() -> Response<Body> {
    Response::new(full("ok\n"))
}

/// Responds to the readiness check of the load balancer.
pub(crate) fn readyz(shared: &Shared) -> Response<Body> {
    let ready = shared.is_ready();
    let mut response = Response::new(full(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Responds with a JSON document.
pub(crate) fn json<T: serde::Serialize>(value: &T) -> Response<Body> {
    // Serializing the documents of this workspace can't fail.
    with_type(
        full(serde_json::to_vec(value).unwrap_or_default()),
        JSON_TYPE,
    )
}

fn with_type(body: Body, media: &'static str) -> Response<Body> {
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

impl Handler for OperatorHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => healthz(),
            (&Method::GET, "/readyz") => readyz(&self.shared),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::POST, "/v1/drain") => self.drain(),
            (&Method::POST, path) if worker_name(path).is_some() => {
                self.drain_worker(worker_name(path).unwrap_or_default())
                    .await
            }
            (_, path) => {
                let detail = format!("no resource exists at {path}");
                respond(&not_run(StatusCode::NOT_FOUND, "not-found", detail))
            }
        }
    }
}
