//! The ownership rules hold, and each mutation of them gives a counterexample.

use kingcupwinch_spec::ownership::{
    Mutation, ONE_DISPATCHER, ONE_WINNER, Ownership, PROGRESS, Rules,
};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

const MOST_STATES: usize = 3_000_000;

fn base() -> Rules {
    Rules::small().with_restarts(0)
}

#[rstest]
#[case::plain("plain", base())]
#[case::restart("restart", Rules::small().with_own_claims(false))]
#[case::hand_over("hand-over", base().with_hand_over(true).with_own_claims(false))]
#[case::releases(
    "releases",
    base().with_releases(true).with_own_claims(false).with_window(4)
)]
#[case::leaves("leaves", Rules::small().with_releases(true).with_own_claims(false))]
#[case::drift("drift", base().with_drifts(2).with_own_claims(false))]
#[case::long_lease("long lease", base().with_spans(2, 1))]
#[case::long_promise("long promise", base().with_spans(1, 2))]
#[case::long_promise_handed_over(
    "long promise, hand-over",
    base().with_hand_over(true).with_own_claims(false).with_spans(1, 2)
)]
fn the_rules_hold(#[case] name: &str, #[case] rules: Rules) {
    let model = Ownership::new(rules.with_symmetry().with_progress());
    let report = explore(&model, MOST_STATES);
    println!(
        "{name}: {} states, {} transitions, depth {}: {ONE_DISPATCHER}; {ONE_WINNER}; {PROGRESS}",
        report.states, report.transitions, report.depth
    );
    assert_eq!(report.outcome, Outcome::Holds, "{name}");
}

/// The wait alone covers what these two rules look like they guard; they spare an owner that is
/// merely unheard, or a voter that lags, a needless take-over.
#[rstest]
#[case::support_with_an_old_view(|r: &mut Rules| r.fresh_support = false)]
#[case::support_while_a_promise_holds(|r: &mut Rules| r.promise_blocks = false)]
fn safety_does_not_rest_on(#[case] relax: fn(&mut Rules)) {
    let mut rules = base().with_spans(1, 2).with_symmetry();
    relax(&mut rules);
    let report = explore(&Ownership::new(rules), MOST_STATES);
    assert_eq!(report.outcome, Outcome::Holds);
}

#[rstest]
#[case::no_wait("no_wait", Mutation::NoWait, base())]
#[case::no_drift_bound("no_drift_bound", Mutation::NoDriftBound, base().with_drifts(2))]
#[case::half_drift_bound("half_drift_bound", Mutation::HalfDriftBound, base().with_drifts(2))]
#[case::wait_for_lease_alone(
    "wait_for_lease_alone",
    Mutation::WaitForLeaseAlone,
    base().with_hand_over(true).with_own_claims(false).with_spans(1, 2)
)]
#[case::no_promise("no_promise", Mutation::NoPromise, base())]
#[case::one_supporter("one_supporter", Mutation::OneSupporter, base())]
#[case::promise_after_support("promise_after_support", Mutation::PromiseAfterSupport, base())]
#[case::expiring_support("expiring_support", Mutation::ExpiringSupport, base())]
#[case::old_majority_alone("old_majority_alone", Mutation::OldMajorityAlone, base())]
#[case::age_from_answer("age_from_answer", Mutation::AgeFromAnswer, base())]
#[case::last_claim_wins("last_claim_wins", Mutation::LastClaimWins, base())]
#[case::hand_over_without_stop(
    "hand_over_without_stop",
    Mutation::HandOverWithoutStop,
    base().with_hand_over(true)
)]
#[case::hand_over_while_waiting(
    "hand_over_while_waiting",
    Mutation::HandOverWhileWaiting,
    base().with_hand_over(true)
)]
#[case::release_without_stop(
    "release_without_stop",
    Mutation::ReleaseWithoutStop,
    base().with_releases(true)
)]
#[case::release_while_waiting(
    "release_while_waiting",
    Mutation::ReleaseWhileWaiting,
    base().with_releases(true).with_own_claims(false).with_window(4)
)]
#[case::leaver_dispatches(
    "leaver_dispatches",
    Mutation::LeaverDispatches,
    Rules::small().with_releases(true).with_hand_over(true)
)]
#[case::same_incarnation("same_incarnation", Mutation::SameIncarnation, Rules::small())]
#[case::wrong_list("wrong_list", Mutation::WrongList, base())]
#[case::no_list_evidence(
    "no_list_evidence",
    Mutation::NoListEvidence,
    Rules::small().with_restarts(2).with_progress()
)]
fn each_mutation_gives_a_counterexample(
    #[case] name: &str,
    #[case] mutation: Mutation,
    #[case] rules: Rules,
) {
    let model = Ownership::new(rules.with_mutation(mutation));
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
