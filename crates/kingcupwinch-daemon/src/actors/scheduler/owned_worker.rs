//! Workers of the shards that this instance owns, and the reading of their usage reports.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kameo::actor::{ActorRef, WeakActorRef};
use kingcupwinch_coord::id::ShardId;
use kingcupwinch_policy::{Dimension, HoldKey, MachineKey, Resources};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::worker as report;
use slog::o;
use smallvec::SmallVec;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use uuid::Uuid;

use super::{Scheduler, UsageReported};
use crate::logging::EventId;
use crate::shared::Shared;
use crate::worker::Worker;

/// A whole machine, in percent.
const WHOLE_PERCENT: u64 = 100;

/// Pause between reports while the scheduler waits for their content.
const URGENT_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a report that could not be read.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Capacity reserved for work that may still run although no handler waits for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnconfirmedRun {
    /// The reservation.
    pub(super) hold: HoldKey,
    /// Id of the work in the worker's reports.
    pub(super) work: Uuid,
    /// Only a report taken after this time proves that the work has ended.
    pub(super) since: Time,
}

/// A worker that is no longer listed, although its runs may continue.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnlistedWorker {
    /// The key that the worker had in the policy.
    pub(super) machine: MachineKey,
    /// The worker's shard.
    pub(super) shard: ShardId,
    /// Time at which the leases of its runs have certainly expired.
    pub(super) expiry: Time,
}

/// A worker of a shard that this instance owns.
#[derive(Debug)]
pub(super) struct OwnedWorker {
    /// The worker.
    pub(super) worker: Arc<Worker>,
    /// The worker's key in the policy.
    pub(super) machine: MachineKey,
    /// Reservation of all free capacity until a report taken after the given time shows what a
    /// previous owner left running.
    pub(super) inherited: Option<(HoldKey, Time)>,
    /// Ends reported while the descriptions of inherited work are looked up, by task and attempt;
    /// `None` while no lookup is in progress.
    pub(super) ended_in_lookup: Option<Vec<(Uuid, u32)>>,
    /// Reservation of all free capacity while the shard has no permit to dispatch.
    pub(super) blocked: Option<HoldKey>,
    /// Work that may still run.
    pub(super) unconfirmed: SmallVec<[UnconfirmedRun; 4]>,
    /// Number of the last report; the first report after a restart has a lower one.
    pub(super) last_seq: u64,
    /// Time at which a report showed that the worker has restarted.
    pub(super) restarted: Option<Time>,
    /// Whether the worker is leaving and gets no new work.
    pub(super) leaving: bool,
    /// Whether reports are read without waiting for a change.
    urgent: Arc<AtomicBool>,
    reader: AbortHandle,
}

impl OwnedWorker {
    /// Creates the entry and starts reading the worker's usage reports.
    pub(super) fn new(
        worker: Arc<Worker>,
        machine: MachineKey,
        shared: &Arc<Shared>,
        scheduler: &ActorRef<Scheduler>,
    ) -> Self {
        let urgent = Arc::new(AtomicBool::new(true));
        let reader = UsageReader {
            shared: Arc::clone(shared),
            worker: Arc::clone(&worker),
            urgent: Arc::clone(&urgent),
            scheduler: scheduler.downgrade(),
        };
        let reader = tokio::spawn(reader.run()).abort_handle();
        OwnedWorker {
            worker,
            machine,
            inherited: None,
            ended_in_lookup: None,
            blocked: None,
            unconfirmed: SmallVec::new(),
            last_seq: 0,
            restarted: None,
            leaving: false,
            urgent,
            reader,
        }
    }

    /// Requests reports without waiting while reserved capacity depends on them.
    pub(super) fn update_urgency(&self) {
        let urgent = self.inherited.is_some() || !self.unconfirmed.is_empty();
        self.urgent.store(urgent, Ordering::Relaxed);
    }
}

impl Drop for OwnedWorker {
    fn drop(&mut self) {
        self.reader.abort();
        self.worker.client.close_idle();
    }
}

/// Reads a worker's usage reports continuously.
struct UsageReader {
    shared: Arc<Shared>,
    worker: Arc<Worker>,
    urgent: Arc<AtomicBool>,
    scheduler: WeakActorRef<Scheduler>,
}

impl UsageReader {
    async fn run(self) {
        let mut after = 0;
        loop {
            let urgent = self.urgent.load(Ordering::Relaxed);
            let wait = if urgent {
                Span::ZERO
            } else {
                self.usual_wait()
            };
            let sent = self.shared.now();
            let call = Duration::from_millis(self.shared.settings.platform.call_ms);
            let deadline = Instant::now() + Duration::from(wait) + call;
            match self.worker.client.usage(after, wait, deadline).await {
                Ok(usage) => {
                    after = usage.seq;
                    let name = Arc::clone(&self.worker.name);
                    let Some(scheduler) = self.scheduler.upgrade() else {
                        return;
                    };
                    if scheduler
                        .tell(UsageReported { name, sent, usage })
                        .await
                        .is_err()
                    {
                        return;
                    }
                    if urgent {
                        tokio::time::sleep(URGENT_PAUSE).await;
                    }
                }
                Err(err) => {
                    let worker = self.worker.name.to_string();
                    let fields = o!("worker" => worker, "error" => err.to_string());
                    self.shared.log.write(EventId::UsageUnreadable, fields);
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn usual_wait(&self) -> Span {
        Span::from_millis(self.shared.config.load().tree.timers.usage_ms.get())
    }
}

/// Returns the capacity in use according to a report.
pub(super) fn used_by(usage: &report::Usage, capacity: &Resources) -> Resources {
    let millicores = capacity.get(Dimension::Millicores) * u64::from(usage.cpu_percent);
    Resources::new(millicores / WHOLE_PERCENT, 0)
        .with_slots(u64::from(usage.busy_slots))
        .with_connections(u64::from(usage.busy_connections))
}
