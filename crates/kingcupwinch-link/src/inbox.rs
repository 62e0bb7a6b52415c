use std::sync::Arc;

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind};
use tokio::sync::{mpsc, oneshot};

use crate::LinkEvent;
use crate::event::Counters;

/// The receiving ends of the links.
#[derive(Debug)]
pub struct Inbox {
    /// Messages from members of the group.
    pub messages: mpsc::Receiver<Incoming>,
    /// Link events; events are dropped while the queue is full.
    pub events: mpsc::Receiver<LinkEvent>,
}

/// A received message. Dropping a request without a reply tells the requester that there is no
/// response.
#[derive(Debug)]
pub struct Incoming {
    /// The message, already checked to be from a member of the group and for this instance.
    pub envelope: Envelope,
    reply_to: Option<oneshot::Sender<Body>>,
    counters: Arc<Counters>,
}

impl Incoming {
    pub(crate) fn new(envelope: Envelope, counters: Arc<Counters>) -> Self {
        Incoming {
            envelope,
            reply_to: None,
            counters,
        }
    }

    pub(crate) fn with_reply(mut self, reply_to: oneshot::Sender<Body>) -> Self {
        self.reply_to = Some(reply_to);
        self
    }

    /// Returns the sender.
    pub fn from(&self) -> Incarnation {
        self.envelope.from
    }

    /// Returns whether the sender waits for a response.
    pub fn expects_reply(&self) -> bool {
        self.envelope.kind == EnvelopeKind::Request
    }

    /// Returns whether the requester has stopped waiting, so that a reply would be late.
    pub fn is_abandoned(&self) -> bool {
        self.reply_to
            .as_ref()
            .is_some_and(oneshot::Sender::is_closed)
    }

    /// Replies to a request; does nothing for a one-way message.
    pub fn reply(self, body: Body) {
        let Some(reply_to) = self.reply_to else {
            return;
        };
        if reply_to.send(body).is_err() {
            self.counters.late_answers.add(1);
        }
    }
}
