//! The life cycle of jobs at their home shard: starting, tracking, recovering and ending them.

use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, JobId, ShardId, TaskId};
use kingcupwinch_coord::jobs::{Change, Evidence, OpenJob, RecoveryStep};
use kingcupwinch_coord::record::{JobEnd, TaskCrashes};
use kingcupwinch_policy::Crashes;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::JobStatus;
use kingcupwinch_wire::sibling::TaskPhase;
use slog::o;

use super::messages::{KnownTask, TaskDelegated, TaskEvent, TasksRefused};
use super::{JobManager, home_of};
use crate::actors::scheduler::{CancelTasks, RunTasks};
use crate::jobs::{JobIdParts, JobProgress, TaskIdParts, TaskReport, TaskStatus};
use crate::logging::EventId;

impl JobManager {
    pub(super) async fn apply_change(&mut self, change: Change) {
        for job in change.opened {
            self.open_job(job).await;
        }
        for job in change.started {
            self.run_started(job).await;
        }
        for (job, end) in change.ended {
            let decided_here = self.ending.remove(&job).is_some();
            let progress = self.progress.remove(&job);
            // The scheduler may have tasks of a job that another instance has ended.
            if !decided_here && (progress.is_some() || end != JobEnd::Done) {
                // A stopped scheduler runs nothing.
                let _ = self.args.scheduler.tell(CancelTasks(job)).await;
            }
            if let Some(progress) = progress {
                self.final_states.push(progress.ended_status(end));
            }
            for recorded in self.cancelling.remove(&job).unwrap_or_default() {
                // A caller that has disconnected needs no signal.
                let _ = recorded.send(());
            }
            let fields = o!("job" => job.to_string(), "end" => format!("{end:?}"));
            self.args.shared.log.write(EventId::JobEnded, fields);
        }
    }

    /// Begins a job that was accepted here under the current ownership of its home shard. Any other
    /// job was accepted by an earlier owner and is recovered, however late its record is read.
    async fn open_job(&mut self, job: JobId) {
        let accepted = self.accepting.remove(&job).map(|accepting| {
            let fields = o!("job" => job.to_string());
            self.args.shared.log.write(EventId::JobAccepted, fields);
            // A caller that has disconnected can still query the job's state.
            let _ = accepting.persisted.send(());
            accepting.term
        });
        let Some(shard) = home_of(job) else { return };
        let Some(home) = self.homes.get(&shard) else {
            return;
        };
        if accepted == Some(home.first_term) {
            self.begin(job).await;
        } else if home.recovered {
            self.wait_for_expiry(shard, self.run_expiry());
        }
    }

    /// Starts tracking a job that this instance accepted and has read back from the log.
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

    /// Submits an idempotent job at once. A job that must not run twice first gets a start record
    /// on the log.
    async fn start_job(&mut self, open: &OpenJob) {
        let job = open.accepted.job;
        if open.accepted.idempotent {
            return self.submit(job).await;
        }
        let term = home_of(job)
            .and_then(|home| self.homes.get(&home))
            .map(|home| home.term);
        if let Some(term) = term {
            let now = self.now();
            self.commit.start(job, term, now);
        }
    }

    /// Submits a job whose start record carries a term of this instance's current ownership. The
    /// term may have been renewed since the record was appended.
    async fn run_started(&mut self, job: JobId) {
        let home = home_of(job).and_then(|home| self.homes.get(&home));
        let started = self.jobs.open(job).and_then(|open| open.started);
        if home.is_some_and(|home| started >= Some(home.first_term)) {
            self.submit(job).await;
        }
    }

    /// Submits to the scheduler the tasks of a job that certainly do not run, unless the job's end
    /// is on its way to the log.
    async fn submit(&mut self, job: JobId) {
        if self.ending.contains_key(&job) {
            return;
        }
        let now = self.now();
        let Some(progress) = self.progress.get_mut(&job) else {
            return;
        };
        let tasks = progress.submittable(now);
        if tasks.is_empty() {
            return;
        }
        progress.set_status(&tasks, TaskStatus::Local);
        let Some(parts) = JobIdParts::parse(job) else {
            return;
        };
        let base = progress.next_attempt_base(&tasks);
        let crashed = progress.count_vanished(&tasks, base);
        let run = RunTasks {
            parts,
            spec: Arc::clone(&progress.spec),
            idempotent: progress.idempotent,
            base,
            crashes: tasks.iter().map(|i| progress.crashes_of(*i)).collect(),
            tasks,
        };
        for task in crashed {
            self.commit.crash(job, task, now);
        }
        // A stopped scheduler runs nothing; the next owner of the home shard recovers the job.
        let _ = self.args.scheduler.tell(run).await;
    }

