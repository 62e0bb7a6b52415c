//! Messages of the job manager.

use std::sync::Arc;

use bytes::Bytes;
use kameo::Reply;
use kameo::message::{Context, Message};
use kingcupwinch_coord::id::{Attempt, Incarnation, JobId, ShardId, TaskId, Term};
use kingcupwinch_coord::ownership::OwnedShard;
use kingcupwinch_coord::record::{AcceptedJob, CrashCount, JobEnd};
use kingcupwinch_policy::{Crashes, Refusal};
use kingcupwinch_wire::api::{JobSpec, JobStatus};
use kingcupwinch_wire::sibling::TaskPhase;
use quick_error::quick_error;
use tokio::sync::oneshot;

use super::{Accepting, JobManager, home_of};
use crate::jobs::{JobIdParts, ended_status};

/// Reports that this instance now owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeGained(pub(crate) OwnedShard);

/// Reports that this instance no longer owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeLost(pub(crate) ShardId);

/// Reports that this instance owns a shard at a newer term.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeRenewed {
    /// The shard.
    pub(crate) shard: ShardId,
    /// The new term.
    pub(crate) term: Term,
}

/// Accepts a job; `persisted` is signalled once the job is on the log.
#[derive(Debug)]
pub(crate) struct AcceptJob {
    /// The job's id, with its home shard.
    pub(crate) parts: JobIdParts,
    /// The description that the caller submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether a task may run more than once.
    pub(crate) idempotent: bool,
    /// Signalled once the job's record was read back from the log.
    pub(crate) persisted: oneshot::Sender<()>,
}

quick_error! {
    /// The reason for which a job was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AcceptError {
        /// The limit of open jobs is reached.
        Full {
            display("the limit of open jobs is reached")
        }
        /// This instance does not own the home shard.
        NotHome {
            display("the owner of the job's home shard is changing")
        }
    }
}

/// A scheduler's report about a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskEvent {
    /// The task.
    pub(crate) task: TaskId,
    /// The attempt that ended, if the scheduler does not have the task and passes on what a worker
    /// lists; zero in a scheduler's own report.
    pub(crate) attempt: Attempt,
    /// The task's new phase.
    pub(crate) phase: TaskPhase,
    /// The sibling whose scheduler reports, `None` for this instance's scheduler.
    pub(crate) from: Option<Incarnation>,
    /// The crashes counted for the task, if they have changed.
    pub(crate) crashes: Option<CrashCount>,
}

/// Reports that a task was delegated to a sibling.
#[derive(Debug, Clone)]
pub(crate) struct TaskDelegated {
    /// The task.
    pub(crate) task: TaskId,
    /// The sibling's incarnation.
    pub(crate) to: Incarnation,
}

/// Reports that the scheduler permanently refused a job's tasks.
#[derive(Debug, Clone)]
pub(crate) struct TasksRefused {
    /// The job.
    pub(crate) job: JobId,
    /// The reason.
    pub(crate) refusal: Refusal,
}

/// Asks for the descriptions of tasks, as found in open jobs.
#[derive(Debug, Clone)]
pub(crate) struct GetSpecs(pub(crate) Vec<TaskId>);

/// The description of a task, from its open job.
#[derive(Debug, Clone)]
pub(crate) struct KnownTask {
    /// The job's description.
    pub(crate) spec: Arc<JobSpec>,
    /// Whether the task may run more than once.
    pub(crate) idempotent: bool,
    /// The crashes counted for the task.
    pub(crate) crashes: Crashes,
}

/// The descriptions of the requested tasks, `None` for each task without an open job.
#[derive(Debug, Clone, Reply)]
pub(crate) struct Specs(pub(crate) Vec<Option<KnownTask>>);

/// Asks for a job's state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookupJob(pub(crate) JobId);

/// A job's state, or `None` if the job is not known here.
#[derive(Debug, Clone, Reply)]
pub(crate) struct LookupAnswer(pub(crate) Option<JobStatus>);

impl LookupAnswer {
    /// Encodes the state as JSON for a sibling, or returns `None` without a state.
    pub(crate) fn encode(&self) -> Option<Bytes> {
        let status = self.0.as_ref()?;
        serde_json::to_vec(status).ok().map(Bytes::from)
    }
}

/// Cancels a job; `recorded` is signalled once the job's end is on the log.
#[derive(Debug)]
pub(crate) struct CancelJob {
    /// The job.
    pub(crate) job: JobId,
    /// Signalled once the job's end was read back from the log; dropped if it is not cancelled.
    pub(crate) recorded: oneshot::Sender<()>,
}

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Reply)]
pub(crate) enum CancelOutcome {
    /// The job is cancelled or had already ended, as soon as that is on the log.
    Cancelled,
    /// The job has started and is not idempotent, so it is not stopped.
    Running,
    /// The job is not known here.
    NotFound,
}

