//! Questions between instances: a job's state, a queue's length, calls to the adviser.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use kingcupwinch_cell::{JobId, Shown};
use kingcupwinch_platform::{HttpClient, full_body};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

use crate::http::{Answer, Handler, empty, json, read_body};
use crate::owner::{StateOf, WaitingOf};
use crate::shared::Shared;

/// Connections to one sibling.
const CONNECTIONS: usize = 6;
/// The largest question or answer, in bytes.
const MOST_BYTES: usize = 256 << 10;
/// How long one try of a question may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

const STATE_PATH: &str = "/state/";
const WAITING_PATH: &str = "/waiting/";
const ADVICE_PATH: &str = "/advice";

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

#[derive(Serialize, Deserialize)]
struct StateAnswer {
    shown: Option<Shown>,
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
}

impl Siblings {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Siblings {
            shared,
            clients: Arc::default(),
        }
    }

    /// Asks the owner for a job's state.
    pub(crate) async fn state(&self, id: JobId, deadline: Instant) -> Asked<Option<Shown>> {
        loop {
            if let Some(owner) = self.shared.owner()
                && let Ok(Some(shown)) = owner.ask(StateOf(id)).await
            {
                return Asked::Answer(shown);
            }
            let path = format!("{STATE_PATH}{id}");
            if let Some(bytes) = self.ask_owner(&path, deadline).await
                && let Ok(answer) = serde_json::from_slice::<StateAnswer>(&bytes)
            {
                return Asked::Answer(answer.shown);
            }
            if Instant::now() + RETRY_PAUSE > deadline {
                return Asked::NoOwner;
            }
            self.shared.owner_missed.notify_one();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks the owner how many jobs of a queue wait.
    pub(crate) async fn waiting(&self, queue: &str, deadline: Instant) -> Asked<usize> {
        loop {
            if let Some(owner) = self.shared.owner()
                && let Ok(Some(waiting)) = owner.ask(WaitingOf(queue.into())).await
            {
                return Asked::Answer(waiting);
            }
            let path = format!("{WAITING_PATH}{queue}");
            if let Some(bytes) = self.ask_owner(&path, deadline).await
                && let Ok(answer) = serde_json::from_slice::<WaitingAnswer>(&bytes)
            {
                return Asked::Answer(answer.waiting);
            }
            if Instant::now() + RETRY_PAUSE > deadline {
                return Asked::NoOwner;
            }
            self.shared.owner_missed.notify_one();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask_owner(&self, path: &str, deadline: Instant) -> Option<Bytes> {
        let claim = self.shared.claim.borrow().clone()?;
        if claim.instance == self.shared.settings.instance {
            return None;
        }
        let until = deadline.min(Instant::now() + TRY_TIMEOUT);
        self.call(&claim.address, Method::GET, path, Bytes::new(), until)
            .await
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
    }

    async fn call(
        &self,
        address: &Arc<str>,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Option<Bytes> {
        let client = self.client(address)?;
        let mut request = Request::new(full_body(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let answer = client.send(request, deadline).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.into_body(), MOST_BYTES).collect();
        let collected = timeout_at(deadline, body).await.ok()?.ok()?;
        Some(collected.to_bytes())
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

/// Answers siblings.
pub(crate) struct SiblingServer {
    pub(crate) shared: Arc<Shared>,
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
            Err(_) => empty(StatusCode::BAD_GATEWAY),
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => json(StatusCode::OK, body.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
