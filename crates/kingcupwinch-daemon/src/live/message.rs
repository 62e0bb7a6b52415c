//! Builds the HTTP messages that carry a live request to a worker or to another instance.

use hyper::Request;
use kingcupwinch_time::{Span, Time};

use super::LiveRequest;
use crate::server::body::Body;
use crate::server::headers::{CLASS, CUSTOMER, DEADLINE, set};

/// Maximum time until an answer begins if the request has no deadline.
const MAX_RUN: Span = Span::from_secs(3_600);

impl LiveRequest {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Time) -> Span {
        self.deadline
            .map_or(MAX_RUN, |deadline| deadline.since(now))
    }

    /// Builds the message for a worker.
    pub(crate) fn worker_message(&self, body: Body) -> Request<Body> {
        let mut message = Request::new(body);
        *message.method_mut() = self.method.clone();
        *message.headers_mut() = self.headers.clone();
        message
    }

    /// Builds the message for another instance, with the same class and deadline.
    pub(crate) fn instance_message(&self, body: Body, left: Span) -> Request<Body> {
        let mut message = self.worker_message(body);
        if let Ok(uri) = format!("/v1/run/{}", self.service).parse() {
            *message.uri_mut() = uri;
        }
        let headers = message.headers_mut();
        set(headers, CLASS, &self.class);
        set(headers, CUSTOMER, &self.customer);
        set(headers, DEADLINE, &left.as_millis().max(1).to_string());
        message
    }
}
