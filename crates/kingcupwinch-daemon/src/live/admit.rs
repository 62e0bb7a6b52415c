//! Checks a live request before it is queued.

use std::sync::Arc;

use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use kingcupwinch_config::{Class, ClassKind, Customer, Service, Tree};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::Problem;
use uuid::Uuid;

use crate::server::body::BufferedBody;
use crate::server::headers::{Hop, Key, RequestHeaders, strip_reserved};
use crate::server::problem::{not_run, try_later};
use crate::shared::ActiveConfig;

/// Retry delay for a caller of an instance that has no configuration yet.
const NO_CONFIG_RETRY: Span = Span::from_secs(1);

/// A live request that passed admission.
#[derive(Debug)]
pub(crate) struct LiveRequest {
    /// Id of the request.
    pub(crate) id: Uuid,
    /// Name of the requested service.
    pub(crate) service: Arc<str>,
    /// Name of its class.
    pub(crate) class: Arc<str>,
    /// Name of its customer.
    pub(crate) customer: Arc<str>,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// The caller's idempotency key, always present if the request may run only once.
    pub(crate) key: Option<Key>,
    /// The forwarding sibling, `None` if the caller sent the request here.
    pub(crate) hop: Option<Hop>,
    /// Time of arrival.
    pub(crate) arrived: Time,
    /// Time after which the answer is of no use.
    pub(crate) deadline: Option<Time>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Headers, without hop-by-hop headers and those reserved for the system.
    pub(crate) headers: HeaderMap,
    /// Request body.
    pub(crate) body: BufferedBody,
}

/// The head of a live request, checked against the configuration.
#[derive(Debug)]
pub(crate) struct Admission {
    service: Arc<str>,
    class: Arc<str>,
    customer: Arc<str>,
    idempotent: bool,
    key: Option<Key>,
    deadline: Option<Time>,
    arrived: Time,
}

impl Admission {
    /// Checks a request's head.
    ///
    /// # Errors
    ///
    /// Returns a problem document that describes the fault; nothing ran.
    pub(crate) fn check(
        config: &ActiveConfig,
        service: &str,
        headers: &HeaderMap,
        arrived: Time,
    ) -> Result<Self, Problem> {
        let bad = |code, detail: String| not_run(StatusCode::BAD_REQUEST, code, detail);
        let requested = RequestHeaders::read(headers, arrived)
            .map_err(|err| bad("bad-header", err.to_string()))?;
        let (service, declared) = find_service(config, service)?;
        let (class, policy) =
            find_class(&config.tree, &service, declared, requested.class.as_ref())?;
        let customer = find_customer(&config.tree, requested.customer.as_ref())?;
        if !policy.idempotent && requested.key.is_none() {
            let detail = format!("class {class} is not idempotent, so Idempotency-Key is required");
            return Err(bad("key-required", detail));
        }
        let class_deadline = policy
            .deadline_ms
            .map(|ms| arrived + Span::from_millis(ms.get()));
        let deadline = [requested.deadline, class_deadline]
            .into_iter()
            .flatten()
            .min();
        let idempotent = policy.idempotent;
        Ok(Admission {
            service,
            class,
            customer,
            idempotent,
            key: requested.key,
            deadline,
            arrived,
        })
    }

    /// Combines the checked head with the rest of the request.
    pub(crate) fn admit(self, parts: Parts, body: BufferedBody) -> LiveRequest {
        let mut headers = parts.headers;
        strip_reserved(&mut headers);
        LiveRequest {
            id: Uuid::now_v7(),
            service: self.service,
            class: self.class,
            customer: self.customer,
            idempotent: self.idempotent,
            key: self.key,
            hop: None,
            arrived: self.arrived,
            deadline: self.deadline,
            method: parts.method,
            headers,
            body,
        }
    }

    /// Combines the checked head with the rest of a request that a sibling forwarded.
    pub(crate) fn admit_forwarded(self, parts: Parts, body: BufferedBody, hop: Hop) -> LiveRequest {
        let arrived = self.arrived - hop.waited;
        let request = self.admit(parts, body);
        LiveRequest {
            id: hop.request,
            arrived,
            hop: Some(hop),
            ..request
        }
    }

    /// Returns the class, for metrics.
    pub(crate) fn class(&self) -> &Arc<str> {
        &self.class
    }
}

fn find_service<'a>(
    config: &'a ActiveConfig,
    name: &str,
) -> Result<(Arc<str>, &'a Service), Problem> {
    if config.version.0 == 0 {
        let detail = "this instance has no configuration yet";
        return Err(try_later("no-configuration", detail, NO_CONFIG_RETRY));
    }
    let found = config.tree.services.get_key_value(name);
    let (name, service) = found.ok_or_else(|| {
        let detail = format!("service {name} is not configured");
        not_run(StatusCode::NOT_FOUND, "unknown-service", detail)
    })?;
    Ok((Arc::clone(name), service))
}

fn find_class<'a>(
    tree: &'a Tree,
    service: &str,
    declared: &Service,
    requested: Option<&Arc<str>>,
) -> Result<(Arc<str>, &'a Class), Problem> {
    let name = requested.unwrap_or(&declared.default_class);
    let served = declared.classes.contains(name) || *name == declared.default_class;
    let class = tree
        .classes
        .get(name)
        .filter(|class| served && class.kind == ClassKind::Live);
    let class = class.ok_or_else(|| {
        let detail = format!("service {service} has no live class {name}");
        not_run(StatusCode::BAD_REQUEST, "unknown-class", detail)
    })?;
    Ok((Arc::clone(name), class))
}

/// Returns the named customer, or the only configured one if none is named.
pub(crate) fn find_customer(
    tree: &Tree,
    requested: Option<&Arc<str>>,
) -> Result<Arc<str>, Problem> {
    let named: Option<(&Arc<str>, &Customer)> = match requested {
        Some(name) => tree.customers.get_key_value(name),
        None if tree.customers.len() == 1 => tree.customers.first(),
        None => None,
    };
    let found = named.map(|(name, _)| Arc::clone(name));
    found.ok_or_else(|| {
        let detail = match requested {
            Some(name) => format!("customer {name} is not configured"),
            None => "Kcw-Customer is required where there are several customers".to_owned(),
        };
        not_run(StatusCode::BAD_REQUEST, "unknown-customer", detail)
    })
}
