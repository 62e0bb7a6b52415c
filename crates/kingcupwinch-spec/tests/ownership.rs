//! Checks that the ownership properties hold, and that each mutation of the rules gives a
//! counterexample.

use kingcupwinch_spec::ownership::{
    Mutation, ONE_DISPATCHER, ONE_WINNER, Ownership, PROGRESS, Rules,
};
use kingcupwinch_spec::{Outcome, explore};
use rstest::rstest;

const MAX_STATES: usize = 3_000_000;

fn base() -> Rules {
    Rules::small().with_restarts(0)
}

#[rstest]
#[case::plain("plain", base())]
#[case::restart("restart", Rules::small().with_reclaims(false))]
#[case::hand_over("handover", base().with_hand_over(true).with_reclaims(false))]
#[case::releases(
    "releases",
    base().with_releases(true).with_reclaims(false).with_window(4)
)]
#[case::leaves("leaves", Rules::small().with_releases(true).with_reclaims(false))]
#[case::drift("drift", base().with_drifts(2).with_reclaims(false))]
#[case::long_lease("long lease", base().with_spans(2, 1))]
#[case::long_promise("long promise", base().with_spans(1, 2))]
#[case::long_promise_handed_over(
    "long promise, handover",
    base().with_hand_over(true).with_reclaims(false).with_spans(1, 2)
)]
fn the_rules_hold(#[case] name: &str, #[case] rules: Rules) {
    let model = Ownership::new(rules.with_symmetry().with_progress());
    let report = explore(&model, MAX_STATES);
    println!(
        "{name}: {} states, {} transitions, depth {}: {ONE_DISPATCHER}; {ONE_WINNER}; {PROGRESS}",
        report.states, report.transitions, report.depth
    );
    assert_eq!(report.outcome, Outcome::Holds, "{name}");
}

/// The wait of a takeover is sufficient for safety without these two rules. They avoid needless
/// takeovers from an owner that is merely unreachable, or by the vote of a voter that lags behind.
#[rstest]
#[case::vote_with_an_old_view(|r: &mut Rules| r.fresh_votes = false)]
#[case::vote_while_a_promise_holds(|r: &mut Rules| r.binding_promises = false)]
fn safety_does_not_depend_on(#[case] relax: fn(&mut Rules)) {
    let mut rules = base().with_spans(1, 2).with_symmetry();
    relax(&mut rules);
    let report = explore(&Ownership::new(rules), MAX_STATES);
    assert_eq!(report.outcome, Outcome::Holds);
}

#[rstest]
#[case::no_wait("no_wait", Mutation::NoWait, base())]
#[case::no_drift_margin("no_drift_margin", Mutation::NoDriftMargin, base().with_drifts(2))]
#[case::half_drift_margin("half_drift_margin", Mutation::HalfDriftMargin, base().with_drifts(2))]
#[case::wait_for_lease_only(
    "wait_for_lease_only",
    Mutation::WaitForLeaseOnly,
    base().with_hand_over(true).with_reclaims(false).with_spans(1, 2)
)]
#[case::no_promises("no_promises", Mutation::NoPromises, base())]
#[case::single_vote("single_vote", Mutation::SingleVote, base())]
#[case::promise_after_vote("promise_after_vote", Mutation::PromiseAfterVote, base())]
#[case::expiring_votes("expiring_votes", Mutation::ExpiringVotes, base())]
#[case::old_majority_only("old_majority_only", Mutation::OldMajorityOnly, base())]
#[case::age_from_response("age_from_response", Mutation::AgeFromResponse, base())]
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
    base().with_releases(true).with_reclaims(false).with_window(4)
)]
#[case::leaving_member_dispatches(
    "leaving_member_dispatches",
    Mutation::LeavingMemberDispatches,
    Rules::small().with_releases(true).with_hand_over(true)
)]
#[case::same_incarnation("same_incarnation", Mutation::SameIncarnation, Rules::small())]
#[case::wrong_instance_list("wrong_instance_list", Mutation::WrongInstanceList, base())]
#[case::no_instance_list_evidence(
    "no_instance_list_evidence",
    Mutation::NoInstanceListEvidence,
    Rules::small().with_restarts(2).with_progress()
)]
fn each_mutation_gives_a_counterexample(
    #[case] name: &str,
    #[case] mutation: Mutation,
    #[case] rules: Rules,
) {
    let model = Ownership::new(rules.with_mutation(mutation));
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
