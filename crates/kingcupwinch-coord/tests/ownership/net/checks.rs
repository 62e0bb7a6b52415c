//! Who may dispatch, and what the log holds.

use std::cmp::Reverse;

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::ownership::Phase;
use kingcupwinch_coord::record::OwnerRecord;

use super::{Net, local};

impl Net {
    /// Returns the node that may dispatch to a shard now; paused and dead ones may not.
    pub(crate) fn dispatcher(&self, shard: u16) -> Option<usize> {
        let mut found = self.dispatchers(shard);
        let first = found.next();
        let second = found.next();
        assert!(
            second.is_none(),
            "seed {}, {}: shard {shard} has two dispatchers, {first:?} and {second:?}",
            self.seed,
            self.now
        );
        first
    }

    pub(super) fn dispatchers(&self, shard: u16) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && node.paused <= self.now)
            .filter(move |(_, node)| node.may_dispatch(shard, local(self.now, node.ppm)))
            .map(|(index, _)| index)
    }

    /// Returns how many shards each node may dispatch to.
    pub(crate) fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.nodes.len()];
        for shard in 0..self.shards {
            if let Some(node) = self.dispatcher(shard) {
                counts[node] += 1;
            }
        }
        counts
    }

    pub(crate) fn all_dispatched(&self) -> bool {
        (0..self.shards).all(|shard| self.dispatcher(shard).is_some())
    }

    /// Returns the offset of the first record from `start` on that a test accepts.
    pub(crate) fn find(
        &self,
        start: usize,
        predicate: impl Fn(&OwnerRecord) -> bool,
    ) -> Option<usize> {
        (start..self.log.len()).find(|offset| {
            let record = self.log[*offset].as_ref();
            record.is_some_and(|record| predicate(&record.body))
        })
    }

    pub(crate) fn id(&self, node: usize) -> Incarnation {
        self.nodes[node].coord.member().incarnation
    }

    /// Returns the nodes that serve, oldest first.
    pub(crate) fn serving(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .filter(|index| self.nodes[*index].coord.phase() == Phase::Serving)
            .collect()
    }

    /// Returns the node that dispatches to the most shards.
    pub(crate) fn busiest(&self) -> usize {
        let counts = self.counts();
        (0..counts.len())
            .max_by_key(|index| (counts[*index], Reverse(*index)))
            .unwrap_or(0)
    }
}
