//! Runs of tasks, from the result of the start request to the end, and the reports to their home
//! shards.

use std::sync::Arc;

use kingcupwinch_coord::id::{Attempt, Incarnation, TaskId};
use kingcupwinch_coord::record::CrashCount;
use kingcupwinch_policy::{
    CellError, Disposition, Exit, MachineKey, NotStarted, Outcome, Placement, Refusal, TaskKey,
};
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::sibling::{TaskPhase, TaskState};
use kingcupwinch_wire::worker::{EndedWork, WorkOutcome};
use slog::o;

use super::control::{StartEnd, report_state};
use super::tasks::TaskRun;
use super::{Scheduler, UsageReported};
use crate::actors::jobs::TaskEvent;
use crate::jobs::TaskIdParts;
use crate::logging::EventId;

/// Time for which a started task may be missing from usage reports before it counts as lost.
const MISSING_GRACE: Span = Span::from_secs(2);

impl Scheduler {
    /// Applies the result of a start request.
    pub(super) fn apply_start(&mut self, place: Placement, end: StartEnd) {
        let now = self.now();
        match end {
            StartEnd::Started => {
                if let Some(run) = self.run_of(place) {
                    run.confirmed = Some(now);
                    run.acknowledged = true;
                    self.notify_phase(place.task, TaskPhase::Running);
                }
            }
            // Usage reports will show whether the task runs.
            StartEnd::Unconfirmed => {
                if let Some(run) = self.run_of(place) {
                    run.confirmed = Some(now);
                }
            }
            StartEnd::NotStarted(reason) => self.apply_not_started(place, reason, now),
        }
    }

    fn run_of(&mut self, place: Placement) -> Option<&mut TaskRun> {
        let run = self.tasks.get_mut(&place.task)?.run.as_mut()?;
        (run.place == place).then_some(run)
    }

    fn apply_not_started(&mut self, place: Placement, reason: NotStarted, now: Time) {
        self.handle_refusal(place, reason);
        let next = self.cell.not_started(place, reason, now);
        self.after_run(place, next, None);
    }

    /// Applies the ends listed in a usage report. Ends of tasks that are not known here are passed
    /// on to their home shards.
    pub(super) fn apply_ended(&mut self, name: &Arc<str>, ended: &[EndedWork], now: Time) {
        for work in ended {
            let id = TaskId(work.task);
            let known = self.task_keys.get(&id).copied();
            let run = known
                .and_then(|key| self.tasks.get(&key))
                .and_then(|entry| {
                    let run = entry.run?;
                    (entry.attempt(run.place) == work.attempt).then_some(run)
                });
            match (run, known) {
                (Some(run), _) => self.end_run(run, work, now),
                (None, None) => {
                    let owned = self.workers.get_mut(name);
                    if let Some(ends) = owned.and_then(|owned| owned.ended_in_lookup.as_mut()) {
                        ends.push((work.task, work.attempt));
                    }
                    let phase = outcome_phase(work.outcome);
                    self.notify_home_of(TaskState {
                        task: id,
                        attempt: Attempt(work.attempt),
                        phase,
                        crashes: None,
                    });
                }
                // The end belongs to an earlier attempt.
                (None, Some(_)) => {
                    self.shared.metrics.late_answers.inc();
                }
            }
        }
    }

    fn end_run(&mut self, run: TaskRun, work: &EndedWork, now: Time) {
        let outcome = match work.outcome {
            WorkOutcome::Done => Outcome::Done,
            WorkOutcome::Failed => Outcome::Failed,
            WorkOutcome::Stopped if run.checkpointed => Outcome::Checkpointed,
            WorkOutcome::Stopped => Outcome::Stopped,
            // The worker ended the run itself, so it has not crashed.
            WorkOutcome::Expired => Outcome::Stopped,
        };
        let next = self.cell.ended(
            run.place,
            Exit::new(outcome, Span::from_millis(work.run_ms)),
            now,
        );
        self.after_run(run.place, next, Some(outcome));
    }

    /// Ends a run whose end no worker reports: it was lost, or crashed with its worker.
    fn end_unreported(&mut self, place: Placement, outcome: Outcome, now: Time) {
        let next = self.cell.ended(place, Exit::new(outcome, Span::ZERO), now);
        self.after_run(place, next, Some(outcome));
    }

