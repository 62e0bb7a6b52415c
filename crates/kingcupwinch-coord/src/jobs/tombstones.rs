//! Tombstones of ended jobs, so that a duplicate `Accepted` record can't reopen them.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::id::JobId;
use crate::record::JobEnd;

/// The most recently ended jobs, up to a limit.
#[derive(Debug, Clone)]
pub(super) struct Tombstones {
    ends: FxHashMap<JobId, JobEnd>,
    order: VecDeque<JobId>,
    limit: usize,
}

impl Tombstones {
    pub(super) fn new(limit: usize) -> Self {
        Tombstones {
            ends: FxHashMap::default(),
            order: VecDeque::new(),
            limit,
        }
    }

    pub(super) fn get(&self, job: JobId) -> Option<JobEnd> {
        self.ends.get(&job).copied()
    }

    /// Returns the ended jobs in the order in which their ends were read.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobId, JobEnd)> {
        self.order.iter().filter_map(|j| Some((*j, self.get(*j)?)))
    }

    /// Records the end of a job, and returns whether it is the first one; later ones are ignored.
    pub(super) fn insert(&mut self, job: JobId, end: JobEnd) -> bool {
        if self.ends.contains_key(&job) {
            return false;
        }
        self.ends.insert(job, end);
        self.order.push_back(job);
        while self.order.len() > self.limit {
            if let Some(old) = self.order.pop_front() {
                self.ends.remove(&old);
            }
        }
        true
    }
}
