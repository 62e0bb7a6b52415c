//! Tasks that last: started anew however they end, and moved away from workers that leave.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::job::{JobKey, TaskState};
use crate::run::{EndReason, RunKey, RunState};
use crate::spec::StepSpec;
use crate::worker::WorkerKey;

/// A run of a lasting task that ended sooner than this counts as short.
const SHORT_RUN: Span = Span::from_millis(2_000);
/// The pause after a second short run in a row; doubles with each further one.
const SHORT_PAUSE: Span = Span::from_millis(200);
/// The most doublings.
const SHORT_DOUBLINGS: u32 = 3;

/// Per cent of a lasting task that is at work.
const AT_WORK: u8 = 100;

impl Cell {
    /// Lets a lasting task wait a little before its next start if its runs keep ending soon.
    pub(super) fn note_lasting_end(&mut self, key: RunKey, how: EndReason, now: Time) {
        let run = &self.runs[key];
        let (job, name, worker) = (run.job, run.name, run.worker);
        let is_short = now.since(run.began) < SHORT_RUN;
        let is_fault = how == EndReason::Failed;
        if is_fault && run.percent < AT_WORK {
            self.workers[worker].note_failure(now);
        }
        let job = &mut self.jobs[job];
        let slot = job.slot(name);
        let task = &mut job.steps[slot].tasks[usize::from(name.index)];
        if !is_fault {
            return;
        }
        task.avoid = Some(worker);
        task.short_runs = if is_short { task.short_runs + 1 } else { 0 };
        if task.short_runs > 1 {
            let doublings = (task.short_runs - 2).min(SHORT_DOUBLINGS);
            task.again = now + SHORT_PAUSE.times(1 << doublings);
        }
    }

    /// Stops lasting tasks on workers that are about to leave, as many of a step at a time as may be
    /// away, where there is room elsewhere: what a worker takes with it is missed for longer.
    pub(crate) fn evacuate_lasting(&mut self, now: Time) {
        let jobs: Vec<JobKey> = self.lasting.iter().copied().collect();
        for key in jobs {
            for slot in 0..self.jobs[key].steps.len() {
                for run in self.runs_to_move(key, slot, now) {
                    self.stop_run(run);
                }
            }
        }
    }

    fn runs_to_move(&self, key: JobKey, slot: usize, now: Time) -> Vec<RunKey> {
        let job = &self.jobs[key];
        let spec = job.step_spec(slot);
        if !spec.long_running || job.end.is_some() {
            return Vec::new();
        }
        let mut away = 0;
        let mut leaving = Vec::new();
        for task in &job.steps[slot].tasks {
            let TaskState::Active(run) = task.state else {
                away += 1;
                continue;
            };
            let state = &self.runs[run];
            let is_at_work = state.state == RunState::Running && state.percent >= AT_WORK;
            away += usize::from(!is_at_work);
            if is_at_work && self.workers[state.worker].entry.draining {
                leaving.push(run);
            }
        }
        let may_miss = usize::from(spec.max_unavailable.max(1));
        leaving.truncate(may_miss.saturating_sub(away));
        if !self.has_room_for(spec, &job.spec.policy.service, now) {
            leaving.clear();
        }
        leaving
    }

    fn has_room_for(&self, spec: &StepSpec, service: &str, now: Time) -> bool {
        self.workers.iter().any(|(key, worker)| {
            worker.is_usable(now)
                && &*worker.entry.service == service
                && worker.room().task_capacity(spec.charge()) > 0
                && self.has_label(key, spec)
        })
    }

    /// Stops the tasks that fill a worker, for one that serves: they would slow it down.
    pub(crate) fn stop_filling(&mut self, worker: WorkerKey) {
        let fills = |run: &&RunKey| {
            let run = &self.runs[**run];
            let job = &self.jobs[run.job];
            job.step_spec(job.slot(run.name)).best_effort
        };
        let filling: Vec<RunKey> = self.workers[worker]
            .runs
            .iter()
            .filter(fills)
            .copied()
            .collect();
        for run in filling {
            self.stop_run(run);
        }
    }
}