    fn after_run(
        &mut self,
        place: Placement,
        next: Result<Disposition, CellError>,
        outcome: Option<Outcome>,
    ) {
        match next {
            Ok(Disposition::Requeued) => self.clear_run(place),
            Ok(Disposition::Left) => {
                let phase = match outcome {
                    Some(Outcome::Done) => TaskPhase::Done,
                    Some(Outcome::Failed) => TaskPhase::Failed,
                    Some(_) => TaskPhase::Unknown,
                    None => TaskPhase::NotRun,
                };
                self.finish_task(place.task, phase);
            }
            Ok(Disposition::GaveUp(refusal)) => self.give_up_task(place.task, refusal),
            Err(error) => self.log_policy_error("task end", error),
        }
    }

    /// Clears the run of a task that was queued again, and reports to its home if the crashes
    /// counted for it have changed.
    fn clear_run(&mut self, place: Placement) {
        let crashes = self.cell.crashes(place.task).unwrap_or_default();
        let Some(entry) = self.tasks.get_mut(&place.task) else {
            return;
        };
        entry.run = None;
        if entry.crashes == crashes {
            return;
        }
        entry.crashes = crashes;
        let count = CrashCount {
            attempt: Attempt(entry.attempt(place)),
            total: crashes.total,
            clear: crashes.clear,
        };
        let state = TaskState {
            task: entry.id,
            attempt: Attempt(0),
            phase: TaskPhase::Waiting,
            crashes: Some(count),
        };
        self.notify_home_of(state);
    }

    fn finish_task(&mut self, key: TaskKey, phase: TaskPhase) {
        if let Some(entry) = self.remove_task(key) {
            self.notify_home(entry.id, phase);
        }
    }

    /// Reports a task that the policy gave up as failed, and logs the reason.
    pub(super) fn give_up_task(&mut self, key: TaskKey, refusal: Refusal) {
        let Some(entry) = self.remove_task(key) else {
            return;
        };
        let fields = o!("task" => entry.id.to_string(), "why" => refusal.to_string());
        self.shared.log.write(EventId::TaskGivenUp, fields);
        self.notify_home(entry.id, TaskPhase::Failed);
    }

    /// Notes a restart of the worker, which numbers its reports anew, and the runs that it confirms.
    pub(super) fn note_restart(&mut self, reported: &UsageReported) {
        let now = self.now();
        if let Some(owned) = self.workers.get_mut(&reported.name) {
            if reported.usage.seq < owned.last_seq {
                owned.restarted = Some(now);
            }
            owned.last_seq = reported.usage.seq;
        }
        for work in &reported.usage.running {
            let key = self.task_keys.get(&TaskId(work.task));
            let Some(entry) = key.and_then(|key| self.tasks.get_mut(key)) else {
                continue;
            };
            if let Some(mut run) = entry.run.filter(|r| entry.attempt(r.place) == work.attempt) {
                run.acknowledged = true;
                entry.run = Some(run);
            }
        }
    }

    /// Ends the runs that a worker no longer reports. A worker that had confirmed a run, and lists
    /// neither the run nor its end, has restarted.
    pub(super) fn mark_missing_lost(
        &mut self,
        name: &Arc<str>,
        running: &[TaskId],
        taken: Time,
        now: Time,
    ) {
        let Some(machine) = self.workers.get(name).map(|owned| owned.machine) else {
            return;
        };
        let entries = self
            .tasks
            .values()
            .filter_map(|entry| Some((entry, entry.run?)));
        let missing = entries.filter(|(entry, run)| {
            let overdue = run.confirmed.is_some_and(|at| taken >= at + MISSING_GRACE);
            run.place.machine == machine && overdue && !running.contains(&entry.id)
        });
        let missing: Vec<TaskRun> = missing.map(|(_, run)| run).collect();
        let restarted = self.workers.get(name).and_then(|owned| owned.restarted);
        let has_crashed = |run: &TaskRun| run.acknowledged || run.confirmed <= restarted;
        let (crashed, lost): (Vec<_>, Vec<_>) = missing.into_iter().partition(has_crashed);
        if !crashed.is_empty() {
            let count = crashed.len();
            self.shared.metrics.crashed_runs.inc_by(count as u64);
            let fields = o!("worker" => name.to_string(), "tasks" => count);
            self.shared.log.write(EventId::WorkerCrashed, fields);
        }
        for run in crashed {
            self.end_unreported(run.place, Outcome::Crashed, now);
        }
        for run in lost {
            self.end_unreported(run.place, Outcome::Lost, now);
        }
    }

