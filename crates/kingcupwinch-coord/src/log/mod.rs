//! A view of one stream of the log: records in order, repeats dropped, gaps noticed, freshness.
//!
//! A [`LogView`] takes the answers to reads and passes each record on once, in log order. A reader
//! that starts after the oldest records have expired begins at a snapshot record.
//!
//! ```
//! use kingcupwinch_coord::id::{Incarnation, Offset, RecordId};
//! use kingcupwinch_coord::log::{Batch, Entry, LogView};
//! use kingcupwinch_coord::record::{OwnerRecord, Stamped};
//! use kingcupwinch_time::Time;
//! use uuid::Uuid;
//!
//! let record = Stamped {
//!     id: RecordId(Uuid::from_u128(1)),
//!     body: OwnerRecord::Leave(Incarnation(Uuid::from_u128(2))),
//! };
//! let sent = Time::from_millis(5);
//! let batch = Batch {
//!     sent,
//!     first: Offset(0),
//!     tail: Offset(2),
//!     records: vec![(Offset(0), Some(record.clone())), (Offset(1), Some(record))],
//! };
//! let mut view = LogView::new();
//! let mut entries = Vec::new();
//! view.read(batch, &mut entries);
//! assert!(matches!(entries[0], Entry::Record { .. }));
//! assert!(matches!(entries[1], Entry::Skipped { .. }), "a repeat");
//! assert_eq!(view.fresh_at(), Some(sent));
//! ```

mod freshness;
mod seen;
mod view;

pub use view::{Batch, Covers, Entry, LogFault, LogView};
