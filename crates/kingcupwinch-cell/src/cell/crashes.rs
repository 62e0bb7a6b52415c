//! Crashes of workers, and the tasks that may have caused them.
//!
//! Every run that began shortly before its worker crashed is a suspect. Its task is cleared once a run
//! of it has survived. It is given up once its crashes can't be chance: each is weighed against how
//! often workers crashed at that time on which no suspect ran. While others crash a crash says little,
//! so that a task with several waits for a calm time, in which the next run tells.

use std::collections::VecDeque;
use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::Cell;
use crate::crash::{Crash, Evidence, Suspicion, TaskCrashes, UnweighedCrash};
use crate::event::{CellEvent, CrashCause};
use crate::id::TaskName;
use crate::job::{JobKey, JobState, TaskState};
use crate::run::{Run, RunKey, RunState};
use crate::worker::WorkerKey;

/// The age from which a run is not suspected of crashing its worker.
pub(super) const PROBATION_TIME: Span = Span::from_secs(10);
/// Workers whose last responses are no further apart than this may have crashed at once: a poll takes
/// up to a second.
const OUTAGE_SPREAD: Span = Span::from_millis(1_500);
/// How long a crash counts as recent, since workers that crashed at once don't come back at once.
const OUTAGE_MEMORY: Span = Span::from_secs(10);
/// How long a crash counts towards the rate at which workers crash.
const RATE_MEMORY: Span = Span::from_secs(60);
/// So many workers, and more than one in so many of their service, that crash at once are an outage.
const OUTAGE_WORKERS: usize = 3;
const OUTAGE_DIVISOR: usize = 10;
/// The age from which a run of a suspect shares its worker with others. Few tasks crash their workers
/// later, and after an outage there may be more suspects than workers.
const SETTLING_TIME: Span = Span::from_secs(3);
/// The weight of a crash against the tasks that ran beside one which was given up for it: it may not have
/// been alone.
const EXPLAINED_WEIGHT: u16 = 100;
/// The largest number of tasks that the event of a crash names.
const MAX_NAMED_TASKS: usize = 8;

/// A task that may have crashed a worker. A gang is named by its first task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Suspect {
    pub(super) job: JobKey,
    /// The slot of the step, and the index of the task.
    pub(super) step: usize,
    pub(super) index: usize,
}

/// The crash of a worker, and the runs of suspects that it counted against.
#[derive(Debug)]
pub(super) struct WorkerCrash {
    pub(super) worker: WorkerKey,
    pub(super) service: Arc<str>,
    pub(super) last_response: Time,
    noted_at: Time,
    pub(super) counted: SmallVec<[(Suspect, u32); 4]>,
    /// Whether one of these was given up.
    pub(super) is_explained: bool,
}

impl WorkerCrash {
    /// Returns whether the crash counts against a suspect.
    pub(super) fn counts_against(&self, suspect: Suspect) -> bool {
        self.run_of(suspect).is_some()
    }

    /// Returns the number of a suspect's run on the worker, if the crash counts against it.
    pub(super) fn run_of(&self, suspect: Suspect) -> Option<u32> {
        let mut counted = self.counted.iter();
        counted
            .find(|(counted, _)| *counted == suspect)
            .map(|(_, run)| *run)
    }
}

/// The tasks that crashes count against, and the last crashes.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    pub(super) suspects: FxHashSet<Suspect>,
    /// In the order in which they were noted.
    pub(super) crashes: VecDeque<WorkerCrash>,
}

impl CrashLog {
    /// Returns the recent crashes, the latest first.
    pub(super) fn recent(&self, now: Time) -> impl Iterator<Item = &WorkerCrash> {
        let crashes = self.crashes.iter().rev();
        crashes.take_while(move |crash| now <= crash.noted_at + OUTAGE_MEMORY)
    }
}

