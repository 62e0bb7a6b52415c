//! Ended jobs, remembered so that a doubled `Accepted` record can't open them again.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::id::JobId;
use crate::record::JobEnd;

/// The newest ended jobs, bounded in number.
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

    /// Returns the ends in the order in which they were read.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobId, JobEnd)> {
        self.order.iter().filter_map(|j| Some((*j, self.get(*j)?)))
    }

    /// Notes an end; the first one of a job stands. Returns whether it was the first.
    pub(super) fn note(&mut self, job: JobId, end: JobEnd) -> bool {
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
