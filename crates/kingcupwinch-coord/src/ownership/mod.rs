//! Ownership of a failure domain's shards, which decides who may dispatch to which workers.
//!
//! Every instance of a failure domain runs one [`Coordinator`]. Its inputs are the results of reads
//! and appends on the domain's ownership stream, messages from siblings, the instance list and the
//! time; its outputs are [`Action`]s. At most one instance holds a [`Permit`] for a shard at any
//! time.
//!
//! - Claims are decided by the log: the first valid record of a shard's next term wins.
//! - An owner may dispatch while its view of the log is younger than the lease. During an outage of
//!   the log it may dispatch while a strict majority of its term's voters renews promises not to
//!   vote for a claim against it.
//! - A sibling may claim the shards of a silent owner with the votes of at least half of the
//!   voters. It may claim those of an owner that is gone from the instance list without votes. In
//!   both cases it waits until the old owner's lease and promises have certainly expired.
//! - A planned handover is agreed between both sides. The owner stops dispatching before the record
//!   is appended, so its successor need not wait.
//!
//! # Example
//!
//! A single instance acquires all shards; the log is a vector:
//!
//! ```
//! use std::sync::Arc;
//!
//! use kingcupwinch_coord::id::{Incarnation, Offset, ShardId};
//! use kingcupwinch_coord::ownership::{Action, Coordinator, Event, Timers};
//! use kingcupwinch_coord::record::Member;
//! use kingcupwinch_time::{Span, Time};
//! use uuid::Uuid;
//!
//! let member = Member {
//!     incarnation: Incarnation(Uuid::from_u128(1)),
//!     instance: Arc::from("entry-1"),
//!     link: Arc::from("127.0.0.1:7001"),
//!     forward: Arc::from("127.0.0.1:7002"),
//!     weight: 16,
//! };
//! let mut now = Time::from_millis(1);
//! let mut coordinator = Coordinator::new(member, 4, Timers::default(), 42, now);
//! let mut log = Vec::new();
//! let mut actions = Vec::new();
//! while coordinator.permit(ShardId(0), now).is_none() {
//!     let next = coordinator.next_offset();
//!     let event = Event::Read {
//!         sent: now,
//!         first: Offset(0),
//!         tail: Offset(log.len() as u64),
//!         records: (next.0..).map(Offset).zip(log[next.0 as usize..].to_vec()).collect(),
//!     };
//!     coordinator.handle(event, now, &mut actions);
//!     for action in actions.drain(..) {
//!         if let Action::Append(record) = action {
//!             let id = record.id;
//!             log.push(Some(record));
//!             coordinator.handle(Event::AppendAcked { id }, now, &mut Vec::new());
//!         }
//!     }
//!     now += Span::from_millis(100);
//! }
//! assert_eq!(coordinator.owned(now).count(), 4);
//!
//! // A single voter is a majority of itself, so it continues during an outage of the log.
//! let later = now + Timers::default().lease.times(2);
//! assert!(coordinator.permit(ShardId(0), later).is_some());
//! ```

mod coordinator;
mod core;
mod event;
mod evidence;
mod group;
mod handover;
mod heartbeat;
mod ingest;
mod lifecycle;
mod local;
pub mod message;
mod outbox;
mod peers;
mod plan;
mod promises;
mod reclaim;
mod relay;
mod snapshot;
mod state;
mod takeover;
mod timers;
mod unowned;
mod votes;

pub use coordinator::Coordinator;
pub use event::{Action, Event, LostReason, Note, OwnedShard, Permit};
pub use group::Group;
pub use lifecycle::Phase;
pub use message::Message;
pub use state::RecordFault;
pub use timers::Timers;
