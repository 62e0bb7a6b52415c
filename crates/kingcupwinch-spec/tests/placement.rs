//! Checks that the task never runs on two workers, and that each mutation of the rules gives a
//! counterexample.

use kingcupwinch_spec::placement::{Mutation, Placement};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

/// Last tick of the exploration. The run has time for a claim, a lease renewal at the last moment,
/// the expiry of that lease and a start on another worker.
const LAST_TICK: u8 = 5;
/// Upper bound that exceeds the number of reachable states.
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
