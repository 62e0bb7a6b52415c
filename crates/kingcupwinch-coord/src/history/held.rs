//! Publications that wait for a base.

use std::collections::VecDeque;

use crate::id::Offset;
use crate::record::{ConfigRecord, Stamped};

/// Publications in log order, complete from `floor` on; the oldest go first when bytes run out.
#[derive(Debug, Clone)]
pub(super) struct HeldPublications {
    floor: Offset,
    records: VecDeque<(Offset, Stamped<ConfigRecord>)>,
    bytes: usize,
    limit: usize,
}

impl HeldPublications {
    pub(super) fn new(floor: Offset, limit: usize) -> Self {
        HeldPublications {
            floor,
            records: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    pub(super) fn floor(&self) -> Offset {
        self.floor
    }

    pub(super) fn push(&mut self, offset: Offset, record: Stamped<ConfigRecord>) {
        self.bytes += record.body.tree.len();
        self.records.push_back((offset, record));
        while self.bytes > self.limit {
            let Some((dropped, old)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= old.body.tree.len();
            self.floor = dropped.next();
        }
    }

    pub(super) fn from(
        self,
        covers: Offset,
    ) -> impl Iterator<Item = (Offset, Stamped<ConfigRecord>)> {
        self.records
            .into_iter()
            .filter(move |(offset, _)| *offset >= covers)
    }
}
