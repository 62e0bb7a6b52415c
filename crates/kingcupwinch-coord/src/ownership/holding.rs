//! The shards that this instance owns.

use kingcupwinch_time::Time;

use crate::id::{ShardId, Term};

use super::event::OwnedShard;

/// One owned shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Holding {
    pub(crate) term: Term,
    pub(crate) effective: Time,
    pub(crate) inherited: bool,
    /// Set before a hand-over or release is appended; the instance dispatches nothing more.
    pub(crate) stopping: bool,
}

/// The owned shards, by number.
#[derive(Debug, Clone)]
pub(crate) struct Holdings {
    slots: Vec<Option<Holding>>,
    stopping: usize,
}

impl Holdings {
    pub(crate) fn new(shards: u16) -> Self {
        Holdings {
            slots: vec![None; usize::from(shards)],
            stopping: 0,
        }
    }

    pub(crate) fn get(&self, shard: ShardId) -> Option<Holding> {
        self.slots.get(usize::from(shard.0)).copied().flatten()
    }

    pub(crate) fn set(&mut self, shard: ShardId, holding: Option<Holding>) {
        if let Some(slot) = self.slots.get_mut(usize::from(shard.0)) {
            let before = std::mem::replace(slot, holding);
            self.stopping -= usize::from(before.is_some_and(|before| before.stopping));
        }
    }

    /// Marks a shard as stopping.
    pub(crate) fn stop(&mut self, shard: ShardId) {
        if let Some(Some(holding)) = self.slots.get_mut(usize::from(shard.0)) {
            self.stopping += usize::from(!holding.stopping);
            holding.stopping = true;
        }
    }

    /// Returns whether a shard is stopping.
    pub(crate) fn any_stopping(&self) -> bool {
        self.stopping > 0
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShardId, Holding)> {
        (0..)
            .map(ShardId)
            .zip(&self.slots)
            .filter_map(|(shard, slot)| slot.map(|holding| (shard, holding)))
    }

    /// Returns the shards that may be given up: kept ones whose ownership has taken effect.
    ///
    /// Before that an earlier owner may still dispatch, and the next owner would not wait for it.
    pub(crate) fn effective(&self, now: Time) -> impl Iterator<Item = (ShardId, Holding)> {
        self.kept()
            .filter(move |(_, holding)| holding.effective <= now)
    }

    /// Returns the owned shards that are not stopping.
    pub(crate) fn kept(&self) -> impl Iterator<Item = (ShardId, Holding)> {
        self.iter().filter(|(_, holding)| !holding.stopping)
    }
}

impl Holding {
    pub(crate) fn as_owned(self, shard: ShardId) -> OwnedShard {
        OwnedShard {
            shard,
            term: self.term,
            effective: self.effective,
            inherited: self.inherited,
        }
    }
}
