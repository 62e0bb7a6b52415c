//! Workers that start again under their ids, and the orders for their former processes.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use smallvec::SmallVec;

use super::Cell;
use crate::event::{CellEvent, CrashCause};
use crate::run::{RunKey, RunState};
use crate::run_time::WorkerPace;
use crate::worker::{PollFailure, WorkerKey, WorkerStatus, is_other_process};

impl Cell {
    /// Allows this owner to give orders under a fencing token. It is above the owner's term, and below the
    /// terms of all later owners.
    pub fn offer_token(&mut self, token: u64) {
        self.newest_token = self.newest_token.max(Some(token));
    }

    /// Returns the fencing token of the orders to a worker, or `None` for the owner's term.
    pub fn order_token(&self, key: WorkerKey) -> Option<u64> {
        self.workers.get(key)?.fence.token()
    }

    /// Records that a worker refused an order under its current token, though no later owner is known: it has
    /// seen a higher one, and what was ordered under that may be active there.
    pub fn orders_refused(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.note_poll_failure(PollFailure::Unresponsive);
            worker.fence.open(self.newest_token);
        }
    }

    /// Compares the process that has responded with the known one. Returns whether it is a later one than
    /// the process that the runs of the worker are known from.
    pub(super) fn note_process(
        &mut self,
        key: WorkerKey,
        status: &WorkerStatus,
        now: Time,
    ) -> bool {
        let longest = self.timers.longest_lease;
        let worker = &mut self.workers[key];
        let is_restarted = worker.registration.is_restart(status.started_ms);
        let responded_ms = worker.responded_start();
        let known_ms = worker.registration.started_ms;
        worker.registration.started_ms = status.started_ms.or(known_ms);
        let is_crash = is_other_process(responded_ms, status.started_ms);
        // The first response to this owner fences the worker from the orders of earlier ones.
        let is_first = !worker.leases.has_clock();
        let may_be_late = worker.fence.is_open() || is_first && worker.leases.has_late();
        if may_be_late || is_restarted || is_crash {
            worker.leases.note_late(longest, now);
        }
        if worker.fence.note_response() {
            self.events.push(CellEvent::WorkerFenced {
                worker: Arc::clone(&worker.registration.id),
                token: worker.fence.token(),
                leases_left: worker.leases.expire().since(now),
            });
        }
        if !is_restarted && !is_crash {
            return false;
        }
        // An owner that has not read the worker's clock has granted nothing, and its polls fence the worker
        // from earlier owners.
        if worker.leases.has_clock() {
            worker.fence.open(self.newest_token);
        }
        self.report_restart(key, responded_ms.or(known_ms), status.clock_ms, now);
        if is_restarted {
            self.reset_worker(key);
        }
        if is_crash {
            let runs: SmallVec<[RunKey; 8]> = self.workers[key].runs.iter().copied().collect();
            self.note_crash(key, &runs, CrashCause::Restarted, now);
        }
        is_restarted
    }

    /// Reports that a later process of a worker has responded, whose clock reads `clock_ms`.
    fn report_restart(&mut self, key: WorkerKey, known_ms: Option<u64>, clock_ms: u64, now: Time) {
        let worker = &self.workers[key];
        let last_grant = worker.leases.last_grant();
        let ahead_ms = last_grant.and_then(|grant| grant.until_ms.checked_sub(clock_ms));
        self.events.push(CellEvent::WorkerRestarted {
            worker: Arc::clone(&worker.registration.id),
            known_ms,
            reported_ms: worker.registration.started_ms,
            runs: worker.runs.len(),
            late_grant: ahead_ms.map(Span::from_millis),
            leases_left: worker.leases.expire().since(now),
        });
    }

    /// Resets a restarted worker, which knows nothing of its earlier runs. Orders in flight may still
    /// reach the later process, so only its list of runs settles a run.
    fn reset_worker(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.last_end_seen = 0;
        worker.last_end_acked = 0;
        worker.inherited = false;
        worker.pace = WorkerPace::default();
        // The later process knows of no stop that the former one confirmed, and may still get the start.
        for key in &worker.runs {
            let run = &mut self.runs[*key];
            if matches!(run.state, RunState::Stopped(_)) {
                run.state = RunState::Stopping(Time::ZERO);
            }
        }
        // The later process numbers its ends anew.
        self.pending_acks.retain(|ack| ack.worker != key);
    }
}
