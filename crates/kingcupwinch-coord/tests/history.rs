//! Configuration history: concurrent publications, missing records, snapshots and relayed entries.

use std::sync::Arc;

use kingcupwinch_coord::history::{Applied, History, Limits, PublishOutcome};
use kingcupwinch_coord::id::{Offset, RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Origin, Stamped};
use kingcupwinch_time::{Span, Time, WallTime};
use rstest::rstest;
use uuid::Uuid;

type Record = Stamped<ConfigRecord>;

fn check(tree: &str) -> Result<(), Arc<str>> {
    match tree {
        "bad" => Err("bad tree".into()),
        _ => Ok(()),
    }
}

fn id(n: u128) -> RecordId {
    RecordId(Uuid::from_u128(n))
}

fn record(n: u128, based: u64, version: u64, origin: Option<Origin>, tree: &str) -> Record {
    let body = ConfigRecord {
        based: Version(based),
        version: Version(version),
        origin,
        author: "operator".into(),
        published: WallTime::from_millis(0),
        tree: tree.into(),
    };
    Stamped { id: id(n), body }
}

fn publish(n: u128, based: u64) -> Record {
    record(n, based, based + 1, None, "{}")
}

fn snapshot(n: u128, version: u64, origin: u128, covers: u64) -> Record {
    let origin = Origin {
        id: id(origin),
        covers: Offset(covers),
    };
    record(n, version, version, Some(origin), "{}")
}

fn apply(history: &mut History, offset: u64, record: Record) -> Applied {
    history.apply(Offset(offset), Some(record), Time::ZERO, &check)
}

fn read(start: u64, log: &[Record]) -> History {
    let mut history = History::new(Offset(start), Limits::new());
    for (offset, record) in log.iter().enumerate().skip(start as usize) {
        apply(&mut history, offset as u64, record.clone());
    }
    history
}

fn in_force(version: u64) -> Applied {
    Applied::InForce {
        version: Version(version),
    }
}

#[test]
fn two_operators_race_and_the_first_record_wins() {
    let mut history = read(0, &[publish(1, 0)]);
    assert_eq!(apply(&mut history, 1, publish(2, 1)), in_force(2));
    let lost = Applied::Lost {
        winner: Some(id(2)),
    };
    assert_eq!(apply(&mut history, 2, publish(3, 1)), lost);
    assert_eq!(
        history.outcome(id(2)),
        Some(&PublishOutcome::Won(Version(2)))
    );
    let outcome = PublishOutcome::Lost {
        winner: Some(id(2)),
    };
    assert_eq!(history.outcome(id(3)), Some(&outcome));
}

#[test]
fn an_invalid_record_leaves_the_version_to_the_next() {
    let mut history = read(0, &[record(1, 0, 1, None, "bad")]);
    assert_eq!(history.version(), Version(0));
    assert_eq!(apply(&mut history, 1, publish(2, 0)), in_force(1));
}

#[test]
fn a_publication_appended_twice_wins_once_and_its_outcome_stays() {
    let mut history = read(0, &[publish(1, 0)]);
    assert_eq!(
        apply(&mut history, 1, publish(1, 0)),
        Applied::AlreadyApplied
    );
    assert_eq!(
        history.outcome(id(1)),
        Some(&PublishOutcome::Won(Version(1)))
    );
}

#[rstest]
#[case::ahead(publish(9, 5), Applied::Ahead { current: Version(1) })]
#[case::skips(record(9, 1, 3, None, "{}"), Applied::Malformed)]
#[case::overflow(record(9, 1, 0, None, "{}"), Applied::Malformed)]
#[case::snapshot_covers_later_offsets(snapshot(9, 1, 1, 7), Applied::Malformed)]
#[case::snapshot_of_another_record(snapshot(9, 1, 8, 1), Applied::StaleSnapshot)]
#[case::snapshot_of_a_later_version(snapshot(9, 4, 8, 1), Applied::StaleSnapshot)]
#[case::current_snapshot(snapshot(9, 1, 1, 1), Applied::CurrentSnapshot)]
fn result_of_a_record_for_a_complete_reader(#[case] bad: Record, #[case] expected: Applied) {
    let mut history = read(0, &[publish(1, 0)]);
    assert_eq!(apply(&mut history, 1, bad), expected);
    assert_eq!(history.version(), Version(1));
}

#[test]
fn an_undecodable_record_does_not_stop_the_reader() {
    let mut history = History::new(Offset(0), Limits::new());
    let applied = history.apply(Offset(0), None, Time::ZERO, &check);
    assert_eq!(applied, Applied::Undecodable);
    assert_eq!(apply(&mut history, 1, publish(1, 0)), in_force(1));
}

#[test]
fn late_snapshot_never_reverts_a_version() {
    let log = [
        publish(1, 0),
        publish(2, 1),
        snapshot(3, 1, 1, 1),
        publish(4, 2),
    ];
    assert_eq!(read(0, &log).version(), Version(3));
    let starts_at_one = read(1, &log);
    assert_eq!(starts_at_one.version(), Version(3));
    let starts_at_two = read(2, &log);
    assert_eq!(
        starts_at_two.version(),
        Version(0),
        "no usable snapshot was read"
    );
}

