//! A graceful stop: what is in flight ends, what waits runs or moves, then the shards are handed
//! over.

use std::future::Future;
use std::time::Duration;

use kingcupwinch_coord::ownership::Event;
use slog::o;
use tokio::time::{Instant, timeout_at};

use super::Running;
use crate::actors::ownership::Observe;
use crate::actors::scheduler::Inspect;
use crate::logging::EventId;

/// How often the stop looks whether anything still waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long handlers get to tell their callers the truth when the stop is forced.
const FORCED_STOP_GRACE: Duration = Duration::from_millis(500);

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEnd {
    /// Nothing was cut.
    Clean,
    /// The deadline passed, or a second signal came, with work in flight.
    Forced,
}

impl Running {
    /// Stops gracefully: readiness falls, arrivals are taken for the balancer's lag, shards are
    /// handed over, and what is in flight ends.
    pub async fn stop(self) -> StopEnd {
        self.stop_unless(std::future::pending()).await
    }

    /// Stops gracefully unless `abort` ends first; then it ends at once, and callers whose work
    /// has started are told that it may have run.
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
                // Whoever has not ended by then is cut.
                let _ = timeout_at(until, server).await;
            }
        }
    }

    /// Answers every caller while this instance still owns its shards, and only then leaves: a
    /// request that came between the two would find neither workers nor siblings.
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

    /// Waits until no live request waits or runs here; tasks of jobs stay with their workers, whose
    /// heirs go on with them.
    async fn wait_until_answered(&self) {
        loop {
            let Ok(view) = self.scheduler.ask(Inspect).await else {
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
        if booted.ownership.tell(Observe(Event::Drain)).await.is_ok() {
            // An ownership actor that is gone has left.
            let _ = booted.left.wait_for(|left| *left).await;
        }
    }
}
