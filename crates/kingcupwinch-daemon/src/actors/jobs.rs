//! Keeps jobs on the log, and sees the jobs of its home shards through to their ends.

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
    Accept, Cancel, CancelAnswer, GainHome, KnownTask, Lookup, LookupAnswer, LoseHome, Renewed,
    SpecsOf, TaskEvent, TasksLent, TasksRefused,
};

use super::alarm::{Alarm, Tick};
use super::reader::{NextOffset, PageRead, ReadFailed};
use super::scheduler::{DropWaiting, Scheduler};
use crate::jobs::{Finals, Work};
use crate::logging::EventId;
use crate::shared::Shared;

/// How often the state is looked over for what has become due.
const LOOK_GAP: Span = Span::from_millis(100);

/// How long the heirs of an owner's workers may take to say what runs there.
const REPORT_SPAN: Span = Span::from_secs(3);

/// What the actor starts from.
pub(crate) struct JobsArgs {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
    /// The log service.
    pub(crate) log: LogClient,
    /// The job stream's name.
    pub(crate) stream: Arc<str>,
    /// Runs tasks.
    pub(crate) scheduler: ActorRef<Scheduler>,
}

/// A home shard of this instance.
struct Home {
    term: Term,
    recovery: Recovery,
    /// Whether jobs of an earlier owner have been taken over.
    settled: bool,
}

/// The jobs of a failure domain, as its log keeps them, and the work of this instance's homes.
pub(crate) struct JobKeeper {
    args: JobsArgs,
    me: ActorRef<JobKeeper>,
    jobs: Jobs,
    commit: GroupCommit,
    homes: FxHashMap<ShardId, Home>,
    work: FxHashMap<JobId, Work>,
    accepting: FxHashMap<JobId, oneshot::Sender<()>>,
    ending: FxHashMap<JobId, JobEnd>,
    finals: Finals,
    members: Vec<Incarnation>,
    copying: bool,
    alarm: Alarm,
}

impl Actor for JobKeeper {
    type Args = JobsArgs;
    type Error = Infallible;

    async fn on_start(args: JobsArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let limits = Limits::new().with_spread(args.shared.seed());
        let mut keeper = JobKeeper {
            args,
            me,
            jobs: Jobs::new(Offset(0), limits),
            commit: GroupCommit::new(BatchPolicy::new()),
            homes: FxHashMap::default(),
            work: FxHashMap::default(),
            accepting: FxHashMap::default(),
            ending: FxHashMap::default(),
            finals: Finals::default(),
            members: Vec::new(),
            copying: false,
            alarm: Alarm::default(),
        };
        keeper.set_alarm();
        Ok(keeper)
    }
}

impl JobKeeper {
    fn now(&self) -> Time {
        self.args.shared.now()
    }

    fn set_alarm(&mut self) {
        let now = self.now();
        let next = now + LOOK_GAP;
        let due = self.commit.deadline().map_or(next, |due| due.min(next));
        self.alarm.set(Some(due), now, &self.me);
    }

    /// Does what has become due.
    async fn look(&mut self) {
        self.append_due();
        self.copy_if_due();
        self.find_lost_runs();
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
            self.take_change(change).await;
        }
        let caught_up = self.jobs.next() >= read.page.tail;
        for home in self.homes.values_mut().filter(|_| caught_up) {
            home.recovery.note_tail(read.sent);
        }
    }

    /// Returns how long a run of which nothing more is heard may go on: one lease, and the time that
    /// the heirs of its worker take to say that it runs.
    fn run_span(&self) -> Span {
        let config = self.args.shared.config.load();
        Span::from_millis(config.tree.timers.task_lease_ms.get()) + REPORT_SPAN
    }

    fn gain(&mut self, owned: OwnedShard) {
        let lapse = if owned.inherited {
            owned.effective + self.run_span()
        } else {
            owned.effective
        };
        let recovery = Recovery::new(owned.effective, lapse);
        self.homes.insert(
            owned.shard,
            Home {
                term: owned.term,
                recovery,
                settled: false,
            },
        );
    }

    fn lose(&mut self, shard: ShardId) {
        self.homes.remove(&shard);
        let gone = self.work.keys().filter(|job| home_of(**job) == Some(shard));
        for job in gone.copied().collect::<Vec<_>>() {
            self.work.remove(&job);
            // The new owner of the home hands out what has not started.
            let _ = self.args.scheduler.tell(DropWaiting(job)).try_send();
        }
    }
}

/// Returns a job's home shard.
fn home_of(job: JobId) -> Option<ShardId> {
    crate::jobs::JobName::read(job).map(|name| name.home)
}

impl Message<PageRead> for JobKeeper {
    type Reply = NextOffset;

    async fn handle(&mut self, read: PageRead, _ctx: &mut Context<Self, NextOffset>) -> NextOffset {
        self.apply_page(&read).await;
        self.look().await;
        NextOffset(self.jobs.next())
    }
}

impl Message<ReadFailed> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, _failed: ReadFailed, _ctx: &mut Context<Self, ()>) {}
}

impl Message<Tick> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.look().await;
    }
}