impl Cell {
    /// Counts the crash of a worker against the tasks of those of these runs that may have caused it.
    /// To be called before the worker's next response is noted.
    pub(super) fn note_crash(
        &mut self,
        key: WorkerKey,
        runs: &[RunKey],
        cause: CrashCause,
        now: Time,
    ) {
        let worker = &self.workers[key];
        if worker.is_leaving() {
            return;
        }
        let id = Arc::clone(&worker.registration.id);
        let suspects = self.suspects_on(key, worker.runs.iter());
        let counted = self.suspects_on(key, runs.iter());
        let counted = counted.into_iter().filter(|(suspect, _)| {
            let job = &self.jobs[suspect.job];
            let task = &job.steps[suspect.step].tasks[suspect.index];
            job.end.is_none() && task.state != TaskState::Done
        });
        let counted: SmallVec<[(Suspect, u32); 4]> = counted.collect();
        // The evidence against each is that of before the crash.
        let evidence: SmallVec<[Evidence; 4]> = counted
            .iter()
            .map(|(suspect, _)| match cause {
                // The worker may have been cut off.
                CrashCause::LeaseExpired => Evidence::Shared,
                _ => self.evidence(*suspect, &suspects),
            })
            .collect();
        let worker = &self.workers[key];
        let last_response = worker.response_age(now).map_or(now, |age| now - age);
        let ended_by = worker.silent_from.unwrap_or(now);
        for ((suspect, run), evidence) in counted.iter().zip(&evidence) {
            let crash = Crash {
                run: *run,
                worker: Arc::clone(&id),
                evidence: *evidence,
                weight: None,
            };
            let of_run = |other: &&RunKey| {
                let other = &self.runs[**other];
                other.number == *run && self.suspect(other) == *suspect
            };
            let started_at = runs
                .iter()
                .find(of_run)
                .map(|run| self.runs[*run].started_at);
            let unweighed = UnweighedCrash {
                run: *run,
                at: last_response,
                age: last_response.since(started_at.unwrap_or(last_response)),
                ended_by,
                worker: key,
                is_shared: *evidence == Evidence::Shared,
            };
            self.count_crash(*suspect, crash, unweighed, now);
        }
        let outage = self.note_outage(key, &counted, now);
        if counted.is_empty() {
            return;
        }
        self.counters.crashes += 1;
        let is_clear = outage == 0 && evidence.contains(&Evidence::Clear);
        let tasks = counted.iter().take(MAX_NAMED_TASKS);
        let tasks = tasks.map(|(suspect, _)| self.suspect_name(*suspect));
        self.events.push(CellEvent::WorkerCrashed {
            worker: id,
            cause,
            suspects: counted.len(),
            tasks: tasks.collect(),
            is_clear,
            outage,
        });
    }

