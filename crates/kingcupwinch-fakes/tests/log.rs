//! The log engine: offsets, reads and retention.

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_fakes::LogEngine;
use kingcupwinch_time::{Span, Time};
use rstest::rstest;

const NOW: Time = Time::from_millis(1_000);

fn filled(count: u8) -> LogEngine {
    let mut log = LogEngine::new().with_retention(Span::from_secs(1));
    for n in 0..count {
        let offset = log.append(NOW, "s", Bytes::from(vec![n]));
        assert_eq!(offset, Offset(n.into()));
    }
    log
}

#[rstest]
#[case::from_start(0, 10, &[0, 1, 2, 3])]
#[case::from_middle(2, 10, &[2, 3])]
#[case::bounded(1, 2, &[1, 2])]
#[case::at_tail(4, 10, &[])]
#[case::beyond_tail(9, 10, &[])]
fn reads_from_an_offset(#[case] from: u64, #[case] max: usize, #[case] expected: &[u64]) {
    let page = filled(4).read(NOW, "s", Offset(from), max);
    let offsets: Vec<_> = page.records.iter().map(|r| r.offset.0).collect();
    assert_eq!(offsets, expected);
    assert_eq!(page.tail, Offset(4));
    let next = expected.last().map_or(from.min(4), |last| last + 1);
    assert_eq!(page.next, Offset(next));
}

#[test]
fn streams_are_independent() {
    let mut log = filled(3);
    assert_eq!(log.append(NOW, "other", Bytes::new()), Offset(0));
    assert_eq!(log.read(NOW, "other", Offset(0), 10).records.len(), 1);
}

#[test]
fn expired_records_are_dropped_and_offsets_continue() {
    let mut log = filled(3);
    let later = NOW + Span::from_millis(1_001);
    log.append(later, "s", Bytes::from_static(b"new"));
    let page = log.read(later, "s", Offset(0), 10);
    assert_eq!(page.first, Offset(3));
    assert_eq!(page.records.len(), 1);
    assert_eq!(page.records[0].offset, Offset(3));
}

#[test]
fn records_can_be_expired_explicitly() {
    let mut log = filled(3);
    log.expire_before("s", Offset(2));
    let page = log.read(NOW, "s", Offset(0), 10);
    assert_eq!((page.first, page.next), (Offset(2), Offset(3)));
}
