//! Checks that the at-most-once properties hold, and that each mutation of the rules gives a
//! counterexample.

use kingcupwinch_spec::at_most_once::{
    AT_MOST_ONCE, AtMostOnce, Mutation, NOT_RUN_IS_FINAL, RAN_IS_TRUE, Rules,
};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

const MAX_STATES: usize = 3_000_000;

#[test]
fn a_key_runs_at_most_once() {
    let report = explore(&AtMostOnce::new(Rules::new()), MAX_STATES);
    println!(
        "{} states, {} transitions, depth {}: {AT_MOST_ONCE}; {NOT_RUN_IS_FINAL}; {RAN_IS_TRUE}",
        report.states, report.transitions, report.depth
    );
    assert_eq!(report.outcome, Outcome::Holds);
}

#[rstest]
#[case("run_unknown_keys", Mutation::RunUnknownKeys)]
#[case("run_if_unknown_to_siblings", Mutation::RunIfUnknownToSiblings)]
#[case("trust_sibling_not_run", Mutation::TrustSiblingNotRun)]
#[case("evict_without_floor", Mutation::EvictWithoutFloor)]
#[case("refuse_without_floor", Mutation::RefuseWithoutFloor)]
#[case("refuse_old_key_when_full", Mutation::RefuseOldKeyWhenFull)]
#[case("timeout_means_not_run", Mutation::TimeoutMeansNotRun)]
#[case("retry_after_timeout", Mutation::RetryAfterTimeout)]
#[case("ignore_attempt_number", Mutation::IgnoreAttemptNumber)]
#[case("no_runner_memory", Mutation::NoRunnerMemory)]
#[case("permit_survives_restart", Mutation::PermitSurvivesRestart)]
#[case("worker_timeout_means_not_run", Mutation::WorkerTimeoutMeansNotRun)]
fn each_mutation_gives_a_counterexample(#[case] name: &str, #[case] mutation: Mutation) {
    let model = AtMostOnce::new(Rules::new().with_mutation(mutation));
    let report = explore(&model, MAX_STATES);
    let Outcome::Violated { property, trace } = report.outcome else {
        panic!(
            "{name}: {:?} after {} states",
            report.outcome, report.states
        );
    };
    let text = format!("violates: {property}\n{}\n", trace.join("\n"));
    insta::assert_snapshot!(name, text);
}
