//! What the crashes of workers say about a suspect, in view of those that it has no part in.

use std::ops::Range;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::Cell;
use super::crashes::{PROBATION_TIME, Suspect};
use crate::crash::UnweighedCrash;
use crate::job::JobKey;
use crate::worker::{Worker, WorkerKey};

/// How long before a crash those of other workers count towards their rate, and how long after it:
/// workers that crash at once respond last at different times.
const BEFORE_CRASH: Span = Span::from_millis(2_500);
const AFTER_CRASH: Span = Span::from_millis(2_500);
/// Added to the age of a run at its worker's last response: the worker may have crashed later.
const DETECTION_TIME: Span = Span::from_secs(2);
/// The known suspects have to leave one in this many workers for the others to show a rate.
const MIN_OTHERS_DIVISOR: usize = 4;
/// The crashes of other workers that may have gone unseen while workers with known suspects crashed.
const UNSEEN_CRASHES: f64 = 0.5;
/// A time is calm if no other worker has crashed for this long, or so few of many that a task would
/// hardly be hit.
const CALM_TIME: Span = Span::from_millis(5_000);
/// The largest chance that a run is hit by a crash in its probation, in a calm time.
const MAX_CALM_CHANCE: f64 = 0.05;
/// The age of a worker's last response from which, with a failed poll, it may have crashed, and up to
/// which it counts as one that just has.
const SILENCE: Range<Span> = Span::from_millis(300)..Span::from_secs(8);
/// Crashes whose workers responded last no further apart than this are not told apart.
const AT_ONCE: Span = Span::from_millis(500);

/// The crashes of a service that a suspect has no part in, and the workers that they could have hit.
#[derive(Debug, Clone, Copy)]
struct OtherCrashes {
    crashes: f64,
    workers: usize,
}

/// What is known about the cause of a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LossCause {
    Unknown,
    /// It counts against the suspect in question.
    Own,
    /// It counts against another suspect that may soon be given up.
    Suspected,
    /// Such a suspect was being tried on the worker.
    OnTrial,
    /// Another suspect was given up for it.
    Explained,
}

/// A worker that crashed, or may have.
#[derive(Debug, Clone, Copy)]
struct Loss {
    worker: WorkerKey,
    last_response: Time,
    cause: LossCause,
}

impl OtherCrashes {
    /// Returns the share of these workers on which so many tasks run.
    fn share(self, tasks: usize) -> f64 {
        (tasks as f64 / self.workers.max(1) as f64).min(1.0)
    }
}

