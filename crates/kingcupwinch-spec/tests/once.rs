//! At most once holds, and each flaw gives a counterexample.

use kingcupwinch_spec::once::{AT_MOST_ONCE, Flaw, NOT_RUN_HOLDS, Once, OnceRules, RAN_HOLDS};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

const MOST_STATES: usize = 3_000_000;

#[test]
fn a_key_runs_at_most_once() {
    let report = explore(&Once::new(OnceRules::new()), MOST_STATES);
    println!(
        "{} states, {} transitions, depth {}: {AT_MOST_ONCE}; {NOT_RUN_HOLDS}; {RAN_HOLDS}",
        report.states, report.transitions, report.depth
    );
    assert_eq!(report.outcome, Outcome::Holds);
}

#[rstest]
#[case("no_new_term_rule", Flaw::NoNewTermRule)]
#[case("unseen_means_new", Flaw::UnseenMeansNew)]
#[case("sibling_not_run", Flaw::SiblingNotRun)]
#[case("no_floor", Flaw::NoFloor)]
#[case("full_without_floor", Flaw::FullWithoutFloor)]
#[case("full_in_new_term", Flaw::FullInNewTerm)]
#[case("silence_means_not_run", Flaw::SilenceMeansNotRun)]
#[case("retry_on_silence", Flaw::RetryOnSilence)]
#[case("unmatched_attempt", Flaw::UnmatchedAttempt)]
#[case("no_runner_memory", Flaw::NoRunnerMemory)]
#[case("permit_outlives_runner", Flaw::PermitOutlivesRunner)]
#[case("runner_silence", Flaw::RunnerSilence)]
fn each_flaw_gives_a_counterexample(#[case] name: &str, #[case] flaw: Flaw) {
    let model = Once::new(OnceRules::new().with_flaw(flaw));
    let report = explore(&model, MOST_STATES);
    let Outcome::Violated { property, trace } = report.outcome else {
        panic!(
            "{name}: {:?} after {} states",
            report.outcome, report.states
        );
    };
    let text = format!("violates: {property}\n{}\n", trace.join("\n"));
    insta::assert_snapshot!(name, text);
}
