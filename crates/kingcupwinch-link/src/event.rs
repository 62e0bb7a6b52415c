use std::sync::atomic::{AtomicU64, Ordering};

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::DecodeError;

/// Something about the links that an operator may want to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A peer is connected and knows this instance.
    Up(Incarnation),
    /// The connection to a peer was lost.
    Down(Incarnation),
    /// A message from outside the group, or for another incarnation, was dropped.
    Foreign {
        /// Its sender.
        from: Incarnation,
        /// The receiver that it means.
        to: Incarnation,
    },
    /// A message that is not a valid envelope was dropped.
    Malformed(DecodeError),
    /// A message that is too large, too slow or no message at all was dropped.
    Unread,
    /// A message was dropped because the inbox was full.
    InboxFull(Incarnation),
    /// An answer to another request, attempt or incarnation was dropped.
    Mismatched(Incarnation),
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Messages sent, asked ones included.
    pub sent: u64,
    /// Bytes of messages sent.
    pub sent_bytes: u64,
    /// Messages taken into the inbox.
    pub received: u64,
    /// Messages dropped on arrival, for any reason.
    pub dropped: u64,
    /// Told messages that were sent and not acknowledged.
    pub lost: u64,
    /// Answers that were made after the asker had given up.
    pub late_answers: u64,
    /// Answers dropped because they belong to another request.
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