    pub(super) async fn apply_task_event(&mut self, event: TaskEvent) {
        let Some(parts) = TaskIdParts::parse(event.task) else {
            return;
        };
        self.record_evidence(&parts, event.phase);
        let now = self.now();
        let expiry = self.run_expiry();
        let Some(progress) = self.progress.get_mut(&parts.job.id) else {
            return;
        };
        let index = usize::try_from(parts.index).unwrap_or(usize::MAX);
        let report = TaskReport {
            attempt: event.attempt,
            phase: event.phase,
            from: event.from,
            expiry,
        };
        if let Some(count) = event.crashes.filter(|c| progress.record_crashes(index, *c)) {
            let crashes = TaskCrashes {
                index: parts.index,
                count,
            };
            self.commit.crash(parts.job.id, crashes, now);
        }
        progress.apply_report(index, report);
        let waiting = matches!(progress.tasks.get(index), Some(TaskStatus::Unconfirmed(at)) if *at > Time::ZERO);
        if waiting && event.phase == TaskPhase::Moved {
            self.wait_for_expiry(parts.job.home, expiry);
        }
        let Some(progress) = self.progress.get_mut(&parts.job.id) else {
            return;
        };
        let returned = progress.tasks.get(index) == Some(&TaskStatus::Unconfirmed(Time::ZERO));
        if returned {
            self.submit(parts.job.id).await;
        }
        let Some(progress) = self.progress.get(&parts.job.id) else {
            return;
        };
        if let Some(end) = progress.end() {
            self.end_job(parts.job.id, end).await;
        }
    }

    fn record_evidence(&mut self, parts: &TaskIdParts, phase: TaskPhase) {
        let now = self.now();
        let home = self
            .homes
            .get_mut(&parts.job.home)
            .filter(|home| !home.recovered);
        if let Some(home) = home.filter(|_| phase == TaskPhase::Running) {
            home.recovery
                .record_evidence(parts.job.id, Evidence::Running, now);
        }
    }

    pub(super) fn apply_delegation(&mut self, delegated: &TaskDelegated) {
        let Some(parts) = TaskIdParts::parse(delegated.task) else {
            return;
        };
        if let Some(progress) = self.progress.get_mut(&parts.job.id) {
            let index = usize::try_from(parts.index).unwrap_or(usize::MAX);
            if progress.tasks.get(index) == Some(&TaskStatus::Local) {
                progress.set_status(&[parts.index], TaskStatus::Delegated(delegated.to));
            }
        }
    }

    pub(super) async fn apply_refusal(&mut self, refused: &TasksRefused) {
        let reason = refused.refusal.to_string();
        let fields = o!("job" => refused.job.to_string(), "why" => reason);
        self.args.shared.log.write(EventId::JobRefused, fields);
        self.end_job(refused.job, JobEnd::Failed).await;
    }

    /// Ends a job: no further task starts, and the end is appended to the log.
    pub(super) async fn end_job(&mut self, job: JobId, end: JobEnd) {
        if self.ending.insert(job, end).is_some() {
            return;
        }
        let now = self.now();
        self.commit.end(job, end, now);
        if end != JobEnd::Done {
            // A stopped scheduler runs nothing.
            let _ = self.args.scheduler.tell(CancelTasks(job)).await;
        }
    }

