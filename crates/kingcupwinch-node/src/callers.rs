//! Handles callers' requests to submit, query and cancel jobs.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use kingcupwinch_adapter::{
    JobError, KEY_HEADER, KeyedRecord, QueueTable, READY_PATH, Route, TIMEOUT_HEADER,
    accepted_body, decode_job, error_body, state_body, waiting_body,
};
use kingcupwinch_cell::{Demand, JobId, JobSpec, JobView, Mechanism, Requester, largest_job};
use kingcupwinch_time::Span;
use rand::Rng;
use slog::o;
use tokio::time::Instant;

use crate::access::{Access, CopyAge, Refusal, check};
use crate::cancellation;
use crate::configuration::Snapshot;
use crate::events::{Event, abbreviated};
use crate::hedged_append::HedgedAppender;
use crate::http::{Handler, HttpResponse, empty, json, read_body, retry_after};
use crate::intake::{IntakeRequest, Outcome};
use crate::layout::IntakeKey;
use crate::metrics::Metrics;
use crate::room::NoRoom;
use crate::shared::Shared;
use crate::siblings::{OwnerReply, Siblings};

#[cfg(test)]
mod tests;

/// Timeout of a request without a timeout header.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Subtracted from a request's timeout, so that the response arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Refused callers are asked to retry after 1 to this many seconds, evenly distributed.
const MAX_RETRY_AFTER_S: u32 = 3;

/// Handles requests of callers.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
    pub(crate) appender: HedgedAppender,
    pub(crate) siblings: Siblings,
}

/// Handles readiness probes of the load balancer.
pub(crate) struct ReadinessHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for ReadinessHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        if request.uri().path() != READY_PATH {
            return empty(StatusCode::NOT_FOUND);
        }
        if self.shared.is_ready() {
            empty(StatusCode::OK)
        } else {
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let started = Instant::now();
        let method = method_label(request.method());
        let response = self.dispatch(request, started).await;
        let metrics = &self.shared.metrics;
        metrics
            .response_time
            .observe(started.elapsed().as_secs_f64());
        Metrics::count(&metrics.requests, method, response.status().as_str());
        response
    }
}

fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::POST => "submit",
        Method::GET => "state",
        Method::DELETE => "cancel",
        _ => "other",
    }
}

/// A request for one job of a queue.
struct JobRequest {
    id: JobId,
    route: Route,
    requester: Requester,
    deadline: Instant,
}

impl JobRequest {
    /// Returns the customer whose job it would be. Jobs of public queues have none.
    fn customer(&self) -> Option<Arc<str>> {
        match &self.requester {
            Requester::Customer(name) if !self.route.is_public => Some(Arc::clone(name)),
            _ => None,
        }
    }
}

