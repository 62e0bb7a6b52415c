//! Memory that the buffered request bodies of all listeners may use together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is not charged: while large bodies use up the memory, ordinary requests, whose
/// bodies are a few kilobytes, are still read.
const FREE_BYTES: usize = 8 * 1024;

/// Memory for buffered bodies, of which each takes a [`Charge`].
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory(Arc<Semaphore>);

/// What one body has charged; released when dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    memory: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Creates a memory of so many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        BodyMemory(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }

    /// Returns the charge of a body of which nothing has arrived.
    pub(crate) fn charge(&self) -> Charge {
        Charge {
            memory: Arc::clone(&self.0),
            permit: None,
        }
    }
}

impl Charge {
    /// Raises the charge to that of a buffer of so many bytes; returns false, without a change, if there
    /// is not so much memory.
    pub(crate) fn raise(&mut self, size: usize) -> bool {
        let charged = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let added = size.saturating_sub(FREE_BYTES).saturating_sub(charged);
        if added == 0 {
            return true;
        }
        let Ok(added) = u32::try_from(added) else {
            return false;
        };
        let Ok(permit) = Arc::clone(&self.memory).try_acquire_many_owned(added) else {
            return false;
        };
        match &mut self.permit {
            Some(known) => known.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }
}
