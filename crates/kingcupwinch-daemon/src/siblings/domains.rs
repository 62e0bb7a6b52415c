//! The entry instances of other failure domains, for requests whose home is there.

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

/// Time for which the list of another domain's instances is cached.
const LIST_TTL: Span = Span::from_secs(5);

/// Maximum number of connections to one instance of another domain.
const MAX_CONNECTIONS: usize = 64;

/// Value of the `Via` header that marks a request as forwarded by an instance of this system.
const VIA_VALUE: &str = "1.1 kingcupwinch";

/// The result of a request to another domain.
#[derive(Debug)]
pub(crate) enum DomainReply {
    /// The other domain's answer.
    Answered(Response<ResponseBody>),
    /// The request certainly was not sent.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// An instance of another domain.
#[derive(Debug, Clone)]
struct RemoteInstance {
    address: SocketAddr,
    client: HttpClient,
}

#[derive(Debug, Clone)]
struct CachedList {
    until: Time,
    instances: Vec<RemoteInstance>,
}

/// Clients for the entry instances of other failure domains.
#[derive(Debug)]
pub(crate) struct RemoteDomains {
    list: InstanceListClient,
    cached: Mutex<FxHashMap<Domain, CachedList>>,
}

impl RemoteDomains {
    /// Creates the clients from the platform's instance list.
    pub(crate) fn new(list: InstanceListClient) -> Self {
        RemoteDomains {
            list,
            cached: Mutex::default(),
        }
    }

    /// Forwards a live request to the first instance of a domain that can be reached.
    pub(crate) async fn forward_live(
        &self,
        shared: &Shared,
        domain: &Domain,
        request: &mut LiveRequest,
        left: Span,
    ) -> DomainReply {
        let deadline = Instant::now() + Duration::from(left);
        let make = || {
            let body = request.body.take(&shared.settings.hold)?;
            let mut message = request.instance_message(body, left);
            message
                .headers_mut()
                .append(VIA, HeaderValue::from_static(VIA_VALUE));
            Some(message)
        };
        self.send(shared, domain, deadline, make).await
    }

    /// Forwards a request about a job to a domain.
    pub(crate) async fn ask_job(
        &self,
        shared: &Shared,
        domain: &Domain,
        method: &Method,
        job: JobId,
    ) -> DomainReply {
        let deadline = Instant::now() + Duration::from_millis(shared.settings.platform.call_ms);
        let make = || {
            let mut message = Request::new(full(""));
            *message.method_mut() = method.clone();
            *message.uri_mut() = format!("/v1/jobs/{job}").parse().ok()?;
            message
                .headers_mut()
                .append(VIA, HeaderValue::from_static(VIA_VALUE));
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
    ) -> DomainReply {
        let mut reason = format!("no instance of failure domain {domain} is listed");
        for remote in self.instances(shared, domain).await {
            let Some(message) = make() else { break };
            match remote.client.send(message, deadline).await {
                Ok(response) => return DomainReply::Answered(response),
                Err(SendError::NotSent(cause)) => reason = cause.to_string(),
                Err(SendError::Lost(cause)) => return DomainReply::Unknown(cause.to_string()),
            }
        }
        DomainReply::NotSent(reason)
    }

    async fn instances(&self, shared: &Shared, domain: &Domain) -> Vec<RemoteInstance> {
        let now = shared.now();
        let cached = self.cached_instances(domain);
        if let Some(listed) = cached.as_ref().filter(|listed| now < listed.until) {
            return listed.instances.clone();
        }
        let old = cached.map_or_else(Vec::new, |listed| listed.instances);
        let instances = self.read_list(shared, domain, &old).await.unwrap_or(old);
        let listed = CachedList {
            until: now + LIST_TTL,
            instances: instances.clone(),
        };
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.insert(Domain::clone(domain), listed);
        instances
    }

    fn cached_instances(&self, domain: &Domain) -> Option<CachedList> {
        self.cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(domain)
            .cloned()
    }

    /// Reads a domain's live entry instances from the list, and keeps existing clients.
    async fn read_list(
        &self,
        shared: &Shared,
        domain: &Domain,
        old: &[RemoteInstance],
    ) -> Option<Vec<RemoteInstance>> {
        let call = Duration::from_millis(shared.settings.platform.call_ms);
        let listed = self.list.list(domain, Instant::now() + call).await.ok()?;
        let live = listed.into_iter().filter(|instance| {
            instance.role == Role::Entry && instance.state == InstanceState::Live
        });
        let remotes = live.map(|instance| {
            let cached = old.iter().find(|remote| remote.address == instance.address);
            cached.cloned().unwrap_or_else(|| RemoteInstance {
                address: instance.address,
                client: HttpClient::new(instance.address, MAX_CONNECTIONS),
            })
        });
        Some(remotes.collect())
    }
}

/// Returns whether another instance of this system has already forwarded a request to this domain.
pub(crate) fn was_domain_forwarded(headers: &HeaderMap) -> bool {
    headers
        .get_all(VIA)
        .iter()
        .any(|via| via.as_bytes().starts_with(VIA_VALUE.as_bytes()))
}
