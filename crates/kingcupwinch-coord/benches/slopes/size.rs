//! Sizes of messages as a protocol-buffers encoding has them, without the link's framing.

use kingcupwinch_coord::ownership::Message;
use kingcupwinch_coord::ownership::message::Relay;
use kingcupwinch_coord::record::{OwnerRecord, OwnerSnapshot};

/// Tag and length.
const PREFIX: u64 = 2;
const UUID: u64 = 16 + PREFIX;
/// Tag and a variable-length number of the usual size.
const NUMBER: u64 = 6;
const SMALL: u64 = 3;
const SHARD_TERM: u64 = PREFIX + 2 * SMALL;
const MEMBER: u64 = UUID + 60;
/// Sender, recipient and the message's kind.
const ENVELOPE: u64 = 2 * UUID + PREFIX;

/// Returns the size of a message in bytes.
pub(crate) fn encoded_size(message: &Message) -> u64 {
    let body = match message {
        Message::Heartbeat(_) | Message::RelayRequest(_) | Message::PromiseRequest(_) => 2 * NUMBER,
        Message::Relay(relay) => relay_size(relay),
        Message::PromiseReply(_) | Message::OfferReply(_) => NUMBER + SMALL,
        Message::VoteRequest(ask) => UUID + ask.shards.len() as u64 * SHARD_TERM,
        Message::Vote(support) => UUID + support.shards.len() as u64 * SHARD_TERM,
        Message::Offer(offer) => NUMBER + offer.shards.len() as u64 * SHARD_TERM,
    };
    ENVELOPE + PREFIX + body
}

fn relay_size(relay: &Relay) -> u64 {
    let records: u64 = relay
        .records
        .iter()
        .map(|(_, record)| {
            NUMBER
                + record
                    .as_ref()
                    .map_or(0, |record| record_size(&record.body))
        })
        .sum();
    3 * NUMBER + relay.snapshot.as_ref().map_or(0, snapshot_size) + records
}

fn record_size(record: &OwnerRecord) -> u64 {
    let body = match record {
        OwnerRecord::Join(_) => MEMBER,
        OwnerRecord::Leave(_) | OwnerRecord::Retire(_) => UUID,
        OwnerRecord::Claim(claim) => {
            UUID + claim.shards.len() as u64 * SHARD_TERM + claim.voters.len() as u64 * UUID
        }
        OwnerRecord::Release { shards, .. } => UUID + shards.len() as u64 * SHARD_TERM,
        OwnerRecord::HandOver(plan) => {
            2 * UUID + plan.shards.len() as u64 * SHARD_TERM + plan.voters.len() as u64 * UUID
        }
        OwnerRecord::Snapshot(snapshot) => snapshot_size(snapshot),
    };
    UUID + body
}

fn snapshot_size(snapshot: &OwnerSnapshot) -> u64 {
    let shards: u64 = snapshot
        .shards
        .iter()
        .map(|state| SHARD_TERM + UUID + state.voters.len() as u64 * UUID)
        .sum();
    NUMBER + snapshot.members.len() as u64 * MEMBER + shards
}
