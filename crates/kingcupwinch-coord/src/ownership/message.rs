//! Messages between the instances of one failure domain.
//!
//! Every message is addressed to an incarnation and names its sender's. A field `asked_at` is the
//! asker's own time, returned unread by the answerer: the asker counts from when it asked.

use kingcupwinch_time::{Span, Time};

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::record::{OwnerRecord, OwnerSnapshot, Stamped};

/// A record of the ownership stream at its offset; none where its bytes did not decode.
pub type StreamRecord = (Offset, Option<Stamped<OwnerRecord>>);

/// A message to a sibling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Sent by an owner to the voters of its terms, to show that it is alive.
    Heartbeat(Heartbeat),
    /// Asks for the records of the ownership stream that the asker lacks.
    RelayRequest(RelayRequest),
    /// Answers [`Message::RelayRequest`].
    Relay(Relay),
    /// Asks a voter not to support a claim against the asker for a while.
    PromiseRequest(PromiseRequest),
    /// Answers [`Message::PromiseRequest`].
    PromiseReply(PromiseReply),
    /// Asks a voter to support a claim of a silent owner's shards.
    VoteRequest(VoteRequest),
    /// Answers [`Message::VoteRequest`] with the shards whose claim is supported.
    Vote(Vote),
    /// Offers a planned hand-over to an heir.
    Offer(Offer),
    /// Answers [`Message::Offer`].
    OfferReply(OfferReply),
}

/// An owner's sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The first offset that the sender has not applied.
    pub applied: Offset,
    /// How long ago the sender's view was fresh, none if it never was.
    pub age: Option<Span>,
}

/// A question for records of the ownership stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRequest {
    /// When the asker asked, on its own clock.
    pub asked_at: Time,
    /// The first offset that the asker lacks; none asks for a snapshot.
    pub from: Option<Offset>,
}

/// Records passed on by a sibling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The time in the question.
    pub asked_at: Time,
    /// How long before this answer the sender's view was fresh, ages of earlier relays included;
    /// none if it never was.
    pub age: Option<Span>,
    /// The first offset that the sender has not applied.
    pub next: Offset,
    /// The sender's state, where it no longer keeps the records themselves.
    pub snapshot: Option<OwnerSnapshot>,
    /// Records in log order, from the offset asked for; the last ones may be left out.
    pub records: Vec<StreamRecord>,
}

/// A question for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromiseRequest {
    /// When the asker asked, on its own clock; it counts the promise from then.
    pub asked_at: Time,
    /// The first offset that the asker has not applied.
    pub applied: Offset,
}

/// What a voter says to [`PromiseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseOutcome {
    /// It supports no claim against the asker for the promise's length.
    Granted,
    /// Its view is ahead of the asker's; a relay follows.
    Behind,
    /// It supports a claim against the asker, who must claim again for itself.
    VotedAgainst,
}

/// An answer to [`PromiseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromiseReply {
    /// The time in the question.
    pub asked_at: Time,
    /// The answer.
    pub outcome: PromiseOutcome,
}

/// A question for support of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// The silent owner.
    pub owner: Incarnation,
    /// Its shards that the asker would claim, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// Support of a claim. It stands until the voter reads a newer term of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vote {
    /// The silent owner.
    pub owner: Incarnation,
    /// The shards that the sender supports taking, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// An offer of shards by their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// When the offer was made, on the owner's clock.
    pub asked_at: Time,
    /// The shards, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// An heir's answer to an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferReply {
    /// The time in the offer.
    pub asked_at: Time,
    /// Whether the heir takes all of the offered shards.
    pub accepted: bool,
}
