//! What every part of the daemon shares: settings, clock, logs, metrics and published views.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use kingcupwinch_config::Tree;
use kingcupwinch_coord::id::{Incarnation, ShardId, Version};
use kingcupwinch_coord::ownership::Permit;
use kingcupwinch_coord::record::Member;
use kingcupwinch_time::{Clock, Time};
use tokio::sync::watch;

use crate::logging::EventLog;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The configuration in force on this instance.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// Its version, zero before the first.
    pub(crate) version: Version,
    /// Its tree.
    pub(crate) tree: Tree,
}

/// One shard as the ownership actor last published it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardView {
    /// Its newest term.
    pub(crate) term: u64,
    /// Its owner, none while it is free.
    pub(crate) owner: Option<Arc<Member>>,
    /// Leave to dispatch, none if this instance may not.
    pub(crate) permit: Option<Permit>,
}

/// Ownership in this failure domain as the ownership actor last published it.
#[derive(Debug, Default)]
pub(crate) struct OwnershipView {
    /// `joining`, `serving`, `draining` or `stopped`.
    pub(crate) phase: &'static str,
    /// Live members in log order.
    pub(crate) members: Vec<Arc<Member>>,
    /// Every shard, by its number.
    pub(crate) shards: Vec<ShardView>,
    /// The offset to read next.
    pub(crate) next: u64,
    /// The newest known offset.
    pub(crate) tail: u64,
}

impl OwnershipView {
    /// Returns the permit to dispatch to `shard` if it is still good at `now`.
    pub(crate) fn permit(&self, shard: ShardId, now: Time) -> Option<Permit> {
        let view = self.shards.get(usize::from(shard.0))?;
        view.permit.filter(|permit| now < permit.until)
    }

    /// Returns a shard's owner.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&Arc<Member>> {
        self.shards.get(usize::from(shard.0))?.owner.as_ref()
    }

    /// Returns a member of the group.
    pub(crate) fn member(&self, incarnation: Incarnation) -> Option<&Arc<Member>> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
    }
}

/// How far the daemon is from its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// It serves.
    Serving,
    /// It stops gracefully.
    Stopping,
    /// It ends at once.
    Halting,
}

/// Publishes the daemon's stage, which only moves forward.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    stage: watch::Sender<Stage>,
    requested: watch::Sender<bool>,
}

impl Lifecycle {
    /// Makes a life cycle that begins with serving.
    pub(crate) fn new() -> Self {
        Lifecycle {
            stage: watch::Sender::new(Stage::Serving),
            requested: watch::Sender::new(false),
        }
    }

    /// Asks whoever runs the daemon for a graceful stop.
    pub(crate) fn request_stop(&self) {
        self.requested.send_replace(true);
    }

    /// Waits until a graceful stop is asked for.
    pub(crate) async fn stop_requested(&self) {
        let mut requested = self.requested.subscribe();
        // The sender lives as long as `self`.
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Begins a graceful stop.
    pub(crate) fn begin_stop(&self) {
        self.advance(Stage::Stopping);
    }

    /// Ends everything at once.
    pub(crate) fn halt(&self) {
        self.advance(Stage::Halting);
    }

    fn advance(&self, stage: Stage) {
        self.stage.send_modify(|old| *old = stage.max(*old));
    }

    /// Returns the stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until everything ends at once.
    pub(crate) async fn halted(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stage.wait_for(|stage| *stage == Stage::Halting).await;
    }
}

/// What every part of the daemon shares.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The local settings.
    pub(crate) settings: Settings,
    /// This run of the process.
    pub(crate) incarnation: Incarnation,
    /// Monotonic time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Numbered events.
    pub(crate) log: EventLog,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// The configuration in force.
    pub(crate) config: ArcSwap<ActiveConfig>,
    /// Ownership as last published.
    pub(crate) ownership: ArcSwap<OwnershipView>,
    /// How far it is from its end.
    pub(crate) lifecycle: Lifecycle,
    /// Whether the last read of the log failed.
    pub(crate) log_unreadable: AtomicBool,
}

impl Shared {
    /// Returns a number that differs between incarnations.
    pub(crate) fn seed(&self) -> u64 {
        self.incarnation.0.as_u64_pair().1
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Notes whether the log could be read.
    pub(crate) fn set_log_readable(&self, readable: bool) {
        self.log_unreadable.store(!readable, Ordering::Relaxed);
        self.metrics.log_readable.set(i64::from(readable));
    }

    /// Returns whether the last read of the log failed.
    pub(crate) fn is_log_unreadable(&self) -> bool {
        self.log_unreadable.load(Ordering::Relaxed)
    }

    /// Returns whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.config.load().version > Version(0);
        configured && self.lifecycle.stage() == Stage::Serving
    }
}
