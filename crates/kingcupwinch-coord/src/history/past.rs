//! Past versions, bounded in number and bytes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Entry;

/// The newest past versions, oldest first.
#[derive(Debug, Clone)]
pub(super) struct Past {
    entries: VecDeque<Arc<Entry>>,
    bytes: usize,
    most_entries: usize,
    most_bytes: usize,
}

impl Past {
    pub(super) fn new(most_entries: usize, most_bytes: usize) -> Self {
        Past {
            entries: VecDeque::new(),
            bytes: 0,
            most_entries,
            most_bytes,
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.iter()
    }

    pub(super) fn push(&mut self, entry: Arc<Entry>) {
        self.bytes += entry.tree.len();
        self.entries.push_back(entry);
        while self.entries.len() > self.most_entries || self.bytes > self.most_bytes {
            let Some(old) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= old.tree.len();
        }
    }
}
