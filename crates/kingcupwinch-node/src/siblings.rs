//! Requests between instances: a job's state, a queue's length, appends to the intake and calls to
//! the adviser.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, Response, StatusCode};
use kameo::message::Message;
use kingcupwinch_cell::{Demand, Member};
use kingcupwinch_platform::{HttpClient, SendError, full_body};
use rand::seq::SliceRandom;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time::{Instant, timeout_at};

use crate::events::Event;
use crate::intake::{IntakeRequest, Outcome};
use crate::job_states::JobStateCache;
use crate::owner::{CountWaiting, Owner};
use crate::relay::{RelayRequest, RelayResponse};
use crate::room::{NoRoom, ROOM_HEADER};
use crate::shared::Shared;

mod forecasts;
mod job_lookup;
mod room;
mod server;
#[cfg(test)]
mod tests;

use job_lookup::StateResponse;

pub(crate) use server::SiblingServer;

/// Maximum connections to one sibling.
const CONNECTIONS: usize = 6;
/// Maximum size of a request or response body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Timeout of one attempt of a request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of siblings other than the owner that are asked to append one record.
const MAX_HELPERS: usize = 2;
/// Delay before an owner that did not serve yet is asked again to append a record.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time for which a sibling that did not respond is asked for nothing that another one can do.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

const STATE_PATH: &str = "/state/";
const WAITING_PATH: &str = "/waiting/";
const ADVICE_PATH: &str = "/advice";
const APPEND_PATH: &str = "/keep";
const START_PATH: &str = "/start";
const ALIVE_PATH: &str = "/alive";

/// Reply of the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnerReply<T> {
    Value(T),
    /// The owner is unknown or unreachable.
    NoOwner,
}

/// Request to a sibling to call the adviser.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AdviceRequest {
    pub(crate) step: String,
    pub(crate) workers: Vec<Arc<str>>,
    #[serde(rename = "patience_ms")]
    pub(crate) timeout_ms: u64,
}

/// Request to a sibling to append an intake record.
#[derive(Debug, Serialize, Deserialize)]
struct AppendRequest {
    key: Arc<str>,
    value: String,
    #[serde(rename = "patience_ms")]
    timeout_ms: u64,
    /// Whether only the owner is to append it: any other instance would need its own link for what the
    /// sender can append itself.
    #[serde(default)]
    by_owner: bool,
    /// Memory that a job takes at the owner, in bytes, and its customer. Earlier versions state neither.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    held_bytes: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    customer: Option<Arc<str>>,
}

/// Response of a sibling that was asked to append an intake record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum AppendResponse {
    #[serde(rename = "Kept")]
    Appended,
    #[serde(rename = "NotKept")]
    Failed,
    /// Earlier versions take it for a response that they don't know, and the outcome for unknown.
    Conflict,
    Unknown,
}

#[derive(Serialize, Deserialize)]
struct WaitingResponse {
    waiting: usize,
}

/// A sibling at an address.
struct Peer {
    client: HttpClient,
    /// Until when the sibling counts as silent, unless it responds.
    silent_until: Option<Instant>,
}

/// HTTP clients of the siblings; clones share their connections.
#[derive(Clone)]
pub(crate) struct Siblings {
    shared: Arc<Shared>,
    peers: Arc<Mutex<FxHashMap<Arc<str>, Peer>>>,
    states: Arc<JobStateCache>,
    /// Time until which an owner that does not serve yet is not asked to append records.
    owner_ready: Arc<Mutex<Option<Instant>>>,
}

