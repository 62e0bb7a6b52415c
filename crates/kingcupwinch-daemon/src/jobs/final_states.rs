//! The final states of jobs that ended on this instance, for callers that ask afterwards.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_coord::id::JobId;
use kingcupwinch_wire::api::JobStatus;
use rustc_hash::FxHashMap;

/// Maximum number of stored states.
const MAX_FINAL_STATES: usize = 4_096;

/// A bounded store of final states that evicts the oldest first.
#[derive(Debug, Default)]
pub(crate) struct FinalStates {
    states: FxHashMap<Arc<str>, JobStatus>,
    order: VecDeque<Arc<str>>,
}

impl FinalStates {
    /// Stores a job's final state.
    pub(crate) fn push(&mut self, state: JobStatus) {
        let job = Arc::clone(&state.job);
        if self.states.insert(Arc::clone(&job), state).is_none() {
            self.order.push_back(job);
        }
        while self.order.len() > MAX_FINAL_STATES {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.states.remove(&oldest));
        }
    }

    /// Returns a job's final state, or `None` if it is not stored.
    pub(crate) fn get(&self, job: JobId) -> Option<JobStatus> {
        self.states.get(&*job.to_string()).cloned()
    }
}
