//! Tests how long a caller waits for the outcome of an append.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Outcome, await_outcome};

/// A slow store responds to an append long after the caller's deadline.
#[tokio::test(start_paused = true)]
async fn outcome_is_unknown_at_the_deadline_while_an_append_is_in_flight() {
    let (reply, receiver) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_millis(300);
    let outcome = await_outcome(receiver, deadline).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert_eq!(Instant::now(), deadline);
    drop(reply);
}

#[tokio::test(start_paused = true)]
async fn outcome_is_returned_as_soon_as_it_is_known() {
    let (reply, receiver) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_millis(300);
    reply.send(Outcome::Appended).unwrap();
    assert_eq!(await_outcome(receiver, deadline).await, Outcome::Appended);
    assert!(Instant::now() < deadline);
}
