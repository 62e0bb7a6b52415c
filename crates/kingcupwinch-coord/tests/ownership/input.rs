//! Records that no correct instance writes, and the bounds of the log.

use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, Offset, RecordId, ShardId, Term};
use kingcupwinch_coord::ownership::{Note, RecordFault, Timers};
use kingcupwinch_coord::record::{
    Claim, HandOver, Member, Members, OwnerRecord, OwnerSnapshot, ShardState, Stamped,
};
use kingcupwinch_time::Span;
use rstest::rstest;
use uuid::Uuid;

use crate::net::{Net, settled, settled_with};

/// An incarnation that never joined.
const NON_MEMBER: Incarnation = Incarnation(Uuid::from_u128(99));

pub(crate) fn stamped(id: u64, body: OwnerRecord) -> Stamped<OwnerRecord> {
    Stamped {
        id: RecordId(Uuid::from_u64_pair(1, id)),
        body,
    }
}

fn node(index: u64) -> Incarnation {
    Incarnation(Uuid::from_u64_pair(7, index))
}

fn claim(owner: Incarnation, shard: u16, term: u64, voters: &[Incarnation]) -> OwnerRecord {
    OwnerRecord::Claim(Claim {
        owner,
        shards: vec![(ShardId(shard), Term(term))],
        voters: Members::from_slice(voters),
    })
}

fn hand_over(from: Incarnation, to: Incarnation, term: u64) -> OwnerRecord {
    OwnerRecord::HandOver(HandOver {
        from,
        to,
        shards: vec![(ShardId(0), Term(term))],
        voters: Members::from_slice(&[to]),
    })
}

fn rejoining_member() -> Member {
    Member {
        incarnation: node(0),
        instance: Arc::from("entry-0"),
        link: Arc::from("127.0.0.1:1"),
        forward: Arc::from("127.0.0.1:2"),
        weight: 1,
    }
}

fn snapshot_with_foreign_owner(covers: u64) -> OwnerRecord {
    OwnerRecord::Snapshot(OwnerSnapshot {
        covers: Offset(covers),
        members: Vec::new(),
        shards: vec![ShardState {
            shard: ShardId(0),
            term: Term(900),
            owner: Some(NON_MEMBER),
            voters: Members::from_slice(&[NON_MEMBER]),
        }],
    })
}

#[rstest]
#[case::undecodable(None)]
#[case::unknown_shard(Some(claim(node(0), 8, 1, &[node(0)])))]
#[case::stale_term(Some(claim(node(0), 0, 1, &[node(0)])))]
#[case::term_too_high(Some(claim(node(0), 0, 1_000, &[node(0)])))]
#[case::claim_by_a_non_member(Some(claim(NON_MEMBER, 0, 2, &[NON_MEMBER])))]
#[case::claim_without_own_vote(Some(claim(node(0), 0, 2, &[node(1)])))]
#[case::handover_by_a_non_member(Some(hand_over(NON_MEMBER, node(0), 2)))]
#[case::handover_to_a_non_member(Some(hand_over(node(0), NON_MEMBER, 2)))]
#[case::release_by_a_non_member(Some(OwnerRecord::Release { owner: NON_MEMBER, shards: vec![(ShardId(0), Term(1))] }))]
#[case::second_join(Some(OwnerRecord::Join(rejoining_member())))]
#[case::leave_of_a_non_member(Some(OwnerRecord::Leave(NON_MEMBER)))]
#[case::retirement_of_a_non_member(Some(OwnerRecord::Retire(NON_MEMBER)))]
#[case::snapshot_covers_later_offsets(Some(snapshot_with_foreign_owner(10_000)))]
fn invalid_record_is_skipped_and_reported_by_every_instance(#[case] record: Option<OwnerRecord>) {
    let mut net = settled(3, 8, 30);
    let counts = net.counts();
    let notes: Vec<usize> = net.nodes.iter().map(|node| node.notes.len()).collect();
    net.append_raw(record.map(|body| stamped(1, body)));
    net.run(Span::from_secs(5));
    assert_eq!(net.counts(), counts);
    for (node, before) in net.nodes.iter().zip(notes) {
        assert_eq!(node.notes.len(), before + 1, "{:?}", node.notes);
        assert_eq!(node.coord.next_offset(), Offset(net.log.len() as u64));
    }
}