impl CallerHandler {
    async fn dispatch(&self, request: Request<Incoming>, started: Instant) -> HttpResponse {
        let copy = self.shared.configuration.snapshot();
        let Some(table) = copy.version.as_ref().map(|version| &version.table) else {
            return self.refuse("no configuration yet", None);
        };
        let path = request.uri().path();
        let host = request_host(&request);
        let Some(route) = host.and_then(|host| table.find(host, path)) else {
            return self.not_found(&copy, host, path);
        };
        let requester = match self.check_access(&copy, table, route, &request) {
            Ok(requester) => requester,
            Err(response) => return *response,
        };
        let rest = &path[route.prefix.len()..];
        let deadline = started + request_timeout(&request).saturating_sub(RESPONSE_MARGIN);
        if rest.is_empty() {
            return match *request.method() {
                Method::GET => self.count_waiting(&route.policy.queue, deadline).await,
                _ => empty(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        let Some(id) = JobId::parse(rest) else {
            // A later version may have a route with a longer prefix for it.
            return self.not_found(&copy, host, path);
        };
        let job = JobRequest {
            id,
            route: route.clone(),
            requester,
            deadline,
        };
        match *request.method() {
            Method::POST => self.submit(job, request, table.max_body_bytes).await,
            Method::GET => self.job_state(&job).await,
            Method::DELETE => self.cancel(&job).await,
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn submit(
        &self,
        job: JobRequest,
        request: Request<Incoming>,
        limit: usize,
    ) -> HttpResponse {
        let body = match read_body(request, limit).await {
            Ok(body) => body,
            Err(refusal) => return refusal.into_response(),
        };
        let accepted_ms = self.shared.wall_time().as_millis();
        let mut spec = match decode_job(&body, &job.route.policy, accepted_ms) {
            Ok(spec) => spec,
            Err(error) => return self.reject(job.id, &error),
        };
        spec.accepted_by = Some(Arc::clone(&self.shared.settings.instance));
        spec.customer = job.customer();
        if let Err(response) = self.check_forecast(job.id, &spec) {
            return *response;
        }
        let value = match serde_json::to_vec(&spec) {
            Ok(value) => value,
            Err(error) => return self.refuse(&error.to_string(), Some(job.id)),
        };
        let key = IntakeKey::Accepted(job.id);
        let record = KeyedRecord::with_value(key.to_key(), value);
        let progress = spec.max_progress_bytes();
        if record.size().max(progress) > self.shared.settings.append_limits.record {
            let error = JobError::Invalid("the job is larger than a record of the log");
            return self.reject(job.id, &error);
        }
        let demand = spec.demand();
        if demand.bytes() > largest_job(self.shared.accepted_limit()) {
            let error =
                JobError::Invalid("the job takes more memory than an instance has for jobs");
            return self.reject(job.id, &error);
        }
        if let Some(refused) = self.check_room(&job, &demand).await {
            return refused;
        }
        let now = self.shared.now();
        let is_new = self.shared.payloads().insert(job.id, spec.payload, now);
        let request = IntakeRequest::new(record, demand);
        let outcome = self.appender.append(&request, job.deadline).await;
        if is_new
            && matches!(
                outcome,
                Outcome::Rejected(_) | Outcome::Conflict | Outcome::NoRoom(_)
            )
        {
            self.shared.payloads().remove(job.id);
        }
        self.append_response("submit", &job, &outcome)
    }

    async fn cancel(&self, job: &JobRequest) -> HttpResponse {
        let known = self.known_job(job).await;
        let is_public = job.route.is_public;
        if self.is_of_another(job, known.as_ref().and_then(Option::as_ref)) {
            // Each the same response as for a job that does not exist.
            return match is_public {
                true => json(StatusCode::OK, accepted_body()),
                false => empty(StatusCode::GONE),
            };
        }
        let value = match cancellation::encode(&job.requester) {
            Ok(value) => value,
            Err(error) => return self.refuse(&error.to_string(), Some(job.id)),
        };
        let key = IntakeKey::Cancelled(job.id);
        let record = KeyedRecord::with_value(key.to_key(), value);
        let request = IntakeRequest::new(record, Demand::EarlyCancel);
        let outcome = self.appender.append(&request, job.deadline).await;
        // The same response as for a job of another customer. The cancellation holds all the same if
        // the acceptance of the job is still on its way.
        if outcome == Outcome::Appended && known == Some(None) && !is_public {
            return empty(StatusCode::GONE);
        }
        self.append_response("cancel", job, &outcome)
    }

    /// Returns the job of a request as the owner knows it, where `Some(None)` means that there is none;
    /// `None` if the owner can't tell, or if it does not matter whose job it is.
    async fn known_job(&self, job: &JobRequest) -> Option<Option<JobView>> {
        if job.requester == Requester::Anyone {
            return None;
        }
        match self.siblings.job_at_owner(job.id, job.deadline).await {
            OwnerReply::Value(view) => Some(view),
            OwnerReply::NoOwner => None,
        }
    }

    /// Returns whether a job is one that the requester may not know of, which is logged.
    fn is_of_another(&self, job: &JobRequest, view: Option<&JobView>) -> bool {
        let customer = view.and_then(|view| view.customer.as_deref());
        if job.requester.may_access(customer) {
            return false;
        }
        let refusal = Refusal::OtherCustomer.as_str();
        Metrics::count_end(&self.shared.metrics.refused_access, refusal);
        self.shared.log.write(
            Event::OtherCustomer,
            o!("job" => job.id.to_string(), "customer" => customer.map(abbreviated),
                "requester" => cancellation::customer_name(&job.requester)),
        );
        true
    }

    /// Checks the key of a request; `Err` holds the response if it is refused.
    fn check_access(
        &self,
        copy: &Snapshot,
        table: &QueueTable,
        route: &Route,
        request: &Request<Incoming>,
    ) -> Result<Requester, Box<HttpResponse>> {
        let shared = &*self.shared;
        let now = shared.now();
        let age = CopyAge {
            is_confirmed: shared.configuration.is_confirmed(copy, now),
            age: copy.age(now),
            revoke_limit: shared.settings.revoke_limit,
        };
        let key = request.headers().get(KEY_HEADER);
        let (refusal, status) = match check(table, route, key.map(HeaderValue::as_bytes), age) {
            Access::Allowed(requester) => return Ok(requester),
            Access::Unauthorized(refusal) => (refusal, StatusCode::UNAUTHORIZED),
            Access::NotKnown(refusal) => (refusal, StatusCode::SERVICE_UNAVAILABLE),
        };
        Metrics::count_end(&shared.metrics.refused_access, refusal.as_str());
        shared.log.write(
            Event::KeyRefused,
            o!("queue" => abbreviated(&route.policy.queue), "reason" => refusal.as_str(),
                "status" => status.as_u16(), "version" => copy.number(),
                "offset" => copy.offset(),
                "confirmed_ms_ago" => age.age.map(Span::as_millis)),
        );
        if status == StatusCode::UNAUTHORIZED {
            return Err(Box::new(empty(status)));
        }
        shared.configuration.request_read();
        Err(Box::new(retry_after(status, random_delay_s())))
    }

    /// Checks a job against the forecast of its queue; `Err` holds the response if it is refused.
    fn check_forecast(&self, id: JobId, spec: &JobSpec) -> Result<(), Box<HttpResponse>> {
        let shared = &*self.shared;
        // This instance may have accepted a job whose payload it has, and must not deny that.
        let is_repeated = || shared.payloads().contains(id);
        if !shared.disabled.uses(Mechanism::Forecast) || is_repeated() {
            return Ok(());
        }
        let claim = shared.claim.borrow().clone();
        let owner = claim.as_ref().map(|claim| &*claim.instance);
        let Err(refusal) = shared.forecasts.check(id, spec, owner, shared.now()) else {
            return Ok(());
        };
        shared.metrics.forecast_refused.inc();
        let seconds = refusal.retry_after_s(&mut rand::rng());
        if let Some(jobs) = refusal.logged_jobs {
            shared.log.write(
                Event::ForecastRefused,
                o!("queue" => abbreviated(&spec.policy.queue), "jobs" => jobs,
                    "last_job" => id.to_string(), "wait_ms" => refusal.wait.as_millis(),
                    "latest_wait_ms" => refusal.latest_wait.as_millis(),
                    "age_ms" => refusal.age.as_millis(), "retry_after_s" => seconds),
            );
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Box::new(retry_after(status, seconds)))
    }

    /// Refuses a job for which the owner has just told that it has no room, unless the job is known:
    /// neither its record nor the refusal of it has to cross the owner's link then.
    async fn check_room(&self, job: &JobRequest, demand: &Demand) -> Option<HttpResponse> {
        let shared = &self.shared;
        if shared.owner().is_some() || !shared.room.is_exhausted(demand, shared.now()) {
            return None;
        }
        match self.siblings.job_at_owner(job.id, job.deadline).await {
            OwnerReply::Value(None) => Some(self.refuse_for_room(
                job.id,
                NoRoom {
                    retry_after_s: random_delay_s(),
                },
            )),
            OwnerReply::Value(Some(_)) | OwnerReply::NoOwner => None,
        }
    }

    /// Refuses a request for which the owner has no room; nothing was appended.
    fn refuse_for_room(&self, id: JobId, no_room: NoRoom) -> HttpResponse {
        let seconds = no_room.retry_after_s;
        self.shared.metrics.no_room.inc();
        self.shared.log.write(
            Event::NoRoom,
            o!("job" => id.to_string(), "retry_after_s" => seconds),
        );
        retry_after(StatusCode::SERVICE_UNAVAILABLE, seconds)
    }

    fn append_response(
        &self,
        request: &'static str,
        job: &JobRequest,
        outcome: &Outcome,
    ) -> HttpResponse {
        let id = job.id.to_string();
        match outcome {
            Outcome::Appended => {
                let queue = job.route.policy.queue.to_string();
                self.shared.log.write(
                    Event::RequestAppended,
                    o!("request" => request, "job" => id, "queue" => queue),
                );
                json(StatusCode::OK, accepted_body())
            }
            Outcome::Rejected(reason) => self.refuse(reason, Some(job.id)),
            Outcome::Conflict => {
                self.shared.log.write(
                    Event::RequestRefused,
                    o!("job" => id, "error" => "the id is that of another customer's job"),
                );
                empty(StatusCode::CONFLICT)
            }
            Outcome::NoRoom(no_room) => self.refuse_for_room(job.id, *no_room),
            Outcome::Unknown(reason) => {
                self.shared.log.write(
                    Event::RequestOutcomeUnknown,
                    o!("request" => request, "job" => id, "error" => reason.to_string()),
                );
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    async fn job_state(&self, job: &JobRequest) -> HttpResponse {
        match self.siblings.job(job.id, job.deadline).await {
            OwnerReply::Value(view) if self.is_of_another(job, view.as_ref()) => {
                empty(StatusCode::GONE)
            }
            OwnerReply::Value(Some(view)) => json(StatusCode::OK, state_body(view.state)),
            OwnerReply::Value(None) => empty(StatusCode::GONE),
            OwnerReply::NoOwner => retry_after(StatusCode::SERVICE_UNAVAILABLE, 1),
        }
    }

    async fn count_waiting(&self, queue: &str, deadline: Instant) -> HttpResponse {
        match self.siblings.waiting(queue, deadline).await {
            OwnerReply::Value(count) => json(StatusCode::OK, waiting_body(count)),
            OwnerReply::NoOwner => retry_after(StatusCode::SERVICE_UNAVAILABLE, 1),
        }
    }

    fn reject(&self, id: JobId, error: &JobError) -> HttpResponse {
        self.shared.log.write(
            Event::RequestRefused,
            o!("job" => id.to_string(), "error" => error.to_string()),
        );
        json(StatusCode::BAD_REQUEST, error_body(error))
    }

    /// Responds to a request for which a copy of the configuration has no route. A copy that may lack
    /// a version which has to be in force does not show that there is none.
    fn not_found(&self, copy: &Snapshot, host: Option<&str>, path: &str) -> HttpResponse {
        let shared = &*self.shared;
        let now = shared.now();
        let is_confirmed = shared.configuration.is_confirmed(copy, now);
        let how = if is_confirmed {
            "absent"
        } else {
            "unconfirmed"
        };
        Metrics::count_end(&shared.metrics.no_route, how);
        shared.log.write(
            Event::NoRoute,
            o!("host" => host.map(abbreviated), "path" => abbreviated(path),
                "version" => copy.number(), "offset" => copy.offset(),
                "confirmed_ms_ago" => copy.age(now).map(Span::as_millis), "outcome" => how),
        );
        if is_confirmed {
            return empty(StatusCode::NOT_FOUND);
        }
        shared.configuration.request_read();
        retry_after(StatusCode::SERVICE_UNAVAILABLE, random_delay_s())
    }

    /// Refuses a request without side effects; the caller may retry it.
    fn refuse(&self, reason: &str, id: Option<JobId>) -> HttpResponse {
        let id = id.map(|id| id.to_string());
        let seconds = random_delay_s();
        self.shared.log.write(
            Event::RequestRefused,
            o!("job" => id, "error" => reason.to_owned(), "retry_after_s" => seconds),
        );
        retry_after(StatusCode::SERVICE_UNAVAILABLE, seconds)
    }
}

fn random_delay_s() -> u32 {
    rand::rng().random_range(1..=MAX_RETRY_AFTER_S)
}

fn request_host(request: &Request<Incoming>) -> Option<&str> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

fn request_timeout(request: &Request<Incoming>) -> Duration {
    let stated = request.headers().get(TIMEOUT_HEADER);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    stated.map_or(DEFAULT_TIMEOUT, |ms| {
        Duration::from_millis(ms.max(0.0) as u64)
    })
}
