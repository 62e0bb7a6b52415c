//! Hands siblings' messages to the actors that they are for.

use std::sync::Arc;

use kameo::actor::ActorRef;
use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::ownership::Event;
use kingcupwinch_link::{Inbox, Incoming, LinkEvent};
use kingcupwinch_wire::sibling::Body;
use slog::o;

use super::relay::encode_entry;
use crate::actors::config::{Config, Since};
use crate::actors::jobs::{CancelAnswer, JobKeeper, TaskEvent};
use crate::actors::ownership::{Observe, Ownership};
use crate::actors::scheduler::{Borrow, Scheduler, SiblingGrant, SiblingQueued};
use crate::jobs::{JobService, RUNS};
use crate::keys::KeyService;
use crate::logging::EventId;
use crate::shared::Shared;

/// Why a stopping instance does nothing.
const STOPPING: &str = "stopping";

/// Hands siblings' messages to the actors that they are for.
#[derive(Clone)]
pub(crate) struct Router {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
    /// Hears ownership messages.
    pub(crate) ownership: ActorRef<Ownership>,
    /// Hears demand and grants.
    pub(crate) scheduler: ActorRef<Scheduler>,
    /// Answers for configurations.
    pub(crate) config: ActorRef<Config>,
    /// Decides keys.
    pub(crate) keys: KeyService,
    /// Keeps jobs.
    pub(crate) keeper: ActorRef<JobKeeper>,
    /// Answers for jobs.
    pub(crate) jobs: JobService,
}

impl Router {
    /// Takes messages until the links are closed.
    pub(crate) async fn run(self, mut inbox: Inbox) {
        loop {
            tokio::select! {
                message = inbox.messages.recv() => match message {
                    Some(message) => self.route(message).await,
                    None => return,
                },
                Some(note) = inbox.events.recv() => self.note(&note),
            }
        }
    }

    async fn route(&self, mut message: Incoming) {
        let from = message.from();
        let body = std::mem::replace(&mut message.envelope.body, Body::Done);
        match body {
            Body::Ownership(body) => {
                // A stopped actor has left the group; the sender finds out by itself.
                let _ = self
                    .ownership
                    .tell(Observe(Event::Message { from, body }))
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

    /// Answers a question in a task of its own, so that a slow one holds up no other message.
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
            Body::ConfigRequest(version) => match self.config.ask(Since(version)).await {
                Ok(entries) => {
                    let records = entries.0.iter().map(|entry| encode_entry(entry).into());
                    Body::ConfigRecords(records.collect())
                }
                Err(_) => Body::Declined(STOPPING.into()),
            },
            Body::StartTask(order) => self.borrow(from, &order).await,
            Body::TaskState(state) => {
                let event = TaskEvent {
                    task: state.task,
                    phase: state.phase,
                    remote: true,
                };
                match self.keeper.tell(event).await {
                    Ok(()) => Body::Done,
                    Err(_) => Body::Declined(STOPPING.into()),
                }
            }
            Body::JobLookup(job) => match self.jobs.look_up_here(job).await {
                Ok(answer) => Body::JobLookupReply(answer.encode()),
                Err(_) => Body::Declined(STOPPING.into()),
            },
            Body::JobCancel(job) => match self.jobs.cancel_here(job).await {
                CancelAnswer::Done => Body::Done,
                CancelAnswer::Runs => Body::Declined(RUNS.into()),
                CancelAnswer::NotKnown => Body::Declined("unknown job".into()),
            },
            _ => Body::Declined("not understood here".into()),
        }
    }

    async fn borrow(&self, from: Incarnation, order: &[u8]) -> Body {
        let Ok(order) = serde_json::from_slice(order) else {
            return Body::Declined("the task is malformed".into());
        };
        match self.scheduler.ask(Borrow { from, order }).await {
            Ok(()) => Body::Done,
            Err(error) => Body::Declined(error.to_string().into()),
        }
    }

    fn note(&self, note: &LinkEvent) {
        let event = match note {
            LinkEvent::Up(_) | LinkEvent::Down(_) => EventId::LinkChanged,
            _ => EventId::LinkDropped,
        };
        self.shared
            .log
            .write(event, o!("note" => format!("{note:?}")));
    }
}
