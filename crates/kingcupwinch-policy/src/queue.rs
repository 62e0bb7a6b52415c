//! Queue of the waiting tasks of one class, with one lane per customer.

use std::collections::BTreeMap;

use kingcupwinch_time::Time;

use crate::key::{CustomerKey, TaskKey};

/// Position of a task in a lane: ordered by time, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The deadline in an urgent class, the time of submission in other classes.
    pub(crate) order: Time,
    /// Sequence number of the arrival.
    pub(crate) arrival: u64,
    /// The lane.
    pub(crate) lane: u16,
}

/// The queue of one class. An urgent class has one lane ordered by deadline, other classes have one
/// lane per customer.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Vec<BTreeMap<Rank, TaskKey>>,
    nonempty: Vec<u16>,
    /// Tasks that fit no machine of the cell, in no lane until the machines change.
    parked: BTreeMap<Rank, TaskKey>,
    len: usize,
    arrivals: u64,
}

impl Queue {
    /// Returns the number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no task waits, apart from parked ones.
    pub(crate) fn is_empty(&self) -> bool {
        self.nonempty.is_empty()
    }

    /// Creates the next rank in a lane.
    pub(crate) fn next_rank(&mut self, order: Time, lane: u16) -> Rank {
        self.arrivals += 1;
        Rank {
            order,
            arrival: self.arrivals,
            lane,
        }
    }

    /// Adds a task.
    pub(crate) fn insert(&mut self, rank: Rank, task: TaskKey) {
        self.insert_in_lane(rank, task);
        self.len += 1;
    }

    fn insert_in_lane(&mut self, rank: Rank, task: TaskKey) {
        let lane = usize::from(rank.lane);
        if lane >= self.lanes.len() {
            self.lanes.resize_with(lane + 1, BTreeMap::new);
        }
        if self.lanes[lane].is_empty() {
            self.nonempty.push(rank.lane);
        }
        self.lanes[lane].insert(rank, task);
    }

    /// Removes a task and returns whether it was in the queue.
    pub(crate) fn remove(&mut self, rank: Rank) -> bool {
        let found = self
            .parked
            .remove(&rank)
            .or_else(|| self.remove_from_lane(rank));
        self.len -= usize::from(found.is_some());
        found.is_some()
    }

    fn remove_from_lane(&mut self, rank: Rank) -> Option<TaskKey> {
        let lane = self.lanes.get_mut(usize::from(rank.lane))?;
        let task = lane.remove(&rank)?;
        if lane.is_empty() {
            self.nonempty.retain(|&l| l != rank.lane);
        }
        Some(task)
    }

    /// Takes a task out of its lane, so that it blocks none behind it. It still waits.
    pub(crate) fn park(&mut self, rank: Rank) {
        if let Some(task) = self.remove_from_lane(rank) {
            self.parked.insert(rank, task);
        }
    }

    /// Returns the parked tasks to their places in their lanes.
    pub(crate) fn unpark(&mut self) {
        for (rank, task) in std::mem::take(&mut self.parked) {
            self.insert_in_lane(rank, task);
        }
    }

    /// Returns the lanes that contain tasks, in no particular order.
    pub(crate) fn nonempty(&self) -> &[u16] {
        &self.nonempty
    }

    /// Returns the lowest rank over all lanes.
    pub(crate) fn first_rank(&self) -> Option<Rank> {
        let lanes = self.nonempty.iter().map(|&l| &self.lanes[usize::from(l)]);
        lanes
            .filter_map(|l| l.first_key_value().map(|(r, _)| *r))
            .min()
    }

    /// Returns the tasks of a lane by ascending rank.
    pub(crate) fn heads(&self, lane: u16) -> impl Iterator<Item = (Rank, TaskKey)> {
        self.lanes
            .get(usize::from(lane))
            .into_iter()
            .flat_map(|l| l.iter().map(|(r, t)| (*r, *t)))
    }

    /// Returns every task.
    #[cfg(test)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Rank, TaskKey)> {
        let lanes = self.lanes.iter().chain([&self.parked]);
        lanes.flat_map(|l| l.iter().map(|(r, t)| (*r, *t)))
    }
}

/// Returns the lane of a customer in an urgent or another class.
pub(crate) fn lane_of(customer: CustomerKey, urgent: bool) -> u16 {
    if urgent { 0 } else { customer.0 }
}
