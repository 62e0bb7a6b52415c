//! Questions between instances: a job's state, a queue's length, calls to the adviser.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kameo::message::Message;
use kingcupwinch_adapter::KeyedRecord;
use kingcupwinch_cell::{JobId, JobState, Member};
use kingcupwinch_platform::{HttpClient, SendError, full_body};
use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time::{Instant, timeout_at};

use crate::accept::{Intake, Kept};
use crate::events::Event;
use crate::http::{Answer, Handler, empty, json, read_body};
use crate::layout::IntakeKey;
use crate::log_states::LogStates;
use crate::owner::{Owner, StateOf, WaitingOf};
use crate::shared::Shared;

/// Connections to one sibling.
const CONNECTIONS: usize = 6;
/// The largest question or answer, in bytes.
const MOST_BYTES: usize = 256 << 10;
/// How long one try of a question may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Siblings beside the owner that are asked for help with one request.
const MOST_HELPERS: usize = 2;
/// The pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

const STATE_PATH: &str = "/state/";
const WAITING_PATH: &str = "/waiting/";
const ADVICE_PATH: &str = "/advice";
const KEEP_PATH: &str = "/keep";

/// What the owner answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asked<T> {
    Answer(T),
    /// The owner is not known or not reached.
    NoOwner,
}

/// A call to the adviser that another instance is to make.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AdviceQuestion {
    pub(crate) step: String,
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) patience_ms: u64,
}

/// A record of the intake that another instance is to append.
#[derive(Debug, Serialize, Deserialize)]
struct KeepQuestion {
    key: Arc<str>,
    value: String,
    patience_ms: u64,
}

/// What became of a record that another instance was to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum KeepAnswer {
    Kept,
    NotKept,
    Unknown,
}

#[derive(Serialize, Deserialize)]
struct StateAnswer {
    shown: Option<JobState>,
}

#[derive(Serialize, Deserialize)]
struct WaitingAnswer {
    waiting: usize,
}

/// Clients of the siblings; clones share their connections.
#[derive(Clone)]
pub(crate) struct Siblings {
    shared: Arc<Shared>,
    clients: Arc<Mutex<FxHashMap<Arc<str>, HttpClient>>>,
    states: Arc<LogStates>,
}

