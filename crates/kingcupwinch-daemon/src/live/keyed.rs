//! Requests that may run only once: run permissions from the key's home shard, and replayed
//! answers.

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use kingcupwinch_coord::dedupe::RequestKey;
use kingcupwinch_coord::id::Domain;
use kingcupwinch_time::Span;
use kingcupwinch_wire::api::ProblemOutcome;
use kingcupwinch_wire::sibling::{KeyDecision, StoredResponse};

use super::LiveRequest;
use super::flow::{Answer, LiveService};
use super::refuse::DEFAULT_RETRY;
use crate::keys::{KeyHome, KeyRun, fingerprint};
use crate::server::body::{BufferedBody, full};
use crate::server::headers::Key;
use crate::server::problem::{not_run, try_later, unknown};
use crate::siblings::{DomainReply, was_domain_forwarded};

/// Response header set on an answer that was replayed for an earlier request with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Retry delay for a key whose request is still running.
const RUNNING_RETRY: Span = Span::from_millis(500);

impl LiveService {
    /// Acquires permission to run a request that may run only once. Returns `None` if the request
    /// is idempotent, or if the forwarding sibling holds the permission.
    pub(super) async fn acquire_key_run(
        &self,
        request: &mut LiveRequest,
    ) -> Result<Option<KeyRun>, Answer> {
        let Some(key) = request
            .key
            .filter(|_| !request.idempotent && request.hop.is_none())
        else {
            return Ok(None);
        };
        match self.keys.home_of(RequestKey(key.id)) {
            Some(KeyHome::Local(home)) => {
                let answer = self.begin_key(home, key, request).await;
                self.handle_key_answer(key, answer).await.map(Some)
            }
            Some(KeyHome::Remote(domain)) => Err(self.forward_to_domain(&domain, request).await),
            None => {
                let detail = "this instance's failure domain is not configured";
                Err(Answer::Problem(try_later(
                    "no-configuration",
                    detail,
                    DEFAULT_RETRY,
                )))
            }
        }
    }

    /// Forwards a request to the failure domain that is the home of its key.
    async fn forward_to_domain(&self, domain: &Domain, request: &mut LiveRequest) -> Answer {
        if was_domain_forwarded(&request.headers) {
            let detail = format!(
                "the key is decided in failure domain {domain}, by this instance's configuration"
            );
            return Answer::Problem(try_later("key-elsewhere", detail, DEFAULT_RETRY));
        }
        let now = self.shared.now();
        let left = request.time_left(now);
        match self
            .domains
            .forward_live(&self.shared, domain, request, left)
            .await
        {
            DomainReply::Answered(response) => self.relay_domain_answer(response),
            DomainReply::NotSent(reason) => {
                Answer::Problem(try_later("key-domain-unreached", reason, DEFAULT_RETRY))
            }
            DomainReply::Unknown(reason) => Answer::Problem(unknown("no-answer", reason)),
        }
    }

    async fn begin_key(
        &self,
        home: kingcupwinch_coord::id::ShardId,
        key: Key,
        request: &LiveRequest,
    ) -> KeyDecision {
        let body = match &request.body {
            BufferedBody::Whole { bytes, .. } => Some(bytes),
            BufferedBody::Partial { .. } | BufferedBody::Spent => None,
        };
        let fingerprint = fingerprint(&request.service, &request.class, body);
        let now = self.shared.now();
        let left = request.time_left(now);
        self.keys.begin(home, key, fingerprint, left).await
    }

    async fn handle_key_answer(&self, key: Key, answer: KeyDecision) -> Result<KeyRun, Answer> {
        let problem = match answer {
            KeyDecision::Run(permit) => match KeyRun::take(&self.keys, key, permit).await {
                Some(run) => return Ok(run),
                None => unknown("key-fenced", "a request with this key may have run"),
            },
            KeyDecision::Ended(outcome) => return Err(replay(&outcome)),
            KeyDecision::Running => {
                let detail = "a request with this key is running; retry to get its answer";
                let mut problem = try_later("key-running", detail, RUNNING_RETRY);
                problem.status = StatusCode::CONFLICT.as_u16();
                problem.outcome = ProblemOutcome::Unknown;
                problem
            }
            KeyDecision::Unknown => unknown("key-unknown", "a request with this key may have run"),
            KeyDecision::Refused(reason) => not_run(StatusCode::CONFLICT, "key-refused", reason),
        };
        Err(Answer::Problem(problem))
    }
}

/// Builds the response from the stored outcome of the key's request.
fn replay(outcome: &bytes::Bytes) -> Answer {
    let Ok(outcome) = StoredResponse::decode(outcome.clone()) else {
        return Answer::Problem(unknown("key-unknown", "the stored answer can't be decoded"));
    };
    let mut response = Response::new(full(outcome.body));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    let media = HeaderValue::from_str(&outcome.content_type).ok();
    if let Some(media) = media.filter(|media| !media.is_empty()) {
        headers.insert(CONTENT_TYPE, media);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    Answer::Worker(response)
}
