//! Seeing the jobs of a home shard through: starting, following, recovering and ending them.

use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, JobId, ShardId, TaskId};
use kingcupwinch_coord::jobs::{Change, Evidence, OpenJob, RecoveryStep};
use kingcupwinch_coord::record::JobEnd;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::api::JobStatus;
use kingcupwinch_wire::sibling::TaskPhase;
use slog::o;

use super::messages::{KnownTask, TaskEvent, TasksLent, TasksRefused};
use super::{JobKeeper, home_of};
use crate::actors::scheduler::{CancelTasks, RunTasks};
use crate::jobs::{JobName, News, TaskName, TaskPlace, Work};
use crate::logging::EventId;

impl JobKeeper {
    pub(super) async fn take_change(&mut self, change: Change) {
        for job in change.opened {
            if let Some(kept) = self.accepting.remove(&job) {
                self.args
                    .shared
                    .log
                    .write(EventId::JobAccepted, o!("job" => job.to_string()));
                // A caller that hung up can still ask for the job's state.
                let _ = kept.send(());
                self.begin(job).await;
            }
        }
        for job in change.started {
            self.run_if_cleared(job).await;
        }
        for (job, end) in change.ended {
            self.ending.remove(&job);
            self.work.remove(&job);
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
        let Some(work) = make_work(&open, term, TaskPlace::Unseen(Time::ZERO)) else {
            return self.end_job(job, JobEnd::Failed).await;
        };
        self.work.insert(job, work);
        self.clear_to_run(&open).await;
    }

    /// Runs an idempotent job; one that must not run twice is first noted as started.
    async fn clear_to_run(&mut self, open: &OpenJob) {
        let job = open.accepted.job;
        if open.accepted.idempotent {
            return self.run_unseen(job).await;
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
    async fn run_if_cleared(&mut self, job: JobId) {
        let home = home_of(job).and_then(|home| self.homes.get(&home));
        let started = self.jobs.open(job).and_then(|open| open.started);
        if home.is_some_and(|home| Some(home.term) == started) {
            self.run_unseen(job).await;
        }
    }

    /// Hands the tasks of which nobody knows to the scheduler.
    async fn run_unseen(&mut self, job: JobId) {
        let Some(work) = self.work.get_mut(&job) else {
            return;
        };
        let tasks = work.at(|place| matches!(place, TaskPlace::Unseen(_)));
        if tasks.is_empty() {
            return;
        }
        work.put(&tasks, TaskPlace::Here);
        let Some(name) = JobName::read(job) else {
            return;
        };
        let run = RunTasks {
            name,
            spec: Arc::clone(&work.spec),
            idempotent: work.idempotent,
            base: work.next_base(),
            tasks,
        };
        // A scheduler that has stopped runs nothing; the next owner of the home recovers the job.
        let _ = self.args.scheduler.tell(run).await;
    }

    pub(super) async fn take_task_event(&mut self, event: TaskEvent) {
        let Some(name) = TaskName::read(event.task) else {
            return;
        };
        self.note_evidence(&name, event.phase);
        let lapse = self.lapse();
        let Some(work) = self.work.get_mut(&name.job.id) else {
            return;
        };
        let index = usize::try_from(name.index).unwrap_or(usize::MAX);
        let news = News {
            phase: event.phase,
            remote: event.remote,
            lapse,
        };
        work.take_phase(index, news);
        let waits =
            matches!(work.tasks.get(index), Some(TaskPlace::Unseen(at)) if *at > Time::ZERO);
        if waits && event.phase == TaskPhase::Moved {
            self.wait_for_lapse(name.job.home, lapse);
        }
        let Some(work) = self.work.get_mut(&name.job.id) else {
            return;
        };
        let returned = work.tasks.get(index) == Some(&TaskPlace::Unseen(Time::ZERO));
        if returned {
            self.run_unseen(name.job.id).await;
        }
        let Some(work) = self.work.get(&name.job.id) else {
            return;
        };
        if let Some(end) = work.end() {
            self.end_job(name.job.id, end).await;
        }
    }

    fn note_evidence(&mut self, name: &TaskName, phase: TaskPhase) {
        let now = self.now();
        let home = self
            .homes
            .get_mut(&name.job.home)
            .filter(|home| !home.settled);
        if let Some(home) = home.filter(|_| phase == TaskPhase::Running) {
            home.recovery.note(name.job.id, Evidence::Running, now);
        }
    }

    pub(super) fn take_loan(&mut self, lent: &TasksLent) {
        let Some(name) = TaskName::read(lent.task) else {
            return;
        };
        if let Some(work) = self.work.get_mut(&name.job.id) {
            let index = usize::try_from(name.index).unwrap_or(usize::MAX);
            if work.tasks.get(index) == Some(&TaskPlace::Here) {
                work.put(&[name.index], TaskPlace::Lent(lent.to));
            }
        }
    }

    pub(super) async fn take_refusal(&mut self, refused: &TasksRefused) {
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
        if let Some(work) = self.work.get(&job) {
            self.finals.push(work.ended_status(end));
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
        let pending = self.homes.iter().filter(|(_, home)| !home.settled);
        for shard in pending.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            self.recover_home(shard, now).await;
        }
    }

    async fn recover_home(&mut self, shard: ShardId, now: Time) {
        let open: Vec<OpenJob> = self.jobs.in_shard(shard).into_iter().cloned().collect();
        let Some(home) = self.homes.get_mut(&shard) else {
            return;
        };
        let lapse = home.recovery.deadline();
        let recovery = home.recovery.clone();
        let term = home.term;
        let mut waits = false;
        for job in open {
            let id = job.accepted.job;
            let is_new = !self.work.contains_key(&id) && !self.ending.contains_key(&id);
            let work = make_work(&job, term, TaskPlace::Unseen(lapse)).filter(|_| is_new);
            if let Some(work) = work {
                self.work.insert(id, work);
            }
            waits |= !self
                .recover_job(&job, recovery.step(&job, now), now, lapse)
                .await;
        }
        let ready = self.jobs.is_complete() && recovery.is_certain(now);
        if let Some(home) = self.homes.get_mut(&shard).filter(|_| ready && !waits) {
            home.settled = true;
        }
    }

    /// Takes one step of a recovery; returns whether the job needs no other.
    async fn recover_job(
        &mut self,
        open: &OpenJob,
        step: RecoveryStep,
        now: Time,
        lapse: Time,
    ) -> bool {
        let job = open.accepted.job;
        let unseen = self.work.get(&job).is_some_and(|work| {
            work.tasks
                .iter()
                .any(|place| matches!(place, TaskPlace::Unseen(_)))
        });
        if !unseen {
            return true;
        }
        match step {
            RecoveryStep::Wait => return false,
            RecoveryStep::Adopt if now < lapse => return false,
            RecoveryStep::Run => self.clear_to_run(open).await,
            RecoveryStep::Adopt if open.accepted.idempotent => self.clear_to_run(open).await,
            RecoveryStep::Adopt | RecoveryStep::End(_) => self.give_up_unseen(job).await,
        }
        self.args
            .shared
            .log
            .write(EventId::JobsRecovered, o!("job" => job.to_string()));
        true
    }

    /// Leaves tasks that may have run, and must not run twice, to a person.
    async fn give_up_unseen(&mut self, job: JobId) {
        let Some(work) = self.work.get_mut(&job) else {
            return;
        };
        let unseen = work.at(|place| matches!(place, TaskPlace::Unseen(_)));
        work.put(&unseen, TaskPlace::Unknown);
        if let Some(end) = work.end() {
            self.end_job(job, end).await;
        }
    }

    /// Returns when a run of which nothing more is heard has certainly ended.
    fn lapse(&self) -> Time {
        self.now() + self.run_span()
    }

    /// Looks over a home's jobs again until a time at which runs have certainly ended.
    fn wait_for_lapse(&mut self, shard: ShardId, lapse: Time) {
        if let Some(home) = self.homes.get_mut(&shard) {
            home.recovery = home.recovery.clone().with_lapse(lapse);
            home.settled = false;
        }
    }

    /// Once a member is gone, counts tasks that it took as unseen, and those that ran elsewhere,
    /// since its workers' heirs have to say anew what runs.
    pub(super) fn find_lost_runs(&mut self) {
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
        let lapse = self.lapse() + Span::from_secs(1);
        let mut shards = Vec::new();
        for (job, work) in &mut self.work {
            let lost = work.at(|place| match place {
                TaskPlace::Lent(to) => gone.contains(&to),
                TaskPlace::Elsewhere => true,
                _ => false,
            });
            if !lost.is_empty() {
                work.put(&lost, TaskPlace::Unseen(lapse));
                shards.extend(home_of(*job));
            }
        }
        for shard in shards {
            self.wait_for_lapse(shard, lapse);
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
    pub(super) fn waiting_status(&self, job: JobId) -> Option<JobStatus> {
        let open = self.jobs.open(job)?;
        let term = kingcupwinch_coord::id::Term(0);
        Some(make_work(open, term, TaskPlace::Unseen(Time::ZERO))?.status())
    }
}

/// Makes the work of a kept job; none if its description can't be read.
fn make_work(open: &OpenJob, term: kingcupwinch_coord::id::Term, place: TaskPlace) -> Option<Work> {
    let accepted = &open.accepted;
    let spec = serde_json::from_slice(&accepted.spec).ok()?;
    Some(Work::new(
        accepted.job,
        Arc::new(spec),
        accepted.idempotent,
        term,
        place,
    ))
}
