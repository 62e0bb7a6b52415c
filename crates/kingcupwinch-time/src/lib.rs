//! Time points on a monotonic clock, shared by the pure crates.
//!
//! A [`Time`] counts microseconds since an arbitrary origin on the clock of one process. The
//! coordination and policy crates take it as an argument and never read a clock themselves.
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
