//! Freshness of a view of the log.

use kingcupwinch_time::Time;

use crate::id::Offset;

/// A read that saw records which have not all been applied yet.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    sent: Time,
    tail: Offset,
}

/// Tracks the time as of which a view is known to be complete.
///
/// A read that was sent at `sent` and saw the stream end at `tail` makes the view fresh as of
/// `sent` once all records before `tail` have been applied.
#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    at: Option<Time>,
    pending: Option<PendingRead>,
}

impl Freshness {
    /// Returns the time as of which the view is complete, or `None` before the first such read.
    pub(crate) fn at(&self) -> Option<Time> {
        self.at
    }

    /// Records a read that was sent at `sent` and saw the stream end at `tail`.
    pub(crate) fn record_read(&mut self, sent: Time, tail: Offset, applied: Offset) {
        self.complete_pending(applied);
        if applied >= tail {
            self.at = self.at.max(Some(sent));
        } else if self.pending.is_none() {
            self.pending = Some(PendingRead { sent, tail });
        }
    }

    /// Drops a pending read whose records will not be applied.
    pub(crate) fn reset(&mut self) {
        self.pending = None;
    }

    fn complete_pending(&mut self, applied: Offset) {
        let Some(pending) = self.pending else { return };
        if applied >= pending.tail {
            self.at = self.at.max(Some(pending.sent));
            self.pending = None;
        }
    }
}
