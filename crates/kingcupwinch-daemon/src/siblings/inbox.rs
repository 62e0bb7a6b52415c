//! Routes siblings' messages to the actors that handle them.

use std::sync::Arc;

use kameo::actor::ActorRef;
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::ownership::Event;
use kingcupwinch_link::{Inbox, Incoming, LinkEvent};
use kingcupwinch_wire::sibling::Body;
use slog::o;

use super::relay::encode_entry;
use crate::actors::config::{Config, VersionsAfter};
use crate::actors::jobs::{CancelOutcome, JobManager, TaskEvent};
use crate::actors::ownership::{Ownership, OwnershipEvent};
use crate::actors::scheduler::{ReceiveTask, Scheduler, SiblingGrant, SiblingQueued};
use crate::jobs::{JobService, RUNNING_REASON, UNCONFIRMED_REASON};
use crate::keys::KeyService;
use crate::logging::EventId;
use crate::shared::Shared;

/// Reason for declining while the instance stops.
const STOPPING: &str = "stopping";

/// Routes siblings' messages to the actors that handle them.
#[derive(Clone)]
pub(crate) struct Router {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Receives ownership messages.
    pub(crate) ownership: ActorRef<Ownership>,
    /// Receives demand, grants and delegated tasks.
    pub(crate) scheduler: ActorRef<Scheduler>,
    /// Answers requests for configurations.
    pub(crate) config: ActorRef<Config>,
    /// Decides keys.
    pub(crate) keys: KeyService,
    /// Receives reports about tasks.
    pub(crate) manager: ActorRef<JobManager>,
    /// Answers requests about jobs.
    pub(crate) jobs: JobService,
}

impl Router {
    /// Handles messages until the links are closed.
    pub(crate) async fn run(self, mut inbox: Inbox) {
        loop {
            tokio::select! {
                message = inbox.messages.recv() => match message {
                    Some(message) => self.route(message).await,
                    None => return,
                },
                Some(event) = inbox.events.recv() => self.log_link_event(&event),
            }
        }
    }

    async fn route(&self, mut message: Incoming) {
        let from = message.from();
        let body = std::mem::replace(&mut message.envelope.body, Body::Done);
        match body {
            Body::Ownership(body) => {
                // A stopped actor has left the group; the sender detects this by itself.
                let _ = self
                    .ownership
                    .tell(OwnershipEvent(Event::Message { from, body }))
                    .await;
            }
            Body::Queued(queued) => {
                let _ = self.scheduler.tell(SiblingQueued { from, queued }).await;
            }
            Body::Grant(grant) => {
                let until = self.shared.now() + grant.time_left;
                let _ = self
                    .scheduler
                    .tell(SiblingGrant { from, grant, until })
                    .await;
            }
            other => self.answer(from, other, message),
        }
    }

    /// Answers a request in a separate task, so that a slow one delays no other message.
    fn answer(&self, from: Incarnation, body: Body, message: Incoming) {
        let router = self.clone();
        tokio::spawn(async move {
            let answer = router.make_answer(from, body).await;
            message.reply(answer);
        });
    }

    async fn make_answer(&self, from: Incarnation, body: Body) -> Body {
        match body {
            Body::KeyBegin(begin) => Body::KeyDecision(self.keys.begin_for(begin).await),
            Body::KeyFinish(finish) => {
                self.keys.finish_for(finish).await;
                Body::Done
            }
            Body::KeyLookup(lookup) => Body::KeyLookupReply(self.keys.look_up(lookup).await),
            Body::ConfigRequest(version) => match self.config.ask(VersionsAfter(version)).await {
                Ok(entries) => {
                    let records = entries.0.iter().map(|entry| encode_entry(entry).into());
                    Body::ConfigRecords(records.collect())
                }
                Err(_) => Body::Declined(STOPPING.into()),
            },
            Body::StartTask(order) => self.receive_task(from, &order).await,
            Body::TaskState(state) => {
                let event = TaskEvent {
                    task: state.task,
                    attempt: state.attempt,
                    phase: state.phase,
                    from: Some(from),
                    crashes: state.crashes,
                };
                match self.manager.tell(event).await {
                    Ok(()) => Body::Done,
                    Err(_) => Body::Declined(STOPPING.into()),
                }
            }
            Body::JobLookup(job) => match self.jobs.look_up_here(job).await {
                Ok(answer) => Body::JobLookupReply(answer.encode()),
                Err(_) => Body::Declined(STOPPING.into()),
            },
            Body::JobCancel(job) => match self.jobs.cancel_here(job).await {
                Ok(CancelOutcome::Cancelled) => Body::Done,
                Ok(CancelOutcome::Running) => Body::Declined(RUNNING_REASON.into()),
                Ok(CancelOutcome::NotFound) => Body::Declined("unknown job".into()),
                Err(_) => Body::Declined(UNCONFIRMED_REASON.into()),
            },
            _ => Body::Declined("not understood here".into()),
        }
    }

    async fn receive_task(&self, from: Incarnation, order: &[u8]) -> Body {
        let Ok(order) = serde_json::from_slice(order) else {
            return Body::Declined("the task is malformed".into());
        };
        match self.scheduler.ask(ReceiveTask { from, order }).await {
            Ok(()) => Body::Done,
            Err(error) => Body::Declined(error.to_string().into()),
        }
    }

    fn log_link_event(&self, link_event: &LinkEvent) {
        let event = match link_event {
            LinkEvent::Up(_) | LinkEvent::Down(_) => EventId::LinkChanged,
            _ => EventId::LinkDropped,
        };
        self.shared
            .log
            .write(event, o!("note" => format!("{link_event:?}")));
    }
}
