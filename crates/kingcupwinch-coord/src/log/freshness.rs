//! How old a view of the log is.

use kingcupwinch_time::Time;

use crate::id::Offset;

/// A read whose records have not all been applied yet.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    sent: Time,
    tail: Offset,
}

/// The time up to which a view is known to hold everything appended before.
///
/// A read sent at `sent` that saw the stream end at `tail` makes the view fresh as of `sent`, once
/// everything before `tail` has been applied.
#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    at: Option<Time>,
    pending: Option<PendingRead>,
}

impl Freshness {
    /// Returns the time as of which the view is complete, none before the first such read.
    pub(crate) fn at(&self) -> Option<Time> {
        self.at
    }

    /// Records a read that was sent at `sent` and saw the stream end at `tail`.
    pub(crate) fn read(&mut self, sent: Time, tail: Offset, applied: Offset) {
        self.applied(applied);
        if applied >= tail {
            self.at = self.at.max(Some(sent));
        } else if self.pending.is_none() {
            self.pending = Some(PendingRead { sent, tail });
        }
    }

    /// Forgets reads that were waiting for records that will not come.
    pub(crate) fn rebased(&mut self) {
        self.pending = None;
    }

    fn applied(&mut self, applied: Offset) {
        let Some(pending) = self.pending else { return };
        if applied >= pending.tail {
            self.at = self.at.max(Some(pending.sent));
            self.pending = None;
        }
    }
}
