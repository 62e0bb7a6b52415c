//! Wakes an actor when its state machine next has something to do.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use kingcupwinch_time::Time;
use tokio::task::AbortHandle;

/// The time that an actor asked to be woken at has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tick;

/// At most one pending wake-up of an actor.
#[derive(Debug, Default)]
pub(crate) struct Alarm {
    at: Option<Time>,
    task: Option<AbortHandle>,
}

impl Alarm {
    /// Asks for a [`Tick`] at `at`, in place of any earlier request.
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
                // The actor may have stopped meanwhile; then nobody needs the tick.
                let _ = actor.tell(Tick).await;
            }
        });
        self.task = Some(task.abort_handle());
    }

    /// Forgets the request, as after its [`Tick`] has come.
    pub(crate) fn clear(&mut self) {
        self.at = None;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// The least time between two wake-ups, so that a due deadline can't keep an actor spinning.
const MIN_WAIT: Duration = Duration::from_millis(1);

impl Drop for Alarm {
    fn drop(&mut self) {
        self.clear();
    }
}