impl Cell {
    /// Weighs the crashes of a suspect, and ends its job if they can't be chance.
    pub(super) fn judge(&mut self, suspect: Suspect, now: Time) {
        let task = &self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index];
        let unweighed: SmallVec<[UnweighedCrash; 2]> = task.crashes.unweighed().into();
        for crash in unweighed {
            let window = crash.at - BEFORE_CRASH..crash.at + AFTER_CRASH;
            let others = self.other_crashes(suspect, &window, now);
            let exposure = (crash.age + DETECTION_TIME).as_secs_f64();
            let spread = (exposure / (BEFORE_CRASH + AFTER_CRASH).as_secs_f64()).max(1.0);
            let hits = others.share(self.members(suspect)) * others.crashes * spread;
            let evidence = if others.crashes > 0.0 {
                -(-(-hits).exp_m1()).ln()
            } else {
                self.single_crash_evidence(suspect, &crash, now)
            };
            let task = &mut self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index];
            task.crashes.weigh_evidence(&crash, evidence);
            self.dirty.insert(suspect.job);
        }
        let task = &self.jobs[suspect.job].steps[suspect.step].tasks[suspect.index];
        if task.crashes.is_guilty() {
            self.give_up(suspect, now);
        }
    }

    /// Returns whether a suspect has lost several workers.
    fn is_known(&self, suspect: Suspect) -> bool {
        let crashes = self.crashes_of(suspect);
        crashes.is_some_and(|crashes| crashes.as_slice().len() > 1)
    }

    /// Counts the workers of a suspect's service that responded last within a window and crashed, or may
    /// have, without those on which another suspect ran that had lost a worker before.
    fn other_crashes(&self, suspect: Suspect, window: &Range<Time>, now: Time) -> OtherCrashes {
        let service = &self.jobs[suspect.job].spec.policy.service;
        let is_known = |other: &Suspect| *other == suspect || self.is_known(*other);
        let mut suspected: FxHashSet<WorkerKey> = FxHashSet::default();
        for other in self
            .crash_log
            .suspects
            .iter()
            .filter(|other| is_known(other))
        {
            suspected.extend(self.suspect_runs(*other).map(|run| run.worker));
        }
        let mut crashed: FxHashSet<WorkerKey> = FxHashSet::default();
        let mut explained: FxHashSet<WorkerKey> = FxHashSet::default();
        for crash in &self.crash_log.crashes {
            if crash.service != *service || !window.contains(&crash.last_response) {
                continue;
            }
            let mut counted = crash.counted.iter();
            if crash.is_explained || counted.any(|(other, _)| is_known(other)) {
                explained.insert(crash.worker);
            } else {
                crashed.insert(crash.worker);
            }
        }
        let peers = self.workers.iter();
        let peers = peers.filter(|(_, peer)| peer.registration.service == *service);
        let mut all = 0;
        for (key, peer) in peers {
            if !is_there(peer, now) && !crashed.contains(&key) && !explained.contains(&key) {
                continue;
            }
            all += 1;
            let is_silent = is_silent(peer, now) && window.contains(&peer.last_response);
            if is_silent && !suspected.contains(&key) && !explained.contains(&key) {
                crashed.insert(key);
            }
        }
        suspected.extend(&explained);
        let others = all - suspected.len().min(all);
        if others * MIN_OTHERS_DIVISOR >= all {
            // What may have hit the suspected workers could have passed these by.
            let others_suspected = explained
                .iter()
                .any(|worker| !self.is_own_crash(suspect, *worker, now));
            let unseen = if others_suspected {
                UNSEEN_CRASHES
            } else {
                0.0
            };
            OtherCrashes {
                crashes: crashed.len() as f64 + unseen,
                workers: others,
            }
        } else {
            // Nearly all workers are suspected, so that leaving those out would hide an outage.
            explained.retain(|worker| !self.is_own_crash(suspect, *worker, now));
            OtherCrashes {
                crashes: (crashed.len() + explained.len()) as f64,
                workers: all,
            }
        }
    }

    /// Returns whether a recent crash of a worker counts against a suspect.
    fn is_own_crash(&self, suspect: Suspect, worker: WorkerKey, now: Time) -> bool {
        let recent = self.crash_log.recent(now);
        let mut of_worker = recent.filter(|crash| crash.worker == worker);
        of_worker.any(|crash| crash.counts_against(suspect))
    }

    /// Returns whether a task that lost several workers waits, since others crash as well.
    pub(crate) fn is_held_back(&self, job: JobKey, place: (usize, usize), now: Time) -> bool {
        let suspect = self.suspect_of(job, place.0, place.1);
        let task = &self.jobs[job].steps[suspect.step].tasks[suspect.index];
        if task.crashes.is_on_trial() {
            return true;
        }
        if !task.crashes.is_held(now) {
            return false;
        }
        let crashed = self.crashed_since(suspect, now - CALM_TIME, now);
        let service = &self.jobs[job].spec.policy.service;
        let peers = self.workers.values();
        let peers = peers.filter(|peer| peer.registration.service == *service);
        let peers = peers.filter(|peer| is_there(peer, now));
        let others = OtherCrashes {
            crashes: crashed as f64,
            workers: peers.count(),
        };
        let spread = PROBATION_TIME.as_secs_f64() / CALM_TIME.as_secs_f64();
        others.share(self.members(suspect)) * others.crashes * spread > MAX_CALM_CHANCE
    }

    /// Returns how many workers of a suspect's service last responded after a time and crashed, or may
    /// have, but for those that the suspect lost, and those that others were tried on: what a task does
    /// that is about to be given up says nothing about the rest.
    fn crashed_since(&self, suspect: Suspect, since: Time, now: Time) -> usize {
        let losses = self.recent_losses(suspect, now);
        let counts = |loss: &&Loss| match loss.cause {
            LossCause::Unknown => true,
            LossCause::Suspected | LossCause::OnTrial => is_in_outage(loss, &losses),
            LossCause::Own | LossCause::Explained => false,
        };
        let recent = losses.iter().filter(|loss| loss.last_response >= since);
        let crashed = recent.filter(counts).map(|loss| loss.worker);
        crashed.collect::<FxHashSet<WorkerKey>>().len()
    }

    /// Returns the workers of a suspect's service that crashed lately, or may just have.
    fn recent_losses(&self, suspect: Suspect, now: Time) -> Vec<Loss> {
        let service = &self.jobs[suspect.job].spec.policy.service;
        let cause_by = |&(other, run): &(Suspect, u32)| match self.crashes_of(other) {
            Some(crashes) if crashes.was_critical_before(run) => LossCause::OnTrial,
            Some(crashes) if crashes.is_critical() => LossCause::Suspected,
            _ => LossCause::Unknown,
        };
        let crashes = self.crash_log.recent(now);
        let crashes = crashes.filter(|crash| crash.service == *service);
        let crashes = crashes.map(|crash| Loss {
            worker: crash.worker,
            last_response: crash.last_response,
            cause: if crash.is_explained {
                LossCause::Explained
            } else if crash.counts_against(suspect) {
                LossCause::Own
            } else {
                let causes = crash.counted.iter().map(cause_by);
                causes.max().unwrap_or(LossCause::Unknown)
            },
        });
        let is_noted = |key: WorkerKey, peer: &Worker| {
            let mut recent = self.crash_log.recent(now);
            recent.any(|crash| crash.worker == key && crash.last_response == peer.last_response)
        };
        let silent = self.workers.iter().filter(|(key, peer)| {
            peer.registration.service == *service && is_silent(peer, now) && !is_noted(*key, peer)
        });
        let silent = silent.map(|(key, peer)| Loss {
            worker: key,
            last_response: peer.last_response,
            cause: LossCause::Unknown,
        });
        crashes.chain(silent).collect()
    }
}

/// Returns whether others were lost at the same time as one, so that it may be due to an outage. Two
/// suspects that are tried may crash their workers at the same time by chance.
fn is_in_outage(loss: &Loss, losses: &[Loss]) -> bool {
    let is_at_once = |other: &&Loss| {
        other.worker != loss.worker && other.last_response.distance(loss.last_response) <= AT_ONCE
    };
    let at_once = || losses.iter().filter(is_at_once);
    let others: FxHashSet<WorkerKey> = at_once().map(|other| other.worker).collect();
    let are_tried = loss.cause == LossCause::OnTrial
        && at_once().all(|other| other.cause >= LossCause::OnTrial);
    others.len() > usize::from(are_tried)
}

/// Returns whether a worker responded lately, so that it was there to be hit.
pub(super) fn is_there(worker: &Worker, now: Time) -> bool {
    let age = worker.response_age(now);
    age.is_some_and(|age| age < SILENCE.end)
}

/// Returns whether a worker may just have crashed.
fn is_silent(worker: &Worker, now: Time) -> bool {
    let age = worker.response_age(now);
    worker.failed_polls > 0 && !worker.is_leaving() && age.is_some_and(|age| SILENCE.contains(&age))
}
