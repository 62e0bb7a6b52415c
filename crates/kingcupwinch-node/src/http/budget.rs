//! Memory that the request bodies of one listener may use together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Part of a body that is not charged to the budget but belongs to its connection: while large bodies
/// use up the budget, ordinary submissions, which are a few kilobytes, are still read.
pub(crate) const FREE_BYTES: usize = 8 << 10;
/// Size of a whole body is charged this many times while its request is handled: for the body, the
/// payload decoded from it, and the record that is appended.
pub(crate) const HANDLED_COPIES: usize = 3;

/// Bytes that are charged and the limit of the listener.
#[derive(Debug)]
pub(crate) struct Budget {
    limit: usize,
    used: Mutex<usize>,
    released: Notify,
}

/// What one body has charged; released when dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of so many bytes.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Budget {
            limit,
            used: Mutex::new(0),
            released: Notify::new(),
        })
    }

    /// Returns the number of bytes that are charged.
    pub(crate) fn used(&self) -> usize {
        *self.lock()
    }

    /// Waits until a charge is released.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Charge {
    /// Creates the charge of a body of which nothing has arrived.
    pub(crate) fn new(budget: &Arc<Budget>) -> Self {
        Charge {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Raises the charge to what `size` bytes of memory cost; returns false, without a change, if that
    /// exceeds the budget.
    pub(crate) fn raise(&mut self, size: usize) -> bool {
        let bytes = size.saturating_sub(FREE_BYTES);
        let added = bytes.saturating_sub(self.bytes);
        let mut used = self.budget.lock();
        if added > self.budget.limit.saturating_sub(*used) {
            return false;
        }
        *used += added;
        self.bytes += added;
        true
    }

    /// Returns the number of bytes that are charged.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        *self.budget.lock() -= self.bytes;
        if self.bytes > 0 {
            self.budget.released.notify_waiters();
        }
    }
}
