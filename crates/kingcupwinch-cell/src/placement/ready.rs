//! Steps with tasks to start, and what a round does for them.

use kingcupwinch_time::Time;
use smallvec::SmallVec;

use super::order::Urgency;
use super::{PaceRange, WorkerPools};
use crate::cell::Cell;
use crate::job::{Job, JobKey, Task};
use crate::mechanism::Mechanism;
use crate::spec::StepSpec;

/// How much faster than needed the slowest worker has to be before slow workers come first for a
/// step, since run times are uncertain.
const PACE_MARGIN: f64 = 1.3;

/// Whether a job can still meet its objective, in order of scheduling priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ObjectiveStatus {
    /// The objective can be met.
    OnTime,
    /// The job will end late, which is worth less.
    Late,
    /// The job will end too late to be worth anything.
    Missed,
}

/// What a round does for a step, in the order in which equally urgent steps take their turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    /// Runs tasks again that the adviser has to allow. They had their capacity and are missed by
    /// their users, while calls to the adviser are scarce if more tasks wait than fit.
    Restart,
    /// Starts tasks, other than by a restart turn.
    Start,
    /// Moves tasks that run.
    Move,
}

/// A step with tasks to start.
#[derive(Debug)]
pub(super) struct ReadyStep {
    pub(super) job: JobKey,
    /// The slot of the step.
    pub(super) step: usize,
    /// The number of tasks that wait to be started or moved.
    pub(super) tasks: usize,
    pub(super) status: ObjectiveStatus,
    /// The time that is left beyond the expected work, in microseconds. Negative if the objective
    /// will be missed.
    pub(super) slack: i64,
    /// Whether there is no slack to spare for a slow worker.
    pub(super) is_tight: bool,
    /// The pace (observed over expected run time) of the slowest worker that still meets the
    /// objective.
    pub(super) slowest_pace: f64,
    pub(super) turn: Turn,
    /// Whether the tasks are long-running.
    pub(super) is_long_running: bool,
    /// Since when the step has had tasks that could start.
    pub(super) waiting_since: Time,
    /// When the adviser was last asked about the step.
    pub(super) asked_at: Time,
    /// The place in the order that priority, share and the floor give to the step.
    pub(super) urgency: Urgency,
}

impl ReadyStep {
    /// Computes the status and the slack of a step, assuming that it runs on the fastest worker.
    fn new(key: JobKey, slot: usize, job: &Job, paces: PaceRange, now: Time) -> Self {
        let step = &job.steps[slot];
        let spec = job.step_spec(slot);
        if spec.long_running {
            return ReadyStep {
                waiting_since: step.wait.since(now),
                asked_at: step.tickets.asked_at,
                ..ReadyStep::of_long_running(key, slot, step.waiting)
            };
        }
        let critical_path = step.critical_path.as_micros() as f64;
        let left = |end: Time| {
            let left = end.as_micros() as i64 - now.as_micros() as i64;
            left - (critical_path * paces.fastest) as i64
        };
        let slack = left(step.objective);
        let status = if slack >= 0 {
            ObjectiveStatus::OnTime
        } else if left(step.late_limit) >= 0 {
            ObjectiveStatus::Late
        } else {
            ObjectiveStatus::Missed
        };
        // A gang needs many workers at once, so its choice isn't limited by pace.
        let limits_pace = status == ObjectiveStatus::OnTime && !spec.gang;
        let slowest_pace = if limits_pace {
            paces.fastest + slack as f64 / critical_path.max(1.0)
        } else {
            f64::INFINITY
        };
        ReadyStep {
            job: key,
            step: slot,
            tasks: step.waiting,
            status,
            slack,
            is_tight: status != ObjectiveStatus::Missed
                && (slack as f64) < critical_path * (paces.slowest * PACE_MARGIN - paces.fastest),
            slowest_pace,
            turn: Turn::Start,
            is_long_running: false,
            waiting_since: step.wait.since(now),
            asked_at: step.tickets.asked_at,
            urgency: Urgency::default(),
        }
    }

