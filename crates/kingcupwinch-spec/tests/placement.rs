//! The rules of placement, explored whole, and each of them left out.

use kingcupwinch_spec::placement::{Mutation, Placement};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

/// The tick up to which the whole rules are explored: a claim, a renewal at the last moment, a
/// lapse and a start elsewhere fit in.
const LAST_TICK: u8 = 5;
/// More states than the rules have.
const MAX_STATES: usize = 12_000_000;

#[test]
fn the_task_never_runs_on_two_workers() {
    let report = explore(&Placement::new(LAST_TICK), MAX_STATES);
    assert_eq!(report.outcome, Outcome::Holds, "{} states", report.states);
    assert!(report.states > 10_000, "{} states", report.states);
}

#[rstest]
#[case(Mutation::NoFencing)]
#[case(Mutation::NoWriteAhead)]
#[case(Mutation::NoOverlap)]
#[case(Mutation::NoWriteTimeout)]
#[case(Mutation::NoPoll)]
fn each_mutation_gives_a_counterexample(#[case] mutation: Mutation) {
    let report = explore(
        &Placement::new(LAST_TICK).with_mutation(mutation),
        MAX_STATES,
    );
    assert!(
        matches!(report.outcome, Outcome::Violated { .. }),
        "{mutation:?}: {:?} after {} states",
        report.outcome,
        report.states
    );
}
