//! What a live request must say before it may wait.

use std::sync::Arc;

use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use kingcupwinch_config::{Class, ClassKind, Customer, Service, Tree};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::Problem;
use uuid::Uuid;

use crate::server::body::Held;
use crate::server::headers::{Hop, Key, Wanted, strip};
use crate::server::problem::{not_run, try_later};
use crate::shared::InForce;

/// When a caller may come back to an instance that has no configuration yet.
const NO_CONFIG_RETRY: Span = Span::from_secs(1);

/// A live request that may wait.
#[derive(Debug)]
pub(crate) struct LiveRequest {
    /// Its id.
    pub(crate) id: Uuid,
    /// The service it is for.
    pub(crate) service: Arc<str>,
    /// Its class.
    pub(crate) class: Arc<str>,
    /// Its customer.
    pub(crate) customer: Arc<str>,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// The caller's key; there is one where it may run only once.
    pub(crate) key: Option<Key>,
    /// Where it was forwarded from, none if a caller sent it here.
    pub(crate) hop: Option<Hop>,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// When its answer is of no more use.
    pub(crate) deadline: Option<Time>,
    /// Its method.
    pub(crate) method: Method,
    /// Its headers, without those of one hop and of the system.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Held,
}

/// A live request's head, checked against the configuration.
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
    /// Returns the refusal that says what is wrong; nothing ran.
    pub(crate) fn check(
        config: &InForce,
        service: &str,
        headers: &HeaderMap,
        arrived: Time,
    ) -> Result<Self, Problem> {
        let bad = |code, detail: String| not_run(StatusCode::BAD_REQUEST, code, detail);
        let wanted =
            Wanted::read(headers, arrived).map_err(|err| bad("bad-header", err.to_string()))?;
        let (service, declared) = find_service(config, service)?;
        let (class, policy) = find_class(&config.tree, &service, declared, wanted.class.as_ref())?;
        let customer = find_customer(&config.tree, wanted.customer.as_ref())?;
        if !policy.idempotent && wanted.key.is_none() {
            let detail = format!("class {class} is not idempotent, so Idempotency-Key is required");
            return Err(bad("key-required", detail));
        }
        let patience = policy
            .deadline_ms
            .map(|ms| arrived + Span::from_millis(ms.get()));
        let deadline = [wanted.deadline, patience].into_iter().flatten().min();
        let idempotent = policy.idempotent;
        Ok(Admission {
            service,
            class,
            customer,
            idempotent,
            key: wanted.key,
            deadline,
            arrived,
        })
    }

    /// Joins the checked head to the rest of the request.
    pub(crate) fn admit(self, parts: Parts, body: Held) -> LiveRequest {
        let mut headers = parts.headers;
        strip(&mut headers);
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

    /// Joins the checked head to the rest of a request that a sibling forwarded.
    pub(crate) fn admit_forwarded(self, parts: Parts, body: Held, hop: Hop) -> LiveRequest {
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

fn find_service<'a>(config: &'a InForce, name: &str) -> Result<(Arc<str>, &'a Service), Problem> {
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
    wanted: Option<&Arc<str>>,
) -> Result<(Arc<str>, &'a Class), Problem> {
    let name = wanted.unwrap_or(&declared.default_class);
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

/// Returns the named customer, or the only one where none is named.
pub(crate) fn find_customer(tree: &Tree, wanted: Option<&Arc<str>>) -> Result<Arc<str>, Problem> {
    let named: Option<(&Arc<str>, &Customer)> = match wanted {
        Some(name) => tree.customers.get_key_value(name),
        None if tree.customers.len() == 1 => tree.customers.first(),
        None => None,
    };
    let found = named.map(|(name, _)| Arc::clone(name));
    found.ok_or_else(|| {
        let detail = match wanted {
            Some(name) => format!("customer {name} is not configured"),
            None => "Kcw-Customer is required where there are several customers".to_owned(),
        };
        not_run(StatusCode::BAD_REQUEST, "unknown-customer", detail)
    })
}
