//! Tracks how recent the owner's view of the intake is.

use kingcupwinch_adapter::Partition;
use kingcupwinch_time::{Span, Time};

#[cfg(test)]
mod tests;

/// Maximum age of the view for the owner to report that a job does not exist. A job is visible three
/// seconds after its acceptance, and the reply to a sibling takes time as well. The view of a
/// partition into which few jobs arrive is up to two long polls and a pause old.
pub(crate) const MAX_LOOKUP_AGE: Span = Span::from_millis(2_300);
/// Maximum age of the view for the owner to count the waiting jobs of a queue.
pub(crate) const MAX_COUNT_AGE: Span = Span::from_millis(4_000);

/// The time as of which all records of each partition are known.
#[derive(Debug, Clone)]
pub(crate) struct Freshness {
    reads: Vec<(Partition, Time)>,
}

impl Freshness {
    /// Creates the state in which the records of all partitions are known as of `at`.
    pub(crate) fn new(partitions: impl Iterator<Item = Partition>, at: Time) -> Self {
        Freshness {
            reads: partitions.map(|partition| (partition, at)).collect(),
        }
    }

    /// Records that all records of a partition are known as of `at`.
    pub(crate) fn mark_read(&mut self, partition: Partition, at: Time) {
        let rows = self
            .reads
            .iter_mut()
            .filter(|(known, _)| *known == partition);
        for (_, read) in rows {
            *read = at.max(*read);
        }
    }

    /// Returns whether the view of every partition is at most `max_age` old.
    pub(crate) fn is_fresh(&self, now: Time, max_age: Span) -> bool {
        self.reads
            .iter()
            .all(|(_, read)| now.since(*read) <= max_age)
    }
}

/// Returns the time as of which a read to the end of a partition certainly shows all records. The
/// response may have been on its way for long. Only a read without records is known to have waited
/// at the store, for the whole `wait`.
pub(crate) fn view_time(sent: Time, received: Time, wait: Span, is_empty: bool) -> Time {
    if is_empty && received.since(sent) >= wait {
        sent + wait
    } else {
        sent
    }
}
