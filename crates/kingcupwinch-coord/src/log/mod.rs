//! A view of one stream of the log: records in order, repeats dropped, gaps noticed, freshness.
//!
//! A [`LogView`] takes the answers to reads and passes each record on once, in log order. A reader
//! that starts after the oldest records have expired begins at a snapshot record.

mod fresh;
mod seen;
mod view;

pub use fresh::Freshness;
pub use view::{Batch, Covers, Entry, LogFault, LogView};
