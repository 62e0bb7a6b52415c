use std::sync::atomic::{AtomicU64, Ordering};

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::DecodeError;

/// A link event that is reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A peer is connected and has this instance as a peer.
    Up(Incarnation),
    /// The connection to a peer was lost.
    Down(Incarnation),
    /// A message from an incarnation outside the group, or for another incarnation, was rejected.
    Foreign {
        /// The sender of the message.
        from: Incarnation,
        /// The intended receiver.
        to: Incarnation,
    },
    /// A message that is not a valid envelope was rejected.
    Malformed(DecodeError),
    /// A request body that exceeded the size limit or the timeout, or failed, was rejected.
    Unread,
    /// A message from this peer was rejected because the inbox was full.
    InboxFull(Incarnation),
    /// A response from this peer to another request, attempt or incarnation was discarded.
    Mismatched(Incarnation),
}

/// Message counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Messages sent, including requests.
    pub sent: u64,
    /// Bytes of messages sent.
    pub sent_bytes: u64,
    /// Messages accepted into the inbox.
    pub received: u64,
    /// Messages rejected on arrival, for any reason.
    pub dropped: u64,
    /// One-way messages that were sent and not acknowledged.
    pub lost: u64,
    /// Responses given after the requester had stopped waiting.
    pub late_answers: u64,
    /// Responses discarded because they belong to another request, attempt or incarnation.
    pub mismatched: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) sent: Counter,
    pub(crate) sent_bytes: Counter,
    pub(crate) received: Counter,
    pub(crate) dropped: Counter,
    pub(crate) lost: Counter,
    pub(crate) late_answers: Counter,
    pub(crate) mismatched: Counter,
}

impl Counters {
    pub(crate) fn counts(&self) -> LinkCounts {
        LinkCounts {
            sent: self.sent.get(),
            sent_bytes: self.sent_bytes.get(),
            received: self.received.get(),
            dropped: self.dropped.get(),
            lost: self.lost.get(),
            late_answers: self.late_answers.get(),
            mismatched: self.mismatched.get(),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
