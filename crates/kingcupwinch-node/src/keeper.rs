//! The ways in which a caller's record gets into the log.
//!
//! The owner appends for its siblings, many records at a time, and acts on them without reading
//! them back. An instance whose owner does not answer soon appends to a partition of its own, and
//! one that can't reach the store asks other siblings. A record that got in twice counts once, since
//! its key is the job's.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::KeyedRecord;
use tokio::time::{Instant, sleep, timeout};

use crate::accept::{Intake, Kept};
use crate::shared::Shared;
use crate::siblings::Siblings;

#[cfg(test)]
mod tests;

/// No other way is begun when less than this is left to the caller's deadline.
const LEAST_LEFT: Duration = Duration::from_millis(150);

/// The pause before a record whose fate is in doubt is tried anew.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Puts callers' records into the log.
pub(crate) struct Keeper {
    pub(crate) shared: Arc<Shared>,
    pub(crate) siblings: Siblings,
    /// Appends as the owner.
    pub(crate) direct: Intake,
    /// Appends to this instance's own partition.
    pub(crate) own: Intake,
}

impl Keeper {
    /// Keeps a record, and returns when the outcome is known or at the deadline.
    pub(crate) async fn keep(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        let try_once = || self.try_once(record, deadline);
        // Without the store doubt can't be lifted, and the caller hears so at once.
        let may_go_on = || self.shared.has_store() && Instant::now() + LEAST_LEFT < deadline;
        try_until_certain(try_once, may_go_on).await
    }

    async fn try_once(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        let hedge = self.shared.patience.timeout(0);
        let first = self.keep_at_owner(record, deadline);
        try_in_turn(first, hedge, || self.keep_without_owner(record, deadline)).await
    }

    async fn keep_at_owner(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        let begun = Instant::now();
        let kept = match self.shared.owner() {
            Some(_) => self.direct.keep(record.clone(), deadline).await,
            None => self.siblings.keep_at_owner(record, deadline).await,
        };
        if kept == Kept::Yes {
            self.shared.patience.record_response(begun.elapsed());
        }
        kept
    }

    async fn keep_without_owner(&self, record: &KeyedRecord, deadline: Instant) -> Kept {
        let kept = self.own.keep(record.clone(), deadline).await;
        if kept == Kept::Yes || Instant::now() + LEAST_LEFT > deadline {
            return kept;
        }
        kept.or(self.siblings.keep(record, deadline).await)
    }
}

/// Tries until the record is kept or certainly is not, as long as it may go on. After one try in
/// doubt only a success is certain.
async fn try_until_certain<F: Future<Output = Kept>>(
    mut try_once: impl FnMut() -> F,
    may_go_on: impl Fn() -> bool,
) -> Kept {
    let mut kept = try_once().await;
    while matches!(kept, Kept::Unknown(_)) && may_go_on() {
        sleep(RETRY_PAUSE).await;
        kept = kept.or(try_once().await);
    }
    kept
}

/// Tries one way, and another as well if the first fails or has no outcome within `hedge`. Returns
/// with the first success, or when both have failed.
async fn try_in_turn<A, B>(first: A, hedge: Duration, second: impl FnOnce() -> B) -> Kept
where
    A: Future<Output = Kept>,
    B: Future<Output = Kept>,
{
    let mut first = pin!(first);
    let early = timeout(hedge, first.as_mut()).await;
    if early == Ok(Kept::Yes) {
        return Kept::Yes;
    }
    let mut second = pin!(second());
    if let Ok(failed) = early {
        return failed.or(second.await);
    }
    tokio::select! {
        kept = first.as_mut() => match kept {
            Kept::Yes => Kept::Yes,
            failed => failed.or(second.await),
        },
        kept = second.as_mut() => match kept {
            Kept::Yes => Kept::Yes,
            failed => failed.or(first.await),
        },
    }
}
