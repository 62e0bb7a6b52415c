//! Best-effort tasks beside latency-sensitive ones: their paces, and when they share a worker.

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::{Action, Cell};
use crate::id::TaskName;
use crate::pace::{FULL_PACE, PaceVerdict};
use crate::run::{RunKey, RunState};
use crate::worker::{RunningTask, WorkerKey};

/// How long an order to change a pace may remain unanswered before it is sent again.
const PACE_RETRY: Span = Span::from_millis(400);

/// An order to run a best-effort task at a part of its pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The pace, in percent.
    pub percent: u8,
}

impl Cell {
    /// Adapts the paces of a worker's best-effort tasks to what it reports of the others.
    pub(super) fn adapt_paces(&mut self, key: WorkerKey, running: &[RunningTask], now: Time) {
        let worker = &self.workers[key];
        if worker.best_effort_runs == 0 {
            return;
        }
        if worker.latency_sensitive_runs == 0 {
            self.workers[key].pace_control.lift();
        } else {
            let worst = self.worst_tail(key, running);
            if self.workers[key].pace_control.update(worst, now) == PaceVerdict::Stop {
                self.displace_best_effort(key);
            }
        }
        self.send_paces(key, now);
    }

    /// Returns the worst tail of a worker's latency-sensitive tasks as a part of its target, or `None`
    /// if one is not known.
    fn worst_tail(&self, key: WorkerKey, running: &[RunningTask]) -> Option<f64> {
        let mut worst: Option<f64> = None;
        for run in self.workers[key].runs.iter().map(|run| &self.runs[*run]) {
            let job = &self.jobs[run.job];
            let Some(target) = job.step_spec(job.slot(run.name)).target_ms else {
                continue;
            };
            let mut rows = running.iter();
            let row = rows.find(|row| row.task == run.name && row.run == run.number)?;
            let part = f64::from(row.tail_ms?) / f64::from(target.max(1));
            worst = Some(worst.map_or(part, |worst| worst.max(part)));
        }
        worst
    }

    /// Orders the paces that differ from the limit of the worker.
    fn send_paces(&mut self, key: WorkerKey, now: Time) {
        let limit = self.workers[key].pace_control.limit();
        let runs: SmallVec<[RunKey; 8]> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            let state = &self.runs[run];
            let job = &self.jobs[state.job];
            let is_best_effort = job.step_spec(job.slot(state.name)).best_effort;
            let is_due = state.pace != Some(limit) && state.pace_retry_at <= now;
            if !is_best_effort || state.state != RunState::Running || !is_due {
                continue;
            }
            let state = &mut self.runs[run];
            state.pace_retry_at = now + PACE_RETRY;
            // The order may take effect without a response.
            state.pace = None;
            state.is_whole &= limit == FULL_PACE;
            self.actions.push(Action::Pace(PaceOrder {
                worker: key,
                task: state.name,
                run: state.number,
                percent: limit,
            }));
        }
    }

    /// Records that a worker has changed a pace.
    pub fn pace_answered(&mut self, order: &PaceOrder) {
        if let Some(&key) = self.runs_by_name.get(&(order.task, order.run)) {
            self.runs[key].pace = Some(order.percent);
        }
    }

    /// Sets the first pace of a best-effort run that has just started, and that of the others beside it.
    pub(super) fn pace_started_run(&mut self, key: RunKey, now: Time) {
        let run = &mut self.runs[key];
        run.pace = Some(FULL_PACE);
        let worker = run.worker;
        if self.workers[worker].best_effort_runs > 0
            && self.workers[worker].latency_sensitive_runs > 0
        {
            self.send_paces(worker, now);
        }
    }

    /// Begins with a low limit if the best-effort run that was placed on a worker is its only one.
    pub(crate) fn begin_sharing(&mut self, worker: WorkerKey, now: Time) {
        let worker = &mut self.workers[worker];
        if worker.best_effort_runs <= 1 {
            worker.pace_control.restart(now);
        }
    }
}
