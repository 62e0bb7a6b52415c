//! Numeric settings with a unit and a valid range.

use std::fmt;

use serde::Serialize;

/// Maximum duration of a setting, 31 days in milliseconds.
const MAX_MILLIS: u64 = 31 * 24 * 60 * 60 * 1_000;

/// Maximum weight.
const MAX_WEIGHT: f64 = 1_000_000.0;

/// A duration in milliseconds, from 1 ms to 31 days.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Description of the valid range, for messages.
    pub(crate) const RANGE: &'static str = "a whole number of milliseconds from 1 to 2678400000";

    /// Returns the duration, or `None` if it is out of range.
    pub const fn new(millis: u64) -> Option<Self> {
        if millis == 0 || millis > MAX_MILLIS {
            return None;
        }
        Some(Millis(millis))
    }

    /// Returns a default value.
    ///
    /// # Panics
    ///
    /// Panics if the value is out of range, at compile time in a const context.
    pub(crate) const fn default_of(millis: u64) -> Self {
        match Millis::new(millis) {
            Some(duration) => duration,
            None => panic!("the default duration is out of range"),
        }
    }

    /// Returns the duration in milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A fraction of a whole, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// The share 0.
    pub const ZERO: Share = Share(0.0);
    /// The share 1.
    pub const ONE: Share = Share(1.0);
    /// Description of the valid range, for messages.
    pub(crate) const RANGE: &'static str = "a number from 0 to 1";

    /// Returns the share, or `None` if it is out of range.
    pub fn new(share: f64) -> Option<Self> {
        // Adding 0.0 normalizes -0.0 to 0.0.
        (0.0..=1.0).contains(&share).then_some(Share(share + 0.0))
    }

    /// Returns a default value, without a range check.
    pub(crate) const fn default_of(share: f64) -> Self {
        Share(share)
    }

    /// Returns the share as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A relative weight, from 0 to 1,000,000.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Weight(f64);

impl Weight {
    /// The default weight.
    pub const ONE: Weight = Weight(1.0);
    /// Description of the valid range, for messages.
    pub(crate) const RANGE: &'static str = "a number from 0 to 1000000";

    /// Returns the weight, or `None` if it is out of range.
    pub fn new(weight: f64) -> Option<Self> {
        let in_range = (0.0..=MAX_WEIGHT).contains(&weight);
        in_range.then_some(Weight(weight + 0.0))
    }

    /// Returns the weight as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}
