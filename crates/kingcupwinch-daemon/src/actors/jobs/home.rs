//! Seeing the jobs of a home shard through: starting, following, recovering and ending them.

use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, JobId, ShardId, TaskId};
use kingcupwinch_coord::jobs::{Change, Evidence, OpenJob, Step};
use kingcupwinch_coord::record::JobEnd;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::JobStatus;
use kingcupwinch_wire::sibling::TaskPhase;
use slog::o;

use super::messages::{KnownTask, TaskDelegated, TaskEvent, TasksRefused};
use super::{JobManager, home_of};
use crate::actors::scheduler::{CancelTasks, RunTasks};
use crate::jobs::{JobName, JobProgress, TaskName, TaskReport, TaskStatus};
use crate::logging::EventId;

impl JobManager {
    pub(super) async fn apply_change(&mut self, change: Change) {
        for job in change.opened {
            if let Some(persisted) = self.accepting.remove(&job) {
                self.args
                    .shared
                    .log
                    .write(EventId::JobAccepted, o!("job" => job.to_string()));
                // A caller that hung up can still ask for the job's state.
                let _ = persisted.send(());
                self.begin(job).await;
            }
        }
        for job in change.started {
            self.run_started(job).await;
        }
        for (job, end) in change.ended {
            self.ending.remove(&job);
            self.progress.remove(&job);
            let fields = o!("job" => job.to_string(), "end" => format!("{end:?}"));
            self.args.shared.log.write(EventId::JobEnded, fields);
        }
    }

    /// Begins a job that this instance has accepted and read back.
    async fn begin(&mut self, job: JobId) {
        let Some(term) = home_of(job)
            .and_then(|home| self.homes.get(&home))
            .map(|home| home.term)
        else {
            return;
        };
        let Some(open) = self.jobs.open(job).cloned() else {
            return;
        };
        let Some(progress) = new_progress(&open, term, TaskStatus::Unconfirmed(Time::ZERO)) else {
            return self.end_job(job, JobEnd::Failed).await;
        };
        self.progress.insert(job, progress);
        self.start_job(&open).await;
    }

    /// Runs an idempotent job; one that must not run twice is first noted as started.
    async fn start_job(&mut self, open: &OpenJob) {
        let job = open.accepted.job;
        if open.accepted.idempotent {
            return self.submit_unconfirmed(job).await;
        }
        let term = home_of(job)
            .and_then(|home| self.homes.get(&home))
            .map(|home| home.term);
        if let Some(term) = term {
            let now = self.now();
            self.commit.start(job, term, now);
        }
    }

    /// Runs a job whose start this instance has noted in its present term.
    async fn run_started(&mut self, job: JobId) {
        let home = home_of(job).and_then(|home| self.homes.get(&home));
        let started = self.jobs.open(job).and_then(|open| open.started);
        if home.is_some_and(|home| Some(home.term) == started) {
            self.submit_unconfirmed(job).await;
        }
    }

    /// Hands the tasks of which nobody knows to the scheduler.
    async fn submit_unconfirmed(&mut self, job: JobId) {
        let Some(progress) = self.progress.get_mut(&job) else {
            return;
        };
        let tasks = progress.tasks_where(|status| matches!(status, TaskStatus::Unconfirmed(_)));
        if tasks.is_empty() {
            return;
        }
        progress.set_status(&tasks, TaskStatus::Local);
        let Some(name) = JobName::read(job) else {
            return;
        };
        let run = RunTasks {
            name,
            spec: Arc::clone(&progress.spec),
            idempotent: progress.idempotent,
            base: progress.next_attempt_base(),
            tasks,
        };
        // A scheduler that has stopped runs nothing; the next owner of the home recovers the job.
        let _ = self.args.scheduler.tell(run).await;
    }

