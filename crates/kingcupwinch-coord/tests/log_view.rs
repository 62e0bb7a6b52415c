//! Log view: order, duplicates, gaps, snapshots and freshness.

use kingcupwinch_coord::id::{Incarnation, Offset, RecordId};
use kingcupwinch_coord::log::{Batch, Entry, LogFault, LogView};
use kingcupwinch_coord::record::{OwnerRecord, OwnerSnapshot, Stamped};
use kingcupwinch_time::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use uuid::Uuid;

type Record = Option<Stamped<OwnerRecord>>;

fn leave(id: u64) -> Record {
    Some(Stamped {
        id: RecordId(Uuid::from_u64_pair(0, id)),
        body: OwnerRecord::Leave(Incarnation(Uuid::from_u64_pair(1, id))),
    })
}

fn snapshot(id: u64, covers: u64) -> Record {
    let snapshot = OwnerSnapshot {
        covers: Offset(covers),
        members: Vec::new(),
        shards: Vec::new(),
    };
    Some(Stamped {
        id: RecordId(Uuid::from_u64_pair(0, id)),
        body: OwnerRecord::Snapshot(snapshot),
    })
}

fn batch(sent: u64, first: u64, from: u64, records: Vec<Record>) -> Batch<OwnerRecord> {
    let with_offsets: Vec<(Offset, Record)> = (from..).map(Offset).zip(records).collect();
    Batch {
        sent: Time::from_millis(sent),
        first: Offset(first),
        tail: Offset(from + with_offsets.len() as u64),
        records: with_offsets,
    }
}

/// Returns a letter and an offset for each entry: `b` for a snapshot, `r` for a record, `e` for
/// expired records, or the letter of a fault.
fn outline(entries: &[Entry<OwnerRecord>]) -> Vec<(char, u64)> {
    entries
        .iter()
        .map(|entry| match entry {
            Entry::Snapshot { offset, .. } => ('b', offset.0),
            Entry::Record { offset, .. } => ('r', offset.0),
            Entry::Skipped { offset, fault } => (letter(*fault), offset.0),
            Entry::Expired { to, .. } => ('e', to.0),
        })
        .collect()
}

fn letter(fault: LogFault) -> char {
    match fault {
        LogFault::Undecodable => 'u',
        LogFault::Duplicate => 'p',
        LogFault::InvalidSnapshot => 'i',
        LogFault::Gap => 'h',
    }
}

#[rstest]
#[case::in_order(batch(1, 0, 0, vec![leave(1), leave(2)]), &[('r', 0), ('r', 1)])]
#[case::undecodable(batch(1, 0, 0, vec![None, leave(2)]), &[('u', 0), ('r', 1)])]
#[case::repeat(batch(1, 0, 0, vec![leave(1), leave(1)]), &[('r', 0), ('p', 1)])]
#[case::hole(batch(1, 0, 1, vec![leave(1)]), &[('h', 0)])]
#[case::snapshot_covers_later_offsets(batch(1, 0, 0, vec![snapshot(1, 1)]), &[('i', 0)])]
#[case::no_snapshot(batch(1, 5, 5, vec![leave(1)]), &[('e', 5)])]
#[case::snapshot_leaves_a_gap(batch(1, 5, 5, vec![leave(1), snapshot(2, 4)]), &[('e', 5)])]
#[case::starts_at_snapshot(
    batch(1, 5, 5, vec![leave(1), leave(2), snapshot(3, 6), leave(4)]),
    &[('e', 5), ('b', 7), ('r', 6), ('r', 7), ('r', 8)]
)]
fn entries_of_one_read(#[case] batch: Batch<OwnerRecord>, #[case] expected: &[(char, u64)]) {
    let mut view = LogView::new();
    let mut entries = Vec::new();
    view.read(batch, &mut entries);
    assert_eq!(outline(&entries), expected);
}

#[test]
fn remembered_ids_are_bounded() {
    let mut view = LogView::new().with_id_limit(2);
    let mut entries = Vec::new();
    let records = vec![leave(1), leave(2), leave(3), leave(1), leave(3)];
    view.read(batch(1, 0, 0, records), &mut entries);
    let expected = [('r', 0), ('r', 1), ('r', 2), ('r', 3), ('p', 4)];
    assert_eq!(outline(&entries), expected);
}

#[test]
fn a_view_is_fresh_as_of_the_read_that_saw_the_tail_it_has_reached() {
    let mut view = LogView::new();
    let mut entries = Vec::new();
    let mut part = batch(10, 0, 0, vec![leave(1)]);
    part.tail = Offset(2);
    view.read(part, &mut entries);
    assert_eq!(view.fresh_at(), None);
    let mut rest = batch(20, 0, 1, vec![leave(2)]);
    rest.tail = Offset(3);
    view.read(rest, &mut entries);
    assert_eq!(view.fresh_at(), Some(Time::from_millis(10)));
    view.read(batch(5, 0, 2, vec![leave(3)]), &mut entries);
    assert_eq!(view.fresh_at(), Some(Time::from_millis(20)));
}

#[test]
fn a_view_without_a_snapshot_is_not_fresh() {
    let mut view = LogView::new();
    let mut entries = Vec::new();
    view.read(batch(10, 5, 5, vec![leave(1)]), &mut entries);
    assert!(!view.is_complete());
    assert_eq!(view.fresh_at(), None);
    view.read(batch(20, 5, 6, vec![snapshot(2, 6)]), &mut entries);
    assert!(view.is_complete());
    assert_eq!(view.fresh_at(), Some(Time::from_millis(20)));
}

/// Reads that overlap or end early give the same entries as one read of the whole stream.
#[test]
fn any_split_into_reads_gives_the_same_records() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let strategy = (
        prop::collection::vec(prop::option::weighted(0.8, 0_u64..20), 1..40),
        prop::collection::vec((0_u64..5, 1_usize..9), 60),
    );
    let result = runner.run(&strategy, |(ids, cuts)| {
        let records: Vec<Record> = ids.iter().map(|id| id.and_then(leave)).collect();
        let mut whole = Vec::new();
        LogView::new().read(batch(1, 0, 0, records.clone()), &mut whole);
        let mut parts = Vec::new();
        let mut view = LogView::new();
        for (back, length) in cuts {
            let from = view.next().0.saturating_sub(back);
            let some = records.iter().skip(from as usize).take(length).cloned();
            view.read(batch(1, 0, from, some.collect()), &mut parts);
        }
        prop_assert_eq!(&parts[..], &whole[..parts.len()]);
        prop_assert_eq!(parts.len() as u64, view.next().0);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
