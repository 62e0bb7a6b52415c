//! What the job keeper is told and asked.

use std::sync::Arc;

use bytes::Bytes;
use kameo::Reply;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Incarnation, JobId, ShardId, TaskId, Term};
use kingcupwinch_coord::ownership::OwnedShard;
use kingcupwinch_coord::record::{AcceptedJob, JobEnd};
use kingcupwinch_policy::Refusal;
use kingcupwinch_wire::api::{JobSpec, JobStatus};
use kingcupwinch_wire::sibling::TaskPhase;
use quick_error::quick_error;
use tokio::sync::oneshot;

use super::{JobKeeper, home_of};
use crate::jobs::{JobName, ended_status};

/// A shard's ownership was gained.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GainHome(pub(crate) OwnedShard);

/// A shard's ownership was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoseHome(pub(crate) ShardId);

/// A shard is owned at a newer term.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Renewed {
    /// The shard.
    pub(crate) shard: ShardId,
    /// The term.
    pub(crate) term: Term,
}

/// Accepts a job; the reply comes with a channel that hears when it is kept.
#[derive(Debug)]
pub(crate) struct Accept {
    /// Its name.
    pub(crate) name: JobName,
    /// What the caller submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Hears that it is kept.
    pub(crate) kept: oneshot::Sender<()>,
}

quick_error! {
    /// Why a job was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AcceptError {
        /// Too many jobs are open.
        Full {
            display("too many jobs are open")
        }
        /// The home is not owned here.
        NotHome {
            display("the job's home is changing")
        }
    }
}

/// What a scheduler says of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskEvent {
    /// The task.
    pub(crate) task: TaskId,
    /// Its phase.
    pub(crate) phase: TaskPhase,
    /// Whether a sibling's scheduler says so.
    pub(crate) remote: bool,
}

/// A sibling took tasks.
#[derive(Debug, Clone)]
pub(crate) struct TasksLent {
    /// The task.
    pub(crate) task: TaskId,
    /// The sibling.
    pub(crate) to: Incarnation,
}

/// The scheduler refused a job's tasks for good.
#[derive(Debug, Clone)]
pub(crate) struct TasksRefused {
    /// The job.
    pub(crate) job: JobId,
    /// Why.
    pub(crate) refusal: Refusal,
}

/// Asks what tasks are like, by the jobs that are kept.
#[derive(Debug, Clone)]
pub(crate) struct SpecsOf(pub(crate) Vec<TaskId>);

/// What a kept job says of one of its tasks.
#[derive(Debug, Clone)]
pub(crate) struct KnownTask {
    /// The job's description.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether the task may run more than once.
    pub(crate) idempotent: bool,
}

/// What kept jobs say of tasks, none where no open job is known.
#[derive(Debug, Clone, Reply)]
pub(crate) struct Specs(pub(crate) Vec<Option<KnownTask>>);

/// Asks for a job's state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lookup(pub(crate) JobId);

/// A job's state, none if it is not known here.
#[derive(Debug, Clone, Reply)]
pub(crate) struct LookupAnswer(pub(crate) Option<JobStatus>);

impl LookupAnswer {
    /// Encodes the state for a sibling.
    pub(crate) fn encode(&self) -> Option<Bytes> {
        let status = self.0.as_ref()?;
        serde_json::to_vec(status).ok().map(Bytes::from)
    }
}

/// Cancels a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cancel(pub(crate) JobId);

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Reply)]
pub(crate) enum CancelAnswer {
    /// It is cancelled, or had ended.
    Done,
    /// It runs and must not be stopped.
    Runs,
    /// It is not known here.
    NotKnown,
}

impl Message<GainHome> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, gained: GainHome, _ctx: &mut Context<Self, ()>) {
        self.gain(gained.0);
    }
}

impl Message<LoseHome> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, lost: LoseHome, _ctx: &mut Context<Self, ()>) {
        self.lose(lost.0);
    }
}

impl Message<Renewed> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, renewed: Renewed, _ctx: &mut Context<Self, ()>) {
        if let Some(home) = self.homes.get_mut(&renewed.shard) {
            home.term = renewed.term;
        }
        for (job, work) in &mut self.work {
            if home_of(*job) == Some(renewed.shard) {
                work.continue_in(renewed.term);
            }
        }
    }
}

impl Message<Accept> for JobKeeper {
    type Reply = Result<(), AcceptError>;

    async fn handle(
        &mut self,
        accept: Accept,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Result<(), AcceptError> {
        let name = accept.name;
        let spec: Arc<[u8]> = serde_json::to_vec(&*accept.spec).unwrap_or_default().into();
        if !self.homes.contains_key(&name.home) {
            return Err(AcceptError::NotHome);
        }
        if !self.jobs.has_capacity(spec.len()) {
            return Err(AcceptError::Full);
        }
        let accepted = AcceptedJob {
            job: name.id,
            home: name.home,
            accepted: kingcupwinch_time::WallClock.now(),
            idempotent: accept.idempotent,
            spec,
        };
        let now = self.now();
        self.commit.accept(accepted, now);
        self.accepting.insert(name.id, accept.kept);
        self.set_alarm();
        Ok(())
    }
}

impl Message<TaskEvent> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, event: TaskEvent, _ctx: &mut Context<Self, ()>) {
        self.take_task_event(event).await;
        self.set_alarm();
    }
}

impl Message<TasksLent> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, lent: TasksLent, _ctx: &mut Context<Self, ()>) {
        self.take_loan(&lent);
    }
}

impl Message<TasksRefused> for JobKeeper {
    type Reply = ();

    async fn handle(&mut self, refused: TasksRefused, _ctx: &mut Context<Self, ()>) {
        self.take_refusal(&refused).await;
        self.set_alarm();
    }
}

impl Message<SpecsOf> for JobKeeper {
    type Reply = Specs;

    async fn handle(&mut self, tasks: SpecsOf, _ctx: &mut Context<Self, Specs>) -> Specs {
        Specs(tasks.0.iter().map(|task| self.known_task(*task)).collect())
    }
}

impl Message<Lookup> for JobKeeper {
    type Reply = LookupAnswer;

    async fn handle(
        &mut self,
        lookup: Lookup,
        _ctx: &mut Context<Self, LookupAnswer>,
    ) -> LookupAnswer {
        let job = lookup.0;
        let ending = self
            .ending
            .get(&job)
            .copied()
            .or_else(|| self.jobs.end(job));
        if let Some(end) = ending {
            let known = self.finals.get(job);
            return LookupAnswer(Some(known.unwrap_or_else(|| ended_status(job, end))));
        }
        let working = self.work.get(&job).map(crate::jobs::Work::status);
        LookupAnswer(working.or_else(|| self.waiting_status(job)))
    }
}

impl Message<Cancel> for JobKeeper {
    type Reply = CancelAnswer;

    async fn handle(
        &mut self,
        cancel: Cancel,
        _ctx: &mut Context<Self, CancelAnswer>,
    ) -> CancelAnswer {
        let job = cancel.0;
        let over = self.ending.contains_key(&job) || self.jobs.end(job).is_some();
        if over {
            return CancelAnswer::Done;
        }
        let Some(work) = self.work.get(&job) else {
            return CancelAnswer::NotKnown;
        };
        if !work.idempotent && work.started {
            return CancelAnswer::Runs;
        }
        self.end_job(job, JobEnd::Cancelled).await;
        self.set_alarm();
        CancelAnswer::Done
    }
}
