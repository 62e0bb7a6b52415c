//! The headers of a live request, and those that callers and workers may not set.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_time::{Span, Time, WallTime};
use quick_error::quick_error;
use uuid::Uuid;

/// Class of a request.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("kcw-class");
/// Customer that a request is accounted to.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("kcw-customer");
/// Time left when the request was sent, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("kcw-deadline-ms");
/// Caller's idempotency key, for non-idempotent work.
pub(crate) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Between siblings: id of the request.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("kcw-request");
/// Between siblings: number of the attempt.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("kcw-attempt");
/// Between siblings: incarnation of the forwarding instance.
pub(crate) const FROM: HeaderName = HeaderName::from_static("kcw-from");
/// Between siblings: time that the request has waited, in milliseconds.
pub(crate) const WAITED: HeaderName = HeaderName::from_static("kcw-waited-ms");
/// Between siblings: [`RAN`] on an answer that is the worker's own.
pub(crate) const ANSWER: HeaderName = HeaderName::from_static("kcw-answer");

/// Value of [`ANSWER`].
pub(crate) const RAN: &str = "ran";

const SYSTEM_PREFIXES: [&str; 2] = ["kcw-", "platform-"];
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";

/// Maximum accepted deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

quick_error! {
    /// The reason for which a header can't be used.
    #[derive(Debug, PartialEq, Eq)]
    pub enum HeaderError {
        /// The header occurs more than once.
        Repeated(name: HeaderName) {
            display("header {name} occurs more than once")
        }
        /// The value is not visible ASCII text.
        NotText(name: HeaderName) {
            display("header {name} is not visible ASCII text")
        }
        /// The value is not a whole number in range.
        NotNumber(name: HeaderName) {
            display("header {name} is not a whole number of milliseconds from 1 to a day")
        }
        /// The idempotency key is not a UUID of version 7.
        NotKey {
            display("header idempotency-key is not a UUID of version 7")
        }
        /// A header set by siblings is missing or malformed.
        NotSibling(name: HeaderName) {
            display("header {name} is missing or malformed on a forwarded request")
        }
    }
}

/// A caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    /// The key.
    pub(crate) id: Uuid,
    /// Time at which the caller generated the key, by the caller's clock.
    pub(crate) issued: WallTime,
}

/// The values of a live request's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestHeaders {
    /// Class, if given.
    pub(crate) class: Option<Arc<str>>,
    /// Customer, if given.
    pub(crate) customer: Option<Arc<str>>,
    /// Time after which the answer is of no use, if given.
    pub(crate) deadline: Option<Time>,
    /// Idempotency key, if given.
    pub(crate) key: Option<Key>,
}

impl RequestHeaders {
    /// Parses the headers of a request that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError`] if one is repeated or malformed.
    pub(crate) fn read(headers: &HeaderMap, now: Time) -> Result<Self, HeaderError> {
        let deadline = match text(headers, &DEADLINE)? {
            Some(value) => Some(now + parse_left(value)?),
            None => None,
        };
        Ok(RequestHeaders {
            class: text(headers, &CLASS)?.map(Arc::from),
            customer: text(headers, &CUSTOMER)?.map(Arc::from),
            deadline,
            key: text(headers, &KEY)?.map(parse_key).transpose()?,
        })
    }
}

fn parse_left(value: &str) -> Result<Span, HeaderError> {
    let millis: u64 = value
        .parse()
        .map_err(|_| HeaderError::NotNumber(DEADLINE))?;
    if millis == 0 || millis > MAX_DEADLINE_MS {
        return Err(HeaderError::NotNumber(DEADLINE));
    }
    Ok(Span::from_millis(millis))
}

fn parse_key(value: &str) -> Result<Key, HeaderError> {
    let id = Uuid::parse_str(value).map_err(|_| HeaderError::NotKey)?;
    if id.get_version_num() != 7 {
        return Err(HeaderError::NotKey);
    }
    let (secs, nanos) = id.get_timestamp().ok_or(HeaderError::NotKey)?.to_unix();
    let millis = secs
        .saturating_mul(1_000)
        .saturating_add(u64::from(nanos / 1_000_000));
    Ok(Key {
        id,
        issued: WallTime::from_millis(millis),
    })
}

/// Returns a header's text, or `None` if the header is absent.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeaderError::Repeated(name.clone()));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| HeaderError::NotText(name.clone()))
}

/// The origin of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hop {
    /// Id of the request.
    pub(crate) request: Uuid,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// Incarnation of the forwarding instance, as a UUID.
    pub(crate) from: Uuid,
    /// Time that the request has waited.
    pub(crate) waited: Span,
}

impl Hop {
    /// Returns the incarnation of the forwarding instance.
    pub(crate) fn sender(&self) -> Incarnation {
        Incarnation(self.from)
    }

    /// Parses the headers that siblings set.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError::NotSibling`] if one is missing or malformed.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        Ok(Hop {
            request: parse(headers, &REQUEST)?,
            attempt: parse(headers, &ATTEMPT)?,
            from: parse(headers, &FROM)?,
            waited: Span::from_millis(parse(headers, &WAITED)?),
        })
    }

    /// Sets the headers that siblings read.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        set(headers, REQUEST, &self.request.to_string());
        set(headers, ATTEMPT, &self.attempt.to_string());
        set(headers, FROM, &self.from.to_string());
        set(headers, WAITED, &self.waited.as_millis().to_string());
    }
}

fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<T, HeaderError> {
    let text = text(headers, name).ok().flatten();
    let value = text.and_then(|text| text.parse().ok());
    value.ok_or_else(|| HeaderError::NotSibling(name.clone()))
}

/// Sets a header to text that is known to be visible ASCII.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Removes hop-by-hop headers and those reserved for the system and the platform.
pub(crate) fn strip_reserved(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    let drop: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_reserved(name))
        .cloned()
        .collect();
    for name in drop.into_iter().chain(named) {
        headers.remove(&name);
    }
}

fn is_reserved(name: &HeaderName) -> bool {
    let text = name.as_str();
    HOP_HEADERS.contains(name)
        || text == KEEP_ALIVE
        || SYSTEM_PREFIXES
            .iter()
            .any(|prefix| text.starts_with(prefix))
}

/// Returns the headers that a `Connection` header declares as hop-by-hop.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let tokens = values.flat_map(|value| value.split(','));
    tokens
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}
