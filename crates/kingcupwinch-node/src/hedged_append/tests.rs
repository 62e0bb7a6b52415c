//! Tests of hedging and retrying when one path is slow, dead or has an unknown outcome.

use std::future::{pending, ready};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{hedged, retry_while_unknown};
use crate::intake::Outcome;

const DELAY: Duration = Duration::from_millis(150);

async fn after(ms: u64, outcome: Outcome) -> Outcome {
    sleep(Duration::from_millis(ms)).await;
    outcome
}

fn rejected() -> Outcome {
    Outcome::Rejected("refused".into())
}

fn unknown() -> Outcome {
    Outcome::Unknown("no response".into())
}

#[tokio::test(start_paused = true)]
async fn no_hedge_starts_when_the_owner_responds_in_time() {
    let other = || -> std::future::Ready<Outcome> { panic!("the hedge must not start") };
    let outcome = hedged(after(20, Outcome::Appended), DELAY, other).await;
    assert_eq!(outcome, Outcome::Appended);
}

/// The owner was killed, and its successor is not known yet.
#[tokio::test(start_paused = true)]
async fn a_hedge_starts_when_the_owner_is_silent() {
    let started = Instant::now();
    let outcome = hedged(pending(), DELAY, || after(10, Outcome::Appended)).await;
    assert_eq!(outcome, Outcome::Appended);
    assert_eq!(started.elapsed(), DELAY + Duration::from_millis(10));
}

/// The store is slow: its partitions have queues of seconds, but the owner's has none.
#[tokio::test(start_paused = true)]
async fn a_slow_owner_wins_over_a_slower_hedge() {
    let started = Instant::now();
    let outcome = hedged(after(480, Outcome::Appended), DELAY, || {
        after(2_000, rejected())
    })
    .await;
    assert_eq!(outcome, Outcome::Appended);
    assert_eq!(started.elapsed(), Duration::from_millis(480));
}

#[tokio::test(start_paused = true)]
async fn rejection_by_both_paths_is_certain_and_immediate() {
    let started = Instant::now();
    let outcome = hedged(after(5, rejected()), DELAY, || ready(rejected())).await;
    assert_eq!(outcome, rejected());
    assert_eq!(started.elapsed(), Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_not_resolved_by_a_rejection_on_the_other_path() {
    let outcome = hedged(after(5, unknown()), DELAY, || ready(rejected())).await;
    assert_eq!(outcome, unknown());
    let outcome = hedged(after(400, rejected()), DELAY, || ready(unknown())).await;
    assert_eq!(outcome, unknown());
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_resolved_by_a_success_on_the_other_path() {
    let outcome = hedged(after(5, unknown()), DELAY, || ready(Outcome::Appended)).await;
    assert_eq!(outcome, Outcome::Appended);
}

/// The owner stops during a slow append, and its successor accepts the record.
#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_resolved_by_a_retry() {
    let mut outcomes = vec![Outcome::Appended, rejected(), unknown()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(outcome, Outcome::Appended);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_remains_without_a_retry() {
    let mut outcomes = vec![Outcome::Appended, unknown()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || false).await;
    assert_eq!(outcome, unknown());
}

#[tokio::test(start_paused = true)]
async fn a_rejection_is_not_retried() {
    let mut outcomes = vec![Outcome::Appended, rejected()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(outcome, rejected());
}