#[test]
fn record_for_a_future_version_is_rejected_by_late_readers_too() {
    let ahead = publish(9, 1);
    let log = [ahead, publish(1, 0), snapshot(3, 1, 1, 2), publish(4, 1)];
    for start in 0..3 {
        let history = read(start, &log);
        let origin = history.current().map(|e| e.id);
        assert_eq!(origin, Some(id(4)), "reader from {start}");
    }
}

#[test]
fn snapshot_bridges_lost_records() {
    let mut history = read(0, &[publish(1, 0)]);
    assert_eq!(apply(&mut history, 50, publish(7, 6)), Applied::Buffered);
    assert_eq!(
        history.version(),
        Version(1),
        "the old version stays in force"
    );
    assert_eq!(apply(&mut history, 51, snapshot(8, 6, 5, 50)), in_force(7));
    assert!(history.is_complete());
    let after = apply(&mut history, 52, snapshot(9, 1, 1, 51));
    assert_eq!(after, Applied::StaleSnapshot);
}

#[test]
fn buffered_records_beyond_the_limit_need_a_newer_snapshot() {
    let limits = Limits::new().with_buffer(4);
    let mut history = History::new(Offset(10), limits);
    for offset in 10..14 {
        apply(&mut history, offset, publish(offset.into(), offset));
    }
    let early = apply(&mut history, 14, snapshot(90, 11, 10, 11));
    assert_eq!(early, Applied::StaleSnapshot);
    let later = apply(&mut history, 15, snapshot(91, 12, 11, 12));
    assert_eq!(later, in_force(14));
}

#[test]
fn relayed_entries_bring_a_disconnected_reader_up_to_date() {
    let log = [publish(1, 0), publish(2, 1), publish(3, 1), publish(4, 2)];
    let whole = read(0, &log);
    let mut cut = read(0, &log[..1]);
    for entry in whole.since(cut.version()) {
        cut.apply_relay(&entry, Time::ZERO, &check);
    }
    assert_eq!(cut.current(), whole.current());
    assert_eq!(apply(&mut cut, 1, publish(2, 1)), Applied::AlreadyApplied);
    assert_eq!(cut.next(), Offset(4));
}

#[test]
fn relayed_entry_that_contradicts_the_log_is_rejected() {
    let mut history = read(0, &[publish(1, 0), publish(2, 0)]);
    let other = read(0, &[publish(1, 0), publish(5, 1)]);
    let entry = other.current().cloned().unwrap();
    let applied = history.apply_relay(&entry, Time::ZERO, &check);
    assert_eq!(applied, Applied::StaleSnapshot);
    assert_eq!(history.version(), Version(1));
}

#[test]
fn snapshots_become_due_by_age_and_by_record_count() {
    let limits = Limits::new().with_snapshots(Span::from_secs(10), 2);
    let mut history = History::new(Offset(0), limits);
    assert!(
        !history.is_snapshot_due(Time::MAX),
        "no version is in force yet"
    );
    apply(&mut history, 0, publish(1, 0));
    assert!(!history.is_snapshot_due(Time::from_millis(9_999)));
    assert!(history.is_snapshot_due(Time::from_millis(10_000)));
    for offset in 1..4 {
        apply(&mut history, offset, publish(2, 0));
    }
    assert!(history.is_snapshot_due(Time::ZERO));
    let body = history.snapshot().unwrap();
    let stamped = Stamped { id: id(77), body };
    assert_eq!(apply(&mut history, 4, stamped), Applied::CurrentSnapshot);
    assert!(!history.is_snapshot_due(Time::ZERO));
}

#[test]
fn publications_do_not_postpone_snapshots_and_snapshots_do_not_trigger_more() {
    let limits = Limits::new().with_snapshots(Span::from_secs(10), 2);
    let mut history = History::new(Offset(0), limits);
    for n in 0..3 {
        apply(&mut history, n, publish(n.into(), n));
    }
    assert!(
        history.is_snapshot_due(Time::ZERO),
        "three records, none covered"
    );
    for offset in 3..9 {
        let applied = apply(&mut history, offset, snapshot(90, 3, 2, 3));
        assert_eq!(applied, Applied::CurrentSnapshot);
    }
    assert!(
        !history.is_snapshot_due(Time::ZERO),
        "only snapshots were appended"
    );
}

#[test]
fn instances_do_not_append_snapshots_at_once() {
    let due = |seed| {
        let limits = Limits::new().with_snapshots(Span::from_secs(10), 1_000);
        let mut history = History::new(Offset(0), limits.with_spread(seed));
        apply(&mut history, 0, publish(1, 0));
        let at = (10..16).find(|s| history.is_snapshot_due(Time::from_millis(s * 1_000)));
        at.expect("due within one and a half times the age")
    };
    assert_eq!(due(0), 10);
    assert_eq!(due(512), 13);
}

#[test]
fn past_versions_are_bounded() {
    let limits = Limits::new().with_past(2, 1_000);
    let mut history = History::new(Offset(0), limits);
    for n in 0..5 {
        apply(&mut history, n, publish(n.into(), n));
    }
    let versions: Vec<Version> = history.past().map(|e| e.version).collect();
    assert_eq!(versions, [Version(3), Version(4)]);
}