#[test]
fn late_snapshot_changes_nothing() {
    let mut net = settled(3, 8, 31);
    let counts = net.counts();
    net.append_raw(Some(stamped(1, snapshot_with_foreign_owner(1))));
    net.append_raw(Some(stamped(2, snapshot_with_foreign_owner(1))));
    net.run(Span::from_secs(30));
    assert_eq!(net.counts(), counts);
}

#[test]
fn valid_parts_of_a_record_are_applied() {
    let mut net = settled(1, 8, 32);
    let mixed = OwnerRecord::Claim(Claim {
        owner: node(0),
        shards: vec![(ShardId(0), Term(2)), (ShardId(9), Term(1))],
        voters: Members::from_slice(&[node(0)]),
    });
    net.append_raw(Some(stamped(1, mixed)));
    net.run(Span::from_secs(2));
    let fault = RecordFault::UnknownShard(ShardId(9));
    let is_skipped = |note: &Note| matches!(note, Note::Skipped { fault: f, .. } if *f == fault);
    assert!(net.nodes[0].notes.iter().any(is_skipped));
    let owned = net.nodes[0].coord.owned(kingcupwinch_time::Time::MAX);
    let terms: Vec<u64> = owned.map(|owned| owned.term.0).collect();
    assert_eq!(terms, [2, 1, 1, 1, 1, 1, 1, 1]);
}

/// Snapshots come in time for a newcomer, while retention drops all but the newest records.
#[test]
fn new_instance_starts_from_a_snapshot() {
    let timers = Timers::default().with_snapshots(Span::from_secs(20), 1_000);
    let mut net = settled_with(3, 8, timers, 33);
    net.run(Span::from_secs(60));
    net.first = net.log.len() - 1;
    net.run(Span::from_secs(60));
    let newcomer = net.start("entry-3", 1);
    net.run(Span::from_secs(60));
    assert!(net.all_dispatched());
    assert_eq!(net.counts()[newcomer], 2);
    assert_eq!(net.nodes[newcomer].coord.group().members().len(), 4);
}

/// One instance writes the snapshots while nothing changes.
#[test]
fn only_one_instance_writes_snapshots() {
    let timers = Timers::default().with_snapshots(Span::from_secs(20), 1_000);
    let mut net = settled_with(5, 8, timers, 34);
    net.run(Span::from_secs(20));
    let records = net.log.len();
    net.run(Span::from_secs(100));
    let snapshots = net.log.len() - records;
    assert!((4..=5).contains(&snapshots), "{snapshots}");
}

/// An instance that slept while its records expired takes the state from a snapshot.
#[test]
fn instance_whose_records_expired_restores_a_snapshot() {
    let mut net = settled(3, 8, 35);
    net.isolate(1);
    net.pause(1, Span::from_secs(60));
    net.run(Span::from_secs(30));
    net.first = net.log.len();
    net.run(Span::from_secs(20));
    assert!(net.log.len() > net.first, "no snapshot after expiry");
    net.run(Span::from_secs(20));
    net.heal();
    net.run(Span::from_secs(60));
    assert!(net.all_dispatched());
    let expired = |note: &Note| matches!(note, Note::Expired { .. });
    assert!(net.nodes[1].notes.iter().any(expired));
    assert!(net.counts()[1] > 0);
}

/// Different settings of the same net give the same log for the same seed.
#[test]
fn same_seed_gives_the_same_log() {
    let log = |seed| {
        let mut net = Net::new(4, 16, Timers::default(), seed);
        net.loss = 10;
        net.run(Span::from_secs(30));
        net.log
    };
    assert_eq!(log(36), log(36));
    assert_ne!(log(36), log(37));
}
