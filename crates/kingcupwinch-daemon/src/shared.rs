//! State shared by every part of the daemon: settings, clock, logs, metrics and published views.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use hyper::body::Incoming;
use kingcupwinch_config::Tree;
use kingcupwinch_coord::id::{Incarnation, ShardId, Version};
use kingcupwinch_coord::ownership::Permit;
use kingcupwinch_coord::record::Member;
use kingcupwinch_time::{Clock, Time};
use tokio::sync::watch;

use crate::logging::EventLog;
use crate::metrics::Metrics;
use crate::server::body::{BodyError, BufferedBody};
use crate::server::body_memory::BodyMemory;
use crate::settings::Settings;

/// The active configuration of this instance.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// The version, zero before the first configuration.
    pub(crate) version: Version,
    /// The configuration tree.
    pub(crate) tree: Tree,
}

/// The state of one shard as last published by the ownership actor.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardView {
    /// The newest known term.
    pub(crate) term: u64,
    /// The owner, `None` while the shard is free.
    pub(crate) owner: Option<Arc<Member>>,
    /// The permit to dispatch, `None` if this instance may not dispatch.
    pub(crate) permit: Option<Permit>,
}

/// Ownership in this failure domain as last published by the ownership actor.
#[derive(Debug, Default)]
pub(crate) struct OwnershipView {
    /// Phase of this instance: `joining`, `serving`, `draining` or `stopped`.
    pub(crate) phase: &'static str,
    /// Live members of the group, in log order.
    pub(crate) members: Vec<Arc<Member>>,
    /// All shards, indexed by number.
    pub(crate) shards: Vec<ShardView>,
    /// The next offset to read from the ownership stream.
    pub(crate) next: u64,
    /// The newest known offset of the ownership stream.
    pub(crate) tail: u64,
}

impl OwnershipView {
    /// Returns the permit to dispatch to `shard`, if it is still valid at `now`.
    pub(crate) fn permit(&self, shard: ShardId, now: Time) -> Option<Permit> {
        let view = self.shards.get(usize::from(shard.0))?;
        view.permit.filter(|permit| now < permit.until)
    }

    /// Returns a shard's owner, if it has one.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&Arc<Member>> {
        self.shards.get(usize::from(shard.0))?.owner.as_ref()
    }

    /// Returns the member with this incarnation, if it belongs to the group.
    pub(crate) fn member(&self, incarnation: Incarnation) -> Option<&Arc<Member>> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
    }
}

/// The stages of the daemon's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The daemon serves requests.
    Serving,
    /// The daemon stops gracefully.
    Stopping,
    /// The daemon ends immediately.
    Halting,
}

/// Publishes the daemon's stage, which only moves forward.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    stage: watch::Sender<Stage>,
    requested: watch::Sender<bool>,
}

impl Lifecycle {
    /// Creates a life cycle in the serving stage.
    pub(crate) fn new() -> Self {
        Lifecycle {
            stage: watch::Sender::new(Stage::Serving),
            requested: watch::Sender::new(false),
        }
    }

    /// Requests a graceful stop from the code that runs the daemon.
    pub(crate) fn request_stop(&self) {
        self.requested.send_replace(true);
    }

    /// Waits until a graceful stop is requested.
    pub(crate) async fn stop_requested(&self) {
        let mut requested = self.requested.subscribe();
        // The sender lives as long as `self`.
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Enters the stage of a graceful stop.
    pub(crate) fn begin_stop(&self) {
        self.advance(Stage::Stopping);
    }

    /// Enters the stage in which everything ends immediately.
    pub(crate) fn halt(&self) {
        self.advance(Stage::Halting);
    }

    fn advance(&self, stage: Stage) {
        self.stage.send_modify(|old| *old = stage.max(*old));
    }

    /// Returns the current stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the daemon enters the halting stage.
    pub(crate) async fn halted(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stage.wait_for(|stage| *stage == Stage::Halting).await;
    }
}

/// State shared by every part of the daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The local settings.
    pub(crate) settings: Settings,
    /// Identifier of this run of the process.
    pub(crate) incarnation: Incarnation,
    /// The monotonic clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// The log of numbered events.
    pub(crate) log: EventLog,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// The active configuration.
    pub(crate) config: ArcSwap<ActiveConfig>,
    /// The ownership view as last published.
    pub(crate) ownership: ArcSwap<OwnershipView>,
    /// Memory for request bodies.
    pub(crate) body_memory: BodyMemory,
    /// The daemon's stage.
    pub(crate) lifecycle: Lifecycle,
    /// Whether the last read of the log failed.
    pub(crate) log_unreadable: AtomicBool,
}

impl Shared {
    /// Returns a random seed that differs between incarnations.
    pub(crate) fn seed(&self) -> u64 {
        self.incarnation.0.as_u64_pair().1
    }

    /// Reads a request body up to the buffer limit of the settings.
    ///
    /// # Errors
    ///
    /// Returns the error of [`BufferedBody::read`].
    pub(crate) async fn read_body(&self, body: Incoming) -> Result<BufferedBody, BodyError> {
        BufferedBody::read(body, &self.settings.hold, &self.body_memory).await
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records whether the last read of the log succeeded.
    pub(crate) fn set_log_readable(&self, readable: bool) {
        self.log_unreadable.store(!readable, Ordering::Relaxed);
        self.metrics.log_readable.set(i64::from(readable));
    }

    /// Returns whether the last read of the log failed.
    pub(crate) fn is_log_unreadable(&self) -> bool {
        self.log_unreadable.load(Ordering::Relaxed)
    }

    /// Returns whether the load balancer should send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.config.load().version > Version(0);
        configured && self.lifecycle.stage() == Stage::Serving
    }
}
