//! Hedged appends of callers' records to the log.
//!
//! The owner appends records for its siblings in batches and acts on them without reading them
//! back. If the owner does not respond within the hedging delay, the instance also appends to a
//! partition of its own; if it can't reach the store, it asks other siblings. A record that is
//! appended twice counts once, since its key is the job's.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::intake::{Intake, IntakeRequest, Outcome};
use crate::shared::Shared;
use crate::siblings::Siblings;

#[cfg(test)]
mod tests;

/// No further attempt starts when less time than this is left until the caller's deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(150);

/// Delay before retrying a record whose outcome is unknown.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Appends callers' records through the owner, this instance's partition or other siblings.
pub(crate) struct HedgedAppender {
    pub(crate) shared: Arc<Shared>,
    pub(crate) siblings: Siblings,
    /// Queue for appends while this instance is the owner.
    pub(crate) owner_intake: Intake,
    /// Queue for appends to this instance's own partition.
    pub(crate) own_intake: Intake,
}

impl HedgedAppender {
    /// Appends a record, and returns when its outcome is known or at the deadline.
    pub(crate) async fn append(&self, request: &IntakeRequest, deadline: Instant) -> Outcome {
        let attempt = || self.attempt(request, deadline);
        // While the store is unreachable a retry can't resolve the outcome, so the caller gets
        // `Unknown` at once.
        let may_retry =
            || self.shared.is_store_available() && Instant::now() + MIN_TIME_LEFT < deadline;
        retry_while_unknown(attempt, may_retry).await
    }

    async fn attempt(&self, request: &IntakeRequest, deadline: Instant) -> Outcome {
        let delay = self.shared.append_timeout.timeout(0);
        let first = self.append_at_owner(request, deadline);
        hedged(first, delay, || {
            self.append_without_owner(request, deadline)
        })
        .await
    }

    async fn append_at_owner(&self, request: &IntakeRequest, deadline: Instant) -> Outcome {
        let started = Instant::now();
        let outcome = match self.shared.owner() {
            Some(_) => self.owner_intake.append_as_owner(request, deadline).await,
            None => self.siblings.append_at_owner(request, deadline).await,
        };
        if outcome == Outcome::Appended {
            self.shared
                .append_timeout
                .record_response(started.elapsed());
        }
        outcome
    }

    async fn append_without_owner(&self, request: &IntakeRequest, deadline: Instant) -> Outcome {
        let outcome = self.own_intake.append_by_share(request, deadline).await;
        if matches!(outcome, Outcome::Appended | Outcome::NoRoom(_)) {
            return outcome;
        }
        if Instant::now() + MIN_TIME_LEFT > deadline {
            return outcome;
        }
        outcome.merge(self.siblings.append_at_helpers(request, deadline).await)
    }
}

/// Retries while the outcome is unknown and `may_retry` allows it. After one unknown outcome only a
/// success can resolve it, since the earlier attempt may still have appended the record.
async fn retry_while_unknown<F: Future<Output = Outcome>>(
    mut attempt: impl FnMut() -> F,
    may_retry: impl Fn() -> bool,
) -> Outcome {
    let mut outcome = attempt().await;
    while matches!(outcome, Outcome::Unknown(_)) && may_retry() {
        sleep(RETRY_DELAY).await;
        outcome = outcome.merge(attempt().await);
    }
    outcome
}

/// Runs `first`, and `second` as well if `first` fails or has no outcome within `hedge_delay`. Where
/// `first` finds no room or a conflict, `second` must not succeed.
/// Returns the first success, or the merged outcome when both have failed.
async fn hedged<A, B>(first: A, hedge_delay: Duration, second: impl FnOnce() -> B) -> Outcome
where
    A: Future<Output = Outcome>,
    B: Future<Output = Outcome>,
{
    let mut first = pin!(first);
    let early = timeout(hedge_delay, first.as_mut()).await;
    if let Ok(outcome @ (Outcome::Appended | Outcome::Conflict | Outcome::NoRoom(_))) = early {
        return outcome;
    }
    let mut second = pin!(second());
    if let Ok(failed) = early {
        return failed.merge(second.await);
    }
    tokio::select! {
        outcome = first.as_mut() => match outcome {
            Outcome::Appended => Outcome::Appended,
            failed => failed.merge(second.await),
        },
        outcome = second.as_mut() => match outcome {
            Outcome::Appended => Outcome::Appended,
            failed => failed.merge(first.await),
        },
    }
}
