//! Graceful stop: work in flight ends, queued work runs or moves to siblings, then the shards are
//! handed over.

use std::future::Future;
use std::time::Duration;

use kingcupwinch_coord::ownership::Event;
use slog::o;
use tokio::time::{Instant, timeout_at};

use super::Running;
use crate::actors::ownership::OwnershipEvent;
use crate::actors::scheduler::GetStatus;
use crate::logging::EventId;

/// Interval between checks for open live requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that handlers have to answer their callers when the stop is forced.
const FORCED_STOP_GRACE: Duration = Duration::from_millis(500);

/// The result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEnd {
    /// No work in flight was cut off.
    Clean,
    /// The deadline passed, or a second signal came, with work in flight.
    Forced,
}

impl Running {
    /// Stops gracefully. The instance reports that it is not ready, still accepts requests until
    /// the load balancer has noticed, finishes what is in flight and hands over its shards.
    pub async fn stop(self) -> StopEnd {
        self.stop_unless(std::future::pending()).await
    }

    /// Stops gracefully unless `abort` completes first. In that case the daemon ends at once, and
    /// callers whose work has started are told that it may have run.
    pub async fn stop_unless(mut self, abort: impl Future<Output = ()>) -> StopEnd {
        let stop = self.shared.settings.stop;
        let deadline = Instant::now() + Duration::from_millis(stop.deadline_ms);
        self.shared.log.write(EventId::StopBegan, o!());
        self.shared.lifecycle.begin_stop();
        let balancer = Duration::from_millis(stop.balancer_ms);
        let end = tokio::select! {
            ended = timeout_at(deadline, self.finish(balancer)) => match ended {
                Ok(()) => StopEnd::Clean,
                Err(_) => StopEnd::Forced,
            },
            () = abort => StopEnd::Forced,
        };
        match end {
            StopEnd::Clean => self.shared.log.write(EventId::Stopped, o!()),
            StopEnd::Forced => self.force().await,
        }
        end
    }

    async fn force(&mut self) {
        self.shared.log.write(EventId::StopForced, o!());
        self.shared.lifecycle.halt();
        self.close_callers.send_replace(true);
        self.close.send_replace(true);
        let until = Instant::now() + FORCED_STOP_GRACE;
        for server in self.servers.iter_mut().chain([&mut self.callers]) {
            if !server.is_finished() {
                // A server that has not ended by then is cut off.
                let _ = timeout_at(until, server).await;
            }
        }
    }

    /// Answers every caller while this instance still owns its shards, and only then leaves the
    /// group. A request that arrived between the two would find neither workers nor siblings.
    async fn finish(&mut self, balancer: Duration) {
        tokio::time::sleep(balancer).await;
        self.close_callers.send_replace(true);
        // A server that failed has nothing in flight.
        let _ = (&mut self.callers).await;
        self.wait_until_answered().await;
        self.leave_group().await;
        self.close.send_replace(true);
        for server in &mut self.servers {
            let _ = server.await;
        }
    }

    /// Waits until no live request is queued or running here. Tasks of jobs stay on their workers,
    /// whose new owners adopt them.
    async fn wait_until_answered(&self) {
        loop {
            let Ok(view) = self.scheduler.ask(GetStatus).await else {
                return;
            };
            if view.live == 0 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn leave_group(&self) {
        let booted = self.boot.borrow().clone();
        let Some(mut booted) = booted else { return };
        if booted
            .ownership
            .tell(OwnershipEvent(Event::Drain))
            .await
            .is_ok()
        {
            // An ownership actor that has stopped has left the group.
            let _ = booted.left.wait_for(|left| *left).await;
        }
    }
}
