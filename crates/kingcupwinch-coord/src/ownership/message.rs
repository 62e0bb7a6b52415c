//! Messages between the instances of one failure domain.
//!
//! Every message carries the incarnations of its sender and its recipient. A field `asked_at` is a
//! time on the requester's clock, which the reply returns unchanged, so that the requester measures
//! durations from the time of its request.

use kingcupwinch_time::{Span, Time};

use crate::id::{Incarnation, Offset, ShardId, Term};
use crate::record::{OwnerRecord, OwnerSnapshot, Stamped};

/// A record of the ownership stream with its offset, or `None` if its bytes could not be decoded.
pub type StreamRecord = (Offset, Option<Stamped<OwnerRecord>>);

/// A message to a sibling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Tells the voters of an owner's terms that the owner is alive.
    Heartbeat(Heartbeat),
    /// Requests the records of the ownership stream that the sender lacks.
    RelayRequest(RelayRequest),
    /// Answers [`Message::RelayRequest`].
    Relay(Relay),
    /// Asks a voter not to vote for a claim against the sender for a limited time.
    PromiseRequest(PromiseRequest),
    /// Answers [`Message::PromiseRequest`].
    PromiseReply(PromiseReply),
    /// Asks a voter to vote for a claim of a silent owner's shards.
    VoteRequest(VoteRequest),
    /// Answers [`Message::VoteRequest`] with the shards that the vote covers.
    Vote(Vote),
    /// Offers a planned handover to a successor.
    Offer(Offer),
    /// Answers [`Message::Offer`].
    OfferReply(OfferReply),
}

/// A heartbeat from an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The first offset that the sender has not applied.
    pub applied: Offset,
    /// Age of the sender's view of the log, or `None` if the view was never fresh.
    pub age: Option<Span>,
}

/// A request for records of the ownership stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRequest {
    /// Time of the request on the requester's clock.
    pub asked_at: Time,
    /// The first offset that the requester lacks, or `None` to request a snapshot.
    pub from: Option<Offset>,
}

/// Records relayed by a sibling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The time of the request, as received.
    pub asked_at: Time,
    /// Age of the sender's view of the log when it sent this reply, including the ages of earlier
    /// relays, or `None` if the view was never fresh.
    pub age: Option<Span>,
    /// The first offset that the sender has not applied.
    pub next: Offset,
    /// The sender's state, if it no longer keeps the requested records.
    pub snapshot: Option<OwnerSnapshot>,
    /// Records in log order from the requested offset; the list may end before `next`.
    pub records: Vec<StreamRecord>,
}

/// A request for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromiseRequest {
    /// Time of the request on the requester's clock, from which the promise is measured.
    pub asked_at: Time,
    /// The first offset that the requester has not applied.
    pub applied: Offset,
}

/// The result of a [`PromiseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseOutcome {
    /// The voter will not vote for a claim against the requester while the promise lasts.
    Granted,
    /// The requester's view is behind the voter's; a relay follows.
    Behind,
    /// The voter has voted for a claim against the requester, which must reclaim its shards.
    VotedAgainst,
}

/// The reply to a [`PromiseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromiseReply {
    /// The time of the request, as received.
    pub asked_at: Time,
    /// The result.
    pub outcome: PromiseOutcome,
}

/// A request to vote for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// The silent owner.
    pub owner: Incarnation,
    /// The owner's shards that the requester wants to claim, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// A vote for a claim. It is binding until the voter reads a newer term of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vote {
    /// The silent owner.
    pub owner: Incarnation,
    /// The shards that the vote covers, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// An offer of shards by their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Time of the offer on the owner's clock.
    pub asked_at: Time,
    /// The shards, each with the owner's term.
    pub shards: Vec<(ShardId, Term)>,
}

/// The reply to an [`Offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferReply {
    /// The time of the offer, as received.
    pub asked_at: Time,
    /// Whether the successor accepts all of the offered shards.
    pub accepted: bool,
}
