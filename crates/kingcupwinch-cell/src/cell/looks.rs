//! What looks at workers tell: which runs are there, which ended, which are in doubt.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::runs::StopOrder;
use super::{Action, Cell, PendingAck};
use crate::id::TaskName;
use crate::run::{EndReason, Placed, RunEnd, RunKey, RunState};
use crate::worker::{PollFailure, RunningTask, WorkerKey, WorkerPoll, WorkerStatus};

/// Ends that a worker lists at a time.
const ENDED_ROWS: usize = 500;
/// Looks in a row that miss a run after which it counts as gone.
const MISSES_UNTIL_GONE: u8 = 2;
/// Failed looks in a row after which leases are no longer renewed, so that they lapse for certain.
const MISSES_UNTIL_SILENT: u32 = 2;
/// A run whose progress stands still for so long is stopped and tried elsewhere.
const STALL_LIMIT: Span = Span::from_millis(2_000);
/// The longest a run's progress of one per cent may take in shares of its expected run time.
const STALL_SHARE: u64 = 10;
/// How long a worker that left the directory is still looked at when nothing runs there.
const FORGET_AFTER: Span = Span::from_secs(8);

impl Cell {
    /// Returns what to ask of a worker; `None` once it is forgotten.
    pub fn next_poll(&mut self, key: WorkerKey, now: Time) -> Option<WorkerPoll> {
        let worker = self.workers.get_mut(key)?;
        let is_silent = worker.misses >= MISSES_UNTIL_SILENT;
        let until = if is_silent {
            None
        } else {
            worker.grant(now, self.limits.max_lease)
        };
        let wait = !worker.inherited && worker.misses == 0 && until.is_some();
        Some(WorkerPoll {
            lease_until: until,
            acked_through: worker.acked,
            long_poll: wait,
        })
    }

