//! The crashes of workers that count against a task.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::worker::WorkerKey;

/// The fewest crashes after which a task is given up.
const MIN_CRASHES: usize = 3;
/// The sums of the weights from which a task is given up, in hundredths, after the fewest crashes, one more
/// and two more. A harmless task would reach the first by chance once in 40,000 times.
const GIVE_UP_WEIGHTS: [u32; 3] = [1_060, 1_060, 400];
/// What each further crash adds to the last of these, since those of a harmless task weigh something, too.
const FURTHER_WEIGHT: u32 = 100;
/// The weight from which a task is the likely cause of its crashes.
const BLAMED_WEIGHT: u32 = 400;
/// The most that one crash counts against the others.
const MAX_EXONERATION: u32 = 200;
/// How much evidence it takes to hold a worker for faulty, as few are, as a logarithm.
const FAULTY_WORKER_EVIDENCE: f64 = 4.0;
/// The largest weight of a crash, so that three have to point to the task, and that of a crash that
/// another suspect may have caused.
const MAX_WEIGHT: u16 = 400;
const MAX_SHARED_WEIGHT: u16 = 200;
/// The weight of a crash in an outage that was not weighed: one in four workers crashed.
const OUTAGE_WEIGHT: u16 = 135;
/// How long after its last crash a critical suspect waits for a time in which no other workers crash.
const MAX_HOLD: Span = Span::from_secs(60);
/// How long a task with few crashes waits for a worker without other suspects. Callers expect a start
/// within 3 s.
const SEPARATION_WAIT: Span = Span::from_millis(2_000);
/// How long a task waits that could be given up for doubtful crashes. Other suspects have been
/// cleared or given up by then.
const LONG_SEPARATION_WAIT: Span = Span::from_millis(5_000);
/// How long the verdict on a task is put off, since the crashes of many workers at once are not
/// detected at the same time.
const VERDICT_DELAY: Span = Span::from_millis(1_000);
/// The largest multiple of this delay. Callers expect a start within 3 s after 4 s without a crash.
const MAX_VERDICT_DELAYS: u64 = 5;

/// How strongly a crash points to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Evidence {
    /// Many workers crashed at once.
    #[serde(rename = "w")]
    Weak,
    /// Another task that had just started on the worker may have been the cause, or the worker was
    /// only cut off.
    #[serde(rename = "s")]
    Shared,
    /// No other task is as likely to be the cause.
    #[serde(rename = "c")]
    Clear,
}

/// A crash of a worker that a run may have caused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The run number.
    #[serde(rename = "n")]
    pub run: u32,
    /// The worker's id.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// How strongly the crash points to the task.
    #[serde(rename = "e")]
    pub evidence: Evidence,
    /// The negative logarithm of the chance that a harmless task would have lost its worker as well, in
    /// hundredths, once it is known. Owners of earlier versions don't record it.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u16>,
}

impl Crash {
    /// Returns how much the crash counts towards giving the task up.
    fn counted_weight(&self) -> u32 {
        let unweighed = match self.evidence {
            Evidence::Weak => OUTAGE_WEIGHT,
            Evidence::Shared => MAX_SHARED_WEIGHT,
            Evidence::Clear => MAX_WEIGHT,
        };
        self.weight.unwrap_or(unweighed).into()
    }
}

/// A crash whose weight is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnweighedCrash {
    pub(crate) run: u32,
    /// When the worker last responded.
    pub(crate) at: Time,
    /// How long the run had been active by then.
    pub(crate) age: Span,
    /// When the worker had certainly crashed.
    pub(crate) ended_by: Time,
    /// The worker.
    pub(crate) worker: WorkerKey,
    /// Whether another suspect may have been the cause.
    pub(crate) is_shared: bool,
}

impl UnweighedCrash {
    /// Returns how long the run may have been active.
    pub(crate) fn longest_age(&self) -> Span {
        self.ended_by.since(self.started_at())
    }

    /// Returns when the run started.
    pub(crate) fn started_at(&self) -> Time {
        self.at - self.age
    }

    /// Returns the weight of the crash by the evidence against the task, which is a logarithm.
    fn weight(&self, evidence: f64) -> u16 {
        let most = if self.is_shared {
            MAX_SHARED_WEIGHT
        } else {
            MAX_WEIGHT
        };
        (evidence * 100.0).clamp(0.0, most.into()) as u16
    }
}

