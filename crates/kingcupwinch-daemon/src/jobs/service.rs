//! The callers' interface to jobs: submit, look up and cancel, at any instance.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Method, Response, StatusCode};
use kameo::actor::ActorRef;
use kingcupwinch_config::{ClassKind, Tree};
use kingcupwinch_coord::id::{Incarnation, JobId, ShardId};
use kingcupwinch_platform::ResponseBody;
use kingcupwinch_time::{Span, WallClock};
use kingcupwinch_wire::api::{JobAccepted, JobSpec, JobStatus, Problem};
use kingcupwinch_wire::sibling::Body as Message;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::JobIdParts;
use super::id::MAX_TASKS;
use crate::actors::jobs::{
    AcceptJob, CancelJob, CancelOutcome, JobManager, LookupAnswer, LookupJob,
};
use crate::live::find_customer;
use crate::server::body::{Body, full};
use crate::server::headers::strip_reserved;
use crate::server::operators::json;
use crate::server::problem::{not_run, respond, try_later, unknown};
use crate::shared::{Shared, Stage};
use crate::siblings::{DomainReply, RemoteDomains, Siblings};

/// Time limit for a job's record to be read back from the log.
const PERSIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a sibling has to answer a question about a job.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a relayed answer about a job, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Retry delay for a caller whose job can't be accepted now.
const RETRY: Span = Span::from_secs(1);

/// Serves callers' job requests.
#[derive(Clone)]
pub(crate) struct JobService {
    shared: Arc<Shared>,
    manager: ActorRef<JobManager>,
    siblings: Arc<Siblings>,
    domains: Arc<RemoteDomains>,
}