    /// Reports running tasks to their home shards again where the owner of the home shard, or the
    /// group, has changed.
    pub(super) fn notify_new_homes(&mut self) {
        let ownership = self.shared.ownership.load_full();
        let members = ownership.members.iter().map(|member| member.incarnation);
        let members: Vec<Incarnation> = members.collect();
        let same_group = self.notified_members == members;
        self.notified_members = members;
        let mut changed = Vec::new();
        for entry in self.tasks.values_mut().filter(|entry| entry.run.is_some()) {
            let home = TaskIdParts::parse(entry.id).map(|parts| parts.job.home);
            let owner = home
                .and_then(|home| ownership.owner(home))
                .map(|owner| owner.incarnation);
            if owner.is_some() && (!same_group || owner != entry.notified_owner) {
                entry.notified_owner = owner;
                changed.push(entry.id);
            }
        }
        for task in changed {
            self.notify_home(task, TaskPhase::Running);
        }
    }

    /// Releases the runs on a worker that another instance now owns, or whose running work has to
    /// be read anew.
    pub(super) fn release_runs(&mut self, machine: MachineKey) {
        let now = self.now();
        let runs = self.tasks.values().filter_map(|entry| entry.run);
        let places: Vec<_> = runs
            .filter(|run| run.place.machine == machine)
            .map(|run| run.place)
            .collect();
        for place in places {
            if let Err(error) = self.cell.release_run(place, now) {
                self.log_policy_error("release_run", error);
            }
            if let Some(entry) = self.remove_task(place.task) {
                self.notify_home(entry.id, TaskPhase::Moved);
            }
        }
    }

    /// Schedules the runs on a worker that is no longer listed to be marked as lost once their
    /// leases have expired, and returns that time.
    pub(super) fn orphan_runs(&mut self, machine: MachineKey) -> Time {
        let expiry = self.now() + self.task_lease().times(2);
        let runs = self.tasks.values().filter_map(|entry| entry.run);
        let places = runs
            .filter(|run| run.place.machine == machine)
            .map(|run| (expiry, run.place));
        self.orphans.extend(places.collect::<Vec<_>>());
        expiry
    }

    /// Marks orphaned runs as lost whose leases have expired; returns the time of the next check.
    pub(super) fn expire_orphans(&mut self, now: Time) -> Option<Time> {
        let due: Vec<Placement> = self
            .orphans
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, place)| *place)
            .collect();
        self.orphans.retain(|(at, _)| *at > now);
        self.unlisted.retain(|_, worker| worker.expiry > now);
        for place in due {
            let runs = self.tasks.get(&place.task).and_then(|entry| entry.run);
            if runs.is_some_and(|run| run.place == place) {
                self.end_unreported(place, Outcome::Lost, now);
            }
        }
        self.orphans.iter().map(|(at, _)| *at).min()
    }

    fn notify_phase(&self, key: TaskKey, phase: TaskPhase) {
        if let Some(entry) = self.tasks.get(&key) {
            self.notify_home(entry.id, phase);
        }
    }

    /// Reports a task's phase to the owner of its home shard.
    pub(super) fn notify_home(&self, task: TaskId, phase: TaskPhase) {
        self.notify_home_of(TaskState {
            task,
            attempt: Attempt(0),
            phase,
            crashes: None,
        });
    }

    fn notify_home_of(&self, state: TaskState) {
        let TaskState {
            task,
            attempt,
            phase,
            crashes,
        } = state;
        let Some(parts) = TaskIdParts::parse(task) else {
            return;
        };
        let ownership = self.shared.ownership.load();
        let Some(owner) = ownership.owner(parts.job.home) else {
            return;
        };
        if owner.incarnation == self.shared.incarnation {
            self.notify_jobs(TaskEvent {
                task,
                attempt,
                phase,
                from: None,
                crashes,
            });
        } else {
            self.notify_sibling_home(owner.incarnation, state);
        }
    }

    fn notify_sibling_home(&self, to: Incarnation, state: TaskState) {
        let Some(siblings) = self.siblings() else {
            return;
        };
        self.shared.metrics.link_messages.inc();
        tokio::spawn(report_state(siblings, to, state));
    }
}

fn outcome_phase(outcome: WorkOutcome) -> TaskPhase {
    match outcome {
        WorkOutcome::Done => TaskPhase::Done,
        WorkOutcome::Failed => TaskPhase::Failed,
        WorkOutcome::Stopped | WorkOutcome::Expired => TaskPhase::Stopped,
    }
}
