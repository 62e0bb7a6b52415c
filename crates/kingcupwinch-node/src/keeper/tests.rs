//! Which way of keeping a record counts when others are slow, dead or in doubt.

use std::future::{pending, ready};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{try_in_turn, try_until_certain};
use crate::accept::Kept;

const HEDGE: Duration = Duration::from_millis(150);

async fn after(ms: u64, kept: Kept) -> Kept {
    sleep(Duration::from_millis(ms)).await;
    kept
}

fn no() -> Kept {
    Kept::No("refused".into())
}

fn unknown() -> Kept {
    Kept::Unknown("no answer".into())
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_answers_soon_is_the_only_way() {
    let other = || -> std::future::Ready<Kept> { panic!("no other way is needed") };
    let kept = try_in_turn(after(20, Kept::Yes), HEDGE, other).await;
    assert_eq!(kept, Kept::Yes);
}

/// Pattern: the owner was killed, and its successor is not known yet.
#[tokio::test(start_paused = true)]
async fn the_own_partition_is_tried_beside_a_silent_owner() {
    let begun = Instant::now();
    let kept = try_in_turn(pending(), HEDGE, || after(10, Kept::Yes)).await;
    assert_eq!(kept, Kept::Yes);
    assert_eq!(begun.elapsed(), HEDGE + Duration::from_millis(10));
}

/// Pattern: a slow store whose partitions have queues of seconds; the owner's has none.
#[tokio::test(start_paused = true)]
async fn a_slow_owner_still_counts_beside_a_slower_partition() {
    let begun = Instant::now();
    let kept = try_in_turn(after(480, Kept::Yes), HEDGE, || after(2_000, no())).await;
    assert_eq!(kept, Kept::Yes);
    assert_eq!(begun.elapsed(), Duration::from_millis(480));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_by_both_ways_is_certain_and_comes_at_once() {
    let begun = Instant::now();
    let kept = try_in_turn(after(5, no()), HEDGE, || ready(no())).await;
    assert_eq!(kept, no());
    assert_eq!(begun.elapsed(), Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn doubt_about_one_way_is_not_lifted_by_a_refusal_of_the_other() {
    let kept = try_in_turn(after(5, unknown()), HEDGE, || ready(no())).await;
    assert_eq!(kept, unknown());
    let kept = try_in_turn(after(400, no()), HEDGE, || ready(unknown())).await;
    assert_eq!(kept, unknown());
}

#[tokio::test(start_paused = true)]
async fn doubt_about_one_way_is_lifted_by_a_success_of_the_other() {
    let kept = try_in_turn(after(5, unknown()), HEDGE, || ready(Kept::Yes)).await;
    assert_eq!(kept, Kept::Yes);
}

/// Pattern: the owner stops in the middle of a slow append, and its successor takes the record.
#[tokio::test(start_paused = true)]
async fn doubt_is_lifted_by_another_try() {
    let mut outcomes = vec![Kept::Yes, no(), unknown()];
    let kept = try_until_certain(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(kept, Kept::Yes);
}

#[tokio::test(start_paused = true)]
async fn doubt_stays_when_there_is_no_other_try() {
    let mut outcomes = vec![Kept::Yes, unknown()];
    let kept = try_until_certain(|| ready(outcomes.pop().unwrap()), || false).await;
    assert_eq!(kept, unknown());
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_not_tried_again() {
    let mut outcomes = vec![Kept::Yes, no()];
    let kept = try_until_certain(|| ready(outcomes.pop().unwrap()), || true).await;
    assert_eq!(kept, no());
}
