//! The port for requests that siblings forward.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use kingcupwinch_wire::api::Problem;
use slog::o;

use super::body::Body;
use super::callers::{RUN_PATH, respond_bad_body};
use super::headers::Hop;
use super::listener::Handler;
use super::problem::{not_run, respond};
use crate::live::{Admission, LiveService};
use crate::logging::EventId;
use crate::shared::Shared;

/// Handles requests forwarded by siblings.
pub(crate) struct ForwardHandler {
    shared: Arc<Shared>,
    live: LiveService,
}

impl ForwardHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>, live: LiveService) -> Self {
        ForwardHandler { shared, live }
    }

    async fn run(&self, service: &str, request: Request<Incoming>) -> Response<Body> {
        let arrived = self.shared.now();
        let hop = match self.check_hop(&request) {
            Ok(hop) => hop,
            Err(problem) => return respond(&problem),
        };
        let config = self.shared.config.load_full();
        let admission = match Admission::check(&config, service, request.headers(), arrived) {
            Ok(admission) => admission,
            Err(problem) => return respond(&problem),
        };
        let (parts, body) = request.into_parts();
        match self.shared.read_body(body).await {
            Ok(body) => {
                self.live
                    .run_forwarded(admission.admit_forwarded(parts, body, hop))
                    .await
            }
            Err(err) => respond_bad_body(&err),
        }
    }

    /// Reads the forwarding headers, and refuses senders that are not members of the group.
    fn check_hop(&self, request: &Request<Incoming>) -> Result<Hop, Problem> {
        let hop = Hop::read(request.headers())
            .map_err(|err| not_run(StatusCode::BAD_REQUEST, "not-forwarded", err.to_string()))?;
        if self.shared.ownership.load().member(hop.sender()).is_none() {
            let sender = hop.sender().to_string();
            self.shared
                .log
                .write(EventId::LinkDropped, o!("from" => sender));
            let detail = "the sender is not a member of this failure domain's group";
            return Err(not_run(StatusCode::FORBIDDEN, "not-a-sibling", detail));
        }
        Ok(hop)
    }
}

impl Handler for ForwardHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.strip_prefix(RUN_PATH) {
            Some(service) => self.run(service, request).await,
            None => {
                let detail = format!("no resource exists at {path}");
                respond(&not_run(StatusCode::NOT_FOUND, "not-found", detail))
            }
        }
    }
}
