//! Polls of workers: renewing leases and processing their lists of active and ended runs.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::records::PendingAck;
use super::runs::StopOrder;
use super::{Action, Cell};
use crate::event::{CellEvent, CrashCause, SettleCause};
use crate::id::{JobId, TaskName};
use crate::run::{EndReason, NewRun, RunEnd, RunKey, RunState};
use crate::worker::{PollFailure, RunningTask, Worker, WorkerKey, WorkerPoll, WorkerStatus};

/// The number of run ends that a worker lists at most.
const MAX_LISTED_ENDS: usize = 500;
/// Polls in a row that don't list an active run, after which it is stopped.
const MAX_MISSED_LISTINGS: u8 = 2;
/// The shortest time without progress after which a run is stopped and retried elsewhere.
const MIN_STALL_TIMEOUT: Span = Span::from_millis(2_000);
/// The divisor of a run's expected run time that gives its longest time without progress, if that
/// is more than the minimum.
const STALL_DIVISOR: u64 = 10;
/// The progress from which the time of a run is projected, in percent.
const MIN_PROJECTED_PERCENT: u8 = 20;
/// The longest time since a worker's last response in which its process is assumed not to have been
/// replaced: a worker takes longer to start.
const MAX_ACK_DELAY: Span = Span::from_millis(500);
/// How long a worker that left the directory and has no runs is still polled.
const UNLISTED_RETENTION: Span = Span::from_secs(8);

impl Cell {
    /// Returns the next poll of a worker, or `None` if the worker was removed.
    pub fn next_poll(&mut self, key: WorkerKey, now: Time) -> Option<WorkerPoll> {
        let lease = self.lease_length(now);
        let newest_token = self.newest_token;
        let worker = self.workers.get_mut(key)?;
        worker.fence.note_poll(newest_token);
        // A lease that a silent worker may get would only put off the time at which all have expired.
        let lease_until = if worker.failed_polls > 0 {
            worker.silent_from.get_or_insert(now);
            None
        } else if worker.is_overdue {
            // The process may be a later one, on whose clock the lease would end at another time.
            None
        } else {
            worker.grant_lease(now, lease)
        };
        let is_settled = !worker.inherited && !worker.fence.is_open();
        let long_poll = is_settled && worker.failed_polls == 0 && lease_until.is_some();
        // After a failed poll or a pause, the response may come from a later process, which numbers
        // its ends anew.
        let is_recent = now.since(worker.last_response) <= MAX_ACK_DELAY;
        let is_same_process = worker.failed_polls == 0 && !worker.is_overdue && is_recent;
        // An acknowledgement that nothing waits for could only reach a later process.
        let acked = worker.last_end_acked;
        let is_awaited = worker.first_listed.is_some_and(|first| first <= acked);
        let acked_through = if is_same_process && is_awaited {
            acked
        } else {
            0
        };
        Some(WorkerPoll {
            lease_until,
            acked_through,
            long_poll,
        })
    }

