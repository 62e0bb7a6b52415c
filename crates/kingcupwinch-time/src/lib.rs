//! Clocks and time types, shared by the other crates.
//!
//! A [`Time`] is a number of microseconds since an arbitrary origin on the monotonic clock of one
//! process. The coordination and policy crates take it as an argument and never read a clock.
//!
//! ```
//! use kingcupwinch_time::{Span, Time};
//!
//! let now = Time::from_micros(1_000);
//! let deadline = now + Span::from_millis(2);
//! assert_eq!(deadline - now, Span::from_micros(2_000));
//! assert!(now < deadline);
//! ```

mod clock;
mod point;
mod stable;

pub use clock::{BoottimeClock, Clock, ManualClock, WallClock};
pub use point::{Drift, Span, Time, WallTime};
pub use stable::StableWallClock;
