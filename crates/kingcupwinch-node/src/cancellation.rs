//! The value of a cancellation in the intake.

use std::sync::Arc;

use bytes::Bytes;
use kingcupwinch_cell::Requester;
use serde::{Deserialize, Serialize};

use crate::events::abbreviated;

#[cfg(test)]
mod tests;

/// Value of a cancellation on behalf of any caller, as earlier versions write all of them. They read
/// no value.
const UNRESTRICTED: &[u8] = b"1";

#[derive(Serialize, Deserialize)]
struct Body {
    /// Customer of the caller; `None` if the caller had no key of one.
    customer: Option<Arc<str>>,
}

/// Encodes on whose behalf a job is cancelled.
///
/// # Errors
///
/// Fails if serialization fails.
pub(crate) fn encode(requester: &Requester) -> Result<Bytes, serde_json::Error> {
    let customer = match requester {
        Requester::Anyone => return Ok(Bytes::from_static(UNRESTRICTED)),
        Requester::Public => None,
        Requester::Customer(name) => Some(Arc::clone(name)),
    };
    Ok(serde_json::to_vec(&Body { customer })?.into())
}

/// Decodes on whose behalf a job is cancelled. Any other value is that of an earlier version.
pub(crate) fn decode(value: &[u8]) -> Requester {
    match serde_json::from_slice(value) {
        Ok(Body { customer: None }) => Requester::Public,
        Ok(Body {
            customer: Some(name),
        }) => Requester::Customer(name),
        Err(_) => Requester::Anyone,
    }
}

/// Returns the customer for whom a request was made, as it is logged.
pub(crate) fn customer_name(requester: &Requester) -> Option<String> {
    match requester {
        Requester::Customer(name) => Some(abbreviated(name)),
        Requester::Anyone | Requester::Public => None,
    }
}
