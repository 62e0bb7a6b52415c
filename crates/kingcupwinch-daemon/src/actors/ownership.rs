//! Drives the ownership state machine. Inputs are log records, sibling messages and the instance
//! list; outputs are appends, messages and published permits.

use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, ShardId};
use kingcupwinch_coord::ownership::{Action, Coordinator, Event, Note, Phase, message};
use kingcupwinch_coord::record::{Member, OwnerRecord, Stamped};
use kingcupwinch_platform::LogClient;
use kingcupwinch_wire::{decode_owner, encode_owner};
use slog::o;
use tokio::sync::watch;
use tokio::time::Instant;

use super::alarm::{Alarm, Tick};
use super::jobs::{self, JobManager};
use super::keys::{HomeGained, HomeLost, HomeRenewed, KeyStore};
use super::reader::{NextOffset, PageRead, ReadFailed};
use super::scheduler::{PermitsChanged, Scheduler, ShardGained, ShardLost, ShardRenewed};
use crate::logging::EventId;
use crate::shared::{OwnershipView, ShardView, Shared};

/// Arguments of the ownership actor.
pub(crate) struct OwnershipArgs {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// The state machine.
    pub(crate) coordinator: Coordinator,
    /// Client of the platform's log service.
    pub(crate) log: LogClient,
    /// Name of the ownership stream.
    pub(crate) stream: Arc<str>,
    /// Number of shards in the failure domain.
    pub(crate) shards: u16,
    /// The scheduler.
    pub(crate) scheduler: ActorRef<Scheduler>,
    /// The key store.
    pub(crate) keys: ActorRef<KeyStore>,
    /// The job manager.
    pub(crate) jobs: ActorRef<JobManager>,
    /// Set to true when this incarnation has left the group.
    pub(crate) stopped: watch::Sender<bool>,
    /// Sends messages to siblings.
    pub(crate) outbox: Outbox,
}

/// Sends ownership messages to siblings. Delivery is not guaranteed.
pub(crate) trait SendToSibling: Send + Sync + 'static {
    /// Sends one message.
    fn send(&self, to: Incarnation, body: message::Message);

    /// Sets the current members of the group with their addresses.
    fn set_members(&self, members: &[Arc<Member>]);
}

/// The sender that the ownership actor uses.
pub(crate) type Outbox = Arc<dyn SendToSibling>;

/// An input of the state machine.
#[derive(Debug)]
pub(crate) struct OwnershipEvent(pub(crate) Event);

/// The actor that drives a [`Coordinator`].
pub(crate) struct Ownership {
    args: OwnershipArgs,
    me: ActorRef<Ownership>,
    alarm: Alarm,
    actions: Vec<Action>,
    members: Vec<Arc<Member>>,
    permitted: Vec<ShardId>,
    tail: u64,
}

impl Actor for Ownership {
    type Args = OwnershipArgs;
    type Error = Infallible;

    async fn on_start(args: OwnershipArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let mut actor = Ownership {
            args,
            me,
            alarm: Alarm::default(),
            actions: Vec::new(),
            members: Vec::new(),
            permitted: Vec::new(),
            tail: 0,
        };
        actor.observe(Event::Tick).await;
        Ok(actor)
    }

    async fn on_stop(
        &mut self,
        _me: WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> Result<(), Infallible> {
        self.alarm.clear();
        Ok(())
    }
}

impl Ownership {
    async fn observe(&mut self, event: Event) {
        let now = self.args.shared.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.args.coordinator.handle(event, now, &mut actions);
        // The view is published first, so that a lost shard's permit is gone before any actor is
        // notified.
        self.publish();
        for action in actions.drain(..) {
            self.perform(action).await;
        }
        self.actions = actions;
        self.notify_permits().await;
        let deadline = self.args.coordinator.deadline();
        self.alarm.set(Some(deadline), now, &self.me);
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Append(record) => self.append(record),
            Action::Send { to, body } => {
                self.args.shared.metrics.link_messages.inc();
                self.args.outbox.send(to, body);
            }
            Action::Gained(owned) => {
                let fields = o!("shard" => owned.shard.0, "term" => owned.term.0);
                self.args.shared.log.write(EventId::ShardGained, fields);
                // A stopped key store decides no keys.
                let _ = self.args.keys.tell(HomeGained(owned)).await;
                let _ = self.args.jobs.tell(jobs::HomeGained(owned)).await;
                self.notify_scheduler(ShardGained(owned)).await;
            }
            Action::Renewed { shard, term } => {
                let _ = self.args.keys.tell(HomeRenewed { shard, term }).await;
                let _ = self.args.jobs.tell(jobs::HomeRenewed { shard, term }).await;
                self.notify_scheduler(ShardRenewed { shard, term }).await;
            }
            Action::Lost {
                shard,
                term,
                reason,
            } => {
                let why = format!("{reason:?}");
                let fields = o!("shard" => shard.0, "term" => term.0, "why" => why);
                self.args.shared.log.write(EventId::ShardLost, fields);
                let _ = self.args.keys.tell(HomeLost(shard)).await;
                let _ = self.args.jobs.tell(jobs::HomeLost(shard)).await;
                self.notify_scheduler(ShardLost { shard }).await;
            }
            Action::Note(note) => self.log_note(&note),
            Action::Stopped => {
                self.args.stopped.send_replace(true);
            }
        }
    }

