//! The decision whether a request is served, by the key of its caller.

use std::sync::Arc;

use kingcupwinch_adapter::{QueueTable, Route};
use kingcupwinch_cell::Requester;
use kingcupwinch_time::Span;

#[cfg(test)]
mod tests;

/// What is known of the copy of the configuration by which a request is decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CopyAge {
    /// Whether the copy certainly lacks no version that has to be in force.
    pub(crate) is_confirmed: bool,
    /// Time since the copy was the latest; `None` if it was never confirmed.
    pub(crate) age: Option<Span>,
    /// Age of the copy from which no key is served, if there is such a limit.
    pub(crate) revoke_limit: Option<Span>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It has no key.
    NoKey,
    /// No customer has its key.
    UnknownKey,
    /// The copy may lack a version that withdrew its key.
    Revocable,
    /// The job is another customer's.
    OtherCustomer,
}

impl Refusal {
    /// Returns the name in metrics and log events.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Refusal::NoKey => "no_key",
            Refusal::UnknownKey => "unknown_key",
            Refusal::Revocable => "copy_too_old",
            Refusal::OtherCustomer => "other_customer",
        }
    }
}

/// Whether a request is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Access {
    /// It is served on behalf of this requester.
    Allowed(Requester),
    /// It certainly has no key of a customer.
    Unauthorized(Refusal),
    /// A more recent copy of the configuration is needed to tell.
    NotKnown(Refusal),
}

/// Decides whether a request to a route is served. `key` is what the request carries as its key.
pub(crate) fn check(
    table: &QueueTable,
    route: &Route,
    key: Option<&[u8]>,
    copy: CopyAge,
) -> Access {
    if table.customers.is_none() {
        return Access::Allowed(Requester::Anyone);
    }
    let key = key.filter(|key| !key.is_empty());
    let customer = key.and_then(|key| table.keys.find(key));
    let customer = customer.map(|name| Requester::Customer(Arc::clone(name)));
    if route.is_public {
        return Access::Allowed(customer.unwrap_or(Requester::Public));
    }
    match customer {
        Some(_) if copy.is_beyond_limit() => Access::NotKnown(Refusal::Revocable),
        Some(customer) => Access::Allowed(customer),
        None => {
            let refusal = match key {
                None => Refusal::NoKey,
                Some(_) => Refusal::UnknownKey,
            };
            // An older copy may lack the version that added the key or made the route public.
            if copy.is_confirmed {
                Access::Unauthorized(refusal)
            } else {
                Access::NotKnown(refusal)
            }
        }
    }
}

impl CopyAge {
    fn is_beyond_limit(&self) -> bool {
        self.revoke_limit
            .is_some_and(|limit| self.age.is_none_or(|age| age > limit))
    }
}