impl Siblings {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Siblings {
            shared,
            peers: Arc::default(),
            states: Arc::default(),
            owner_ready: Arc::default(),
        }
    }

    /// Returns the number of waiting jobs of a queue from the owner.
    pub(crate) async fn waiting(&self, queue: &str, deadline: Instant) -> OwnerReply<usize> {
        let path = format!("{WAITING_PATH}{queue}");
        loop {
            if let Some(waiting) = self.ask_local_owner(CountWaiting(queue.into())).await {
                return OwnerReply::Value(waiting);
            }
            if let Some(response) = self
                .ask_remote_owner::<WaitingResponse>(&path, deadline)
                .await
            {
                return OwnerReply::Value(response.waiting);
            }
            if !self.wait_for_retry(deadline).await {
                return OwnerReply::NoOwner;
            }
        }
    }

    /// Asks the owner if this instance is the owner; `None` if it isn't, or can't give the value.
    async fn ask_local_owner<M, T>(&self, params: M) -> Option<T>
    where
        M: Send + 'static,
        T: Send + 'static,
        Owner: Message<M, Reply = Option<T>>,
    {
        // An owner that has ended sends no reply.
        self.shared.owner()?.ask(params).await.ok().flatten()
    }

    /// Waits before a retry; returns false if the deadline would pass.
    async fn wait_for_retry(&self, deadline: Instant) -> bool {
        if Instant::now() + RETRY_DELAY > deadline {
            return false;
        }
        self.shared.owner_unreachable.notify_one();
        tokio::time::sleep(RETRY_DELAY).await;
        true
    }

    /// Asks siblings other than the owner, one after the other, to append an intake record that
    /// neither this instance nor the owner could append. Stops at the first that appended it or may
    /// have.
    pub(crate) async fn append_at_helpers(
        &self,
        request: &IntakeRequest,
        deadline: Instant,
    ) -> Outcome {
        for address in self.helpers() {
            if Instant::now() >= deadline {
                break;
            }
            let until = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            match self.append_at(&address, request, false, until).await {
                Outcome::Rejected(_) => {}
                outcome => return outcome,
            }
        }
        Outcome::Rejected("no sibling could append it".into())
    }

    /// Asks the owner to append an intake record, if it is another instance.
    pub(crate) async fn append_at_owner(
        &self,
        request: &IntakeRequest,
        deadline: Instant,
    ) -> Outcome {
        let claim = self.shared.claim.borrow().clone();
        let Some(claim) = claim.filter(|claim| claim.instance != self.shared.settings.instance)
        else {
            return Outcome::Rejected("no owner is known".into());
        };
        if self
            .lock_owner_ready()
            .is_some_and(|at| Instant::now() < at)
        {
            return Outcome::Rejected("the owner does not serve yet".into());
        }
        self.append_at(&claim.address, request, true, deadline)
            .await
    }

    fn lock_owner_ready(&self) -> MutexGuard<'_, Option<Instant>> {
        self.owner_ready
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the addresses of randomly chosen siblings other than the owner, silent ones only if there
    /// are too few others.
    fn helpers(&self) -> Vec<Arc<str>> {
        let me = &self.shared.settings.instance;
        let owner = self.shared.claim.borrow().clone();
        let is_owner = |member: &Member| {
            owner
                .as_ref()
                .is_some_and(|o| o.instance == member.instance)
        };
        let is_other = |member: &&Member| member.instance != *me && !is_owner(member);
        let mut addresses: Vec<Arc<str>> = {
            let members = self.shared.members.borrow();
            let others = members.iter().filter(is_other);
            others.map(|member| Arc::clone(&member.address)).collect()
        };
        addresses.shuffle(&mut rand::rng());
        addresses.sort_by_key(|address| self.is_silent(address));
        addresses.truncate(MAX_HELPERS);
        addresses
    }

    async fn append_at(
        &self,
        address: &Arc<str>,
        request: &IntakeRequest,
        by_owner: bool,
        deadline: Instant,
    ) -> Outcome {
        let Some(params) = encode_append_request(request, by_owner, deadline) else {
            return Outcome::Rejected("the record can't be encoded for a sibling".into());
        };
        let call = self.call(address, Method::POST, APPEND_PATH, params, deadline);
        match call.await {
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(AppendResponse::Appended) => Outcome::Appended,
                Ok(AppendResponse::Failed) => Outcome::Rejected("the sibling failed".into()),
                Ok(AppendResponse::Conflict) => Outcome::Conflict,
                Ok(AppendResponse::Unknown) | Err(_) => {
                    Outcome::Unknown("the sibling can't tell whether it was appended".into())
                }
            },
            Err(CallError::NotSent) => Outcome::Rejected("the sibling is unreachable".into()),
            Err(CallError::Refused) => {
                if by_owner {
                    *self.lock_owner_ready() = Some(Instant::now() + OWNER_RETRY_DELAY);
                }
                Outcome::Rejected("the sibling refused it".into())
            }
            Err(CallError::NoRoom(no_room)) => Outcome::NoRoom(no_room),
            Err(CallError::Lost) => Outcome::Unknown("the sibling's reply was lost".into()),
        }
    }

    /// Asks the owner if another instance is the owner; `None` without a valid response.
    async fn ask_remote_owner<T: DeserializeOwned>(
        &self,
        path: &str,
        deadline: Instant,
    ) -> Option<T> {
        let claim = self.shared.claim.borrow().clone()?;
        if claim.instance == self.shared.settings.instance {
            return None;
        }
        let until = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        let call = self.call(&claim.address, Method::GET, path, Bytes::new(), until);
        // The caller retries, and signals that the owner is unreachable.
        let bytes = call.await.ok()?;
        match serde_json::from_slice(&bytes) {
            Ok(response) => Some(response),
            Err(error) => {
                self.shared.log.write(
                    Event::ResponseSkipped,
                    o!("from" => claim.instance.to_string(), "error" => error.to_string()),
                );
                None
            }
        }
    }

    /// Asks a sibling to call the adviser; `None` without a response.
    pub(crate) async fn advise(
        &self,
        address: &Arc<str>,
        params: &AdviceRequest,
        deadline: Instant,
    ) -> Option<Bytes> {
        let body = serde_json::to_vec(params).ok()?.into();
        self.call(address, Method::POST, ADVICE_PATH, body, deadline)
            .await
            .ok()
    }

    /// Returns whether a sibling responds. One of an earlier version refuses the path, which shows as
    /// much.
    pub(crate) async fn responds(&self, address: &Arc<str>) -> bool {
        let deadline = Instant::now() + ATTEMPT_TIMEOUT;
        let call = self.call(address, Method::GET, ALIVE_PATH, Bytes::new(), deadline);
        let has_responded = matches!(call.await, Ok(_) | Err(CallError::Refused));
        if !has_responded {
            self.note_silent(address);
        }
        has_responded
    }

    /// Asks a sibling to send start orders to workers; `Err` tells whether it may have sent any.
    pub(crate) async fn start(
        &self,
        address: &Arc<str>,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<RelayResponse, CallError> {
        let body = serde_json::to_vec(request).map_err(|_| CallError::NotSent)?;
        let call = self.call(address, Method::POST, START_PATH, body.into(), deadline);
        let response = call.await;
        if response == Err(CallError::Lost) {
            self.note_silent(address);
        }
        serde_json::from_slice(&response?).map_err(|_| CallError::Lost)
    }

    async fn call(
        &self,
        address: &Arc<str>,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let client = self.client(address).ok_or(CallError::NotSent)?;
        let mut request = Request::new(full_body(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| CallError::NotSent)?;
        let response = match client.send(request, deadline).await {
            Ok(response) => response,
            Err(error) => {
                // A lost response may be that of a slow store or adviser.
                if matches!(error, SendError::NotSent(_)) {
                    self.note_silent(address);
                }
                return Err(error.into());
            }
        };
        self.note_response(address);
        self.note_forecasts(address, response.headers());
        self.note_room(address, response.headers());
        if let Some(no_room) = no_room(&response) {
            return Err(CallError::NoRoom(no_room));
        }
        if response.status().is_client_error() {
            return Err(CallError::Refused);
        }
        if response.status() != StatusCode::OK {
            return Err(CallError::Lost);
        }
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        let collected = timeout_at(deadline, body).await;
        let collected = collected.map_err(|_| CallError::Lost)?;
        Ok(collected.map_err(|_| CallError::Lost)?.to_bytes())
    }

    /// Returns the client of the sibling at an address. A new one replaces those of siblings that are
    /// gone.
    fn client(&self, address: &Arc<str>) -> Option<HttpClient> {
        if let Some(peer) = self.lock_peers().get(address) {
            return Some(peer.client.clone());
        }
        let parsed: SocketAddr = address.parse().ok()?;
        let known = self.known_addresses();
        let counter = self.shared.traffic.counter("sibling calls");
        let client = HttpClient::with_counter(parsed, CONNECTIONS, counter);
        let peer = Peer {
            client: client.clone(),
            silent_until: None,
        };
        let mut peers = self.lock_peers();
        peers.retain(|address, _| known.contains(address));
        peers.insert(Arc::clone(address), peer);
        Some(client)
    }

    /// Returns the addresses of the members and of the owner.
    fn known_addresses(&self) -> FxHashSet<Arc<str>> {
        let owner = self.shared.claim.borrow().clone();
        let members = self.shared.members.borrow();
        let members = members.iter().map(|member| Arc::clone(&member.address));
        members.chain(owner.map(|claim| claim.address)).collect()
    }

    /// Returns whether a sibling did not respond lately.
    pub(crate) fn is_silent(&self, address: &Arc<str>) -> bool {
        let peers = self.lock_peers();
        let silent_until = peers.get(address).and_then(|peer| peer.silent_until);
        silent_until.is_some_and(|until| Instant::now() < until)
    }

    fn note_silent(&self, address: &Arc<str>) {
        if let Some(peer) = self.lock_peers().get_mut(address) {
            peer.silent_until = Some(Instant::now() + SILENCE_TIMEOUT);
        }
    }

    fn note_response(&self, address: &Arc<str>) {
        if let Some(peer) = self.lock_peers().get_mut(address) {
            peer.silent_until = None;
        }
    }

    fn lock_peers(&self) -> MutexGuard<'_, FxHashMap<Arc<str>, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns when to retry if a response tells that the owner has no room.
fn no_room<B>(response: &Response<B>) -> Option<NoRoom> {
    if response.status() != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    // Without the header, the sibling had no memory for the body.
    response.headers().get(ROOM_HEADER)?;
    let seconds = response.headers().get(RETRY_AFTER)?;
    let retry_after_s = seconds.to_str().ok()?.parse().ok()?;
    Some(NoRoom { retry_after_s })
}

/// Error of a call to a sibling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No byte of the request was sent.
    NotSent,
    /// The sibling refused the request without acting on it.
    Refused,
    /// The owner has no room for the request and did not act on it.
    NoRoom(NoRoom),
    /// The response is missing or unusable; the sibling may have acted.
    Lost,
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(_) => CallError::NotSent,
            SendError::Lost(_) => CallError::Lost,
        }
    }
}

/// Builds the body of an append request; `None` if the record has no value or isn't UTF-8.
fn encode_append_request(
    request: &IntakeRequest,
    by_owner: bool,
    deadline: Instant,
) -> Option<Bytes> {
    let IntakeRequest { record, demand } = request;
    let (held_bytes, customer) = match demand {
        Demand::Job(bytes, customer) => (Some(*bytes), customer.clone()),
        Demand::EarlyCancel => (None, None),
    };
    let timeout = deadline.saturating_duration_since(Instant::now());
    let params = AppendRequest {
        key: Arc::clone(&record.key),
        value: String::from_utf8(record.value.as_ref()?.to_vec()).ok()?,
        timeout_ms: u64::try_from(timeout.as_millis()).ok()?,
        by_owner,
        held_bytes,
        customer,
    };
    Some(serde_json::to_vec(&params).ok()?.into())
}
