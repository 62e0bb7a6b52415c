//! Who may dispatch to which workers: ownership of a failure domain's shards.
//!
//! Every instance of a failure domain runs one [`Coordinator`]. It is told of reads and appends of
//! the domain's ownership stream, of messages from siblings, of the instance list and of time, and
//! answers with [`Action`]s. At most one instance holds a [`Permit`] for a shard at any time.
//!
//! - A claim goes through the log: the first valid record of a shard's next term wins.
//! - An owner dispatches while its view of the log is younger than the lease, or, in an outage of
//!   the log, while a strict majority of its term's voters keeps promising not to support a claim
//!   against it.
//! - A sibling claims a silent owner's shards with the support of at least half of the voters, or
//!   where the instance list has dropped the owner, and waits until the old owner's lease and
//!   promises have certainly lapsed.
//! - A planned hand-over is agreed between both sides; the owner stops before its record is
//!   appended, so the heir need not wait.

mod coordinator;
mod core;
mod event;
mod evidence;
mod excuse;
mod free;
mod group;
mod handover;
mod heartbeat;
mod holding;
mod ledger;
mod life;
pub mod message;
mod outbox;
mod peers;
mod plan;
mod reclaim;
mod relay;
mod snapshot;
mod takeover;
mod timers;
mod votes;

pub use coordinator::Coordinator;
pub use event::{Action, Event, LostReason, Note, OwnedShard, Permit};
pub use group::Group;
pub use ledger::RecordFault;
pub use life::Phase;
pub use message::Message;
pub use timers::Timers;