    /// Handles a worker's response to a poll that was sent at `sent`.
    pub fn poll_answered(&mut self, key: WorkerKey, sent: Time, status: WorkerStatus, now: Time) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let recorded = worker.to_record();
        let is_restarted = self.note_process(key, &status, now);
        let worker = &mut self.workers[key];
        worker.note_response(status.clock_ms, now);
        worker.first_listed = status.ended.first().map(|end| end.sequence);
        self.are_workers_changed |= worker.to_record() != recorded;
        self.apply_running(key, &status.running, now);
        self.adapt_paces(key, &status.running, now);
        let are_all_applied = self.apply_ends(key, &status.ended, now);
        // A truncated list says nothing about the runs that it lacks.
        if are_all_applied && status.ended.len() < MAX_LISTED_ENDS {
            self.settle_unlisted_runs(key, &status.running, is_restarted, sent, now);
        }
    }

    fn apply_running(&mut self, key: WorkerKey, running: &[RunningTask], now: Time) {
        self.workers[key].has_unknown_runs = false;
        for entry in running {
            let Some(run) = self.find_run(key, entry.task, entry.run, now) else {
                self.workers[key].has_unknown_runs = true;
                if !self.awaits_acceptance(entry.task.job, now) {
                    self.actions.push(Action::Stop(StopOrder {
                        worker: key,
                        task: entry.task,
                        run: entry.run,
                    }));
                }
                continue;
            };
            let state = &mut self.runs[run];
            state.missed_listings = 0;
            if matches!(
                state.state,
                RunState::Starting | RunState::Unconfirmed(_) | RunState::Inherited
            ) {
                state.state = RunState::Running;
            }
            if state.percent != entry.percent {
                state.percent = entry.percent;
                state.progressed_at = now;
            }
            self.project_run_time(run, now);
            let job = self.runs[run].job;
            if !self.jobs[job].started {
                self.jobs[job].started = true;
                self.dirty.insert(job);
            }
            self.stop_if_stalled(run, now);
        }
    }

    /// Returns whether the acceptance of a job that an earlier owner placed may still be read.
    fn awaits_acceptance(&self, job: JobId, now: Time) -> bool {
        now < self.accepted_by && self.unaccepted.contains_key(&job)
    }

    /// Projects the time that a run will take for its whole work, once its progress shows it. A slow
    /// worker is thus known before its first run ends.
    fn project_run_time(&mut self, key: RunKey, now: Time) {
        let run = &self.runs[key];
        let (percent, index) = (run.percent, usize::from(run.name.index));
        if !(MIN_PROJECTED_PERCENT..100).contains(&percent) || run.state != RunState::Running {
            return;
        }
        let (job, elapsed) = (run.job, now.since(run.started_at));
        let slot = self.jobs[job].slot(run.name);
        if self.jobs[job].steps[slot].work.has(index) {
            return;
        }
        let projected = elapsed.as_micros() * 100 / u64::from(percent);
        self.set_task_time(key, Span::from_micros(projected), now);
        self.learn_run_times(job, slot, now);
    }

    /// Returns the run that a worker lists, adopting it if its job is live.
    fn find_run(
        &mut self,
        worker: WorkerKey,
        task: TaskName,
        number: u32,
        now: Time,
    ) -> Option<RunKey> {
        if let Some(&run) = self.runs_by_name.get(&(task, number)) {
            return (self.runs[run].worker == worker).then_some(run);
        }
        let job = *self.jobs_by_id.get(&task.job)?;
        let new_run = NewRun {
            name: task,
            number,
            worker,
            state: RunState::Running,
        };
        self.adopt_run(job, new_run, now)
    }

    fn stop_if_stalled(&mut self, key: RunKey, now: Time) {
        let run = &self.runs[key];
        let job = &self.jobs[run.job];
        let step = job.slot(run.name);
        let spec = job.step_spec(step);
        let expected = Span::from_millis(spec.estimate_ms).divided_by(STALL_DIVISOR);
        let limit = MIN_STALL_TIMEOUT.max(expected);
        // A member of a gang waits at the start until all members are running, and at the end until
        // all are done. Long-running tasks stay at the end.
        let is_complete = run.percent >= 100;
        let is_waiting = spec.gang && (job.steps[step].waiting > 0 || is_complete)
            || spec.long_running && is_complete
            || spec.best_effort && run.is_paced();
        if run.state == RunState::Running && !is_waiting && now.since(run.progressed_at) > limit {
            let (job, worker, index) = (run.job, run.worker, usize::from(run.name.index));
            self.jobs[job].steps[step].tasks[index].avoid_worker = Some(worker);
            self.stop_run(key);
            self.note_worker_failure(worker, now);
        }
    }

    /// Applies the ends that a worker lists. Returns false if some have to wait until the acceptance
    /// of their job is read; the worker lists them until then.
    fn apply_ends(&mut self, key: WorkerKey, ended: &[RunEnd], now: Time) -> bool {
        for end in ended {
            if end.sequence <= self.workers[key].last_end_seen {
                continue;
            }
            if self.awaits_acceptance(end.task.job, now) {
                return false;
            }
            let worker = &mut self.workers[key];
            worker.last_end_seen = end.sequence;
            self.pending_acks.push(PendingAck {
                batch: self.batch,
                job: end.task.job,
                worker: key,
                started_ms: worker.registration.started_ms,
                sequence: end.sequence,
            });
            self.apply_end(key, end, now);
        }
        true
    }

    fn apply_end(&mut self, key: WorkerKey, end: &RunEnd, now: Time) {
        self.withdraw_crash(end.task, end.run);
        if let Some(&run) = self.runs_by_name.get(&(end.task, end.run))
            && self.runs[run].worker == key
        {
            self.end_run(run, end.reason, end.checkpoint.clone(), now);
            return;
        }
        // The worker forgets the end once it is acknowledged, so no one could count it later.
        let is_counted = self.count_late_end(key, end, now);
        self.events.push(CellEvent::LateEnd {
            worker: Arc::clone(&self.workers[key].registration.id),
            end: end.clone(),
            is_counted,
        });
    }

    /// Settles or stops the runs that should be on a worker and were not listed.
    fn settle_unlisted_runs(
        &mut self,
        key: WorkerKey,
        running: &[RunningTask],
        is_restarted: bool,
        sent: Time,
        now: Time,
    ) {
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            let state = &self.runs[run];
            let is_listed = running
                .iter()
                .any(|entry| entry.task == state.name && entry.run == state.number);
            if is_listed {
                continue;
            }
            match state.state {
                RunState::Unconfirmed(since) if sent > since => self.stop_run(run),
                RunState::Stopped(since) if sent > since => self.settle(run, now),
                RunState::Inherited => self.settle(run, now),
                // The run was confirmed before the poll was sent, so by the earlier process.
                RunState::Running if is_restarted && sent >= state.started_at => {
                    self.end_run(run, EndReason::LeaseExpired, None, now);
                }
                RunState::Running if sent > state.started_at => {
                    self.runs[run].missed_listings += 1;
                    if self.runs[run].missed_listings >= MAX_MISSED_LISTINGS {
                        self.stop_run(run);
                    }
                }
                _ => {}
            }
        }
    }

    /// Records that polls were paused, so that any worker may have been restarted unnoticed. No worker
    /// gets new work or acknowledgements before it has responded again.
    pub fn note_pause(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_overdue = true;
        }
    }

    /// Records that a poll of a worker failed.
    pub fn poll_failed(&mut self, key: WorkerKey, failure: PollFailure) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.note_poll_failure(failure);
        }
    }

    /// Ends runs of a worker that certainly are not active any more.
    fn settle_runs(&mut self, key: WorkerKey, runs: &[RunKey], cause: SettleCause, now: Time) {
        if runs.is_empty() {
            return;
        }
        let worker = &self.workers[key];
        self.events.push(CellEvent::RunsSettled {
            worker: Arc::clone(&worker.registration.id),
            cause,
            runs: runs.len(),
            response_age: worker.response_age(now),
            unlisted_age: worker.unlisted_at.map(|at| now.since(at)),
            failed_polls: worker.failed_polls,
            granted_to: worker.leases.last_grant().and_then(|grant| grant.process),
            expired_age: worker.leases.expired_age(now),
            successor: self.successor(key),
        });
        match cause {
            SettleCause::LeaseExpired => {
                self.note_crash(key, runs, CrashCause::LeaseExpired, now);
            }
            SettleCause::Replaced => self.note_crash(key, runs, CrashCause::Replaced, now),
            SettleCause::Exited => {}
        }
        for run in runs {
            self.end_run(*run, EndReason::LeaseExpired, None, now);
        }
    }

    /// Returns the id of the listed worker that has the address of another one now.
    fn successor(&self, key: WorkerKey) -> Option<Arc<str>> {
        let address = &self.workers[key].registration.address;
        let is_successor = |(other, worker): &(WorkerKey, &Worker)| {
            *other != key && worker.registration.address == *address && worker.unlisted_at.is_none()
        };
        let (_, successor) = self.workers.iter().find(is_successor)?;
        Some(Arc::clone(&successor.registration.id))
    }

    /// Returns the runs of a worker that ended with its process, which another worker had replaced
    /// when a poll was sent at `sent`. A start order that is in flight may still be refused or reach a
    /// later process under the same id, and one of an earlier owner may not have been sent yet before
    /// the end of the overlap, so such runs are left to the expiry of the leases.
    fn replaced_runs(&self, key: WorkerKey, sent: Time) -> SmallVec<[RunKey; 8]> {
        let has_ended = |run: &RunKey| match self.runs[*run].state {
            RunState::Running => self.runs[*run].started_at <= sent,
            RunState::Unconfirmed(since) | RunState::Stopped(since) => since < sent,
            RunState::Inherited => self.workers[key].is_handed_over(sent),
            RunState::Planned
            | RunState::Withdrawn
            | RunState::Starting
            | RunState::Stopping(_) => false,
        };
        let runs = self.workers[key].runs.iter().copied();
        runs.filter(has_ended).collect()
    }

    /// Returns the runs that have certainly ended on a worker where nothing runs. A start order without a
    /// response may still reach a later process under the same id, so an exit leaves it to the leases.
    fn idle_runs(&self, key: WorkerKey, cause: SettleCause) -> SmallVec<[RunKey; 8]> {
        let is_under_way = |run: &RunKey| {
            let state = &self.runs[*run].state;
            matches!(state, RunState::Starting | RunState::Unconfirmed(_))
        };
        let runs = self.workers[key].runs.iter().copied();
        runs.filter(|run| cause != SettleCause::Exited || !is_under_way(run))
            .collect()
    }

    /// Ends the runs on workers where certainly nothing runs any more, and removes workers that
    /// left the directory.
    pub(crate) fn expire_workers(&mut self, now: Time) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            if let Some(cause) = self.workers[key].idle_cause(self.timers.exit_window, now) {
                self.workers[key].inherited = false;
                let runs = self.idle_runs(key, cause);
                self.settle_runs(key, &runs, cause, now);
            } else if let Some(sent) = self.workers[key].replaced_at() {
                let runs = self.replaced_runs(key, sent);
                self.settle_runs(key, &runs, SettleCause::Replaced, now);
                // An idle worker counts as well where many crash at once.
                if self.workers[key].runs.is_empty()
                    && self.workers[key].response_age(now).is_some()
                {
                    self.note_crash(key, &[], CrashCause::Replaced, now);
                }
            }
            if self.workers[key].leases.has_late() {
                self.change_worker(key, |worker| worker.leases.expire_late(now));
            }
            let worker = &self.workers[key];
            let has_left = worker
                .unlisted_at
                .is_some_and(|at| now > at + UNLISTED_RETENTION && worker.failed_polls > 0);
            if has_left && worker.runs.is_empty() && worker.leases.expire() < now {
                let id = Arc::clone(&worker.registration.id);
                if let Some(worker) = self.workers.remove(key)
                    && worker.fence.token().is_some()
                {
                    self.left_fences.insert(Arc::clone(&id), worker.fence);
                }
                self.workers_by_id.remove(&id);
            }
        }
    }
}