impl Message<HomeGained> for JobManager {
    type Reply = ();

    async fn handle(&mut self, gained: HomeGained, _ctx: &mut Context<Self, ()>) {
        self.add_home(gained.0);
    }
}

impl Message<HomeLost> for JobManager {
    type Reply = ();

    async fn handle(&mut self, lost: HomeLost, _ctx: &mut Context<Self, ()>) {
        self.remove_home(lost.0);
    }
}

impl Message<HomeRenewed> for JobManager {
    type Reply = ();

    async fn handle(&mut self, renewed: HomeRenewed, _ctx: &mut Context<Self, ()>) {
        if let Some(home) = self.homes.get_mut(&renewed.shard) {
            home.term = renewed.term;
        }
        for (job, progress) in &mut self.progress {
            if home_of(*job) == Some(renewed.shard) {
                progress.continue_in(renewed.term);
            }
        }
    }
}

impl Message<AcceptJob> for JobManager {
    type Reply = Result<(), AcceptError>;

    async fn handle(
        &mut self,
        accept: AcceptJob,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Result<(), AcceptError> {
        let parts = accept.parts;
        let spec: Arc<[u8]> = serde_json::to_vec(&*accept.spec).unwrap_or_default().into();
        let Some(term) = self.homes.get(&parts.home).map(|home| home.first_term) else {
            return Err(AcceptError::NotHome);
        };
        if !self.jobs.has_capacity(spec.len()) {
            return Err(AcceptError::Full);
        }
        let accepted = AcceptedJob {
            job: parts.id,
            home: parts.home,
            accepted: kingcupwinch_time::WallClock.now(),
            idempotent: accept.idempotent,
            spec,
        };
        let now = self.now();
        self.commit.accept(accepted, now);
        let persisted = accept.persisted;
        self.accepting
            .insert(parts.id, Accepting { term, persisted });
        self.set_alarm();
        Ok(())
    }
}

impl Message<TaskEvent> for JobManager {
    type Reply = ();

    async fn handle(&mut self, event: TaskEvent, _ctx: &mut Context<Self, ()>) {
        self.apply_task_event(event).await;
        self.set_alarm();
    }
}

impl Message<TaskDelegated> for JobManager {
    type Reply = ();

    async fn handle(&mut self, delegated: TaskDelegated, _ctx: &mut Context<Self, ()>) {
        self.apply_delegation(&delegated);
    }
}

impl Message<TasksRefused> for JobManager {
    type Reply = ();

    async fn handle(&mut self, refused: TasksRefused, _ctx: &mut Context<Self, ()>) {
        self.apply_refusal(&refused).await;
        self.set_alarm();
    }
}

impl Message<GetSpecs> for JobManager {
    type Reply = Specs;

    async fn handle(&mut self, tasks: GetSpecs, _ctx: &mut Context<Self, Specs>) -> Specs {
        Specs(tasks.0.iter().map(|task| self.known_task(*task)).collect())
    }
}

impl Message<LookupJob> for JobManager {
    type Reply = LookupAnswer;

    async fn handle(
        &mut self,
        lookup: LookupJob,
        _ctx: &mut Context<Self, LookupAnswer>,
    ) -> LookupAnswer {
        let job = lookup.0;
        // An end counts once it is on the log: before that, another owner may still run the job.
        if let Some(end) = self.jobs.end(job) {
            let known = self.final_states.get(job);
            return LookupAnswer(Some(known.unwrap_or_else(|| ended_status(job, end))));
        }
        let working = self
            .progress
            .get(&job)
            .map(crate::jobs::JobProgress::status);
        LookupAnswer(working.or_else(|| self.open_status(job)))
    }
}

impl Message<CancelJob> for JobManager {
    type Reply = CancelOutcome;

    async fn handle(
        &mut self,
        cancel: CancelJob,
        _ctx: &mut Context<Self, CancelOutcome>,
    ) -> CancelOutcome {
        let job = cancel.job;
        if self.jobs.end(job).is_some() {
            // A caller that has disconnected needs no signal.
            let _ = cancel.recorded.send(());
            return CancelOutcome::Cancelled;
        }
        if self.ending.contains_key(&job) {
            self.cancelling
                .entry(job)
                .or_default()
                .push(cancel.recorded);
            return CancelOutcome::Cancelled;
        }
        let Some(progress) = self.progress.get(&job) else {
            return CancelOutcome::NotFound;
        };
        if !progress.idempotent && progress.started {
            return CancelOutcome::Running;
        }
        self.cancelling
            .entry(job)
            .or_default()
            .push(cancel.recorded);
        self.end_job(job, JobEnd::Cancelled).await;
        self.set_alarm();
        CancelOutcome::Cancelled
    }
}
