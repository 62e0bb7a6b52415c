//! The handler of siblings' requests.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use kingcupwinch_adapter::KeyedRecord;
use kingcupwinch_cell::{Demand, JobId};
use serde::Serialize;
use slog::o;
use tokio::time::Instant;

use super::forecasts::add_forecasts;
use super::room::{add_room, refuse};
use super::{
    ADVICE_PATH, ALIVE_PATH, APPEND_PATH, AdviceRequest, AppendRequest, AppendResponse,
    MAX_BODY_BYTES, START_PATH, STATE_PATH, StateResponse, WAITING_PATH, WaitingResponse,
};
use crate::events::Event;
use crate::http::{Handler, HttpResponse, empty, json, read_body};
use crate::intake::{Intake, IntakeRequest, Outcome};
use crate::layout::IntakeKey;
use crate::owner::{CountWaiting, GetJobState};
use crate::relay::{RelayRequest, StartRelay};
use crate::shared::Shared;

/// Memory of a job at the owner as a multiple of its record, for siblings that state none: that of the
/// smallest jobs.
const HELD_PER_RECORD_BYTE: u64 = 5;

/// Handles requests of siblings.
pub(crate) struct SiblingServer {
    pub(crate) shared: Arc<Shared>,
    /// Queue for records that this instance appends as the owner.
    pub(crate) owner_intake: Intake,
    /// Queue for records of a sibling that can't reach the store.
    pub(crate) own_intake: Intake,
    pub(crate) relay: StartRelay,
}

impl Handler for SiblingServer {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let mut response = self.respond(request).await;
        add_forecasts(&self.shared, &mut response);
        add_room(&self.shared, &mut response);
        response
    }
}

impl SiblingServer {
    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
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
        if path == APPEND_PATH {
            return self.append(request).await;
        }
        if path == START_PATH {
            return self.start(request).await;
        }
        if path == ALIVE_PATH {
            return empty(StatusCode::OK);
        }
        empty(StatusCode::NOT_FOUND)
    }

    async fn state(&self, id: &str) -> HttpResponse {
        let Some(id) = JobId::parse(id) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some(owner) = self.shared.owner() else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        match owner.ask(GetJobState(id)).await {
            Ok(Some(view)) => encode(&StateResponse::from(view)),
            _ => empty(StatusCode::MISDIRECTED_REQUEST),
        }
    }

    async fn waiting(&self, queue: &str) -> HttpResponse {
        let Some(owner) = self.shared.owner() else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        match owner.ask(CountWaiting(queue.into())).await {
            Ok(Some(waiting)) => encode(&WaitingResponse { waiting }),
            _ => empty(StatusCode::MISDIRECTED_REQUEST),
        }
    }

    async fn append(&self, request: Request<Incoming>) -> HttpResponse {
        let body = match read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(refusal) => return refusal.into_internal_response(),
        };
        let Ok(params) = serde_json::from_slice::<AppendRequest>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let demand = match IntakeKey::parse(&params.key) {
            Some(IntakeKey::Accepted(_)) => {
                let estimate = params.value.len() as u64 * HELD_PER_RECORD_BYTE;
                Demand::Job(params.held_bytes.unwrap_or(estimate), params.customer)
            }
            Some(IntakeKey::Cancelled(_)) => Demand::EarlyCancel,
            None => return empty(StatusCode::BAD_REQUEST),
        };
        let deadline = Instant::now() + Duration::from_millis(params.timeout_ms);
        let record = KeyedRecord::with_value(params.key, params.value);
        let request = IntakeRequest::new(record, demand);
        let outcome = match self.shared.owner() {
            Some(_) => self.owner_intake.append_as_owner(&request, deadline).await,
            None if params.by_owner => return empty(StatusCode::MISDIRECTED_REQUEST),
            None => self.own_intake.append_by_share(&request, deadline).await,
        };
        encode(&match outcome {
            Outcome::Appended => AppendResponse::Appended,
            Outcome::Rejected(_) => AppendResponse::Failed,
            Outcome::Conflict => AppendResponse::Conflict,
            Outcome::NoRoom(no_room) => return refuse(no_room),
            Outcome::Unknown(_) => AppendResponse::Unknown,
        })
    }

    async fn start(&self, request: Request<Incoming>) -> HttpResponse {
        let body = match read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(refusal) => return refusal.into_internal_response(),
        };
        let Ok(params) = serde_json::from_slice::<RelayRequest>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        match self.relay.send(params).await {
            Some(response) => encode(&response),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn advise(&self, request: Request<Incoming>) -> HttpResponse {
        let Some(adviser) = &self.shared.adviser else {
            return empty(StatusCode::NOT_FOUND);
        };
        let body = match read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(refusal) => return refusal.into_internal_response(),
        };
        let Ok(params) = serde_json::from_slice::<AdviceRequest>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let deadline = Instant::now() + Duration::from_millis(params.timeout_ms);
        match adviser.query(&params.step, &params.workers, deadline).await {
            Ok(bytes) => json(StatusCode::OK, bytes),
            Err(error) => {
                self.shared.log.write(
                    Event::AdviceFailed,
                    o!("step" => params.step, "by" => self.shared.settings.instance.to_string(),
                        "workers" => params.workers.len(), "error" => error.to_string()),
                );
                empty(StatusCode::BAD_GATEWAY)
            }
        }
    }
}

fn encode<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => json(StatusCode::OK, body.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