    /// Takes a worker's answer to a look that was sent at `sent`.
    pub fn poll_answered(&mut self, key: WorkerKey, sent: Time, look: WorkerStatus, now: Time) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let is_reborn = worker.entry.is_other_life(look.started_ms);
        worker.entry.started_ms = look.started_ms.or(worker.entry.started_ms);
        if is_reborn {
            self.reset_worker(key, now);
        }
        let worker = &mut self.workers[key];
        worker.note_answer(look.clock_ms, now);
        self.take_running(key, &look.running, now);
        self.take_ended(key, &look.ended, now);
        // A list that is cut off says nothing of the runs that it lacks.
        if look.ended.len() < ENDED_ROWS {
            self.settle_missing(key, &look.running, sent, now);
        }
    }

    fn take_running(&mut self, key: WorkerKey, running: &[RunningTask], now: Time) {
        self.workers[key].has_foreign = false;
        for entry in running {
            let Some(run) = self.find_run(key, entry.task, entry.run, now) else {
                self.actions.push(Action::Stop(StopOrder {
                    worker: key,
                    task: entry.task,
                    run: entry.run,
                }));
                self.workers[key].has_foreign = true;
                continue;
            };
            let state = &mut self.runs[run];
            state.missed = 0;
            if matches!(
                state.state,
                RunState::Starting | RunState::Doubtful(_) | RunState::Inherited
            ) {
                state.state = RunState::Running;
            }
            if state.percent != entry.percent {
                state.percent = entry.percent;
                state.moved = now;
            }
            let job = state.job;
            if !self.jobs[job].began {
                self.jobs[job].began = true;
                self.dirty.insert(job);
            }
            self.stop_if_stalled(run, now);
        }
    }

    /// Returns the run that a worker lists, taking it over if its job is live.
    fn find_run(
        &mut self,
        worker: WorkerKey,
        task: TaskName,
        number: u32,
        now: Time,
    ) -> Option<RunKey> {
        if let Some(&run) = self.by_run.get(&(task, number)) {
            return (self.runs[run].worker == worker).then_some(run);
        }
        let job = *self.by_id.get(&task.job)?;
        let placed = Placed {
            name: task,
            number,
            worker,
            state: RunState::Running,
        };
        self.adopt_run(job, placed, now)
    }

    fn stop_if_stalled(&mut self, key: RunKey, now: Time) {
        let run = &self.runs[key];
        let job = &self.jobs[run.job];
        let step = job.slot(run.name);
        let spec = job.step_spec(step);
        let expected = Span::from_millis(spec.estimate_ms).divided_by(STALL_SHARE);
        let limit = STALL_LIMIT.max(expected);
        // A member of a gang stands at the start until all are there, and at the end until all are
        // done; what lasts stays at the end for good.
        let is_whole = run.percent >= 100;
        let is_waiting =
            spec.gang && (job.steps[step].waiting > 0 || is_whole) || spec.long_running && is_whole;
        if run.state == RunState::Running && !is_waiting && now.since(run.moved) > limit {
            let (job, worker, index) = (run.job, run.worker, usize::from(run.name.index));
            self.jobs[job].steps[step].tasks[index].avoid = Some(worker);
            self.stop_run(key);
            self.workers[worker].note_failure(now);
        }
    }

    fn take_ended(&mut self, key: WorkerKey, ended: &[RunEnd], now: Time) {
        for end in ended {
            let worker = &mut self.workers[key];
            if end.sequence <= worker.seen {
                continue;
            }
            worker.seen = end.sequence;
            self.acks.push(PendingAck {
                batch: self.batch,
                worker: key,
                born: worker.entry.started_ms,
                number: end.sequence,
            });
            self.take_end(key, end, now);
        }
    }

    fn take_end(&mut self, key: WorkerKey, end: &RunEnd, now: Time) {
        if let Some(&run) = self.by_run.get(&(end.task, end.run)) {
            if self.runs[run].worker == key {
                self.end_run(run, end.reason, end.checkpoint.clone(), now);
            }
            return;
        }
        // An end of a run that this owner did not order: it counts if its task still waits.
        let Some(&job) = self.by_id.get(&end.task.job) else {
            return;
        };
        if !self.jobs[job].inherited {
            return;
        }
        let placed = Placed {
            name: end.task,
            number: end.run,
            worker: key,
            state: RunState::Running,
        };
        if let Some(run) = self.adopt_run(job, placed, now) {
            self.end_run(run, end.reason, end.checkpoint.clone(), now);
        }
    }

    /// Settles the runs that should be on a worker and were not listed.
    fn settle_missing(&mut self, key: WorkerKey, running: &[RunningTask], sent: Time, now: Time) {
        let here: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in here {
            let state = &self.runs[run];
            let is_listed = running
                .iter()
                .any(|entry| entry.task == state.name && entry.run == state.number);
            if is_listed {
                continue;
            }
            match state.state {
                RunState::Doubtful(since) if sent > since => self.stop_run(run),
                RunState::Stopped(since) if sent > since => self.settle(run, now),
                RunState::Inherited => self.settle(run, now),
                RunState::Running if sent > state.began => {
                    self.runs[run].missed += 1;
                    if self.runs[run].missed >= MISSES_UNTIL_GONE {
                        self.stop_run(run);
                    }
                }
                _ => {}
            }
        }
    }

    /// Notes that a worker did not answer a look.
    pub fn poll_failed(&mut self, key: WorkerKey, missed: PollFailure) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.note_missed(missed);
        }
    }

    /// A new life of a worker knows nothing of what ran there before.
    pub(crate) fn reset_worker(&mut self, key: WorkerKey, now: Time) {
        let worker = &mut self.workers[key];
        worker.seen = 0;
        worker.acked = 0;
        worker.inherited = false;
        self.release_runs(key, now);
    }

    fn release_runs(&mut self, key: WorkerKey, now: Time) {
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            self.end_run(run, EndReason::LeaseExpired, None, now);
        }
    }

    /// Frees what ran on workers where nothing runs any more, and forgets workers that left.
    pub(crate) fn expire_workers(&mut self, now: Time) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            if worker.is_over(self.limits.exit_window, now) {
                self.workers[key].inherited = false;
                self.release_runs(key, now);
            }
            let worker = &self.workers[key];
            let is_gone = worker
                .unlisted
                .is_some_and(|at| now > at + FORGET_AFTER && worker.misses > 0);
            if is_gone && worker.runs.is_empty() && worker.lapsed < now {
                let id = Arc::clone(&worker.entry.id);
                self.workers.remove(key);
                self.by_name.remove(&id);
            }
        }
    }
}
