//! The entry instances of other failure domains, for requests that are decided there.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hyper::header::{HeaderValue, VIA};
use hyper::{HeaderMap, Method, Request, Response};
use kingcupwinch_coord::id::{Domain, JobId};
use kingcupwinch_platform::{HttpClient, InstanceListClient, ResponseBody, SendError};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::instance_list::{InstanceState, Role};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::live::LiveRequest;
use crate::server::body::{Body, full};
use crate::shared::Shared;

/// How long a list of another domain's instances is used before it is read again.
const LIST_SPAN: Span = Span::from_secs(5);

/// Connections to one instance of another domain.
const CONNECTIONS: usize = 64;

/// Says in the header `Via` that an instance of this system has passed a request on.
const PASSED_ON: &str = "1.1 kingcupwinch";

/// What became of a request for another domain.
#[derive(Debug)]
pub(crate) enum PassedOn {
    /// The other domain's answer.
    Answered(Response<ResponseBody>),
    /// It certainly was not sent.
    NotSent(String),
    /// It may have run.
    Unknown(String),
}

/// An instance of another domain.
#[derive(Debug, Clone)]
struct Remote {
    address: SocketAddr,
    client: HttpClient,
}

#[derive(Debug, Clone)]
struct Listed {
    until: Time,
    instances: Vec<Remote>,
}

/// The entry instances of other failure domains.
#[derive(Debug)]
pub(crate) struct Domains {
    list: InstanceListClient,
    known: Mutex<FxHashMap<Domain, Listed>>,
}

impl Domains {
    /// Makes the way to other domains over the platform's list.
    pub(crate) fn new(list: InstanceListClient) -> Self {
        Domains {
            list,
            known: Mutex::default(),
        }
    }

    /// Passes a live request on to the first instance of a domain that is reached.
    pub(crate) async fn pass_on(
        &self,
        shared: &Shared,
        domain: &Domain,
        request: &mut LiveRequest,
        left: Span,
    ) -> PassedOn {
        let deadline = Instant::now() + Duration::from(left);
        let make = || {
            let body = request.body.take(&shared.settings.hold)?;
            let mut message = request.instance_message(body, left);
            message
                .headers_mut()
                .append(VIA, HeaderValue::from_static(PASSED_ON));
            Some(message)
        };
        self.send(shared, domain, deadline, make).await
    }

    /// Asks a domain about one of its jobs.
    pub(crate) async fn ask_job(
        &self,
        shared: &Shared,
        domain: &Domain,
        method: &Method,
        job: JobId,
    ) -> PassedOn {
        let deadline = Instant::now() + Duration::from_millis(shared.settings.platform.call_ms);
        let make = || {
            let mut message = Request::new(full(""));
            *message.method_mut() = method.clone();
            *message.uri_mut() = format!("/v1/jobs/{job}").parse().ok()?;
            message
                .headers_mut()
                .append(VIA, HeaderValue::from_static(PASSED_ON));
            Some(message)
        };
        self.send(shared, domain, deadline, make).await
    }

    async fn send(
        &self,
        shared: &Shared,
        domain: &Domain,
        deadline: Instant,
        mut make: impl FnMut() -> Option<Request<Body>>,
    ) -> PassedOn {
        let mut why = format!("no instance of failure domain {domain} is listed");
        for remote in self.instances(shared, domain).await {
            let Some(message) = make() else { break };
            match remote.client.send(message, deadline).await {
                Ok(response) => return PassedOn::Answered(response),
                Err(SendError::NotSent(cause)) => why = cause.to_string(),
                Err(SendError::Lost(cause)) => return PassedOn::Unknown(cause.to_string()),
            }
        }
        PassedOn::NotSent(why)
    }

    async fn instances(&self, shared: &Shared, domain: &Domain) -> Vec<Remote> {
        let now = shared.now();
        let known = self.known_instances(domain);
        if let Some(listed) = known.as_ref().filter(|listed| now < listed.until) {
            return listed.instances.clone();
        }
        let old = known.map_or_else(Vec::new, |listed| listed.instances);
        let instances = self.read_list(shared, domain, &old).await.unwrap_or(old);
        let listed = Listed {
            until: now + LIST_SPAN,
            instances: instances.clone(),
        };
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(Domain::clone(domain), listed);
        instances
    }

    fn known_instances(&self, domain: &Domain) -> Option<Listed> {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(domain)
            .cloned()
    }

    /// Reads a domain's live entry instances, keeping connections that are there.
    async fn read_list(
        &self,
        shared: &Shared,
        domain: &Domain,
        old: &[Remote],
    ) -> Option<Vec<Remote>> {
        let call = Duration::from_millis(shared.settings.platform.call_ms);
        let listed = self.list.list(domain, Instant::now() + call).await.ok()?;
        let live = listed.into_iter().filter(|instance| {
            instance.role == Role::Entry && instance.state == InstanceState::Live
        });
        let remotes = live.map(|instance| {
            let known = old.iter().find(|remote| remote.address == instance.address);
            known.cloned().unwrap_or_else(|| Remote {
                address: instance.address,
                client: HttpClient::new(instance.address, CONNECTIONS),
            })
        });
        Some(remotes.collect())
    }
}

/// Returns whether an instance of this system has passed a request on already.
pub(crate) fn was_passed_on(headers: &HeaderMap) -> bool {
    headers
        .get_all(VIA)
        .iter()
        .any(|via| via.as_bytes().starts_with(PASSED_ON.as_bytes()))
}
