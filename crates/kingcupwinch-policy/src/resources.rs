//! Amounts of a machine's resources.

use std::fmt;

/// The number of resource dimensions.
pub const DIMENSIONS: usize = 5;

/// The largest amount that is accepted in any one dimension.
pub const MAX_AMOUNT: u64 = 1 << 32;

/// One kind of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dimension {
    /// Thousandths of a processor core.
    Millicores,
    /// Memory in mebibytes.
    Memory,
    /// Whole accelerators.
    Accelerators,
    /// Places for tasks.
    Slots,
    /// Connections of live requests.
    Connections,
}

impl Dimension {
    /// Every dimension, in the order of [`Resources`]'s amounts.
    pub const ALL: [Dimension; DIMENSIONS] = [
        Dimension::Millicores,
        Dimension::Memory,
        Dimension::Accelerators,
        Dimension::Slots,
        Dimension::Connections,
    ];
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dimension::Millicores => "millicores",
            Dimension::Memory => "memory",
            Dimension::Accelerators => "accelerators",
            Dimension::Slots => "slots",
            Dimension::Connections => "connections",
        })
    }
}

/// An amount in every dimension: a machine's capacity or a task's need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    amounts: [u64; DIMENSIONS],
}

impl Resources {
    /// Nothing in any dimension.
    pub const ZERO: Resources = Resources {
        amounts: [0; DIMENSIONS],
    };

    /// Makes a size of one task: `millicores` and `memory` (mebibytes) in one slot.
    pub const fn new(millicores: u64, memory: u64) -> Self {
        Resources {
            amounts: [millicores, memory, 0, 1, 0],
        }
    }

    /// Sets the number of accelerators.
    #[must_use]
    pub const fn with_accelerators(self, count: u64) -> Self {
        self.with(Dimension::Accelerators, count)
    }

    /// Sets the number of slots.
    #[must_use]
    pub const fn with_slots(self, count: u64) -> Self {
        self.with(Dimension::Slots, count)
    }

    /// Sets the number of connections.
    #[must_use]
    pub const fn with_connections(self, count: u64) -> Self {
        self.with(Dimension::Connections, count)
    }

    /// Sets the amount of one dimension.
    #[must_use]
    pub const fn with(mut self, dimension: Dimension, amount: u64) -> Self {
        self.amounts[dimension as usize] = amount;
        self
    }

    /// Returns the amount of one dimension.
    pub const fn get(&self, dimension: Dimension) -> u64 {
        self.amounts[dimension as usize]
    }

    /// Whether every amount is zero.
    pub fn is_zero(&self) -> bool {
        self.amounts == [0; DIMENSIONS]
    }

    /// Whether `self` fits into `free` in every dimension.
    pub fn fits(&self, free: &Resources) -> bool {
        (0..DIMENSIONS).all(|d| self.amounts[d] <= free.amounts[d])
    }

    /// Returns the first dimension in which `self` exceeds `limit`.
    pub fn exceeds(&self, limit: &Resources) -> Option<Dimension> {
        Dimension::ALL
            .into_iter()
            .find(|&d| self.get(d) > limit.get(d))
    }

    /// Returns how many times `self` fits into `free`.
    pub fn times_in(&self, free: &Resources) -> u64 {
        (0..DIMENSIONS)
            .filter(|&d| self.amounts[d] > 0)
            .map(|d| free.amounts[d] / self.amounts[d])
            .min()
            .unwrap_or(0)
    }

    /// Adds, saturating.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts, stopping at zero.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        self.zip(other, u64::saturating_sub)
    }

    /// Takes the smaller amount of each dimension.
    #[must_use]
    pub fn min(&self, other: &Resources) -> Resources {
        self.zip(other, u64::min)
    }

    /// Takes the larger amount of each dimension.
    #[must_use]
    pub fn max(&self, other: &Resources) -> Resources {
        self.zip(other, u64::max)
    }

    /// Multiplies every amount, saturating.
    #[must_use]
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            amounts: self.amounts.map(|a| a.saturating_mul(count)),
        }
    }

    /// Returns a fraction of every amount, rounded down.
    #[must_use]
    pub fn part(&self, fraction: f64) -> Resources {
        Resources {
            amounts: self.amounts.map(|a| (a as f64 * fraction) as u64),
        }
    }

    /// Returns the largest fraction of `total` that `self` takes in any dimension.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        (0..DIMENSIONS)
            .filter(|&d| total.amounts[d] > 0)
            .map(|d| self.amounts[d] as f64 / total.amounts[d] as f64)
            .fold(0.0, f64::max)
    }

    /// Returns the sum of the fractions of `total` over all dimensions.
    pub(crate) fn total_share(&self, total: &Resources) -> f64 {
        (0..DIMENSIONS)
            .filter(|&d| total.amounts[d] > 0)
            .map(|d| self.amounts[d] as f64 / total.amounts[d] as f64)
            .sum()
    }

    fn zip(&self, other: &Resources, combine: impl Fn(u64, u64) -> u64) -> Resources {
        let mut amounts = [0; DIMENSIONS];
        for (d, amount) in amounts.iter_mut().enumerate() {
            *amount = combine(self.amounts[d], other.amounts[d]);
        }
        Resources { amounts }
    }
}
