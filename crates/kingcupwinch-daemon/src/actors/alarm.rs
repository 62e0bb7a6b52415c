//! A wake-up timer for actors that drive a state machine with deadlines.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use kingcupwinch_time::Time;
use tokio::task::AbortHandle;

/// Tells an actor that the time set with [`Alarm::set`] has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tick;

/// A timer with at most one pending wake-up of an actor.
#[derive(Debug, Default)]
pub(crate) struct Alarm {
    at: Option<Time>,
    task: Option<AbortHandle>,
}

impl Alarm {
    /// Schedules a [`Tick`] at `at`, replacing any earlier one; `None` only cancels.
    pub(crate) fn set<A>(&mut self, at: Option<Time>, now: Time, actor: &ActorRef<A>)
    where
        A: Actor + Message<Tick>,
    {
        if self.at == at && at.is_some_and(|at| at > now) {
            return;
        }
        self.clear();
        let Some(at) = at else { return };
        self.at = Some(at);
        let wait = Duration::from(at.since(now)).max(MIN_WAIT);
        let actor = actor.downgrade();
        let task = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if let Some(actor) = actor.upgrade() {
                // The actor may have stopped in the meantime and then needs no tick.
                let _ = actor.tell(Tick).await;
            }
        });
        self.task = Some(task.abort_handle());
    }

    /// Cancels the pending wake-up, if any.
    pub(crate) fn clear(&mut self) {
        self.at = None;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// Minimum wait before a wake-up, so that an overdue deadline can't make an actor spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

impl Drop for Alarm {
    fn drop(&mut self) {
        self.clear();
    }
}
