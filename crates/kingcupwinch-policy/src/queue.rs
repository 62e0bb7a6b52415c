//! The waiting tasks of one class, in lanes by customer.

use std::collections::BTreeMap;

use kingcupwinch_time::Time;

use crate::key::{CustomerKey, TaskKey};

/// A position in a lane: earlier times first, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The deadline in an urgent class, the time of submission in others.
    pub(crate) order: Time,
    /// The number of the arrival.
    pub(crate) arrival: u64,
    /// The lane.
    pub(crate) lane: u16,
}

/// A queue of one class. An urgent class has one lane by deadline, others one for each customer.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Vec<BTreeMap<Rank, TaskKey>>,
    nonempty: Vec<u16>,
    len: usize,
    arrivals: u64,
}

impl Queue {
    /// Returns the number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Makes the next rank in a lane.
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
        let lane = usize::from(rank.lane);
        if lane >= self.lanes.len() {
            self.lanes.resize_with(lane + 1, BTreeMap::new);
        }
        if self.lanes[lane].is_empty() {
            self.nonempty.push(rank.lane);
        }
        self.lanes[lane].insert(rank, task);
        self.len += 1;
    }

    /// Removes a task; whether it was there.
    pub(crate) fn remove(&mut self, rank: Rank) -> bool {
        let Some(lane) = self.lanes.get_mut(usize::from(rank.lane)) else {
            return false;
        };
        if lane.remove(&rank).is_none() {
            return false;
        }
        if lane.is_empty() {
            self.nonempty.retain(|&l| l != rank.lane);
        }
        self.len -= 1;
        true
    }

    /// Returns the lanes that hold tasks, in no certain order.
    pub(crate) fn nonempty(&self) -> &[u16] {
        &self.nonempty
    }

    /// Returns the first rank of all lanes.
    pub(crate) fn oldest(&self) -> Option<Rank> {
        let lanes = self.nonempty.iter().map(|&l| &self.lanes[usize::from(l)]);
        lanes
            .filter_map(|l| l.first_key_value().map(|(r, _)| *r))
            .min()
    }

    /// Returns the first tasks of a lane.
    pub(crate) fn heads(&self, lane: u16) -> impl Iterator<Item = (Rank, TaskKey)> {
        self.lanes
            .get(usize::from(lane))
            .into_iter()
            .flat_map(|l| l.iter().map(|(r, t)| (*r, *t)))
    }

    /// Returns every task.
    #[cfg(test)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Rank, TaskKey)> {
        self.lanes
            .iter()
            .flat_map(|l| l.iter().map(|(r, t)| (*r, *t)))
    }
}

/// Returns the lane of a customer in a class of this band.
pub(crate) fn lane_of(customer: CustomerKey, urgent: bool) -> u16 {
    if urgent { 0 } else { customer.0 }
}
