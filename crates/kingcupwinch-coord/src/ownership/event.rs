//! Inputs and outputs of a [`Coordinator`](super::Coordinator).

use std::sync::Arc;

use kingcupwinch_time::Time;

use crate::id::{Incarnation, Offset, RecordId, ShardId, Term};
use crate::log::LogFault;
use crate::record::{OwnerRecord, Stamped};

use super::message::{Message, StreamRecord};
use super::state::RecordFault;

/// An input of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A read of the ownership stream succeeded.
    Read {
        /// Time at which the read was sent.
        sent: Time,
        /// The oldest retained offset.
        first: Offset,
        /// The offset after the latest record.
        tail: Offset,
        /// The records starting at [`next_offset`](super::Coordinator::next_offset).
        records: Vec<StreamRecord>,
    },
    /// A read of the ownership stream failed.
    ReadFailed,
    /// An append was acknowledged.
    AppendAcked {
        /// The appended record.
        id: RecordId,
    },
    /// An append failed or timed out; the record may have been appended.
    AppendFailed {
        /// The record of the append.
        id: RecordId,
    },
    /// A message from a sibling arrived.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        body: Message,
    },
    /// The instance list was read.
    InstanceList {
        /// Time at which the read was sent.
        sent: Time,
        /// Names of the failure domain's live entry instances.
        live: Vec<Arc<str>>,
        /// Names of the entry instances that are leaving.
        leaving: Vec<Arc<str>>,
    },
    /// The time returned by [`deadline`](super::Coordinator::deadline) has been reached.
    Tick,
    /// A planned shutdown begins.
    Drain,
}

/// An output of the coordinator, to be executed by the embedding program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the ownership stream and report the result as an event.
    Append(Stamped<OwnerRecord>),
    /// Send a message to a sibling without a delivery guarantee.
    Send {
        /// The recipient.
        to: Incarnation,
        /// The message.
        body: Message,
    },
    /// The instance acquired a shard that it did not own before.
    Gained(OwnedShard),
    /// The instance owns a shard under a newer term; its state for the shard stays valid.
    Renewed {
        /// The shard.
        shard: ShardId,
        /// The new term.
        term: Term,
    },
    /// The instance must stop dispatching to a shard.
    Lost {
        /// The shard.
        shard: ShardId,
        /// The last term of this instance for the shard.
        term: Term,
        /// The reason for the loss.
        reason: LostReason,
    },
    /// Write a note to the node log.
    Note(Note),
    /// The incarnation left the group or was retired; only a new incarnation can join again.
    Stopped,
}

/// The reason for which an instance lost a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostReason {
    /// Another instance claimed the shard.
    Claimed,
    /// The shard is handed over to an agreed successor.
    HandedOver,
    /// The shard was released without a successor.
    Released,
    /// This instance was retired.
    Retired,
}

/// A shard owned by the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// The term of the ownership.
    pub term: Term,
    /// Time from which the ownership is effective.
    pub effective: Time,
    /// Whether tasks of an earlier owner may still run on the shard's workers.
    pub inherited: bool,
}

/// Permission to dispatch to a shard's workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The shard.
    pub shard: ShardId,
    /// The term, used as the fencing token of dispatches.
    pub term: Term,
    /// Expiry time; dispatching from then on requires a newer permit.
    pub until: Time,
}

/// An occurrence that is reported in the node log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// An entry of the ownership stream was not applied.
    Log {
        /// The offset of the record.
        offset: Offset,
        /// The reason.
        fault: LogFault,
    },
    /// A record, or the part of a record for one shard, was invalid and skipped.
    Skipped {
        /// The offset of the record.
        offset: Offset,
        /// The reason.
        fault: RecordFault,
    },
    /// Records expired before they were read; the state will be restored from a snapshot.
    Expired {
        /// The first missing offset.
        from: Offset,
        /// The first retained offset.
        to: Offset,
    },
    /// A message from an incarnation outside the group was dropped.
    NotMember {
        /// The sender.
        from: Incarnation,
    },
    /// Dispatching stopped: the lease on the view of the log expired and promises are missing.
    Lapsed,
    /// Dispatching is allowed again.
    Restored,
    /// An owner is silent, and this instance collects votes for a claim of its shards.
    TakingOver {
        /// The silent owner.
        owner: Incarnation,
    },
    /// A voter voted for a claim against this instance, which will reclaim its own shards.
    VotedAgainst {
        /// The voter.
        voter: Incarnation,
    },
}