    pub(super) async fn apply_task_event(&mut self, event: TaskEvent) {
        let Some(name) = TaskName::read(event.task) else {
            return;
        };
        self.record_evidence(&name, event.phase);
        let expiry = self.run_expiry();
        let Some(progress) = self.progress.get_mut(&name.job.id) else {
            return;
        };
        let index = usize::try_from(name.index).unwrap_or(usize::MAX);
        let report = TaskReport {
            phase: event.phase,
            remote: event.remote,
            expiry,
        };
        progress.apply_report(index, report);
        let waiting = matches!(progress.tasks.get(index), Some(TaskStatus::Unconfirmed(at)) if *at > Time::ZERO);
        if waiting && event.phase == TaskPhase::Moved {
            self.wait_for_expiry(name.job.home, expiry);
        }
        let Some(progress) = self.progress.get_mut(&name.job.id) else {
            return;
        };
        let returned = progress.tasks.get(index) == Some(&TaskStatus::Unconfirmed(Time::ZERO));
        if returned {
            self.submit_unconfirmed(name.job.id).await;
        }
        let Some(progress) = self.progress.get(&name.job.id) else {
            return;
        };
        if let Some(end) = progress.end() {
            self.end_job(name.job.id, end).await;
        }
    }

    fn record_evidence(&mut self, name: &TaskName, phase: TaskPhase) {
        let now = self.now();
        let home = self
            .homes
            .get_mut(&name.job.home)
            .filter(|home| !home.recovered);
        if let Some(home) = home.filter(|_| phase == TaskPhase::Running) {
            home.recovery.note(name.job.id, Evidence::Running, now);
        }
    }

    pub(super) fn apply_delegation(&mut self, delegated: &TaskDelegated) {
        let Some(name) = TaskName::read(delegated.task) else {
            return;
        };
        if let Some(progress) = self.progress.get_mut(&name.job.id) {
            let index = usize::try_from(name.index).unwrap_or(usize::MAX);
            if progress.tasks.get(index) == Some(&TaskStatus::Local) {
                progress.set_status(&[name.index], TaskStatus::Delegated(delegated.to));
            }
        }
    }

    pub(super) async fn apply_refusal(&mut self, refused: &TasksRefused) {
        let why = refused.refusal.to_string();
        let fields = o!("job" => refused.job.to_string(), "why" => why);
        self.args.shared.log.write(EventId::JobRefused, fields);
        self.end_job(refused.job, JobEnd::Failed).await;
    }

    /// Ends a job: nothing more of it starts, and the end goes to the log.
    pub(super) async fn end_job(&mut self, job: JobId, end: JobEnd) {
        if self.ending.insert(job, end).is_some() {
            return;
        }
        if let Some(progress) = self.progress.get(&job) {
            self.final_states.push(progress.ended_status(end));
        }
        let now = self.now();
        self.commit.end(job, end, now);
        if end != JobEnd::Done {
            // A scheduler that has stopped runs nothing.
            let _ = self.args.scheduler.tell(CancelTasks(job)).await;
        }
    }

