//! Key memories: one run per key, whatever is forgotten, repeated or asked.

use kingcupwinch_coord::dedupe::{
    Decision, Ended, Fingerprint, Fresh, Keys, Limits, OutcomeKind, Permit, Refusal, Request,
    RequestKey, RunDecision, Runs, SiblingAnswer, Token,
};
use kingcupwinch_coord::id::{Attempt, ShardId, Term};
use kingcupwinch_time::{Span, Time, WallTime};
use rstest::rstest;
use uuid::Uuid;

const EFFECT: WallTime = WallTime::from_millis(100_000);
const NOW: WallTime = WallTime::from_millis(110_000);

fn key(n: u128) -> RequestKey {
    RequestKey(Uuid::from_u128(n))
}

fn request(n: u128, issued_ms: u64) -> Request {
    Request {
        key: key(n),
        issued: WallTime::from_millis(issued_ms),
        fingerprint: Fingerprint(n as u64),
        deadline: Time::from_millis(1_000),
    }
}

fn permit(n: u128, term: u64, attempt: u32) -> Permit {
    Permit {
        key: key(n),
        issued: WallTime::from_millis(105_000),
        home: ShardId(3),
        term: Term(term),
        attempt: Attempt(attempt),
    }
}

fn limits() -> Limits {
    Limits::new()
        .with_window(Span::from_secs(60))
        .with_clock_bound(Span::from_secs(2))
}

fn keys() -> Keys {
    Keys::new(Term(4), EFFECT, limits())
}

fn name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Run(_) => "run",
        Decision::Wait => "wait",
        Decision::AskSiblings => "ask",
        Decision::Remembered(outcome) => match outcome.kind() {
            OutcomeKind::NotRun => "not run",
            OutcomeKind::Ran(_) => "ran",
            OutcomeKind::Unknown => "unknown",
        },
        Decision::TooOld => "too old",
        Decision::Ahead => "ahead",
        Decision::Mismatch => "mismatch",
        Decision::Full => "full",
    }
}

fn begin(keys: &mut Keys, n: u128, issued_ms: u64) -> &'static str {
    name(&keys.begin(&request(n, issued_ms), NOW))
}

#[rstest]
#[case::older_than_the_window(49_999, "too old")]
#[case::at_the_window(50_000, "too old")]
#[case::in_an_earlier_term(50_001, "ask")]
#[case::within_the_clock_bound(102_000, "ask")]
#[case::after_the_clock_bound(102_001, "run")]
#[case::as_far_ahead_as_clocks_may_be(112_000, "run")]
#[case::farther_ahead(112_001, "ahead")]
fn a_new_key_is_decided_by_its_issue_time(#[case] issued_ms: u64, #[case] expected: &str) {
    assert_eq!(begin(&mut keys(), 1, issued_ms), expected);
}

#[test]
fn a_key_runs_once_and_its_outcome_is_remembered() {
    let mut keys = keys();
    let Decision::Run(token) = keys.begin(&request(1, 105_000), NOW) else {
        panic!("the key is new");
    };
    assert_eq!(begin(&mut keys, 1, 105_000), "wait");
    keys.finish(token.dispatch().ran(b"ok".as_slice().into()));
    assert_eq!(begin(&mut keys, 1, 105_000), "ran");
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let mut keys = keys();
    let _run = keys.begin(&request(1, 105_000), NOW);
    let mut other = request(1, 105_000);
    other.fingerprint = Fingerprint(99);
    assert_eq!(name(&keys.begin(&other, NOW)), "mismatch");
}

#[test]
fn refused_attempt_can_be_retried_and_not_run_is_final() {
    let mut keys = keys();
    let Decision::Run(token) = keys.begin(&request(1, 105_000), NOW) else {
        panic!("the key is new");
    };
    let retry = token.dispatch().refused(Refusal::Full);
    assert_eq!(retry.attempt(), Attempt(2));
    keys.finish(retry.not_run());
    assert_eq!(begin(&mut keys, 1, 105_000), "not run");
}

#[test]
fn missing_answer_becomes_unknown_and_a_late_answer_replaces_it() {
    let mut keys = keys();
    let Decision::Run(token) = keys.begin(&request(1, 105_000), NOW) else {
        panic!("the key is new");
    };
    let sent = token.dispatch();
    assert!(keys.expire(Time::from_millis(999)).is_empty());
    assert_eq!(keys.expire(Time::from_millis(1_000)), [key(1)]);
    assert_eq!(begin(&mut keys, 1, 105_000), "unknown");
    keys.finish(sent.ran(b"late".as_slice().into()));
    assert_eq!(begin(&mut keys, 1, 105_000), "ran");
}

#[rstest]
#[case::nobody_knows(None, "unknown")]
#[case::it_ran(Some(b"ok".as_slice().into()), "ran")]
fn siblings_resolve_a_key_of_an_earlier_term(
    #[case] answer: Option<std::sync::Arc<[u8]>>,
    #[case] expected: &str,
) {
    let mut keys = keys();
    assert_eq!(begin(&mut keys, 1, 101_000), "ask");
    assert_eq!(begin(&mut keys, 1, 101_000), "wait");
    keys.learn(key(1), answer);
    assert_eq!(begin(&mut keys, 1, 101_000), expected);
}

