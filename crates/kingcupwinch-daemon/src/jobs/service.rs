//! Callers' jobs: submit, look up and cancel, at whichever instance they come to.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Method, Response, StatusCode};
use kameo::actor::ActorRef;
use kingcupwinch_config::{Kind, Tree};
use kingcupwinch_coord::id::{Incarnation, JobId, ShardId};
use kingcupwinch_platform::ResponseBody;
use kingcupwinch_time::{Span, WallClock};
use kingcupwinch_wire::api::{JobAccepted, JobSpec, JobStatus, Problem};
use kingcupwinch_wire::sibling::Body as Message;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::JobName;
use super::name::MAX_TASKS;
use crate::actors::jobs::{Accept, Cancel, CancelAnswer, JobKeeper, Lookup, LookupAnswer};
use crate::live::find_customer;
use crate::server::body::{Body, full};
use crate::server::headers::strip;
use crate::server::operators::json;
use crate::server::problem::{not_run, respond, try_later, unknown};
use crate::shared::{Shared, Stage};
use crate::siblings::{Domains, PassedOn, Siblings};

/// How long a job may take to be kept on the log.
const KEEP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a sibling may take to answer for a job.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest answer about a job that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// When a caller may come back where a job can't be taken now.
const RETRY: Span = Span::from_secs(1);

/// Takes callers' jobs.
#[derive(Clone)]
pub(crate) struct JobService {
    shared: Arc<Shared>,
    keeper: ActorRef<JobKeeper>,
    siblings: Arc<Siblings>,
    domains: Arc<Domains>,
}