    /// Recovers the open jobs of newly owned home shards once it is certain which of their tasks
    /// run.
    pub(super) async fn recover(&mut self) {
        let now = self.now();
        let pending = self.homes.iter().filter(|(_, home)| !home.recovered);
        for shard in pending.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            self.recover_home(shard, now).await;
        }
    }

    async fn recover_home(&mut self, shard: ShardId, now: Time) {
        let open: Vec<OpenJob> = self.jobs.in_shard(shard).into_iter().cloned().collect();
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
        let ready = self.jobs.is_complete() && recovery.knows_all_jobs(now);
        if let Some(home) = self.homes.get_mut(&shard).filter(|_| ready && !waiting) {
            home.recovered = true;
        }
    }

    /// Performs one recovery step and returns whether the job needs no other.
    async fn recover_job(
        &mut self,
        open: &OpenJob,
        step: RecoveryStep,
        now: Time,
        expiry: Time,
    ) -> bool {
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
            RecoveryStep::Wait => return false,
            RecoveryStep::Adopt if now < expiry => return false,
            RecoveryStep::Run => {
                if let Some(progress) = self.progress.get_mut(&job) {
                    progress.record_not_running();
                }
                self.start_job(open).await;
            }
            RecoveryStep::Adopt if open.accepted.idempotent => self.start_job(open).await,
            RecoveryStep::Adopt | RecoveryStep::End(_) => self.mark_unconfirmed_unknown(job).await,
        }
        self.args
            .shared
            .log
            .write(EventId::JobsRecovered, o!("job" => job.to_string()));
        true
    }

    /// Marks unconfirmed tasks of a non-idempotent job as unknown: they may have run, so an
    /// operator has to decide.
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

    /// Returns the time by which a run with no further reports has certainly ended.
    fn run_expiry(&self) -> Time {
        self.now() + self.run_lifetime()
    }

    /// Re-runs the recovery of a home shard until `expiry`, when unreported runs have certainly
    /// ended.
    fn wait_for_expiry(&mut self, shard: ShardId, expiry: Time) {
        if let Some(home) = self.homes.get_mut(&shard) {
            home.recovery = home.recovery.clone().with_lease_expiry(expiry);
            home.recovered = false;
        }
    }

    /// Resets the tasks of members that have left the group to unconfirmed, along with every task
    /// that runs on a sibling's worker, since the new owners of those workers have to report again
    /// what runs.
    pub(super) fn reset_lost_runs(&mut self) {
        let ownership = self.args.shared.ownership.load_full();
        let known = std::mem::take(&mut self.members);
        self.members = ownership
            .members
            .iter()
            .map(|member| member.incarnation)
            .collect();
        let departed: Vec<Incarnation> = known
            .into_iter()
            .filter(|member| !self.members.contains(member))
            .collect();
        if departed.is_empty() {
            return;
        }
        // A delegated task may start as late as the delegating instance allowed.
        let expiry = self.run_expiry() + Span::from_secs(1);
        let mut shards = Vec::new();
        for (job, progress) in &mut self.progress {
            let lost = progress.tasks_where(|status| match status {
                TaskStatus::Delegated(to) => departed.contains(&to),
                TaskStatus::Remote(_) => true,
                _ => false,
            });
            if !lost.is_empty() {
                progress.mark_vanished(&lost);
                progress.set_status(&lost, TaskStatus::Unconfirmed(expiry));
                shards.extend(home_of(*job));
            }
        }
        for shard in shards {
            self.wait_for_expiry(shard, expiry);
        }
    }

    /// Returns what an open job says about one of its tasks, or `None` if the job is not open.
    pub(super) fn known_task(&self, task: TaskId) -> Option<KnownTask> {
        let parts = TaskIdParts::parse(task)?;
        let open = self.jobs.open(parts.job.id)?;
        let recorded = open.crashes.iter().find(|c| c.index == parts.index);
        let spec = serde_json::from_slice(&open.accepted.spec).ok()?;
        Some(KnownTask {
            spec: Arc::new(spec),
            idempotent: open.accepted.idempotent,
            crashes: recorded.map_or(Crashes::NONE, |c| {
                Crashes::new(c.count.total, c.count.clear)
            }),
        })
    }

    /// Returns the state of an open job whose progress is not tracked here yet.
    pub(super) fn open_status(&self, job: JobId) -> Option<JobStatus> {
        let open = self.jobs.open(job)?;
        let term = kingcupwinch_coord::id::Term(0);
        Some(new_progress(open, term, TaskStatus::Unconfirmed(Time::ZERO))?.status())
    }
}

/// Builds the progress of a persisted job, or `None` if its description can't be decoded.
fn new_progress(
    open: &OpenJob,
    term: kingcupwinch_coord::id::Term,
    status: TaskStatus,
) -> Option<JobProgress> {
    let accepted = &open.accepted;
    let spec = serde_json::from_slice(&accepted.spec).ok()?;
    let progress = JobProgress::new(
        accepted.job,
        Arc::new(spec),
        accepted.idempotent,
        term,
        status,
    );
    Some(progress.with_crashes(&open.crashes))
}
