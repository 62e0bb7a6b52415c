//! The callers' port.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use super::body::{Body, BodyError, BufferedBody};
use super::listener::Handler;
use super::problem::{not_run, respond};
use crate::jobs::JobService;
use crate::live::refuse::DEFAULT_RETRY;
use crate::live::{Admission, LiveService};
use crate::metrics::Outcome;
use crate::shared::Shared;
use crate::siblings::was_domain_forwarded;

pub(super) const RUN_PATH: &str = "/v1/run/";
const JOBS_PATH: &str = "/v1/jobs";
const JOB_PATH: &str = "/v1/jobs/";

/// Handles callers' requests.
pub(crate) struct CallerHandler {
    shared: Arc<Shared>,
    live: LiveService,
    jobs: JobService,
}

impl CallerHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>, live: LiveService, jobs: JobService) -> Self {
        CallerHandler { shared, live, jobs }
    }

    async fn run_live(&self, service: &str, request: Request<Incoming>) -> Response<Body> {
        let arrived = self.shared.now();
        let config = self.shared.config.load_full();
        let admission = match Admission::check(&config, service, request.headers(), arrived) {
            Ok(admission) => admission,
            Err(problem) => return respond(&problem),
        };
        let (parts, body) = request.into_parts();
        match self.shared.read_body(body).await {
            Ok(body) => self.live.run(admission.admit(parts, body)).await,
            Err(err) => {
                self.shared
                    .metrics
                    .count(admission.class(), Outcome::NotRun);
                respond_bad_body(&err)
            }
        }
    }
}

impl CallerHandler {
    async fn submit_job(&self, request: Request<Incoming>) -> Response<Body> {
        match self.shared.read_body(request.into_body()).await {
            Ok(BufferedBody::Whole { bytes, .. }) => self.jobs.submit(&bytes).await,
            Ok(_) => {
                let limit = self.shared.settings.hold.request_bytes;
                respond_bad_body(&BodyError::TooLarge(
                    u64::try_from(limit).unwrap_or(u64::MAX),
                ))
            }
            Err(err) => respond_bad_body(&err),
        }
    }
}

/// Builds the response to a request whose body could not be read.
pub(crate) fn respond_bad_body(err: &BodyError) -> Response<Body> {
    let (status, code) = match err {
        BodyError::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        BodyError::Idle | BodyError::Slow => (StatusCode::REQUEST_TIMEOUT, "body-too-slow"),
        BodyError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no-memory"),
        BodyError::Broken(_) => (StatusCode::BAD_REQUEST, "body-broken"),
    };
    let mut problem = not_run(status, code, err.to_string());
    if matches!(err, BodyError::NoMemory) {
        problem.retry_ms = Some(DEFAULT_RETRY.as_millis());
    }
    let mut response = respond(&problem);
    // The rest of the body is not read, so the connection can't carry another request.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

impl Handler for CallerHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(service) = path.strip_prefix(RUN_PATH) {
            return self.run_live(service, request).await;
        }
        if path == JOBS_PATH && request.method() == Method::POST {
            return self.submit_job(request).await;
        }
        if let Some(id) = path.strip_prefix(JOB_PATH) {
            let method = request.method();
            if matches!(*method, Method::GET | Method::DELETE) {
                let forwarded = was_domain_forwarded(request.headers());
                return self.jobs.serve(id, method, forwarded).await;
            }
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => super::operators::healthz(),
            (&Method::GET, "/readyz") => super::operators::readyz(&self.shared),
            _ => {
                let detail = format!("no resource exists at {path}");
                respond(&not_run(StatusCode::NOT_FOUND, "not-found", detail))
            }
        }
    }
}
