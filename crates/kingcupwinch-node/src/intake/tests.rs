//! How long a caller waits for the outcome of an append.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{AppendOutcome, await_outcome};

/// Pattern: a slow store answers an append long after the caller has left.
#[tokio::test(start_paused = true)]
async fn a_caller_gets_an_answer_at_its_deadline_while_an_append_is_on_its_way() {
    let (reply, answer) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_millis(300);
    let outcome = await_outcome(answer, deadline).await;
    assert!(matches!(outcome, AppendOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(Instant::now(), deadline);
    drop(reply);
}

#[tokio::test(start_paused = true)]
async fn an_outcome_is_told_as_soon_as_it_is_known() {
    let (reply, answer) = oneshot::channel();
    let deadline = Instant::now() + Duration::from_millis(300);
    reply.send(AppendOutcome::Appended).unwrap();
    assert_eq!(
        await_outcome(answer, deadline).await,
        AppendOutcome::Appended
    );
    assert!(Instant::now() < deadline);
}
