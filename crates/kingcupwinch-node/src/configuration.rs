//! The instance's copy of the configuration that operators publish, and how recent the copy is.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kingcupwinch_adapter::QueueTable;
use kingcupwinch_time::{Span, Time};
use tokio::sync::Notify;

mod follower;
#[cfg(test)]
mod tests;

pub(crate) use follower::follow;

/// A version of the configuration and where it was read.
#[derive(Debug, Clone)]
pub(crate) struct Version {
    pub(crate) table: Arc<QueueTable>,
    /// Offset of its record in the log.
    pub(crate) offset: u64,
}

/// The copy at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// Version in force; `None` until the first was read.
    pub(crate) version: Option<Version>,
    /// Time as of which this was the latest version in the log.
    pub(crate) confirmed_at: Option<Time>,
    /// Offset of a later version that could not be decoded.
    skipped: Option<u64>,
}

/// The copy of the configuration that is in force on this instance.
#[derive(Debug)]
pub(crate) struct Configuration {
    copy: Mutex<Snapshot>,
    /// Maximum age of the copy for the instance to report that a route does not exist.
    max_age: Span,
    /// Notified when a caller needs a more recent copy.
    outdated: Notify,
}

impl Snapshot {
    /// Returns the number of the version in force.
    pub(crate) fn number(&self) -> Option<u64> {
        self.version.as_ref().map(|version| version.table.version)
    }

    /// Returns the offset at which the version in force was read.
    pub(crate) fn offset(&self) -> Option<u64> {
        self.version.as_ref().map(|version| version.offset)
    }

    /// Returns the age of the copy; `None` if it was never confirmed.
    pub(crate) fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }
}

impl Configuration {
    /// Creates a copy without a version. Every version applies within `bound` after its
    /// acknowledgement.
    pub(crate) fn new(bound: Span) -> Self {
        Configuration {
            copy: Mutex::default(),
            max_age: bound,
            outdated: Notify::new(),
        }
    }

    /// Returns the copy as it is now.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    /// Returns whether a version is in force.
    pub(crate) fn is_loaded(&self) -> bool {
        self.lock().version.is_some()
    }

    /// Returns whether the version in force has customers.
    pub(crate) fn has_customers(&self) -> bool {
        let copy = self.lock();
        let version = copy.version.as_ref();
        version.is_some_and(|version| version.table.customers.is_some())
    }

    /// Puts a version into force unless it is not newer; returns whether it was put into force.
    pub(crate) fn apply(&self, version: Version) -> bool {
        let mut copy = self.lock();
        if copy.skipped.is_some_and(|offset| offset < version.offset) {
            copy.skipped = None;
        }
        let is_newer = copy
            .version
            .as_ref()
            .is_none_or(|current| current.table.version < version.table.version);
        if is_newer {
            copy.version = Some(version);
        }
        is_newer
    }

    /// Records that the version at an offset can't be decoded. Until a later one is read, it is not
    /// known what is in force.
    pub(crate) fn skip(&self, offset: u64) {
        self.lock().skipped = Some(offset);
    }

    /// Records that the log has no later record as of `at`; returns whether the copy is then known to
    /// be the latest version.
    pub(crate) fn confirm(&self, at: Time) -> bool {
        let mut copy = self.lock();
        if copy.skipped.is_some() {
            return false;
        }
        copy.confirmed_at = copy.confirmed_at.max(Some(at));
        true
    }

    /// Returns whether a copy certainly lacks no version that has to be in force.
    pub(crate) fn is_confirmed(&self, copy: &Snapshot, now: Time) -> bool {
        copy.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Asks for the log to be read at once.
    pub(crate) fn request_read(&self) {
        self.outdated.notify_one();
    }

    /// Waits until the log has to be read at once.
    pub(crate) async fn read_requested(&self) {
        self.outdated.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
