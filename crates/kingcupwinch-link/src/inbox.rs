use std::sync::Arc;

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind};
use tokio::sync::{mpsc, oneshot};

use crate::LinkEvent;
use crate::event::Counters;

/// What arrives on the links.
#[derive(Debug)]
pub struct Inbox {
    /// Messages from the group.
    pub messages: mpsc::Receiver<Incoming>,
    /// Notes about the links; some are lost if they are not taken.
    pub events: mpsc::Receiver<LinkEvent>,
}

/// A message that has arrived. If it was asked and is dropped, the asker learns that there is no
/// answer.
#[derive(Debug)]
pub struct Incoming {
    /// The message; its sender is in the group and means this instance.
    pub envelope: Envelope,
    answer: Option<oneshot::Sender<Body>>,
    counters: Arc<Counters>,
}

impl Incoming {
    pub(crate) fn new(envelope: Envelope, counters: Arc<Counters>) -> Self {
        Incoming {
            envelope,
            answer: None,
            counters,
        }
    }

    pub(crate) fn with_answer(mut self, answer: oneshot::Sender<Body>) -> Self {
        self.answer = Some(answer);
        self
    }

    /// Returns the sender.
    pub fn from(&self) -> Incarnation {
        self.envelope.from
    }

    /// Returns whether the sender waits for an answer.
    pub fn expects_reply(&self) -> bool {
        self.envelope.kind == EnvelopeKind::Request
    }

    /// Returns whether the asker has given up, so that an answer would be late.
    pub fn is_abandoned(&self) -> bool {
        self.answer.as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Answers the message; does nothing if it was told and not asked.
    pub fn reply(self, body: Body) {
        let Some(answer) = self.answer else {
            return;
        };
        if answer.send(body).is_err() {
            self.counters.late_answers.add(1);
        }
    }
}