impl Siblings {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Siblings {
            shared,
            clients: Arc::default(),
            states: Arc::default(),
        }
    }

    /// Asks the owner for a job's state, and the log where the owner is out of reach.
    pub(crate) async fn state(&self, id: JobId, deadline: Instant) -> Asked<Option<JobState>> {
        let path = format!("{STATE_PATH}{id}");
        loop {
            if let Some(shown) = self.ask_here(StateOf(id)).await {
                return Asked::Answer(shown);
            }
            if let Some(answer) = self.ask_owner::<StateAnswer>(&path, deadline).await {
                return Asked::Answer(answer.shown);
            }
            if let Some(shown) = self.states.find(&self.shared, id).await {
                return Asked::Answer(Some(shown));
            }
            if !self.may_try_again(deadline).await {
                return Asked::NoOwner;
            }
        }
    }

    /// Asks the owner how many jobs of a queue wait.
    pub(crate) async fn waiting(&self, queue: &str, deadline: Instant) -> Asked<usize> {
        let path = format!("{WAITING_PATH}{queue}");
        loop {
            if let Some(waiting) = self.ask_here(WaitingOf(queue.into())).await {
                return Asked::Answer(waiting);
            }
            if let Some(answer) = self.ask_owner::<WaitingAnswer>(&path, deadline).await {
                return Asked::Answer(answer.waiting);
            }
            if !self.may_try_again(deadline).await {
                return Asked::NoOwner;
            }
        }
    }

    /// Asks the owner if it is this instance and can tell.
    async fn ask_here<M, T>(&self, question: M) -> Option<T>
    where
        M: Send + 'static,
        T: Send + 'static,
        Owner: Message<M, Reply = Option<T>>,
    {
        // An owner that has ended can't tell either.
        self.shared.owner()?.ask(question).await.ok().flatten()
    }

    /// Pauses before another try; false if the deadline comes first.
    async fn may_try_again(&self, deadline: Instant) -> bool {
        if Instant::now() + RETRY_PAUSE > deadline {
            return false;
        }
        self.shared.owner_missed.notify_one();
        tokio::time::sleep(RETRY_PAUSE).await;
        true
    }

    /// Has some other sibling append a record of the intake that neither this instance nor the
    /// owner could append, until one took it or may have.
    pub(crate) async fn keep(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        for address in self.helpers() {
            if Instant::now() >= deadline {
                break;
            }
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            match self.keep_at(&address, record, until).await {
                Kept::No(_) => {}
                kept => return kept,
            }
        }
        Kept::No("no sibling could append it".into())
    }

    /// Has the owner append a record of the intake, if it is another instance.
    pub(crate) async fn keep_at_owner(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        let claim = self.shared.claim.borrow().clone();
        let Some(claim) = claim.filter(|claim| claim.instance != self.shared.settings.instance)
        else {
            return Kept::No("no owner is known".into());
        };
        self.keep_at(&claim.address, record, deadline).await
    }

    /// Returns the addresses of siblings to ask for help.
    fn helpers(&self) -> Vec<Arc<str>> {
        let me = &self.shared.settings.instance;
        let owner = self.shared.claim.borrow().clone();
        let is_owner = |member: &Member| {
            owner
                .as_ref()
                .is_some_and(|o| o.instance == member.instance)
        };
        let members = self.shared.members.borrow();
        let others = members
            .iter()
            .filter(|member| member.instance != *me && !is_owner(member));
        let others: Vec<&Member> = others.collect();
        let chosen = others.choose_multiple(&mut rand::rng(), MOST_HELPERS);
        chosen.map(|member| Arc::clone(&member.address)).collect()
    }

    async fn keep_at(&self, address: &Arc<str>, record: &KeyedRecord, deadline: Instant) -> Kept {
        let Some(question) = keep_question(record, deadline) else {
            return Kept::No("the record can't be sent to a sibling".into());
        };
        let call = self.call(address, Method::POST, KEEP_PATH, question, deadline);
        match call.await {
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(KeepAnswer::Kept) => Kept::Yes,
                Ok(KeepAnswer::NotKept) => Kept::No("a sibling could not append it".into()),
                Ok(KeepAnswer::Unknown) | Err(_) => {
                    Kept::Unknown("a sibling can't tell whether it was appended".into())
                }
            },
            Err(CallFailure::NotSent) => Kept::No("a sibling was not reached".into()),
            Err(CallFailure::Refused) => Kept::No("a sibling refused the record".into()),
            Err(CallFailure::Lost) => Kept::Unknown("a sibling's answer was lost".into()),
        }
    }

    /// Asks the owner if it is another instance; `None` without an answer.
    async fn ask_owner<T: DeserializeOwned>(&self, path: &str, deadline: Instant) -> Option<T> {
        let claim = self.shared.claim.borrow().clone()?;
        if claim.instance == self.shared.settings.instance {
            return None;
        }
        let until = deadline.min(Instant::now() + TRY_TIMEOUT);
        let call = self.call(&claim.address, Method::GET, path, Bytes::new(), until);
        // The caller tries again, and tells the group that the owner was missed.
        let bytes = call.await.ok()?;
        match serde_json::from_slice(&bytes) {
            Ok(answer) => Some(answer),
            Err(error) => {
                self.shared.log.write(
                    Event::AnswerSkipped,
                    o!("from" => claim.instance.to_string(), "error" => error.to_string()),
                );
                None
            }
        }
    }

    /// Has a sibling ask the adviser.
    pub(crate) async fn advise(
        &self,
        address: &Arc<str>,
        question: &AdviceQuestion,
        deadline: Instant,
    ) -> Option<Bytes> {
        let body = serde_json::to_vec(question).ok()?.into();
        self.call(address, Method::POST, ADVICE_PATH, body, deadline)
            .await
            .ok()
    }

    async fn call(
        &self,
        address: &Arc<str>,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, CallFailure> {
        let client = self.client(address).ok_or(CallFailure::NotSent)?;
        let mut request = Request::new(full_body(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| CallFailure::NotSent)?;
        let answer = client.send(request, deadline).await?;
        if answer.status().is_client_error() {
            return Err(CallFailure::Refused);
        }
        if answer.status() != StatusCode::OK {
            return Err(CallFailure::Lost);
        }
        let body = Limited::new(answer.into_body(), MOST_BYTES).collect();
        let collected = timeout_at(deadline, body).await;
        let collected = collected.map_err(|_| CallFailure::Lost)?;
        Ok(collected.map_err(|_| CallFailure::Lost)?.to_bytes())
    }

    fn client(&self, address: &Arc<str>) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let parsed: SocketAddr = address.parse().ok()?;
        let client = HttpClient::new(parsed, CONNECTIONS);
        clients.insert(Arc::clone(address), client.clone());
        Some(client)
    }
}

