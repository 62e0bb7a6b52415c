//! Quarantine of workers that fail several runs in a row.

use kingcupwinch_time::Time;

use super::Cell;
use crate::mechanism::Mechanism;
use crate::run::{RunKey, RunState};
use crate::worker::WorkerKey;

/// One in this many workers of a service may be in quarantine at once, and always one. Runs that fail
/// everywhere are their own fault and must not take the service away from all others.
const QUARANTINE_DIVISOR: usize = 5;

impl Cell {
    /// Counts a failed run against its worker, which may be quarantined for it.
    pub(super) fn note_worker_failure(&mut self, worker: WorkerKey, now: Time) {
        if self.uses(Mechanism::Quarantine) && self.workers[worker].note_failure(now) {
            self.withdraw_planned_runs(worker);
            self.limit_quarantines(worker, now);
        }
    }

    /// Withdraws the runs that were placed on a worker before it was quarantined, each with the other
    /// members of its gang.
    fn withdraw_planned_runs(&mut self, worker: WorkerKey) {
        let runs = self.workers[worker].runs.iter();
        let planned = runs.filter(|run| self.runs[**run].state == RunState::Planned);
        let planned: Vec<RunKey> = planned.copied().collect();
        for run in planned {
            let (job, name, number) = (
                self.runs[run].job,
                self.runs[run].name,
                self.runs[run].number,
            );
            self.stop_run(run);
            self.stop_gang(job, name, number);
        }
    }

    /// Ends quarantines in the service of a worker if there are too many, those with the least time
    /// left first.
    fn limit_quarantines(&mut self, worker: WorkerKey, now: Time) {
        let service = &self.workers[worker].registration.service;
        let is_peer = |(_, peer): &(WorkerKey, &crate::worker::Worker)| {
            peer.registration.service == *service && peer.is_usable(now)
        };
        let mut peers = 0;
        let mut quarantined = Vec::new();
        for (key, peer) in self.workers.iter().filter(is_peer) {
            peers += 1;
            if peer.is_quarantined(now) {
                quarantined.push((peer.quarantined_until, key));
            }
        }
        let limit = (peers / QUARANTINE_DIVISOR).max(1);
        let excess = quarantined.len().saturating_sub(limit);
        quarantined.sort();
        for (_, key) in quarantined.into_iter().take(excess) {
            self.workers[key].quarantined_until = now;
        }
    }
}
