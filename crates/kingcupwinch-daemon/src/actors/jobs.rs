//! Persists jobs on the log and drives the jobs of this instance's home shards to their ends.

mod commit;
mod home;
mod messages;

use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, JobId, Offset, ShardId, Term};
use kingcupwinch_coord::jobs::{BatchPolicy, GroupCommit, Jobs, Limits, Recovery};
use kingcupwinch_coord::ownership::OwnedShard;
use kingcupwinch_coord::record::JobEnd;
use kingcupwinch_platform::LogClient;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::decode_job;
use rustc_hash::FxHashMap;
use slog::o;
use tokio::sync::oneshot;

pub(crate) use messages::{
    AcceptJob, CancelJob, CancelOutcome, GetSpecs, HomeGained, HomeLost, HomeRenewed, KnownTask,
    LookupAnswer, LookupJob, TaskDelegated, TaskEvent, TasksRefused,
};

use super::alarm::{Alarm, Tick};
use super::reader::{NextOffset, PageRead, ReadFailed};
use super::scheduler::{DropWaiting, Scheduler};
use crate::jobs::{FinalStates, JobProgress};
use crate::logging::EventId;
use crate::shared::Shared;

/// Interval between checks for overdue work.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// Time that the new owners of a lost owner's workers have to report what runs there.
const TAKEOVER_REPORT_TIMEOUT: Span = Span::from_secs(3);

/// Arguments of the job manager.
pub(crate) struct JobsArgs {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Client of the platform's log service.
    pub(crate) log: LogClient,
    /// Name of the job stream.
    pub(crate) stream: Arc<str>,
    /// The scheduler, which runs tasks.
    pub(crate) scheduler: ActorRef<Scheduler>,
}

/// A job that was accepted here and is on its way to the log.
struct Accepting {
    /// The first term of the ownership under which it was accepted.
    term: Term,
    /// Signalled once the job's record was read back from the log.
    persisted: oneshot::Sender<()>,
}

/// A home shard that this instance owns.
struct Home {
    term: Term,
    /// The term in which this instance became the owner. Since then there was no other one.
    first_term: Term,
    recovery: Recovery,
    /// Whether the jobs of the previous owner have been recovered.
    recovered: bool,
}

/// The actor that holds the jobs of a failure domain as recorded on the log, and the progress of
/// those whose home shard this instance owns.
pub(crate) struct JobManager {
    args: JobsArgs,
    me: ActorRef<JobManager>,
    jobs: Jobs,
    commit: GroupCommit,
    homes: FxHashMap<ShardId, Home>,
    progress: FxHashMap<JobId, JobProgress>,
    accepting: FxHashMap<JobId, Accepting>,
    ending: FxHashMap<JobId, JobEnd>,
    /// Callers that wait for the end of a job on the log.
    cancelling: FxHashMap<JobId, Vec<oneshot::Sender<()>>>,
    final_states: FinalStates,
    members: Vec<Incarnation>,
    snapshot_pending: bool,
    alarm: Alarm,
}

impl Actor for JobManager {
    type Args = JobsArgs;
    type Error = Infallible;

    async fn on_start(args: JobsArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let limits = Limits::new().with_spread(args.shared.seed());
        let mut manager = JobManager {
            args,
            me,
            jobs: Jobs::new(Offset(0), limits),
            commit: GroupCommit::new(BatchPolicy::new()),
            homes: FxHashMap::default(),
            progress: FxHashMap::default(),
            accepting: FxHashMap::default(),
            ending: FxHashMap::default(),
            cancelling: FxHashMap::default(),
            final_states: FinalStates::default(),
            members: Vec::new(),
            snapshot_pending: false,
            alarm: Alarm::default(),
        };
        manager.set_alarm();
        Ok(manager)
    }
}

impl JobManager {
    fn now(&self) -> Time {
        self.args.shared.now()
    }

    fn set_alarm(&mut self) {
        let now = self.now();
        let next = now + CHECK_INTERVAL;
        let due = self.commit.deadline().map_or(next, |due| due.min(next));
        self.alarm.set(Some(due), now, &self.me);
    }

    /// Runs everything that has become due.
    async fn run_due(&mut self) {
        self.append_due();
        self.append_snapshot_if_due();
        self.reset_lost_runs();
        self.recover().await;
        self.set_alarm();
    }

    async fn apply_page(&mut self, read: &PageRead) {
        let now = self.now();
        self.jobs.skip_to(read.page.first);
        for record in &read.page.records {
            let decoded = decode_job(&record.bytes).ok();
            if let Some(stamped) = &decoded {
                self.commit.read_back(stamped.id);
            } else {
                let fields = o!("offset" => record.offset.0);
                self.args.shared.log.write(EventId::RecordSkipped, fields);
            }
            let change = self.jobs.apply(record.offset, decoded, now);
            self.apply_change(change).await;
        }
        let caught_up = self.jobs.next() >= read.page.tail;
        for home in self.homes.values_mut().filter(|_| caught_up) {
            home.recovery.record_tail_read(read.sent);
        }
    }

    /// Returns the longest time for which a run may continue after the last report of it: one
    /// lease, plus the time that the new owner of its worker takes to report it.
    fn run_lifetime(&self) -> Span {
        let config = self.args.shared.config.load();
        Span::from_millis(config.tree.timers.task_lease_ms.get()) + TAKEOVER_REPORT_TIMEOUT
    }

    fn add_home(&mut self, owned: OwnedShard) {
        let expiry = if owned.inherited {
            owned.effective + self.run_lifetime()
        } else {
            owned.effective
        };
        let recovery = Recovery::new(owned.effective, expiry);
        self.homes.insert(
            owned.shard,
            Home {
                term: owned.term,
                first_term: owned.term,
                recovery,
                recovered: false,
            },
        );
    }

    fn remove_home(&mut self, shard: ShardId) {
        self.homes.remove(&shard);
        let removed = self
            .progress
            .keys()
            .filter(|job| home_of(**job) == Some(shard));
        for job in removed.copied().collect::<Vec<_>>() {
            self.progress.remove(&job);
            // The new owner of the home shard submits what has not started.
            let _ = self.args.scheduler.tell(DropWaiting(job)).try_send();
        }
    }
}

/// Returns a job's home shard, or `None` if the id is not one of this system.
fn home_of(job: JobId) -> Option<ShardId> {
    crate::jobs::JobIdParts::parse(job).map(|parts| parts.home)
}

impl Message<PageRead> for JobManager {
    type Reply = NextOffset;

    async fn handle(&mut self, read: PageRead, _ctx: &mut Context<Self, NextOffset>) -> NextOffset {
        self.apply_page(&read).await;
        self.run_due().await;
        NextOffset(self.jobs.next())
    }
}

impl Message<ReadFailed> for JobManager {
    type Reply = ();

    async fn handle(&mut self, _failed: ReadFailed, _ctx: &mut Context<Self, ()>) {}
}

impl Message<Tick> for JobManager {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.run_due().await;
    }
}

#[cfg(test)]
mod tests;