/// How likely a task is to crash its worker, by its crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// No crash points to the task.
    #[default]
    None,
    /// One crash does.
    Single,
    /// Several do.
    Repeated,
    /// The task may soon be given up, so that no other suspect joins it on its worker until it has
    /// survived there.
    Critical,
}

impl Suspicion {
    /// Returns whether tasks of these suspicions have to be kept on different workers, so that the
    /// next crash shows which of them causes it.
    pub(crate) fn excludes(self, other: Suspicion) -> bool {
        let is_suspect = self > Suspicion::None && other > Suspicion::None;
        is_suspect && self.max(other) >= Suspicion::Repeated
    }
}

/// A run that ended with a crash.
#[derive(Debug, Clone, Copy)]
struct CrashedRun {
    run: u32,
    started_at: Time,
    /// When its worker had certainly crashed.
    ended_by: Time,
}

/// The crashes that count against a task. For a gang, the first task holds those of all members.
#[derive(Debug)]
pub(crate) struct TaskCrashes {
    crashes: SmallVec<[Crash; 2]>,
    unweighed: SmallVec<[UnweighedCrash; 1]>,
    /// The runs that ended with a crash which this owner has seen.
    crashed_runs: SmallVec<[CrashedRun; 2]>,
    /// How strongly crashes that this owner has weighed point away from the task, in hundredths.
    exoneration: u32,
    /// What is left of the evidence that it takes to hold a worker for faulty.
    faulty_evidence: f64,
    /// Until when a critical suspect waits for a time in which no other workers crash.
    hold_until: Time,
    /// Until when the task waits for a worker without other suspects.
    separate_until: Time,
    /// When the task is given up, if it is still to be.
    verdict_at: Time,
}

impl Default for TaskCrashes {
    fn default() -> Self {
        TaskCrashes {
            crashes: SmallVec::new(),
            unweighed: SmallVec::new(),
            crashed_runs: SmallVec::new(),
            exoneration: 0,
            faulty_evidence: FAULTY_WORKER_EVIDENCE,
            hold_until: Time::ZERO,
            separate_until: Time::ZERO,
            verdict_at: Time::ZERO,
        }
    }
}

impl TaskCrashes {
    /// Builds the crashes that an earlier owner recorded.
    pub(crate) fn of_record(crashes: SmallVec<[Crash; 2]>, now: Time) -> Self {
        TaskCrashes {
            separate_until: now + separation_wait(crashes.len()),
            verdict_at: now,
            hold_until: now + MAX_HOLD,
            crashes,
            ..TaskCrashes::default()
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(crate) fn as_slice(&self) -> &[Crash] {
        &self.crashes
    }

    /// Counts a crash, once for each run.
    pub(crate) fn add(&mut self, crash: Crash, unweighed: UnweighedCrash, now: Time) {
        self.unweighed.retain(|known| known.run != crash.run);
        self.crashed_runs.retain(|known| known.run != crash.run);
        self.crashed_runs.push(CrashedRun {
            run: crash.run,
            started_at: unweighed.started_at(),
            ended_by: unweighed.ended_by,
        });
        self.unweighed.push(unweighed);
        self.hold_until = now + MAX_HOLD;
        match self.crashes.iter_mut().find(|known| known.run == crash.run) {
            Some(known) => known.evidence = known.evidence.max(crash.evidence),
            None => self.crashes.push(crash),
        }
        self.separate_until = now + separation_wait(self.crashes.len());
        self.verdict_at = now + verdict_delay(self.crashes.len());
    }

    /// Returns the longest time that a run may have been active which ended with a crash, zero if this
    /// owner has not seen it.
    pub(crate) fn longest_age(&self, run: u32) -> Span {
        let mut runs = self.crashed_runs.iter();
        let known = runs.find(|known| known.run == run);
        known.map_or(Span::ZERO, |known| known.ended_by.since(known.started_at))
    }

    /// Returns the evidence of a crash against the task, in view of that against the service's workers
    /// and that against the one worker. The latter counts once it is enough to hold a worker for faulty.
    pub(crate) fn allow_for_worker(&mut self, by_service: f64, by_worker: f64) -> f64 {
        let excess = (by_service - by_worker).max(0.0);
        let used = excess.min(self.faulty_evidence);
        self.faulty_evidence -= used;
        by_service - (excess - used)
    }

    /// Weighs a crash by the evidence against the task.
    pub(crate) fn weigh_evidence(&mut self, crash: &UnweighedCrash, evidence: f64) {
        self.weigh(crash.run, crash.weight(evidence));
        let exoneration = (-evidence * 100.0).clamp(0.0, MAX_EXONERATION.into());
        self.exoneration += exoneration as u32;
    }

    /// Returns the crashes whose weight is not known yet.
    pub(crate) fn unweighed(&self) -> &[UnweighedCrash] {
        &self.unweighed
    }

    /// Sets the weight of the crash under a run.
    pub(crate) fn weigh(&mut self, run: u32, weight: u16) {
        self.unweighed.retain(|crash| crash.run != run);
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.run == run) {
            crash.weight = Some(weight);
        }
    }

    /// Lowers the evidence of the crash under a run. Returns whether it was higher.
    pub(crate) fn weaken(&mut self, run: u32) -> bool {
        let is_strong = |crash: &&mut Crash| crash.run == run && crash.evidence > Evidence::Weak;
        let crash = self.crashes.iter_mut().find(is_strong);
        crash.map(|crash| crash.evidence = Evidence::Weak).is_some()
    }

    /// Removes the crash under a run. Returns whether there was one.
    pub(crate) fn withdraw(&mut self, run: u32) -> bool {
        let known = self.crashes.len();
        self.crashes.retain(|crash| crash.run != run);
        self.unweighed.retain(|crash| crash.run != run);
        self.crashes.len() < known
    }

    pub(crate) fn clear(&mut self) {
        self.crashes.clear();
        self.unweighed.clear();
        self.crashed_runs.clear();
        self.exoneration = 0;
        self.faulty_evidence = FAULTY_WORKER_EVIDENCE;
    }

    /// Returns whether the task may be given up once its crashes are weighed, so that it is not started
    /// before.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.is_critical() && !self.unweighed.is_empty()
    }

