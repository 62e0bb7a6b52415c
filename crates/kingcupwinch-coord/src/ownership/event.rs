//! What goes into and comes out of a [`Coordinator`](super::Coordinator).

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::{Incarnation, Offset, RecordId, ShardId, Term};
use crate::log::LogFault;
use crate::record::{OwnerRecord, Stamped};

use super::message::{Message, StreamRecord};
use super::state::RecordFault;

/// Something that happened to the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A read of the ownership stream was answered.
    Read {
        /// When the read was sent.
        sent: Time,
        /// The oldest retained offset.
        first: Offset,
        /// The offset after the newest record.
        tail: Offset,
        /// The records from [`next_offset`](super::Coordinator::next_offset) on.
        records: Vec<StreamRecord>,
    },
    /// A read of the ownership stream failed.
    ReadFailed,
    /// An append was acknowledged.
    AppendAcked {
        /// The appended record.
        id: RecordId,
    },
    /// An append failed, and may have taken effect.
    AppendFailed {
        /// The record.
        id: RecordId,
    },
    /// A sibling sent a message.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        body: Message,
    },
    /// The instance list was read.
    InstanceList {
        /// When the read was sent.
        sent: Time,
        /// Names of the domain's live entry instances.
        live: Vec<Arc<str>>,
        /// Names of its leaving entry instances.
        leaving: Vec<Arc<str>>,
    },
    /// The time returned by [`deadline`](super::Coordinator::deadline) has come.
    Tick,
    /// A planned stop begins.
    Drain,
}

/// Something for the embedding program to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the ownership stream, and report the outcome.
    Append(Stamped<OwnerRecord>),
    /// Send a message to a sibling; it may be lost.
    Send {
        /// The recipient.
        to: Incarnation,
        /// The message.
        body: Message,
    },
    /// The instance now owns a shard that it did not own before.
    Gained(OwnedShard),
    /// The instance owns a shard at a newer term; what it knows of the shard stays valid.
    Renewed {
        /// The shard.
        shard: ShardId,
        /// Its new term.
        term: Term,
    },
    /// The instance must dispatch nothing more to a shard.
    Lost {
        /// The shard.
        shard: ShardId,
        /// The term that ended for this instance.
        term: Term,
        /// Why.
        reason: LostReason,
    },
    /// An occurrence for the log.
    Note(Note),
    /// The instance has left the group, or was retired; a new run needs a new incarnation.
    Stopped,
}

/// Why a shard was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostReason {
    /// Another instance claimed it.
    Claimed,
    /// It goes to an heir by agreement.
    HandedOver,
    /// It was given up with no heir.
    Released,
    /// This instance was declared dead.
    Retired,
}

/// A shard that the instance owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// Its term.
    pub term: Term,
    /// When the ownership takes effect.
    pub effective: Time,
    /// Whether work of an earlier owner may still run there.
    pub inherited: bool,
}

/// Leave to dispatch to a shard's workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The shard.
    pub shard: ShardId,
    /// The term to fence dispatches with.
    pub term: Term,
    /// Nothing may be dispatched from this time on without a newer permit.
    pub until: Time,
}

/// An occurrence worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The log held something that is not a record to apply.
    Log {
        /// Where.
        offset: Offset,
        /// What was wrong.
        fault: LogFault,
    },
    /// A record, or a part of one, was skipped.
    Skipped {
        /// Where.
        offset: Offset,
        /// What was wrong.
        fault: RecordFault,
    },
    /// Records expired before they were read; the state is taken from a snapshot.
    Expired {
        /// The first lost offset.
        from: Offset,
        /// The first retained offset.
        to: Offset,
    },
    /// A message came from an incarnation outside the group.
    NotMember {
        /// The sender.
        from: Incarnation,
    },
    /// No shard may be dispatched to any more: the view of the log is old and promises lack.
    Lapsed,
    /// Dispatching is allowed again.
    Restored,
    /// An owner is silent, and this instance gathers support for a claim of its shards.
    TakingOver {
        /// The silent owner.
        owner: Incarnation,
    },
    /// A voter supports a claim against this instance, which claims again for itself.
    VotedAgainst {
        /// The voter.
        voter: Incarnation,
    },
}
