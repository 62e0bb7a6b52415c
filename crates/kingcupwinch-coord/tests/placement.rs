//! Hashing of keys to shards and domains, and of shards to members.

use std::sync::Arc;

use kingcupwinch_coord::hash::{domain_of, member_rank, shard_of};
use kingcupwinch_coord::id::{Domain, Incarnation, ShardId};
use kingcupwinch_coord::record::Member;
use rstest::rstest;
use uuid::Uuid;

const KEYS: u64 = 10_000;
/// Home shards of the first keys among 16.
const HOMES: [u16; 8] = [8, 14, 11, 3, 9, 5, 11, 4];

fn key(number: u64) -> Uuid {
    Uuid::from_u64_pair(number, number ^ 0x5555)
}

fn member(index: u64, weight: u32) -> Member {
    Member {
        incarnation: Incarnation(Uuid::from_u64_pair(0, index)),
        instance: Arc::from(format!("entry-{index}")),
        link: Arc::from(""),
        forward: Arc::from(""),
        weight,
    }
}

fn preferred_owner(shard: u16, members: &[Member]) -> usize {
    let ranks = members
        .iter()
        .map(|me| member_rank(ShardId(shard), me, members.iter()));
    let firsts: Vec<usize> = ranks
        .enumerate()
        .filter(|(_, rank)| *rank == 0)
        .map(|(i, _)| i)
        .collect();
    assert_eq!(firsts.len(), 1, "each shard has one favourite");
    firsts[0]
}

#[rstest]
#[case(1)]
#[case(16)]
#[case(4_096)]
fn keys_spread_over_shards(#[case] shards: u16) {
    let mut counts = vec![0_u64; usize::from(shards)];
    for number in 0..KEYS {
        counts[usize::from(shard_of(key(number), shards).0)] += 1;
    }
    let mean = KEYS / u64::from(shards);
    let bound = mean + 6 * (mean as f64).sqrt() as u64 + 6;
    assert!(counts.iter().all(|count| *count <= bound));
}

/// The homes of keys are part of the protocol: they must not change between releases.
#[test]
fn home_shards_are_stable() {
    let shards: Vec<u16> = (0..8).map(|number| shard_of(key(number), 16).0).collect();
    assert_eq!(shards, HOMES);
}

#[test]
fn removing_a_domain_moves_only_its_own_keys() {
    let all: Vec<Domain> = ["a", "b", "c"].map(Arc::from).to_vec();
    let rest = &all[..2];
    for number in 0..KEYS {
        let before = domain_of(key(number), &all);
        if before != Some(&all[2]) {
            assert_eq!(domain_of(key(number), rest), before);
        }
    }
    assert_eq!(domain_of(key(1), &[]), None);
}

#[test]
fn shards_follow_weights_and_move_only_to_a_new_member() {
    let three = [member(0, 1), member(1, 1), member(2, 2)];
    let four = [member(0, 1), member(1, 1), member(2, 2), member(3, 1)];
    let mut counts = [0_u32; 3];
    for shard in 0..4_096 {
        let before = preferred_owner(shard, &three);
        counts[before] += 1;
        let after = preferred_owner(shard, &four);
        assert!(after == before || after == 3);
    }
    let share = f64::from(counts[2]) / 4_096.0;
    assert!((0.46..0.54).contains(&share), "{counts:?}");
}
