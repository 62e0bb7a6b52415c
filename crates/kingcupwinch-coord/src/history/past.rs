//! Past versions, bounded in number and bytes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Entry;

/// The newest past versions, oldest first.
#[derive(Debug, Clone)]
pub(super) struct PastVersions {
    entries: VecDeque<Arc<Entry>>,
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
}

impl PastVersions {
    pub(super) fn new(max_entries: usize, max_bytes: usize) -> Self {
        PastVersions {
            entries: VecDeque::new(),
            bytes: 0,
            max_entries,
            max_bytes,
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.iter()
    }

    pub(super) fn push(&mut self, entry: Arc<Entry>) {
        self.bytes += entry.tree.len();
        self.entries.push_back(entry);
        while self.entries.len() > self.max_entries || self.bytes > self.max_bytes {
            let Some(old) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= old.tree.len();
        }
    }
}
