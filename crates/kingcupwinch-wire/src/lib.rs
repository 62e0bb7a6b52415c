//! Wire formats: protocol buffer messages, JSON documents and their conversions.
//!
//! Log records and sibling messages travel as protocol buffers. The generated types stay in
//! [`pb`]; the rest of the system works with the types that the decoding functions return, after
//! they have validated sizes, identifiers and value ranges.
//!
//! ```
//! use kingcupwinch_coord::id::{Incarnation, RecordId};
//! use kingcupwinch_coord::record::{OwnerRecord, Stamped};
//! use kingcupwinch_wire::{decode_owner, encode_owner};
//! use uuid::Uuid;
//!
//! let record = Stamped {
//!     id: RecordId(Uuid::now_v7()),
//!     body: OwnerRecord::Leave(Incarnation(Uuid::now_v7())),
//! };
//! let bytes = encode_owner(&record);
//! assert_eq!(decode_owner(&bytes), Ok(record));
//! ```

pub mod api;
pub mod instance_list;
pub mod pb;
pub mod sibling;
pub mod worker;

mod config;
mod error;
mod field;
mod job;
mod owner;
mod platform;

pub use config::{decode_config, encode_config};
pub use error::DecodeError;
pub use field::{MAX_LIST_LEN, MAX_RECORD_BYTES};
pub use job::{decode_job, encode_job};
pub use owner::{decode_owner, encode_owner};
pub use platform::{Appended, LogPage, LogRecord, MAX_PAGE_BYTES, decode_page, encode_page};