/// Why a sibling did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFailure {
    /// No byte was sent.
    NotSent,
    /// It refused, and has not acted.
    Refused,
    /// It may have acted.
    Lost,
}

impl From<SendError> for CallFailure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(_) => CallFailure::NotSent,
            SendError::Lost(_) => CallFailure::Lost,
        }
    }
}

/// Makes the question to keep a record; `None` for what is no record of the intake.
fn keep_question(record: &KeyedRecord, deadline: Instant) -> Option<Bytes> {
    let patience = deadline.saturating_duration_since(Instant::now());
    let question = KeepQuestion {
        key: Arc::clone(&record.key),
        value: String::from_utf8(record.value.as_ref()?.to_vec()).ok()?,
        patience_ms: u64::try_from(patience.as_millis()).ok()?,
    };
    Some(serde_json::to_vec(&question).ok()?.into())
}

/// Answers siblings.
pub(crate) struct SiblingServer {
    pub(crate) shared: Arc<Shared>,
    /// What is kept here as the owner.
    pub(crate) direct: Intake,
    /// What is kept here for a sibling that can't reach the store.
    pub(crate) intake: Intake,
}

impl Handler for SiblingServer {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix(STATE_PATH) {
            return self.state(id).await;
        }
        if let Some(queue) = path.strip_prefix(WAITING_PATH) {
            return self.waiting(queue).await;
        }
        if path == ADVICE_PATH {
            return self.advise(request).await;
        }
        if path == KEEP_PATH {
            return self.keep(request).await;
        }
        empty(StatusCode::NOT_FOUND)
    }
}

impl SiblingServer {
    async fn state(&self, id: &str) -> Answer {
        let Some(id) = JobId::parse(id) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some(owner) = self.shared.owner() else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        match owner.ask(StateOf(id)).await {
            Ok(Some(shown)) => encode(&StateAnswer { shown }),
            _ => empty(StatusCode::MISDIRECTED_REQUEST),
        }
    }

    async fn waiting(&self, queue: &str) -> Answer {
        let Some(owner) = self.shared.owner() else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        match owner.ask(WaitingOf(queue.into())).await {
            Ok(Some(waiting)) => encode(&WaitingAnswer { waiting }),
            _ => empty(StatusCode::MISDIRECTED_REQUEST),
        }
    }

    async fn keep(&self, request: Request<Incoming>) -> Answer {
        let Some(body) = read_body(request.into_body(), MOST_BYTES).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(question) = serde_json::from_slice::<KeepQuestion>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if IntakeKey::parse(&question.key).is_none() {
            return empty(StatusCode::BAD_REQUEST);
        }
        let deadline = Instant::now() + Duration::from_millis(question.patience_ms);
        let record = KeyedRecord::with_value(question.key, question.value);
        let kept = match self.shared.owner() {
            Some(_) => self.direct.keep(record, deadline).await,
            None => self.intake.keep(record, deadline).await,
        };
        encode(&match kept {
            Kept::Yes => KeepAnswer::Kept,
            Kept::No(_) => KeepAnswer::NotKept,
            Kept::Unknown(_) => KeepAnswer::Unknown,
        })
    }

    async fn advise(&self, request: Request<Incoming>) -> Answer {
        let Some(adviser) = &self.shared.adviser else {
            return empty(StatusCode::NOT_FOUND);
        };
        let Some(body) = read_body(request.into_body(), MOST_BYTES).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(question) = serde_json::from_slice::<AdviceQuestion>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let deadline = Instant::now() + Duration::from_millis(question.patience_ms);
        match adviser
            .ask(&question.step, &question.workers, deadline)
            .await
        {
            Ok(bytes) => json(StatusCode::OK, bytes),
            Err(error) => {
                self.shared.log.write(
                    Event::AskFailed,
                    o!("step" => question.step, "by" => self.shared.settings.instance.to_string(),
                        "workers" => question.workers.len(), "error" => error.to_string()),
                );
                empty(StatusCode::BAD_GATEWAY)
            }
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => json(StatusCode::OK, body.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
