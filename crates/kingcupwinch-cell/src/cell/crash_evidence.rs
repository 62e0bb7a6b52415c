//! What the crash of a single worker says about a suspect: whether it explains the crash better than the
//! rates at which the workers of its service, and the worker itself, crash.

use kingcupwinch_time::Time;
use smallvec::SmallVec;

use super::Cell;
use super::crash_weights::is_there;
use super::crashes::{Suspect, WorkerCrash};
use crate::crash::{TaskCrashes, UnweighedCrash};
use crate::crash_rate::log_ratio;

impl Cell {
    /// Returns how strongly a crash points to a suspect if no other worker of its service crashed at that
    /// time, as a logarithm. It is negative if the crash points away from it.
    pub(super) fn single_crash_evidence(
        &mut self,
        suspect: Suspect,
        crash: &UnweighedCrash,
        now: Time,
    ) -> f64 {
        let service = &self.jobs[suspect.job].spec.policy.service;
        let peers = self.workers.values();
        let peers = peers.filter(|peer| peer.registration.service == *service);
        let workers = peers.filter(|peer| is_there(peer, now)).count();
        let share = (self.members(suspect) as f64 / workers.max(1) as f64).min(1.0);
        let age_s = crash.longest_age().as_secs_f64();
        let is_of_service = |other: &WorkerCrash| other.service == *service;
        let quiet_s = self.quiet_seconds(suspect, crash, share, is_of_service);
        let by_service = log_ratio(age_s, share, quiet_s.unwrap_or(0.0));
        let is_of_worker = |other: &WorkerCrash| other.worker == crash.worker;
        let Some(quiet_s) = self.quiet_seconds(suspect, crash, 1.0, is_of_worker) else {
            return by_service;
        };
        let by_worker = log_ratio(age_s, 1.0, quiet_s);
        let crashes = &mut self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index].crashes;
        crashes.allow_for_worker(by_service, by_worker)
    }

    /// Returns for how many seconds none of some workers crashed before the run that a crash has ended,
    /// less the time in which the suspect ran on its share of them. `None` if no earlier crash is known.
    ///
    /// The time begins with the last crash in which the suspect had no part, or with its own first one.
    fn quiet_seconds(
        &self,
        suspect: Suspect,
        crash: &UnweighedCrash,
        share: f64,
        is_counted: impl Fn(&WorkerCrash) -> bool,
    ) -> Option<f64> {
        let task = &self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index];
        let mut begin = None;
        let mut exposed_s = 0.0;
        let mut own_runs: SmallVec<[u32; 8]> = SmallVec::new();
        let earlier = self.crash_log.crashes.iter().rev();
        let earlier = earlier.filter(|other| other.last_response <= crash.at && is_counted(other));
        for other in earlier {
            match other.run_of(suspect) {
                Some(run) if run == crash.run || own_runs.contains(&run) => {}
                Some(run) => {
                    own_runs.push(run);
                    exposed_s += task.crashes.longest_age(run).as_secs_f64();
                    begin = Some(other.last_response);
                }
                None if self.has_likelier_cause(other) => {}
                None => {
                    begin = Some(other.last_response);
                    break;
                }
            }
        }
        let elapsed_s = crash.started_at().since(begin?).as_secs_f64();
        Some(elapsed_s - share * exposed_s)
    }

    /// Returns whether another task is the likely cause of a crash.
    fn has_likelier_cause(&self, crash: &WorkerCrash) -> bool {
        let mut suspects = crash.counted.iter().map(|(suspect, _)| *suspect);
        let is_blamed = |suspect| self.crashes_of(suspect).is_some_and(TaskCrashes::is_blamed);
        crash.is_explained || suspects.any(is_blamed)
    }
}
