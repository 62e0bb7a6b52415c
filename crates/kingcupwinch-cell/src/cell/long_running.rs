//! Long-running tasks, which are restarted whenever they end.

mod availability;

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::run::{EndReason, RunKey};

/// A run of a long-running task that fails sooner than this counts as short.
const SHORT_RUN_LIMIT: Span = Span::from_millis(2_000);
/// The backoff after the second short run in a row. It doubles with each further one.
const RESTART_BACKOFF: Span = Span::from_millis(200);
/// The largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The progress in percent at which a long-running task is ready.
const READY_PERCENT: u8 = 100;

impl Cell {
    /// Records the end of a long-running task's run. Delays the next start if several runs in a row
    /// failed soon after their start.
    pub(super) fn note_long_running_end(&mut self, key: RunKey, reason: EndReason, now: Time) {
        let run = &self.runs[key];
        let (job, name, worker) = (run.job, run.name, run.worker);
        let is_short = now.since(run.started_at) < SHORT_RUN_LIMIT;
        let is_failure = reason == EndReason::Failed;
        if is_failure && run.percent < READY_PERCENT {
            self.note_worker_failure(worker, now);
        }
        let job = &mut self.jobs[job];
        let slot = job.slot(name);
        let task = &mut job.steps[slot].tasks[usize::from(name.index)];
        if !is_failure {
            return;
        }
        task.avoid_worker = Some(worker);
        task.short_runs = if is_short { task.short_runs + 1 } else { 0 };
        if task.short_runs > 1 {
            let doublings = (task.short_runs - 2).min(MAX_BACKOFF_DOUBLINGS);
            task.not_before = now + RESTART_BACKOFF.times(1 << doublings);
        }
    }
}