    /// Creates a ready step of long-running tasks. They have no end that could be late and are
    /// needed at once, so their slack is zero.
    fn of_long_running(key: JobKey, slot: usize, tasks: usize) -> Self {
        ReadyStep {
            job: key,
            step: slot,
            tasks,
            status: ObjectiveStatus::OnTime,
            slack: 0,
            is_tight: false,
            slowest_pace: f64::INFINITY,
            turn: Turn::Start,
            is_long_running: true,
            waiting_since: Time::ZERO,
            asked_at: Time::ZERO,
            urgency: Urgency::default(),
        }
    }

    /// Creates a ready step of long-running tasks that are to be moved. Little time may be left, so
    /// that the step counts as one that has waited for long.
    pub(super) fn of_move(key: JobKey, slot: usize, tasks: usize) -> Self {
        ReadyStep {
            tasks,
            turn: Turn::Move,
            ..ReadyStep::of_long_running(key, slot, 0)
        }
    }

    /// Splits off the tasks that run again, so that tasks of the same step that never ran take no
    /// precedence from them. The members of a gang start together, so they are not split.
    fn with_restarts(self, job: &Job) -> impl Iterator<Item = ReadyStep> {
        let is_gang = job.step_spec(self.step).gang;
        let mut waits: SmallVec<[Time; 8]> = SmallVec::new();
        let tasks = job.steps[self.step].tasks.begun();
        waits.extend(tasks.filter_map(|(_, task)| restart_wait(job, self.step, task)));
        let longest_wait = waits.iter().min().copied();
        let count = if is_gang && longest_wait.is_some() {
            self.tasks
        } else {
            waits.len()
        };
        let starts = ReadyStep {
            tasks: self.tasks - count,
            ..self
        };
        let restarts = longest_wait.map(|since| ReadyStep {
            tasks: count,
            turn: Turn::Restart,
            waiting_since: since,
            ..self
        });
        let starts = Some(starts).filter(|starts| starts.tasks > 0);
        restarts.into_iter().chain(starts)
    }

    /// Returns whether the step asks the adviser also about workers that have no capacity now. On a
    /// full service a worker has some only for a moment, less than a call takes. A verdict stays, and
    /// a ticket that is valid when capacity becomes free lets a task start at once.
    pub(super) fn asks_ahead(&self, spec: &StepSpec) -> bool {
        self.turn == Turn::Restart && !spec.gang
    }

    /// Returns whether a task of the step has its turn with these.
    pub(super) fn includes(&self, job: &Job, task: &Task) -> bool {
        restart_wait(job, self.step, task).is_some() == (self.turn == Turn::Restart)
    }
}

impl Cell {
    /// Returns the steps with tasks to start, the most urgent first.
    pub(super) fn ready_steps(&self, pools: &WorkerPools, now: Time) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for (key, job) in &self.jobs {
            if job.end.is_some() || job.held_until > now {
                continue;
            }
            let pool = pools.by_service.get(&job.spec.policy.service);
            let paces = pool.and_then(|pool| pool.paces).unwrap_or_default();
            for (slot, step) in job.steps.iter().enumerate() {
                if step.waiting == 0 || !job.is_ready(slot) {
                    continue;
                }
                // A gang restarts only after every run of its last attempt is settled.
                let is_gang = job.step_spec(slot).gang;
                let mut tasks = step.tasks.iter();
                if is_gang && !tasks.all(|task| task.is_free(now)) {
                    continue;
                }
                ready.extend(ReadyStep::new(key, slot, job, paces, now).with_restarts(job));
            }
        }
        for step in &mut ready {
            step.is_tight &= self.uses(Mechanism::FastFirst);
            let job = &self.jobs[step.job];
            let pool = pools.by_service.get(&job.spec.policy.service);
            let is_stuck = job.runs.is_empty()
                && pool.is_some_and(|pool| Cell::is_out_of_patience(step, pool, now));
            let is_unlimited =
                !self.uses(Mechanism::PaceLimit) || self.uses(Mechanism::DelayScheduling);
            if is_stuck || is_unlimited {
                step.slowest_pace = f64::INFINITY;
            }
        }
        ready.extend(self.steps_to_move());
        self.set_urgency(&mut ready, pools, now);
        ready.sort_by(ReadyStep::compare);
        ready
    }
}

/// Returns since when a task waits to run again by a restart turn.
fn restart_wait(job: &Job, slot: usize, task: &Task) -> Option<Time> {
    let has_turn = job.step_spec(slot).long_running && job.spec.policy.advice.is_some();
    task.waits_to_restart_since().filter(|_| has_turn)
}
