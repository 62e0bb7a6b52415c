//! Hashing that every instance computes alike: keys to shards and domains, shards to members.
//!
//! Members and domains are chosen by rendezvous hashing (Thaler and Ravishankar, 1998), weighted
//! by the logarithmic method, so that a change of one candidate moves only that candidate's keys.

use std::cmp::Ordering;

use twox_hash::XxHash64;
use uuid::Uuid;

use crate::id::{Domain, ShardId};
use crate::record::Member;

const SHARD_SEED: u64 = 1;
const DOMAIN_SEED: u64 = 2;
const MEMBER_SEED: u64 = 3;
const VOTER_SEED: u64 = 4;

/// Fraction bits of a 64-bit float.
const MANTISSA_BITS: u32 = 53;

/// Returns the home shard of a key.
///
/// # Panics
///
/// Panics if `shards` is zero.
pub fn shard_of(key: Uuid, shards: u16) -> ShardId {
    let hash = XxHash64::oneshot(SHARD_SEED, key.as_bytes());
    let index = hash % u64::from(shards);
    ShardId(u16::try_from(index).unwrap_or(0))
}

/// Returns the shard of a worker, by its name in the instance list.
///
/// # Panics
///
/// Panics if `shards` is zero.
pub fn shard_of_name(name: &str, shards: u16) -> ShardId {
    let hash = XxHash64::oneshot(SHARD_SEED, name.as_bytes());
    let index = hash % u64::from(shards);
    ShardId(u16::try_from(index).unwrap_or(0))
}

/// Returns the home domain of a key among the declared domains, none if there are none.
pub fn domain_of(key: Uuid, domains: &[Domain]) -> Option<&Domain> {
    let seed = XxHash64::oneshot(DOMAIN_SEED, key.as_bytes());
    domains
        .iter()
        .max_by_key(|name| (XxHash64::oneshot(seed, name.as_bytes()), *name))
}

/// A member's standing for a shard; the highest is the shard's preferred owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score(f64);

impl Score {
    /// Compares two scores; scores are never not-a-number.
    pub fn compare(&self, other: &Score) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Returns the weighted rendezvous score of `member` for `shard`.
pub fn member_score(shard: ShardId, member: &Member) -> Score {
    let seed = XxHash64::oneshot(MEMBER_SEED, &shard.0.to_le_bytes());
    let hash = XxHash64::oneshot(seed, member.instance.as_bytes());
    Score(weighted_score(hash, member.weight))
}

/// Returns the position of `me` among the candidates for `shard`, best first.
///
/// Equal scores are ordered by incarnation.
pub fn member_rank<'a>(
    shard: ShardId,
    me: &Member,
    candidates: impl Iterator<Item = &'a Member>,
) -> usize {
    let mine = member_score(shard, me);
    candidates
        .filter(|other| other.incarnation != me.incarnation)
        .filter(|other| is_before(shard, other, mine, me))
        .count()
}

fn is_before(shard: ShardId, other: &Member, mine: Score, me: &Member) -> bool {
    match member_score(shard, other).compare(&mine) {
        Ordering::Greater => true,
        Ordering::Equal => other.incarnation < me.incarnation,
        Ordering::Less => false,
    }
}

/// Returns how strongly `voter` is preferred as a voter of `owner`.
pub(crate) fn voter_score(owner: &Member, voter: &Member) -> u64 {
    let seed = XxHash64::oneshot(VOTER_SEED, owner.instance.as_bytes());
    XxHash64::oneshot(seed, voter.instance.as_bytes())
}

/// The logarithmic method: `-weight / ln(u)` with `u` uniform over the open unit interval.
fn weighted_score(hash: u64, weight: u32) -> f64 {
    let bits = hash >> (u64::BITS - MANTISSA_BITS);
    let unit = (bits as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight.max(1)) / unit.ln()
}