    fn log_note(&self, note: &Note) {
        let event = match note {
            Note::Log { .. } | Note::Skipped { .. } | Note::Expired { .. } => {
                EventId::RecordSkipped
            }
            _ => EventId::OwnershipNote,
        };
        self.args
            .shared
            .log
            .write(event, o!("note" => format!("{note:?}")));
    }

    async fn notify_scheduler<M: Send + 'static>(&self, message: M)
    where
        Scheduler: Message<M>,
    {
        // A stopped scheduler dispatches nothing, so the message can be dropped.
        let _ = self.args.scheduler.tell(message).await;
    }

    fn append(&self, record: Stamped<OwnerRecord>) {
        let log = self.args.log.clone();
        let stream = Arc::clone(&self.args.stream);
        let shared = Arc::clone(&self.args.shared);
        let me = self.me.downgrade();
        shared.metrics.log_appends.inc();
        tokio::spawn(async move {
            let id = record.id;
            let call = Duration::from_millis(shared.settings.platform.call_ms);
            let bytes = encode_owner(&record);
            let event = match log.append(&stream, bytes, Instant::now() + call).await {
                Ok(_) => Event::AppendAcked { id },
                Err(err) => {
                    let fields = o!("stream" => stream.to_string(), "error" => err.to_string());
                    shared.log.write(EventId::AppendUncertain, fields);
                    Event::AppendFailed { id }
                }
            };
            if let Some(me) = me.upgrade() {
                let _ = me.tell(OwnershipEvent(event)).await;
            }
        });
    }

    /// Publishes owners and permits for everything that dispatches or forwards.
    fn publish(&mut self) {
        self.refresh_members();
        let now = self.args.shared.now();
        let coordinator = &self.args.coordinator;
        let shards = (0..self.args.shards).map(|index| {
            let shard = ShardId(index);
            let owner = coordinator.owner_of(shard);
            let owner = owner.and_then(|owner| self.find_member(owner.incarnation));
            let permit = coordinator.permit(shard, now);
            let term = coordinator.term_of(shard).0;
            ShardView {
                term,
                owner,
                permit,
            }
        });
        let view = OwnershipView {
            phase: phase_name(coordinator.phase()),
            members: self.members.clone(),
            shards: shards.collect(),
            next: coordinator.next_offset().0,
            tail: self.tail,
        };
        self.args.shared.ownership.store(Arc::new(view));
    }

    fn find_member(&self, incarnation: Incarnation) -> Option<Arc<Member>> {
        self.members
            .iter()
            .find(|member| member.incarnation == incarnation)
            .cloned()
    }

    fn refresh_members(&mut self) {
        let group = self.args.coordinator.group().members();
        let unchanged = self.members.len() == group.len()
            && self
                .members
                .iter()
                .zip(group)
                .all(|(old, new)| **old == *new);
        if unchanged {
            return;
        }
        self.members = group.iter().cloned().map(Arc::new).collect();
        self.args.outbox.set_members(&self.members);
    }

    /// Notifies the scheduler when the set of shards that it may dispatch to has changed.
    async fn notify_permits(&mut self) {
        let view = self.args.shared.ownership.load_full();
        let permits = view
            .shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| shard.permit.is_some());
        let permitted: Vec<ShardId> = permits
            .filter_map(|(index, _)| u16::try_from(index).ok().map(ShardId))
            .collect();
        if permitted == self.permitted {
            return;
        }
        self.args
            .shared
            .metrics
            .owned_shards
            .set(i64::try_from(permitted.len()).unwrap_or(i64::MAX));
        self.permitted = permitted;
        self.notify_scheduler(PermitsChanged).await;
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Joining => "joining",
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::Stopped => "stopped",
    }
}

impl Message<OwnershipEvent> for Ownership {
    type Reply = ();

    async fn handle(&mut self, message: OwnershipEvent, _ctx: &mut Context<Self, ()>) {
        self.observe(message.0).await;
    }
}

impl Message<Tick> for Ownership {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.observe(Event::Tick).await;
    }
}

impl Message<PageRead> for Ownership {
    type Reply = NextOffset;

    async fn handle(&mut self, read: PageRead, _ctx: &mut Context<Self, NextOffset>) -> NextOffset {
        self.tail = self.tail.max(read.page.tail.0);
        let records = read.page.records.iter();
        let records = records.map(|record| (record.offset, decode_owner(&record.bytes).ok()));
        let event = Event::Read {
            sent: read.sent,
            first: read.page.first,
            tail: read.page.tail,
            records: records.collect(),
        };
        self.observe(event).await;
        NextOffset(self.args.coordinator.next_offset())
    }
}

impl Message<ReadFailed> for Ownership {
    type Reply = ();

    async fn handle(&mut self, _failed: ReadFailed, _ctx: &mut Context<Self, ()>) {
        self.observe(Event::ReadFailed).await;
    }
}