#[test]
fn evicted_key_never_runs_again() {
    let mut keys = Keys::new(Term(4), EFFECT, limits().with_memory(2, 10_000));
    for n in 1..=3 {
        let Decision::Run(token) = keys.begin(&request(n, 104_000 + n as u64), NOW) else {
            panic!("the key is new");
        };
        keys.finish(token.dispatch().unknown());
    }
    assert_eq!(keys.len(), 2);
    assert_eq!(begin(&mut keys, 1, 104_001), "too old");
    assert_eq!(begin(&mut keys, 3, 104_003), "unknown");
}

#[test]
fn full_memory_refuses_the_key_permanently() {
    let mut keys = Keys::new(Term(4), EFFECT, limits().with_memory(1, 10_000));
    let Decision::Run(token) = keys.begin(&request(1, 105_000), NOW) else {
        panic!("the key is new");
    };
    assert_eq!(begin(&mut keys, 2, 105_001), "full");
    keys.finish(token.not_run());
    assert_eq!(begin(&mut keys, 2, 105_001), "too old");
    assert_eq!(begin(&mut keys, 3, 105_002), "run");
}

#[test]
fn full_memory_reports_keys_of_an_earlier_term_as_too_old() {
    let mut keys = Keys::new(Term(4), EFFECT, limits().with_memory(1, 10_000));
    let _run = keys.begin(&request(1, 105_000), NOW);
    assert_eq!(begin(&mut keys, 2, 101_000), "too old");
}

#[test]
fn answers_count_against_the_byte_bound() {
    let mut keys = Keys::new(Term(4), EFFECT, limits().with_memory(100, 1_000));
    for n in 1..=3 {
        let Decision::Run(token) = keys.begin(&request(n, 104_000 + n as u64), NOW) else {
            panic!("the key is new");
        };
        keys.finish(token.dispatch().ran(vec![0; 400].into()));
        assert!(keys.bytes() <= 1_000);
    }
    assert_eq!(begin(&mut keys, 1, 104_001), "too old");
}

#[test]
fn an_owner_that_claims_again_for_itself_keeps_its_memory() {
    let mut keys = keys();
    let _run = keys.begin(&request(1, 105_000), NOW);
    keys.continue_in(Term(5));
    assert_eq!(keys.term(), Term(5));
    assert_eq!(begin(&mut keys, 1, 105_000), "wait");
    assert_eq!(begin(&mut keys, 2, 103_000), "run");
}

#[test]
fn duplicate_permit_starts_nothing() {
    let mut runs = Runs::new(limits());
    let RunDecision::Start(token) = runs.begin(&permit(1, 4, 1), NOW) else {
        panic!("the permit is new");
    };
    assert!(matches!(
        runs.begin(&permit(1, 4, 1), NOW),
        RunDecision::Running
    ));
    runs.finish(token.dispatch().ran(b"ok".as_slice().into()));
    for attempt in 1..=2 {
        let again = runs.begin(&permit(1, 4, attempt), NOW);
        assert!(matches!(again, RunDecision::Remembered(_)));
    }
}

#[rstest]
#[case::never_dispatched(Token::not_run)]
#[case::refused_by_the_worker(|t: Token<Fresh>| t.dispatch().refused(Refusal::Full).not_run())]
fn a_higher_attempt_starts_only_after_a_certain_not_run(#[case] end: fn(Token<Fresh>) -> Ended) {
    let mut runs = Runs::new(limits());
    let RunDecision::Start(token) = runs.begin(&permit(1, 4, 1), NOW) else {
        panic!("the permit is new");
    };
    runs.finish(end(token));
    assert!(matches!(
        runs.begin(&permit(1, 4, 1), NOW),
        RunDecision::Remembered(_)
    ));
    assert!(matches!(
        runs.begin(&permit(1, 4, 2), NOW),
        RunDecision::Start(_)
    ));
}

#[test]
fn answer_to_a_new_owner_voids_older_permits() {
    let mut runs = Runs::new(limits());
    let RunDecision::Start(token) = runs.begin(&permit(1, 4, 1), NOW) else {
        panic!("the permit is new");
    };
    let ask = |runs: &mut Runs, n| runs.answer(key(n), ShardId(3), Term(5));
    assert_eq!(ask(&mut runs, 1), SiblingAnswer::Running);
    assert_eq!(ask(&mut runs, 2), SiblingAnswer::Unproved);
    assert!(matches!(
        runs.begin(&permit(2, 4, 1), NOW),
        RunDecision::Stale
    ));
    runs.finish(token.dispatch().ran(b"ok".as_slice().into()));
    assert_eq!(
        ask(&mut runs, 1),
        SiblingAnswer::Ran(b"ok".as_slice().into())
    );
}

#[test]
fn not_run_on_one_instance_is_reported_as_unproved() {
    let mut runs = Runs::new(limits());
    let RunDecision::Start(token) = runs.begin(&permit(1, 4, 1), NOW) else {
        panic!("the permit is new");
    };
    runs.finish(token.not_run());
    let answer = runs.answer(key(1), ShardId(3), Term(5));
    assert_eq!(answer, SiblingAnswer::Unproved);
}

#[test]
fn evicted_key_is_not_run() {
    let mut runs = Runs::new(limits());
    let late = WallTime::from_millis(105_000 + 60_000);
    assert!(matches!(
        runs.begin(&permit(1, 4, 1), late),
        RunDecision::Stale
    ));
}

#[test]
fn a_key_carries_its_issue_time() {
    let uuid = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 105, 7_000_000));
    assert_eq!(
        RequestKey(uuid).issued(),
        Some(WallTime::from_millis(105_007))
    );
    assert_eq!(key(1).issued(), None);
}