    /// Returns the suspects among runs on a worker, and the numbers of their runs.
    fn suspects_on<'a>(
        &self,
        key: WorkerKey,
        runs: impl Iterator<Item = &'a RunKey>,
    ) -> SmallVec<[(Suspect, u32); 4]> {
        let last_response = self.workers[key].last_response;
        let mut suspects: SmallVec<[(Suspect, u32); 4]> = SmallVec::new();
        for run in runs.map(|run| &self.runs[*run]) {
            let is_ordered = !matches!(run.state, RunState::Planned | RunState::Withdrawn);
            let row = (self.suspect(run), run.number);
            let is_young = last_response.since(run.started_at) < PROBATION_TIME;
            if is_ordered && is_young && !suspects.contains(&row) {
                suspects.push(row);
            }
        }
        suspects.sort_by_key(|(suspect, run)| (self.suspect_name(*suspect), *run));
        suspects
    }

    fn suspect(&self, run: &Run) -> Suspect {
        let job = &self.jobs[run.job];
        let step = job.slot(run.name);
        self.suspect_of(run.job, step, usize::from(run.name.index))
    }

    pub(super) fn suspect_of(&self, job: JobKey, step: usize, index: usize) -> Suspect {
        let is_gang = self.jobs[job].step_spec(step).gang;
        Suspect {
            job,
            step,
            index: if is_gang { 0 } else { index },
        }
    }

    fn suspect_name(&self, suspect: Suspect) -> TaskName {
        self.jobs[suspect.job].task_name(suspect.step, suspect.index)
    }

    fn suspicion_of(&self, suspect: Suspect) -> Suspicion {
        let job = &self.jobs[suspect.job];
        job.steps[suspect.step].tasks[suspect.index]
            .crashes
            .suspicion()
    }

    /// Returns how likely a task is to crash its worker.
    pub(crate) fn suspicion(&self, job: JobKey, (step, index): (usize, usize)) -> Suspicion {
        self.suspicion_of(self.suspect_of(job, step, index))
    }

    /// Returns how strongly the crash of a worker points to one of the suspects on it.
    fn evidence(&self, suspect: Suspect, suspects: &[(Suspect, u32)]) -> Evidence {
        let mut others = suspects.iter().filter(|(other, _)| *other != suspect);
        let is_only = others.clone().count() == 0;
        // One weak crash makes no task suspicious by itself, but it may be its second.
        let has_crashes = |(other, _): &(Suspect, u32)| {
            let task = &self.jobs[other.job].steps[other.step].tasks[other.index];
            !task.crashes.is_empty()
        };
        let is_known = self.suspicion_of(suspect) > Suspicion::None;
        let is_only_known = is_known && !others.any(has_crashes);
        if is_only || is_only_known {
            Evidence::Clear
        } else {
            Evidence::Shared
        }
    }

    fn count_crash(
        &mut self,
        suspect: Suspect,
        crash: Crash,
        unweighed: UnweighedCrash,
        now: Time,
    ) {
        let job = &mut self.jobs[suspect.job];
        let task = &mut job.steps[suspect.step].tasks[suspect.index];
        task.crashes.add(crash, unweighed, now);
        if task.crashes.is_on_trial() {
            task.not_before = task.not_before.max(task.crashes.verdict_at());
        }
        self.dirty.insert(suspect.job);
        self.crash_log.suspects.insert(suspect);
    }

    /// Remembers the crash of a worker. If many workers of its service crashed at once, none of these
    /// crashes points to a task. Returns the number of such workers, or zero.
    fn note_outage(&mut self, key: WorkerKey, counted: &[(Suspect, u32)], now: Time) -> usize {
        let worker = &self.workers[key];
        let last_response = worker.response_age(now).map_or(now, |age| now - age);
        let service = Arc::clone(&worker.registration.service);
        let peers = self.workers.values();
        let peers = peers.filter(|peer| peer.registration.service == service);
        let peers = peers.count();
        let crashes = &mut self.crash_log.crashes;
        while crashes
            .front()
            .is_some_and(|crash| crash.noted_at + RATE_MEMORY < now)
        {
            crashes.pop_front();
        }
        let is_same =
            |crash: &&mut WorkerCrash| crash.worker == key && crash.last_response == last_response;
        match crashes.iter_mut().find(is_same) {
            Some(crash) => crash.counted.extend_from_slice(counted),
            None => crashes.push_back(WorkerCrash {
                worker: key,
                service: Arc::clone(&service),
                last_response,
                noted_at: now,
                counted: counted.into(),
                is_explained: false,
            }),
        }
        let is_together = |crash: &&WorkerCrash| {
            crash.service == service && crash.last_response.distance(last_response) <= OUTAGE_SPREAD
        };
        let together = || crashes.iter().filter(is_together);
        let workers: FxHashSet<WorkerKey> = together().map(|crash| crash.worker).collect();
        let crashed = workers.len();
        if crashed < OUTAGE_WORKERS || crashed * OUTAGE_DIVISOR <= peers {
            return 0;
        }
        let counted = together().flat_map(|crash| &crash.counted);
        let counted = counted.copied().collect();
        self.weaken_crashes(counted);
        crashed
    }

    /// Lowers the evidence of crashes under these runs.
    fn weaken_crashes(&mut self, counted: Vec<(Suspect, u32)>) {
        for (suspect, run) in counted {
            if let Some(job) = self.jobs.get_mut(suspect.job) {
                let task = &mut job.steps[suspect.step].tasks[suspect.index];
                if task.crashes.weaken(run) {
                    self.dirty.insert(suspect.job);
                }
            }
        }
    }

    /// Notes the crashes that an earlier owner counted against the tasks of a job.
    pub(super) fn restore_suspects(&mut self, key: JobKey) {
        for (step, state) in self.jobs[key].steps.iter().enumerate() {
            for (index, task) in state.tasks.begun() {
                if !task.crashes.is_empty() {
                    let suspect = Suspect {
                        job: key,
                        step,
                        index,
                    };
                    self.crash_log.suspects.insert(suspect);
                }
            }
        }
    }

    /// Withdraws the crash under a run that its worker lists as ended: it has not crashed since. A
    /// listed member of a gang says nothing about the workers of the others.
    pub(super) fn withdraw_crash(&mut self, name: TaskName, run: u32) {
        let Some(&key) = self.jobs_by_id.get(&name.job) else {
            return;
        };
        let job = &mut self.jobs[key];
        let (step, index) = (job.slot(name), usize::from(name.index));
        if !job.has_task(step, index) || job.step_spec(step).gang {
            return;
        }
        if job.steps[step].tasks[index].crashes.withdraw(run) {
            self.dirty.insert(key);
        }
    }

    /// Clears the tasks that survived, and ends the jobs of those that enough crashes point to.
    pub(crate) fn judge_suspects(&mut self, now: Time) {
        let suspects = std::mem::take(&mut self.crash_log.suspects);
        let mut to_weigh: SmallVec<[Suspect; 4]> = SmallVec::new();
        for suspect in suspects {
            let Some(job) = self.jobs.get(suspect.job) else {
                continue;
            };
            let task = &job.steps[suspect.step].tasks[suspect.index];
            if job.end.is_some() || task.state == TaskState::Done || task.crashes.is_empty() {
                continue;
            }
            if self.has_survived(suspect) {
                self.clear_crashes(suspect);
                continue;
            }
            if task.crashes.verdict_at() <= now {
                to_weigh.push(suspect);
            }
            self.crash_log.suspects.insert(suspect);
        }
        for suspect in to_weigh {
            if self.jobs[suspect.job].end.is_none() {
                self.judge(suspect, now);
            }
        }
    }

    /// Returns the crashes that count against a suspect, unless its job was removed.
    pub(super) fn crashes_of(&self, suspect: Suspect) -> Option<&TaskCrashes> {
        let job = self.jobs.get(suspect.job)?;
        Some(&job.steps[suspect.step].tasks[suspect.index].crashes)
    }

    /// Returns how many tasks a suspect stands for.
    pub(super) fn members(&self, suspect: Suspect) -> usize {
        let job = &self.jobs[suspect.job];
        if job.step_spec(suspect.step).gang {
            job.steps[suspect.step].tasks.len()
        } else {
            1
        }
    }

    /// Returns the unsettled runs of a suspect.
    pub(super) fn suspect_runs(&self, suspect: Suspect) -> impl Iterator<Item = &Run> {
        let runs = self.job_runs(suspect.job);
        runs.filter(move |run| self.suspect(run) == suspect)
    }

    /// Returns whether all runs of a suspect were active for long enough when their workers last
    /// responded. Those of an incomplete gang show nothing about the other members.
    fn has_survived(&self, suspect: Suspect) -> bool {
        let has_survived = |run: &Run| {
            let last_response = self.workers[run.worker].last_response;
            run.state == RunState::Running && last_response.since(run.started_at) >= PROBATION_TIME
        };
        let members = self.members(suspect);
        self.suspect_runs(suspect)
            .filter(|run| has_survived(run))
            .count()
            >= members
            && self.suspect_runs(suspect).all(has_survived)
    }

    fn clear_crashes(&mut self, suspect: Suspect) {
        let job = &mut self.jobs[suspect.job];
        job.steps[suspect.step].tasks[suspect.index].crashes.clear();
        self.dirty.insert(suspect.job);
    }

    pub(super) fn give_up(&mut self, suspect: Suspect, now: Time) {
        let task = &self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index];
        let crashes = task.crashes.as_slice().to_vec();
        self.explain_crashes(suspect, now);
        let task = self.suspect_name(suspect);
        self.events.push(CellEvent::TaskGivenUp { task, crashes });
        self.counters.tasks_given_up += 1;
        self.end_job(suspect.job, JobState::Failed);
    }

    /// Lowers the evidence against the tasks that ran on the workers that a task has certainly crashed.
    /// These crashes still count, so that the starts of a task that crashes workers too stay limited.
    fn explain_crashes(&mut self, cause: Suspect, now: Time) {
        for crash in &mut self.crash_log.crashes {
            crash.is_explained |= crash.counts_against(cause);
        }
        let explained = self.crash_log.recent(now);
        let explained = explained.filter(|crash| crash.is_explained);
        let explained = explained.flat_map(|crash| &crash.counted);
        let others = explained.filter(|(suspect, _)| *suspect != cause);
        let others: Vec<(Suspect, u32)> = others.copied().collect();
        for (suspect, run) in &others {
            if let Some(job) = self.jobs.get_mut(suspect.job) {
                let task = &mut job.steps[suspect.step].tasks[suspect.index];
                task.crashes.weigh(*run, EXPLAINED_WEIGHT);
            }
        }
        self.weaken_crashes(others);
    }

    /// Returns the workers of the unsettled runs of suspects, and how likely these are to crash them.
    pub(crate) fn suspect_workers(&self) -> SmallVec<[(WorkerKey, Suspicion); 8]> {
        let mut workers = SmallVec::new();
        for suspect in &self.crash_log.suspects {
            let suspicion = self.suspicion_of(*suspect);
            if suspicion > Suspicion::None {
                let runs = self.suspect_runs(*suspect);
                workers.extend(runs.map(|run| {
                    let last_response = self.workers[run.worker].last_response;
                    let is_settled = run.state == RunState::Running
                        && last_response.since(run.started_at) >= SETTLING_TIME;
                    let suspicion = if is_settled {
                        suspicion.min(Suspicion::Single)
                    } else {
                        suspicion
                    };
                    (run.worker, suspicion)
                }));
            }
        }
        workers
    }
}
