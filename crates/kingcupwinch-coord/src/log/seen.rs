//! A bounded memory of record ids.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;

use crate::id::RecordId;

/// The newest ids, up to a bound.
#[derive(Debug, Clone)]
pub(crate) struct SeenIds {
    order: VecDeque<RecordId>,
    ids: FxHashSet<RecordId>,
    limit: usize,
}

impl SeenIds {
    pub(crate) fn new(limit: usize) -> Self {
        SeenIds {
            order: VecDeque::new(),
            ids: FxHashSet::default(),
            limit,
        }
    }

    /// Remembers an id; returns false if it was there already.
    pub(crate) fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > self.limit {
            self.drop_oldest();
        }
        true
    }

    /// Forgets every id.
    pub(crate) fn clear(&mut self) {
        self.order.clear();
        self.ids.clear();
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.ids.remove(&oldest);
        }
    }
}
