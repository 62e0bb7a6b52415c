//! A bounded table of keys with the floor that forgetting raises.

use std::collections::BTreeSet;

use kingcupwinch_time::WallTime;
use rustc_hash::FxHashMap;

use super::RequestKey;

/// Bytes that one entry takes in the table and its order, without its answer.
const ENTRY_OVERHEAD_BYTES: usize = 224;

/// A value whose size is bounded, and which may be forgotten once it is settled.
pub(super) trait Evictable {
    /// Bytes beyond the entry itself.
    fn extra_bytes(&self) -> usize;
    /// Whether the entry may be forgotten.
    fn is_settled(&self) -> bool;
}

#[derive(Debug)]
struct Slot<V> {
    issued: WallTime,
    value: V,
}

/// Keys by issue time; forgotten ones are all at or before `floor`.
#[derive(Debug)]
pub(super) struct Table<V> {
    slots: FxHashMap<RequestKey, Slot<V>>,
    settled: BTreeSet<(WallTime, RequestKey)>,
    floor: WallTime,
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
}

impl<V: Evictable> Table<V> {
    pub(super) fn new(floor: WallTime, max_entries: usize, max_bytes: usize) -> Self {
        Table {
            slots: FxHashMap::default(),
            settled: BTreeSet::new(),
            floor,
            bytes: 0,
            max_entries,
            max_bytes,
        }
    }

    pub(super) fn floor(&self) -> WallTime {
        self.floor
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, key: RequestKey) -> Option<&V> {
        self.slots.get(&key).map(|s| &s.value)
    }

    /// Stores a value under a key, then forgets the oldest settled keys beyond the bounds.
    pub(super) fn put(&mut self, key: RequestKey, issued: WallTime, value: V) {
        self.remove(key);
        self.bytes += ENTRY_OVERHEAD_BYTES + value.extra_bytes();
        if value.is_settled() {
            self.settled.insert((issued, key));
        }
        self.slots.insert(key, Slot { issued, value });
        self.trim();
    }

    /// Replaces the value of a key that is still in the table.
    pub(super) fn replace(&mut self, key: RequestKey, value: V) {
        if let Some(issued) = self.slots.get(&key).map(|s| s.issued) {
            self.put(key, issued, value);
        }
    }

    /// Makes room for one more key; false if every key is unsettled.
    pub(super) fn make_room(&mut self) -> bool {
        while self.slots.len() >= self.max_entries
            || self.bytes + ENTRY_OVERHEAD_BYTES > self.max_bytes
        {
            if !self.evict_oldest() {
                return false;
            }
        }
        true
    }

    /// Raises the floor and forgets the settled keys at or before it.
    pub(super) fn raise_floor(&mut self, floor: WallTime) {
        self.floor = self.floor.max(floor);
        while self.settled.first().is_some_and(|(t, _)| *t <= self.floor) {
            self.evict_oldest();
        }
    }

    fn trim(&mut self) {
        while self.slots.len() > self.max_entries || self.bytes > self.max_bytes {
            if !self.evict_oldest() {
                return;
            }
        }
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((issued, key)) = self.settled.first().copied() else {
            return false;
        };
        self.remove(key);
        self.floor = self.floor.max(issued);
        true
    }

    fn remove(&mut self, key: RequestKey) {
        if let Some(slot) = self.slots.remove(&key) {
            self.bytes -= ENTRY_OVERHEAD_BYTES + slot.value.extra_bytes();
            self.settled.remove(&(slot.issued, key));
        }
    }
}
