//! Messages of the ownership protocol.

use kingcupwinch_coord::id::Offset;
use kingcupwinch_coord::ownership::message::{
    Heartbeat, Message, Offer, OfferReply, PromiseOutcome, PromiseReply, PromiseRequest, Relay,
    RelayRequest, StreamRecord, Vote, VoteRequest,
};
use kingcupwinch_time::{Span, Time};

use crate::DecodeError;
use crate::field::{
    check_list, incarnation, incarnation_bytes, require, shard_terms, shard_terms_pb,
};
use crate::owner::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use crate::pb::sibling as pb;
use crate::pb::sibling::ownership::Message as Wire;

pub(super) fn decode(ownership: pb::Ownership) -> Result<Message, DecodeError> {
    let message = match require(ownership.message, "ownership.message")? {
        Wire::Heartbeat(h) => Message::Heartbeat(Heartbeat {
            applied: Offset(h.applied),
            age: h.age_us.map(Span::from_micros),
        }),
        Wire::RelayAsk(r) => Message::RelayRequest(RelayRequest {
            asked_at: Time::from_micros(r.asked_us),
            from: r.from.map(Offset),
        }),
        Wire::Relay(r) => Message::Relay(decode_relay(r)?),
        Wire::PromiseAsk(p) => Message::PromiseRequest(PromiseRequest {
            asked_at: Time::from_micros(p.asked_us),
            applied: Offset(p.applied),
        }),
        Wire::PromiseReply(p) => Message::PromiseReply(PromiseReply {
            asked_at: Time::from_micros(p.asked_us),
            outcome: decode_outcome(p.outcome())?,
        }),
        Wire::SupportAsk(s) => Message::VoteRequest(VoteRequest {
            owner: incarnation(&s.owner, "support_ask.owner")?,
            shards: shard_terms(&s.shards, "support_ask.shards")?,
        }),
        Wire::Support(s) => Message::Vote(Vote {
            owner: incarnation(&s.owner, "support.owner")?,
            shards: shard_terms(&s.shards, "support.shards")?,
        }),
        Wire::Offer(o) => Message::Offer(Offer {
            asked_at: Time::from_micros(o.asked_us),
            shards: shard_terms(&o.shards, "offer.shards")?,
        }),
        Wire::OfferReply(o) => Message::OfferReply(OfferReply {
            asked_at: Time::from_micros(o.asked_us),
            accepted: o.accepted,
        }),
    };
    Ok(message)
}

pub(super) fn encode(message: &Message) -> pb::Ownership {
    let wire = match message {
        Message::Heartbeat(h) => Wire::Heartbeat(pb::Heartbeat {
            applied: h.applied.0,
            age_us: h.age.map(Span::as_micros),
        }),
        Message::RelayRequest(r) => Wire::RelayAsk(pb::RelayAsk {
            asked_us: r.asked_at.as_micros(),
            from: r.from.map(|offset| offset.0),
        }),
        Message::Relay(r) => Wire::Relay(encode_relay(r)),
        Message::PromiseRequest(p) => Wire::PromiseAsk(pb::PromiseAsk {
            asked_us: p.asked_at.as_micros(),
            applied: p.applied.0,
        }),
        Message::PromiseReply(p) => Wire::PromiseReply(pb::PromiseReply {
            asked_us: p.asked_at.as_micros(),
            outcome: encode_outcome(p.outcome).into(),
        }),
        Message::VoteRequest(s) => Wire::SupportAsk(pb::SupportAsk {
            owner: incarnation_bytes(s.owner),
            shards: shard_terms_pb(&s.shards),
        }),
        Message::Vote(s) => Wire::Support(pb::Support {
            owner: incarnation_bytes(s.owner),
            shards: shard_terms_pb(&s.shards),
        }),
        Message::Offer(o) => Wire::Offer(pb::Offer {
            asked_us: o.asked_at.as_micros(),
            shards: shard_terms_pb(&o.shards),
        }),
        Message::OfferReply(o) => Wire::OfferReply(pb::OfferReply {
            asked_us: o.asked_at.as_micros(),
            accepted: o.accepted,
        }),
    };
    pb::Ownership {
        message: Some(wire),
    }
}

fn decode_relay(relay: pb::Relay) -> Result<Relay, DecodeError> {
    check_list(&relay.records, "relay.records")?;
    let snapshot = relay.snapshot.as_ref().map(decode_snapshot);
    let records: Result<_, _> = relay.records.into_iter().map(decode_placed).collect();
    Ok(Relay {
        asked_at: Time::from_micros(relay.asked_us),
        age: relay.age_us.map(Span::from_micros),
        next: Offset(relay.next),
        snapshot: snapshot.transpose()?,
        records: records?,
    })
}

fn encode_relay(relay: &Relay) -> pb::Relay {
    pb::Relay {
        asked_us: relay.asked_at.as_micros(),
        age_us: relay.age.map(Span::as_micros),
        next: relay.next.0,
        snapshot: relay.snapshot.as_ref().map(encode_snapshot),
        records: relay.records.iter().map(encode_placed).collect(),
    }
}

fn decode_placed(record: pb::PlacedRecord) -> Result<StreamRecord, DecodeError> {
    let entry = record.entry.map(decode_entry).transpose()?;
    Ok((Offset(record.offset), entry))
}

fn encode_placed((offset, entry): &StreamRecord) -> pb::PlacedRecord {
    pb::PlacedRecord {
        offset: offset.0,
        entry: entry.as_ref().map(encode_entry),
    }
}

fn decode_outcome(outcome: pb::PromiseOutcome) -> Result<PromiseOutcome, DecodeError> {
    match outcome {
        pb::PromiseOutcome::Unspecified => Err(DecodeError::OutOfRange("promise_reply.outcome")),
        pb::PromiseOutcome::Granted => Ok(PromiseOutcome::Granted),
        pb::PromiseOutcome::Behind => Ok(PromiseOutcome::Behind),
        pb::PromiseOutcome::Supporting => Ok(PromiseOutcome::VotedAgainst),
    }
}

fn encode_outcome(outcome: PromiseOutcome) -> pb::PromiseOutcome {
    match outcome {
        PromiseOutcome::Granted => pb::PromiseOutcome::Granted,
        PromiseOutcome::Behind => pb::PromiseOutcome::Behind,
        PromiseOutcome::VotedAgainst => pb::PromiseOutcome::Supporting,
    }
}