impl JobService {
    /// Creates the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        manager: ActorRef<JobManager>,
        siblings: Arc<Siblings>,
        domains: Arc<RemoteDomains>,
    ) -> Self {
        JobService {
            shared,
            manager,
            siblings,
            domains,
        }
    }

    /// Accepts a job. The response is sent only once the job is on the log.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response<Body> {
        match self.accept(body).await {
            Ok(parts) => {
                let mut response = json(&JobAccepted {
                    job: parts.id.to_string().into(),
                });
                *response.status_mut() = StatusCode::ACCEPTED;
                response
            }
            Err(problem) => respond(&problem),
        }
    }

    async fn accept(&self, body: &[u8]) -> Result<JobIdParts, Problem> {
        let (spec, idempotent) = self.check(body)?;
        if self.shared.is_log_unreadable() {
            let detail = "the platform's log can't be reached, so no job can be accepted";
            return Err(try_later("log-out", detail, RETRY));
        }
        let home = self.choose_home()?;
        let domain = &self.shared.settings.instance.domain;
        let parts = JobIdParts::new(domain, home, WallClock.now(), &mut rand::rng());
        let (persisted, confirmed) = oneshot::channel();
        let accept = AcceptJob {
            parts,
            spec: Arc::new(spec),
            idempotent,
            persisted,
        };
        if let Err(error) = self.manager.ask(accept).await {
            return Err(try_later("not-accepted", error.to_string(), RETRY));
        }
        match timeout(PERSIST_TIMEOUT, confirmed).await {
            Ok(Ok(())) => Ok(parts),
            _ => Err(unknown(
                "not-confirmed",
                format!("job {} may have been accepted", parts.id),
            )),
        }
    }

    fn check(&self, body: &[u8]) -> Result<(JobSpec, bool), Problem> {
        let bad = |detail: String| not_run(StatusCode::BAD_REQUEST, "bad-job", detail);
        let spec: JobSpec = serde_json::from_slice(body)
            .map_err(|err| bad(format!("the job is malformed: {err}")))?;
        let config = self.shared.config.load_full();
        let class = config
            .tree
            .classes
            .get(&spec.class)
            .filter(|class| class.kind != ClassKind::Live);
        let class = class.ok_or_else(|| bad(format!("there is no job class {}", spec.class)))?;
        find_customer(&config.tree, Some(&spec.customer))?;
        if spec.gang != (class.kind == ClassKind::Gang) {
            return Err(bad(format!(
                "the job's field gang does not match the kind of class {}",
                spec.class
            )));
        }
        check_size(&spec, &config.tree).map_err(bad)?;
        let idempotent = spec.idempotent.unwrap_or(class.idempotent);
        Ok((spec, idempotent))
    }

    /// Chooses a home shard among those that this instance may dispatch to.
    fn choose_home(&self) -> Result<ShardId, Problem> {
        let now = self.shared.now();
        let ownership = self.shared.ownership.load_full();
        let shards = (0..).map(ShardId).zip(&ownership.shards);
        let dispatchable: Vec<ShardId> = shards
            .filter(|(_, view)| view.permit.is_some_and(|permit| now < permit.until))
            .map(|(shard, _)| shard)
            .collect();
        let serving = self.shared.lifecycle.stage() == Stage::Serving;
        let chosen = rand::seq::IndexedRandom::choose(&dispatchable[..], &mut rand::rng());
        chosen.copied().filter(|_| serving).ok_or_else(|| {
            try_later(
                "no-home",
                "this instance owns no shard at present; try another instance",
                RETRY,
            )
        })
    }

    /// Returns a job's state, or cancels the job, wherever its home shard is.
    pub(crate) async fn serve(&self, id: &str, method: &Method, forwarded: bool) -> Response<Body> {
        let parsed = uuid::Uuid::parse_str(id)
            .ok()
            .and_then(|id| JobIdParts::parse(JobId(id)));
        let Some(parts) = parsed else {
            return not_found(id);
        };
        if !parts.may_belong_to(&self.shared.settings.instance.domain) {
            return self.ask_domains(parts, method, forwarded).await;
        }
        match *method {
            Method::DELETE => self.cancel(parts).await,
            _ => self.status(parts).await,
        }
    }

    /// Asks the failure domains that the job may belong to, and returns the first answer that knows
    /// it.
    async fn ask_domains(
        &self,
        parts: JobIdParts,
        method: &Method,
        forwarded: bool,
    ) -> Response<Body> {
        let config = self.shared.config.load_full();
        let others = config
            .tree
            .domains
            .keys()
            .filter(|domain| parts.may_belong_to(domain));
        let mut answer = not_found(&parts.id.to_string());
        for domain in others.filter(|_| !forwarded) {
            match self
                .domains
                .ask_job(&self.shared, domain, method, parts.id)
                .await
            {
                DomainReply::Answered(response) if response.status() == StatusCode::NOT_FOUND => {}
                DomainReply::Answered(response) => return relay_whole(response).await,
                DomainReply::NotSent(_) | DomainReply::Unknown(_) => answer = respond(&unreached()),
            }
        }
        answer
    }

    async fn status(&self, parts: JobIdParts) -> Response<Body> {
        match self.look_up(parts).await {
            Ok(Some(status)) => json(&status),
            Ok(None) => not_found(&parts.id.to_string()),
            Err(problem) => respond(&problem),
        }
    }

    async fn look_up(&self, parts: JobIdParts) -> Result<Option<JobStatus>, Problem> {
        let owner = self.owner_of(parts)?;
        if owner == self.shared.incarnation {
            return self.look_up_here(parts.id).await.map(|answer| answer.0);
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .request(owner, Message::JobLookup(parts.id), deadline)
            .await
        {
            Ok(Message::JobLookupReply(found)) => {
                Ok(found.and_then(|bytes| serde_json::from_slice(&bytes).ok()))
            }
            Ok(_) | Err(_) => Err(unreached()),
        }
    }

    /// Returns the state that this instance knows of a job.
    pub(crate) async fn look_up_here(&self, job: JobId) -> Result<LookupAnswer, Problem> {
        self.manager
            .ask(LookupJob(job))
            .await
            .map_err(|_| unreached())
    }

    /// Cancels a job. The call is idempotent.
    async fn cancel(&self, parts: JobIdParts) -> Response<Body> {
        match self.cancel_at_home(parts).await {
            Ok(CancelOutcome::Cancelled) => {
                let mut response = Response::new(full(""));
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Ok(CancelOutcome::Running) => {
                let detail = "the job is not idempotent and may be running";
                let mut problem = unknown("runs", detail);
                problem.status = StatusCode::CONFLICT.as_u16();
                respond(&problem)
            }
            Ok(CancelOutcome::NotFound) => not_found(&parts.id.to_string()),
            Err(problem) => respond(&problem),
        }
    }

    async fn cancel_at_home(&self, parts: JobIdParts) -> Result<CancelOutcome, Problem> {
        let owner = self.owner_of(parts)?;
        if owner == self.shared.incarnation {
            return self.cancel_here(parts.id).await;
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .request(owner, Message::JobCancel(parts.id), deadline)
            .await
        {
            Ok(Message::Done) => Ok(CancelOutcome::Cancelled),
            Ok(Message::Declined(reason)) if *reason == *RUNNING_REASON => {
                Ok(CancelOutcome::Running)
            }
            Ok(Message::Declined(reason)) if *reason == *UNCONFIRMED_REASON => Err(unreached()),
            Ok(Message::Declined(_)) => Ok(CancelOutcome::NotFound),
            Ok(_) | Err(_) => Err(unreached()),
        }
    }

    /// Cancels a job whose home shard this instance owns. The outcome is returned only once the
    /// job's end is on the log.
    pub(crate) async fn cancel_here(&self, job: JobId) -> Result<CancelOutcome, Problem> {
        let (recorded, confirmed) = oneshot::channel();
        let cancel = CancelJob { job, recorded };
        let outcome = self
            .manager
            .ask(cancel)
            .await
            .unwrap_or(CancelOutcome::NotFound);
        if outcome != CancelOutcome::Cancelled {
            return Ok(outcome);
        }
        match timeout(PERSIST_TIMEOUT, confirmed).await {
            Ok(Ok(())) => Ok(outcome),
            _ => Err(unknown(
                "not-confirmed",
                format!("job {job} may have been cancelled"),
            )),
        }
    }

    fn owner_of(&self, parts: JobIdParts) -> Result<Incarnation, Problem> {
        let ownership = self.shared.ownership.load();
        let owner = ownership.owner(parts.home).map(|owner| owner.incarnation);
        owner.ok_or_else(unreached)
    }
}

/// The sibling's reason for declining to cancel a job that runs and must not be stopped.
pub(crate) const RUNNING_REASON: &str = "runs";

/// The sibling's reason for declining to say whether a job was cancelled.
pub(crate) const UNCONFIRMED_REASON: &str = "not confirmed";

fn check_size(spec: &JobSpec, tree: &Tree) -> Result<(), String> {
    let most = tree.limits.job_tasks.min(MAX_TASKS);
    if spec.tasks == 0 || spec.tasks > most {
        return Err(format!(
            "a job has from 1 to {most} tasks, not {}",
            spec.tasks
        ));
    }
    let class = tree.classes.get(&spec.class);
    if let Some(class) = class.filter(|class| spec.gang && spec.tasks > class.gang_most) {
        return Err(format!(
            "a gang of class {} has at most {} tasks, not {}",
            spec.class, class.gang_most, spec.tasks
        ));
    }
    if spec.size.millicores == 0 || spec.size.memory_mb == 0 {
        return Err("a task needs at least 1 millicore and 1 MB of memory".to_owned());
    }
    Ok(())
}

/// Relays a small answer of another failure domain.
async fn relay_whole(response: Response<ResponseBody>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    strip_reserved(&mut parts.headers);
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Response::from_parts(parts, full(body.to_bytes())),
        Err(_) => respond(&unreached()),
    }
}

fn not_found(id: &str) -> Response<Body> {
    let detail = format!("job {id} is not known in this failure domain");
    respond(&not_run(StatusCode::NOT_FOUND, "unknown-job", detail))
}

fn unreached() -> Problem {
    let mut problem = try_later(
        "home-unreached",
        "the owner of the job's home shard could not be reached",
        RETRY,
    );
    problem.outcome = kingcupwinch_wire::api::ProblemOutcome::Unknown;
    problem
}
