//! Shards owned by this instance.

use kingcupwinch_time::Time;

use crate::id::{ShardId, Term};

use super::event::OwnedShard;

/// State of one shard owned by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalShard {
    pub(crate) term: Term,
    pub(crate) effective: Time,
    pub(crate) inherited: bool,
    /// Set before a handover or release is appended; the instance no longer dispatches to the
    /// shard.
    pub(crate) stopping: bool,
}

/// The owned shards, indexed by shard number.
#[derive(Debug, Clone)]
pub(crate) struct LocalShards {
    slots: Vec<Option<LocalShard>>,
    stopping: usize,
}

impl LocalShards {
    pub(crate) fn new(shards: u16) -> Self {
        LocalShards {
            slots: vec![None; usize::from(shards)],
            stopping: 0,
        }
    }

    pub(crate) fn get(&self, shard: ShardId) -> Option<LocalShard> {
        self.slots.get(usize::from(shard.0)).copied().flatten()
    }

    pub(crate) fn set(&mut self, shard: ShardId, local: Option<LocalShard>) {
        if let Some(slot) = self.slots.get_mut(usize::from(shard.0)) {
            let before = std::mem::replace(slot, local);
            self.stopping -= usize::from(before.is_some_and(|before| before.stopping));
        }
    }

    /// Marks a shard as stopping.
    pub(crate) fn stop(&mut self, shard: ShardId) {
        if let Some(Some(local)) = self.slots.get_mut(usize::from(shard.0)) {
            self.stopping += usize::from(!local.stopping);
            local.stopping = true;
        }
    }

    /// Returns whether any shard is stopping.
    pub(crate) fn any_stopping(&self) -> bool {
        self.stopping > 0
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShardId, LocalShard)> {
        (0..)
            .map(ShardId)
            .zip(&self.slots)
            .filter_map(|(shard, slot)| slot.map(|local| (shard, local)))
    }

    /// Returns the shards that are not stopping and whose ownership is effective.
    ///
    /// Only these may be transferred: before the ownership is effective, an earlier owner may still
    /// dispatch, and the next owner would not wait for that one.
    pub(crate) fn effective(&self, now: Time) -> impl Iterator<Item = (ShardId, LocalShard)> {
        self.active()
            .filter(move |(_, local)| local.effective <= now)
    }

    /// Returns the owned shards that are not stopping.
    pub(crate) fn active(&self) -> impl Iterator<Item = (ShardId, LocalShard)> {
        self.iter().filter(|(_, local)| !local.stopping)
    }
}

impl LocalShard {
    pub(crate) fn as_owned(self, shard: ShardId) -> OwnedShard {
        OwnedShard {
            shard,
            term: self.term,
            effective: self.effective,
            inherited: self.inherited,
        }
    }
}