    /// Takes over the open jobs of homes that were gained, as soon as it is certain what runs.
    pub(super) async fn recover(&mut self) {
        let now = self.now();
        let pending = self.homes.iter().filter(|(_, home)| !home.recovered);
        for shard in pending.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            self.recover_home(shard, now).await;
        }
    }

    async fn recover_home(&mut self, shard: ShardId, now: Time) {
        let open: Vec<OpenJob> = self.jobs.of_home(shard).into_iter().cloned().collect();
        let Some(home) = self.homes.get_mut(&shard) else {
            return;
        };
        let expiry = home.recovery.deadline();
        let recovery = home.recovery.clone();
        let term = home.term;
        let mut waiting = false;
        for job in open {
            let id = job.accepted.job;
            let is_new = !self.progress.contains_key(&id) && !self.ending.contains_key(&id);
            let progress =
                new_progress(&job, term, TaskStatus::Unconfirmed(expiry)).filter(|_| is_new);
            if let Some(progress) = progress {
                self.progress.insert(id, progress);
            }
            waiting |= !self
                .recover_job(&job, recovery.step(&job, now), now, expiry)
                .await;
        }
        let ready = self.jobs.is_complete() && recovery.is_certain(now);
        if let Some(home) = self.homes.get_mut(&shard).filter(|_| ready && !waiting) {
            home.recovered = true;
        }
    }

    /// Takes one step of a recovery; returns whether the job needs no other.
    async fn recover_job(&mut self, open: &OpenJob, step: Step, now: Time, expiry: Time) -> bool {
        let job = open.accepted.job;
        let unconfirmed = self.progress.get(&job).is_some_and(|progress| {
            progress
                .tasks
                .iter()
                .any(|status| matches!(status, TaskStatus::Unconfirmed(_)))
        });
        if !unconfirmed {
            return true;
        }
        match step {
            Step::Wait => return false,
            Step::Adopt if now < expiry => return false,
            Step::Run => self.start_job(open).await,
            Step::Adopt if open.accepted.idempotent => self.start_job(open).await,
            Step::Adopt | Step::End(_) => self.mark_unconfirmed_unknown(job).await,
        }
        self.args
            .shared
            .log
            .write(EventId::JobsRecovered, o!("job" => job.to_string()));
        true
    }

    /// Leaves tasks that may have run, and must not run twice, to a person.
    async fn mark_unconfirmed_unknown(&mut self, job: JobId) {
        let Some(progress) = self.progress.get_mut(&job) else {
            return;
        };
        let unconfirmed =
            progress.tasks_where(|status| matches!(status, TaskStatus::Unconfirmed(_)));
        progress.set_status(&unconfirmed, TaskStatus::Unknown);
        if let Some(end) = progress.end() {
            self.end_job(job, end).await;
        }
    }

    /// Returns when a run of which nothing more is heard has certainly ended.
    fn run_expiry(&self) -> Time {
        self.now() + self.run_lifetime()
    }

    /// Looks over a home's jobs again until a time at which runs have certainly ended.
    fn wait_for_expiry(&mut self, shard: ShardId, expiry: Time) {
        if let Some(home) = self.homes.get_mut(&shard) {
            home.recovery = home.recovery.clone().with_lapse(expiry);
            home.recovered = false;
        }
    }

    /// Once a member is gone, counts tasks that it took as unseen, and those that ran elsewhere,
    /// since its workers' heirs have to say anew what runs.
    pub(super) fn reset_lost_runs(&mut self) {
        let ownership = self.args.shared.ownership.load_full();
        let known = std::mem::take(&mut self.members);
        self.members = ownership
            .members
            .iter()
            .map(|member| member.incarnation)
            .collect();
        let gone: Vec<Incarnation> = known
            .into_iter()
            .filter(|member| !self.members.contains(member))
            .collect();
        if gone.is_empty() {
            return;
        }
        // A task that was lent may start as late as its lender allowed.
        let expiry = self.run_expiry() + Span::from_secs(1);
        let mut shards = Vec::new();
        for (job, progress) in &mut self.progress {
            let lost = progress.tasks_where(|status| match status {
                TaskStatus::Delegated(to) => gone.contains(&to),
                TaskStatus::Remote => true,
                _ => false,
            });
            if !lost.is_empty() {
                progress.set_status(&lost, TaskStatus::Unconfirmed(expiry));
                shards.extend(home_of(*job));
            }
        }
        for shard in shards {
            self.wait_for_expiry(shard, expiry);
        }
    }

    /// Returns what an open job says of a task.
    pub(super) fn known_task(&self, task: TaskId) -> Option<KnownTask> {
        let open = self.jobs.open(TaskName::read(task)?.job.id)?;
        let spec = serde_json::from_slice(&open.accepted.spec).ok()?;
        Some(KnownTask {
            spec: Arc::new(spec),
            idempotent: open.accepted.idempotent,
        })
    }

    /// Returns the state of a job that is kept and not yet looked at here.
    pub(super) fn open_status(&self, job: JobId) -> Option<JobStatus> {
        let open = self.jobs.open(job)?;
        let term = kingcupwinch_coord::id::Term(0);
        Some(new_progress(open, term, TaskStatus::Unconfirmed(Time::ZERO))?.status())
    }
}

/// Makes the work of a kept job; none if its description can't be read.
fn new_progress(
    open: &OpenJob,
    term: kingcupwinch_coord::id::Term,
    status: TaskStatus,
) -> Option<JobProgress> {
    let accepted = &open.accepted;
    let spec = serde_json::from_slice(&accepted.spec).ok()?;
    Some(JobProgress::new(
        accepted.job,
        Arc::new(spec),
        accepted.idempotent,
        term,
        status,
    ))
}
