//! Tests of the time between two polls.

use kingcupwinch_cell::{EndReason, RunEnd, TaskName};

use super::RepeatedEnds;

fn ends(numbers: &[u64]) -> Vec<RunEnd> {
    let end = |sequence: &u64| RunEnd {
        sequence: *sequence,
        task: TaskName::parse("00000000000000a1.0.0.0").unwrap(),
        run: 1,
        reason: EndReason::Done,
        checkpoint: None,
    };
    numbers.iter().map(end).collect()
}

fn backoffs(polls: &[&[u64]]) -> Vec<u32> {
    let mut repeats = RepeatedEnds::default();
    let backoff = |numbers: &&[u64]| {
        repeats.note(&ends(numbers));
        repeats.backoff()
    };
    polls.iter().map(backoff).collect()
}

/// While the log is away, no end is acknowledged, and each poll is answered at once with the same ends:
/// 85 workers took 200 of the 250 KB/s of their owner's link.
#[test]
fn polls_that_repeat_known_ends_become_rarer() {
    let polls: [&[u64]; 6] = [&[4], &[4], &[4], &[4], &[4], &[4]];
    assert_eq!(backoffs(&polls), [1, 2, 4, 8, 8, 8]);
}

#[test]
fn a_new_end_or_an_acknowledged_one_is_no_repeat() {
    let polls: [&[u64]; 6] = [&[], &[4], &[4], &[4, 5], &[], &[]];
    assert_eq!(backoffs(&polls), [1, 1, 2, 1, 1, 1]);
}
