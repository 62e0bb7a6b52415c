//! Records of the ownership streams.

use kingcupwinch_coord::id::{Offset, Term};
use kingcupwinch_coord::record::{
    Claim, HandOver, Member, OwnerRecord, OwnerSnapshot, ShardState, Stamped,
};
use prost::Message;

use crate::DecodeError;
use crate::field::{
    MAX_RECORD_BYTES, check_list, check_size, incarnation, incarnation_bytes, members,
    members_bytes, record_id, record_id_bytes, require, shard, shard_terms, shard_terms_pb,
};
use crate::pb::records as pb;
use crate::pb::records::owner_entry::Body;

/// Decodes a record of an ownership stream.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes exceed [`MAX_RECORD_BYTES`] or are malformed, or if a
/// field is missing or out of range.
pub fn decode_owner(bytes: &[u8]) -> Result<Stamped<OwnerRecord>, DecodeError> {
    check_size(bytes.len(), MAX_RECORD_BYTES)?;
    decode_entry(pb::OwnerEntry::decode(bytes)?)
}

pub(crate) fn decode_entry(entry: pb::OwnerEntry) -> Result<Stamped<OwnerRecord>, DecodeError> {
    let body = match require(entry.body, "body")? {
        Body::Join(m) => OwnerRecord::Join(decode_member(&m)?),
        Body::Leave(id) => OwnerRecord::Leave(incarnation(&id, "leave")?),
        Body::Retire(id) => OwnerRecord::Retire(incarnation(&id, "retire")?),
        Body::Claim(c) => OwnerRecord::Claim(decode_claim(&c)?),
        Body::Release(r) => OwnerRecord::Release {
            owner: incarnation(&r.owner, "release.owner")?,
            shards: shard_terms(&r.shards, "release.shards")?,
        },
        Body::HandOver(h) => OwnerRecord::HandOver(decode_hand_over(&h)?),
        Body::Snapshot(s) => OwnerRecord::Snapshot(decode_snapshot(&s)?),
    };
    Ok(Stamped {
        id: record_id(&entry.id, "id")?,
        body,
    })
}

/// Encodes a record of an ownership stream.
pub fn encode_owner(record: &Stamped<OwnerRecord>) -> Vec<u8> {
    encode_entry(record).encode_to_vec()
}

pub(crate) fn encode_entry(record: &Stamped<OwnerRecord>) -> pb::OwnerEntry {
    let body = match &record.body {
        OwnerRecord::Join(m) => Body::Join(encode_member(m)),
        OwnerRecord::Leave(id) => Body::Leave(incarnation_bytes(*id)),
        OwnerRecord::Retire(id) => Body::Retire(incarnation_bytes(*id)),
        OwnerRecord::Claim(c) => Body::Claim(encode_claim(c)),
        OwnerRecord::Release { owner, shards } => Body::Release(pb::Release {
            owner: incarnation_bytes(*owner),
            shards: shard_terms_pb(shards),
        }),
        OwnerRecord::HandOver(h) => Body::HandOver(encode_hand_over(h)),
        OwnerRecord::Snapshot(s) => Body::Snapshot(encode_snapshot(s)),
    };
    pb::OwnerEntry {
        id: record_id_bytes(record.id),
        body: Some(body),
    }
}

fn decode_member(m: &pb::Member) -> Result<Member, DecodeError> {
    Ok(Member {
        incarnation: incarnation(&m.incarnation, "member.incarnation")?,
        instance: m.instance.as_str().into(),
        link: m.link.as_str().into(),
        forward: m.forward.as_str().into(),
        weight: m.weight,
    })
}

fn encode_member(m: &Member) -> pb::Member {
    pb::Member {
        incarnation: incarnation_bytes(m.incarnation),
        instance: m.instance.to_string(),
        link: m.link.to_string(),
        forward: m.forward.to_string(),
        weight: m.weight,
    }
}

fn decode_claim(c: &pb::Claim) -> Result<Claim, DecodeError> {
    Ok(Claim {
        owner: incarnation(&c.owner, "claim.owner")?,
        shards: shard_terms(&c.shards, "claim.shards")?,
        voters: members(&c.voters, "claim.voters")?,
    })
}

fn encode_claim(c: &Claim) -> pb::Claim {
    pb::Claim {
        owner: incarnation_bytes(c.owner),
        shards: shard_terms_pb(&c.shards),
        voters: members_bytes(&c.voters),
    }
}

fn decode_hand_over(h: &pb::HandOver) -> Result<HandOver, DecodeError> {
    Ok(HandOver {
        from: incarnation(&h.from, "hand_over.from")?,
        to: incarnation(&h.to, "hand_over.to")?,
        shards: shard_terms(&h.shards, "hand_over.shards")?,
        voters: members(&h.voters, "hand_over.voters")?,
    })
}

fn encode_hand_over(h: &HandOver) -> pb::HandOver {
    pb::HandOver {
        from: incarnation_bytes(h.from),
        to: incarnation_bytes(h.to),
        shards: shard_terms_pb(&h.shards),
        voters: members_bytes(&h.voters),
    }
}

pub(crate) fn decode_snapshot(s: &pb::OwnerSnapshot) -> Result<OwnerSnapshot, DecodeError> {
    check_list(&s.members, "snapshot.members")?;
    check_list(&s.shards, "snapshot.shards")?;
    let members: Result<_, _> = s.members.iter().map(decode_member).collect();
    let shards: Result<_, _> = s.shards.iter().map(decode_shard).collect();
    Ok(OwnerSnapshot {
        covers: Offset(s.covers),
        members: members?,
        shards: shards?,
    })
}

pub(crate) fn encode_snapshot(s: &OwnerSnapshot) -> pb::OwnerSnapshot {
    pb::OwnerSnapshot {
        covers: s.covers.0,
        members: s.members.iter().map(encode_member).collect(),
        shards: s.shards.iter().map(encode_shard).collect(),
    }
}

fn decode_shard(s: &pb::ShardState) -> Result<ShardState, DecodeError> {
    let owner = s.owner.as_ref().map(|o| incarnation(o, "shard.owner"));
    Ok(ShardState {
        shard: shard(s.shard, "shard.shard")?,
        term: Term(s.term),
        owner: owner.transpose()?,
        voters: members(&s.voters, "shard.voters")?,
    })
}

fn encode_shard(s: &ShardState) -> pb::ShardState {
    pb::ShardState {
        shard: u32::from(s.shard.0),
        term: s.term.0,
        owner: s.owner.map(incarnation_bytes),
        voters: members_bytes(&s.voters),
    }
}
