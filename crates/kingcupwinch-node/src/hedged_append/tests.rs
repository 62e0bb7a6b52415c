//! Which way of keeping a record counts when others are slow, dead or in doubt.

use std::future::{pending, ready};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{hedged, retry_while_unknown};
use crate::intake::AppendOutcome;

const HEDGE_DELAY: Duration = Duration::from_millis(150);

async fn after(ms: u64, outcome: AppendOutcome) -> AppendOutcome {
    sleep(Duration::from_millis(ms)).await;
    outcome
}

fn rejected() -> AppendOutcome {
    AppendOutcome::Rejected("refused".into())
}

fn unknown() -> AppendOutcome {
    AppendOutcome::Unknown("no answer".into())
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_answers_soon_is_the_only_way() {
    let other = || -> std::future::Ready<AppendOutcome> { panic!("no other way is needed") };
    let outcome = hedged(after(20, AppendOutcome::Appended), HEDGE_DELAY, other).await;
    assert_eq!(outcome, AppendOutcome::Appended);
}

/// Pattern: the owner was killed, and its successor is not known yet.
#[tokio::test(start_paused = true)]
async fn the_own_partition_is_tried_beside_a_silent_owner() {
    let started = Instant::now();
    let outcome = hedged(pending(), HEDGE_DELAY, || {
        after(10, AppendOutcome::Appended)
    })
    .await;
    assert_eq!(outcome, AppendOutcome::Appended);
    assert_eq!(started.elapsed(), HEDGE_DELAY + Duration::from_millis(10));
}

/// Pattern: a slow store whose partitions have queues of seconds; the owner's has none.
#[tokio::test(start_paused = true)]
async fn a_slow_owner_still_counts_beside_a_slower_partition() {
    let started = Instant::now();
    let outcome = hedged(after(480, AppendOutcome::Appended), HEDGE_DELAY, || {
        after(2_000, rejected())
    })
    .await;
    assert_eq!(outcome, AppendOutcome::Appended);
    assert_eq!(started.elapsed(), Duration::from_millis(480));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_by_both_ways_is_certain_and_comes_at_once() {
    let started = Instant::now();
    let outcome = hedged(after(5, rejected()), HEDGE_DELAY, || ready(rejected())).await;
    assert_eq!(outcome, rejected());
    assert_eq!(started.elapsed(), Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn doubt_about_one_way_is_not_lifted_by_a_refusal_of_the_other() {
    let outcome = hedged(after(5, unknown()), HEDGE_DELAY, || ready(rejected())).await;
    assert_eq!(outcome, unknown());
    let outcome = hedged(after(400, rejected()), HEDGE_DELAY, || ready(unknown())).await;
    assert_eq!(outcome, unknown());
}

#[tokio::test(start_paused = true)]
async fn doubt_about_one_way_is_lifted_by_a_success_of_the_other() {
    let outcome = hedged(after(5, unknown()), HEDGE_DELAY, || {
        ready(AppendOutcome::Appended)
    })
    .await;
    assert_eq!(outcome, AppendOutcome::Appended);
}

/// Pattern: the owner stops in the middle of a slow append, and its successor takes the record.
#[tokio::test(start_paused = true)]
async fn doubt_is_lifted_by_another_try() {
    let mut outcomes = vec![AppendOutcome::Appended, rejected(), unknown()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(outcome, AppendOutcome::Appended);
}

#[tokio::test(start_paused = true)]
async fn doubt_stays_when_there_is_no_other_try() {
    let mut outcomes = vec![AppendOutcome::Appended, unknown()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || false).await;
    assert_eq!(outcome, unknown());
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_not_tried_again() {
    let mut outcomes = vec![AppendOutcome::Appended, rejected()];
    let outcome = retry_while_unknown(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(outcome, rejected());
}