    /// Returns whether one more crash may show that the task causes them.
    pub(crate) fn is_critical(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES
    }

    /// Returns whether one more crash could show that already when a run started.
    pub(crate) fn was_critical_before(&self, run: u32) -> bool {
        let earlier = self.crashes.iter().filter(|crash| crash.run < run);
        earlier.count() >= MIN_CRASHES
    }

    /// Returns how strongly all crashes together point to the task, in hundredths.
    fn weight(&self) -> u32 {
        let weight: u32 = self.crashes.iter().map(Crash::counted_weight).sum();
        weight.saturating_sub(self.exoneration)
    }

    /// Returns whether the task is the likely cause of its crashes.
    pub(crate) fn is_blamed(&self) -> bool {
        self.weight() >= BLAMED_WEIGHT
    }

    /// Returns whether the crashes show that the task causes them.
    pub(crate) fn is_guilty(&self) -> bool {
        let Some(beyond) = self.crashes.len().checked_sub(MIN_CRASHES) else {
            return false;
        };
        let last = GIVE_UP_WEIGHTS.len() - 1;
        let further = beyond.saturating_sub(last) as u32 * FURTHER_WEIGHT;
        self.weight() >= GIVE_UP_WEIGHTS[beyond.min(last)] + further
    }

    /// Returns whether the task waits for a time in which no other workers crash.
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.is_critical() && now < self.hold_until
    }

    pub(crate) fn verdict_at(&self) -> Time {
        self.verdict_at
    }

    /// Returns how likely the task is to crash its worker. Tasks that lost a worker to the same outage
    /// need not be kept apart, but tasks that crash many workers at once look like one.
    pub(crate) fn suspicion(&self) -> Suspicion {
        let crashes = self.crashes.iter();
        let weak = crashes.filter(|crash| crash.evidence == Evidence::Weak);
        let weak = weak.count();
        match self.crashes.len() - weak + weak / 2 {
            _ if self.is_critical() => Suspicion::Critical,
            0 => Suspicion::None,
            1 => Suspicion::Single,
            _ => Suspicion::Repeated,
        }
    }

    /// Returns whether the task still waits for a worker without other suspects.
    pub(crate) fn is_separated(&self, now: Time) -> bool {
        now < self.separate_until
    }
}

fn separation_wait(crashes: usize) -> Span {
    if crashes < MIN_CRASHES {
        SEPARATION_WAIT
    } else {
        LONG_SEPARATION_WAIT
    }
}

/// Returns how long the verdict on a task is put off, and with it the next start. A task that can't be
/// told from a harmless one costs fewer workers if it waits longer each time.
fn verdict_delay(crashes: usize) -> Span {
    let further = crashes.saturating_sub(MIN_CRASHES + GIVE_UP_WEIGHTS.len() - 1) as u64;
    VERDICT_DELAY.times((1 + further).min(MAX_VERDICT_DELAYS))
}