impl JobService {
    /// Makes the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        keeper: ActorRef<JobKeeper>,
        siblings: Arc<Siblings>,
        domains: Arc<Domains>,
    ) -> Self {
        JobService {
            shared,
            keeper,
            siblings,
            domains,
        }
    }

    /// Takes a job; it is answered only once it is kept.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response<Body> {
        match self.accept(body).await {
            Ok(name) => {
                let mut response = json(&JobAccepted {
                    job: name.id.to_string().into(),
                });
                *response.status_mut() = StatusCode::ACCEPTED;
                response
            }
            Err(problem) => respond(&problem),
        }
    }

    async fn accept(&self, body: &[u8]) -> Result<JobName, Problem> {
        let (spec, idempotent) = self.check(body)?;
        if self.shared.is_log_lost() {
            let detail = "the platform's log can't be reached, so no job can be kept";
            return Err(try_later("log-out", detail, RETRY));
        }
        let home = self.choose_home()?;
        let domain = &self.shared.settings.instance.domain;
        let name = JobName::new(domain, home, WallClock.now(), &mut rand::rng());
        let (kept, hear) = oneshot::channel();
        let accept = Accept {
            name,
            spec: Arc::new(spec),
            idempotent,
            kept,
        };
        if let Err(error) = self.keeper.ask(accept).await {
            return Err(try_later("not-accepted", error.to_string(), RETRY));
        }
        match timeout(KEEP_TIMEOUT, hear).await {
            Ok(Ok(())) => Ok(name),
            _ => Err(unknown(
                "not-confirmed",
                format!("job {} may have been kept", name.id),
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
            .filter(|class| class.kind != Kind::Live);
        let class = class.ok_or_else(|| bad(format!("there is no job class {}", spec.class)))?;
        find_customer(&config.tree, Some(&spec.customer))?;
        if spec.gang != (class.kind == Kind::Gang) {
            return Err(bad(format!(
                "class {} and the job disagree on being a gang",
                spec.class
            )));
        }
        check_size(&spec, &config.tree).map_err(bad)?;
        let idempotent = spec.idempotent.unwrap_or(class.idempotent);
        Ok((spec, idempotent))
    }

    /// Chooses a home among the shards that this instance dispatches to.
    fn choose_home(&self) -> Result<ShardId, Problem> {
        let now = self.shared.now();
        let ownership = self.shared.ownership.load_full();
        let shards = (0..).map(ShardId).zip(&ownership.shards);
        let mine: Vec<ShardId> = shards
            .filter(|(_, view)| view.permit.is_some_and(|permit| now < permit.until))
            .map(|(shard, _)| shard)
            .collect();
        let serving = self.shared.lifecycle.stage() == Stage::Serving;
        let chosen = rand::seq::IndexedRandom::choose(&mine[..], &mut rand::rng());
        chosen.copied().filter(|_| serving).ok_or_else(|| {
            try_later(
                "no-home",
                "this instance owns no shard now; ask another",
                RETRY,
            )
        })
    }

    /// Answers with a job's state, or cancels it, wherever its home is.
    pub(crate) async fn serve(&self, id: &str, method: &Method, passed: bool) -> Response<Body> {
        let parsed = uuid::Uuid::parse_str(id)
            .ok()
            .and_then(|id| JobName::read(JobId(id)));
        let Some(name) = parsed else {
            return not_found(id);
        };
        if !name.may_be_of(&self.shared.settings.instance.domain) {
            return self.ask_domains(name, method, passed).await;
        }
        match *method {
            Method::DELETE => self.cancel(name).await,
            _ => self.status(name).await,
        }
    }

    /// Asks the domains that the job may be of; the first that answers for it is right.
    async fn ask_domains(&self, name: JobName, method: &Method, passed: bool) -> Response<Body> {
        let config = self.shared.config.load_full();
        let others = config
            .tree
            .domains
            .keys()
            .filter(|domain| name.may_be_of(domain));
        let mut answer = not_found(&name.id.to_string());
        for domain in others.filter(|_| !passed) {
            match self
                .domains
                .ask_job(&self.shared, domain, method, name.id)
                .await
            {
                PassedOn::Answered(response) if response.status() == StatusCode::NOT_FOUND => {}
                PassedOn::Answered(response) => return relay_whole(response).await,
                PassedOn::NotSent(_) | PassedOn::Unknown(_) => answer = respond(&home_unreached()),
            }
        }
        answer
    }

    async fn status(&self, name: JobName) -> Response<Body> {
        match self.look_up(name).await {
            Ok(Some(status)) => json(&status),
            Ok(None) => not_found(&name.id.to_string()),
            Err(problem) => respond(&problem),
        }
    }

    async fn look_up(&self, name: JobName) -> Result<Option<JobStatus>, Problem> {
        let owner = self.owner_of(name)?;
        if owner == self.shared.incarnation {
            return self.look_up_here(name.id).await.map(|answer| answer.0);
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .ask(owner, Message::JobLookup(name.id), deadline)
            .await
        {
            Ok(Message::JobLookupReply(found)) => {
                Ok(found.and_then(|bytes| serde_json::from_slice(&bytes).ok()))
            }
            Ok(_) | Err(_) => Err(home_unreached()),
        }
    }

    /// Returns what this instance knows of a job.
    pub(crate) async fn look_up_here(&self, job: JobId) -> Result<LookupAnswer, Problem> {
        self.keeper
            .ask(Lookup(job))
            .await
            .map_err(|_| home_unreached())
    }

    /// Cancels a job, as often as the caller likes.
    async fn cancel(&self, name: JobName) -> Response<Body> {
        match self.cancel_at_home(name).await {
            Ok(CancelAnswer::Done) => {
                let mut response = Response::new(full(""));
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Ok(CancelAnswer::Runs) => {
                let detail = "the job is not idempotent and may be running";
                let mut problem = unknown("runs", detail);
                problem.status = StatusCode::CONFLICT.as_u16();
                respond(&problem)
            }
            Ok(CancelAnswer::NotKnown) => not_found(&name.id.to_string()),
            Err(problem) => respond(&problem),
        }
    }

    async fn cancel_at_home(&self, name: JobName) -> Result<CancelAnswer, Problem> {
        let owner = self.owner_of(name)?;
        if owner == self.shared.incarnation {
            return Ok(self.cancel_here(name.id).await);
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .ask(owner, Message::JobCancel(name.id), deadline)
            .await
        {
            Ok(Message::Done) => Ok(CancelAnswer::Done),
            Ok(Message::Declined(why)) if *why == *RUNS => Ok(CancelAnswer::Runs),
            Ok(Message::Declined(_)) => Ok(CancelAnswer::NotKnown),
            Ok(_) | Err(_) => Err(home_unreached()),
        }
    }

    /// Cancels a job whose home is this instance's.
    pub(crate) async fn cancel_here(&self, job: JobId) -> CancelAnswer {
        self.keeper
            .ask(Cancel(job))
            .await
            .unwrap_or(CancelAnswer::NotKnown)
    }

    fn owner_of(&self, name: JobName) -> Result<Incarnation, Problem> {
        let ownership = self.shared.ownership.load();
        let owner = ownership.owner(name.home).map(|owner| owner.incarnation);
        owner.ok_or_else(home_unreached)
    }
}

/// A sibling's word for a job that runs and must not be stopped.
pub(crate) const RUNS: &str = "runs";

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
        return Err("a task needs some millicores and some memory".to_owned());
    }
    Ok(())
}

/// Passes on a small answer of another domain.
async fn relay_whole(response: Response<ResponseBody>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    strip(&mut parts.headers);
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Response::from_parts(parts, full(body.to_bytes())),
        Err(_) => respond(&home_unreached()),
    }
}

fn not_found(id: &str) -> Response<Body> {
    let detail = format!("job {id} is not known in this failure domain");
    respond(&not_run(StatusCode::NOT_FOUND, "unknown-job", detail))
}

fn home_unreached() -> Problem {
    let mut problem = try_later("home-unreached", "the job's home was not reached", RETRY);
    problem.outcome = kingcupwinch_wire::api::ProblemOutcome::Unknown;
    problem
}
