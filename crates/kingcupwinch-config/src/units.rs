//! Numbers with a unit and a range.

use std::fmt;

use serde::Serialize;

/// The longest time that a setting takes, 31 days.
const MAX_MILLIS: u64 = 31 * 24 * 60 * 60 * 1_000;

/// The largest weight.
const MAX_WEIGHT: f64 = 1_000_000.0;

/// A length of time in milliseconds, from 1 ms to 31 days.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// The range in words, for messages.
    pub(crate) const RANGE: &'static str = "a whole number of milliseconds from 1 to 2678400000";

    /// Makes a length of time, if it is in range.
    pub const fn new(millis: u64) -> Option<Self> {
        if millis == 0 || millis > MAX_MILLIS {
            return None;
        }
        Some(Millis(millis))
    }

    /// Makes a default value; out of range fails the build where it is a constant.
    pub(crate) const fn default_of(millis: u64) -> Self {
        match Millis::new(millis) {
            Some(length) => length,
            None => panic!("the default is out of range"),
        }
    }

    /// Returns the milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A part of a whole, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// Nothing.
    pub const ZERO: Share = Share(0.0);
    /// The whole.
    pub const ONE: Share = Share(1.0);
    /// The range in words, for messages.
    pub(crate) const RANGE: &'static str = "a number from 0 to 1";

    /// Makes a share, if it is in range.
    pub fn new(share: f64) -> Option<Self> {
        // Adding zero turns a negative zero into the only zero.
        (0.0..=1.0).contains(&share).then_some(Share(share + 0.0))
    }

    /// Makes a default value.
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

/// A relative weight, from 0 to a million.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Weight(f64);

impl Weight {
    /// The weight where none is set.
    pub const ONE: Weight = Weight(1.0);
    /// The range in words, for messages.
    pub(crate) const RANGE: &'static str = "a number from 0 to 1000000";

    /// Makes a weight, if it is in range.
    pub fn new(weight: f64) -> Option<Self> {
        let in_range = (0.0..=MAX_WEIGHT).contains(&weight);
        in_range.then_some(Weight(weight + 0.0))
    }

    /// Returns the weight.
    pub const fn get(self) -> f64 {
        self.0
    }
}
