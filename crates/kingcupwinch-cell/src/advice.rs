//! Tickets issued by the adviser, and the instances that call it.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::mechanism::{Disabled, Mechanism};
use crate::spec::AdviceCost;
use crate::worker::WorkerKey;

/// Subtracted from a ticket's validity, since the ticket has to be valid when it reaches the
/// worker.
const TICKET_MARGIN: Span = Span::from_millis(150);
/// How much longer than expected a call may take before it counts as lost.
const CALL_TIMEOUT_MARGIN: Span = Span::from_millis(500);
/// How much longer than expected a call may take before its caller gets no further ones.
const OVERDUE_MARGIN: Span = Span::from_millis(100);
/// How long an instance whose call failed is not used for further calls. Each further failure in a
/// row doubles the time.
const CALLER_BACKOFF: Span = Span::from_millis(1_500);
/// The largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// The time between two probes of an instance that does not respond. Each further one that fails doubles
/// it, up to a limit.
const PROBE_INTERVAL: Span = Span::from_millis(500);
const MAX_PROBE_DOUBLINGS: u32 = 4;
/// How long after a lost call the step may call again.
const RETRY_BACKOFF: Span = Span::from_millis(150);
/// The factor by which each lost call raises the number of instances that make the next one, and the
/// largest number.
const LOST_CALL_FACTOR: u32 = 4;
const MAX_CALL_COPIES: u32 = 16;
/// Calls longer than this are long calls. They leave some of the callers free for short calls.
const LONG_CALL_THRESHOLD: Span = Span::from_millis(150);
/// The longest wait for a free caller that a short call accepts.
const SHORT_CALL_MAX_WAIT: Span = Span::from_millis(60);
/// The longest wait for a free caller that a long call accepts.
const LONG_CALL_MAX_WAIT: Span = Span::from_millis(300);

/// The adviser's permission to start tasks of a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The id of the worker.
    pub worker: Arc<str>,
    /// The text of the ticket, which the worker checks.
    pub text: Arc<str>,
}

/// The adviser's verdict on a worker for one step. Whether a worker may run a step never changes.
#[derive(Debug, Clone)]
pub(crate) enum Verdict {
    Denied,
    Allowed { text: Arc<str>, expires: Time },
}

/// The adviser's verdicts for one step, and the state of the calls for them.
#[derive(Debug, Default)]
pub(crate) struct TicketCache {
    verdicts: FxHashMap<WorkerKey, Verdict>,
    /// The number of calls in flight.
    pending_calls: u32,
    /// The earliest time of the next call.
    pub(crate) next_call: Time,
    /// When the last call was made.
    pub(crate) asked_at: Time,
    /// The calls in a row that were lost. Those that were in flight together count as one.
    lost_calls: u32,
    /// The calls that were answered since the last start of a task.
    pub(crate) calls_without_start: u32,
}

impl TicketCache {
    pub(crate) fn verdict(&self, worker: WorkerKey) -> Option<&Verdict> {
        self.verdicts.get(&worker)
    }

    /// Returns whether the adviser has given any verdict yet.
    pub(crate) fn has_verdicts(&self) -> bool {
        !self.verdicts.is_empty()
    }

    /// Returns the workers whose tickets are valid at `now`.
    pub(crate) fn allowed_workers(&self, now: Time) -> impl Iterator<Item = WorkerKey> {
        let valid = move |(key, verdict): (&WorkerKey, &Verdict)| match verdict {
            Verdict::Allowed { expires, .. } => (*expires > now).then_some(*key),
            Verdict::Denied => None,
        };
        self.verdicts.iter().filter_map(valid)
    }

    /// Returns the ticket for a worker if it is valid at `now`.
    pub(crate) fn valid_ticket(&self, worker: WorkerKey, now: Time) -> Option<&Arc<str>> {
        match self.verdicts.get(&worker)? {
            Verdict::Allowed { text, expires } if *expires > now => Some(text),
            Verdict::Allowed { .. } | Verdict::Denied => None,
        }
    }

    pub(crate) fn deny(&mut self, worker: WorkerKey) {
        self.verdicts.insert(worker, Verdict::Denied);
    }

    pub(crate) fn allow(&mut self, worker: WorkerKey, text: Arc<str>, validity: Span, now: Time) {
        let expires = now + validity - TICKET_MARGIN;
        self.verdicts
            .insert(worker, Verdict::Allowed { text, expires });
    }

    /// Expires a ticket that its worker refused, so that a new one is requested.
    pub(crate) fn expire(&mut self, worker: WorkerKey, now: Time) {
        if let Some(Verdict::Allowed { expires, .. }) = self.verdicts.get_mut(&worker) {
            *expires = now;
        }
    }

    /// Returns whether a call is in flight.
    pub(crate) fn is_call_pending(&self) -> bool {
        self.pending_calls > 0
    }

    /// Records that a call was made.
    pub(crate) fn note_call(&mut self, now: Time) {
        self.pending_calls += 1;
        self.asked_at = now;
    }

    /// Returns whether all calls that were made last were lost.
    pub(crate) fn is_call_lost(&self) -> bool {
        self.lost_calls > 0
    }

    /// Returns how many instances make the next call at once: after a lost one each may be one that does
    /// not reach the adviser.
    pub(crate) fn call_copies(&self) -> u32 {
        LOST_CALL_FACTOR
            .saturating_pow(self.lost_calls)
            .min(MAX_CALL_COPIES)
    }

    /// Records that a call was answered, and that nothing is expected any more of its copies.
    pub(crate) fn note_response(&mut self, copies: u32) {
        self.pending_calls = self.pending_calls.saturating_sub(1 + copies);
        self.lost_calls = 0;
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.pending_calls = self.pending_calls.saturating_sub(1);
        if self.pending_calls == 0 {
            self.lost_calls = self.lost_calls.saturating_add(1);
        }
        self.next_call = now + RETRY_BACKOFF;
    }
}

/// Returns the expected duration of a call about `workers` workers.
pub(crate) fn call_time(cost: &AdviceCost, workers: usize) -> Span {
    let ms = cost.call_ms + cost.worker_ms * workers as f64;
    Span::from_micros((ms * 1_000.0) as u64)
}

/// Returns how many workers a call may name without more than doubling its base duration.
pub(crate) fn affordable_workers(cost: AdviceCost) -> usize {
    (cost.call_ms / cost.worker_ms.max(f64::MIN_POSITIVE)) as usize
}

/// What is known of an instance that can call the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerLife {
    /// It has announced itself, and nothing else was heard from it.
    Announced,
    /// It responded to the last call or probe.
    Heard,
    /// It did not respond to the last call or probe, and gets no calls until it responds to a probe.
    Silent {
        /// When it is probed again.
        probe_at: Time,
        /// Probes in a row that failed.
        failed_probes: u32,
    },
}

/// An instance that can call the adviser. The adviser handles the calls of one instance one at a
/// time.
#[derive(Debug, Clone)]
struct AdviceCaller {
    instance: Arc<str>,
    free_at: Time,
    /// The number of calls without a response yet.
    pending: u32,
    /// When the oldest of these is overdue.
    overdue_at: Option<Time>,
    /// Failed calls since the last response.
    failures: u32,
    life: CallerLife,
    /// Whether a probe has no result yet.
    is_probed: bool,
}

impl AdviceCaller {
    fn new(instance: &Arc<str>) -> Self {
        AdviceCaller {
            instance: Arc::clone(instance),
            free_at: Time::ZERO,
            pending: 0,
            overdue_at: None,
            failures: 0,
            life: CallerLife::Announced,
            is_probed: false,
        }
    }

    fn is_silent(&self) -> bool {
        matches!(self.life, CallerLife::Silent { .. })
    }

    fn is_probe_due(&self, now: Time) -> bool {
        let is_due = match self.life {
            CallerLife::Announced => true,
            CallerLife::Heard => false,
            CallerLife::Silent { probe_at, .. } => probe_at <= now,
        };
        is_due && !self.is_probed
    }

    fn note_probe(&mut self, has_responded: bool, now: Time) {
        self.is_probed = false;
        if has_responded {
            self.life = CallerLife::Heard;
            return;
        }
        let failed_probes = match self.life {
            CallerLife::Silent { failed_probes, .. } => failed_probes,
            CallerLife::Announced | CallerLife::Heard => 0,
        };
        let doublings = failed_probes.min(MAX_PROBE_DOUBLINGS);
        self.life = CallerLife::Silent {
            probe_at: now + PROBE_INTERVAL.times(1 << doublings),
            failed_probes: failed_probes + 1,
        };
    }

    /// Returns whether the caller may get another call. A caller that is overdue may be cut off,
    /// and one that failed is tried with a single call.
    fn is_available(&self, now: Time) -> bool {
        let is_overdue = self.overdue_at.is_some_and(|at| at <= now);
        let is_tried = self.failures > 0 && self.pending > 0;
        !is_overdue && !is_tried
    }

    fn end_call(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.overdue_at = (self.pending > 0).then_some(self.free_at + OVERDUE_MARGIN);
    }
}

/// The instances over which calls to the adviser are spread.
#[derive(Debug, Default)]
pub(crate) struct AdviceCallers {
    callers: Vec<AdviceCaller>,
    disabled: Disabled,
}

impl AdviceCallers {
    /// Switches mechanisms off.
    pub(crate) fn with_disabled(self, disabled: Disabled) -> Self {
        AdviceCallers { disabled, ..self }
    }

    /// Replaces the instances, and keeps the state of each known one.
    pub(crate) fn set_instances(&mut self, instances: &[Arc<str>]) {
        let mut callers = Vec::with_capacity(instances.len());
        for instance in instances {
            let mut known = self.callers.iter();
            let known = known.find(|caller| caller.instance == *instance);
            callers.push(known.map_or_else(|| AdviceCaller::new(instance), Clone::clone));
        }
        self.callers = callers;
    }

    /// Returns whether a call of at least this length could be made now.
    pub(crate) fn has_free(&self, duration: Span, now: Time) -> bool {
        self.choose(duration, now).is_some()
    }

    /// Returns whether over half of the callers that make long calls are idle, so that a call that can
    /// wait takes none from the others.
    pub(crate) fn has_spare(&self, now: Time) -> bool {
        let callers = self.usable_callers();
        let callers = &callers[..self.long_callers(callers.len())];
        let is_idle = |caller: &&usize| {
            let caller = &self.callers[**caller];
            caller.free_at <= now && self.is_available(caller, now)
        };
        callers.iter().filter(is_idle).count() * 2 > callers.len()
    }

    /// Returns the indexes of the callers that calls may go to, by what is known of them: those whose last
    /// call did not fail, if there are any, then the other ones that are not silent, then all.
    fn usable_callers(&self) -> SmallVec<[usize; 16]> {
        let all = 0..self.callers.len();
        if !self.disabled.uses(Mechanism::CallerHealth) {
            return all.collect();
        }
        let sound = self.callers_with(|caller| !caller.is_silent() && caller.failures == 0);
        if !sound.is_empty() {
            return sound;
        }
        let live = self.callers_with(|caller| !caller.is_silent());
        if live.is_empty() { all.collect() } else { live }
    }

    /// Returns the indexes of the callers whose last call failed, and that have responded to a probe since.
    fn failed_callers(&self) -> SmallVec<[usize; 16]> {
        self.callers_with(|caller| !caller.is_silent() && caller.failures > 0)
    }

    fn callers_with(&self, is_chosen: impl Fn(&AdviceCaller) -> bool) -> SmallVec<[usize; 16]> {
        let callers = self.callers.iter().enumerate();
        let chosen = callers.filter(|(_, caller)| is_chosen(caller));
        chosen.map(|(index, _)| index).collect()
    }

    /// Returns the instances that are to be probed now, of which nothing is known or that were silent.
    pub(crate) fn start_probes(&mut self, now: Time) -> SmallVec<[Arc<str>; 4]> {
        let callers = self.callers.iter_mut();
        let due = callers.filter(|caller| caller.is_probe_due(now));
        let start = |caller: &mut AdviceCaller| {
            caller.is_probed = true;
            Arc::clone(&caller.instance)
        };
        due.map(start).collect()
    }

    /// Records whether an instance responded to a probe.
    pub(crate) fn note_probe(&mut self, instance: &str, has_responded: bool, now: Time) {
        if let Some(caller) = self.find(instance) {
            caller.note_probe(has_responded, now);
        }
    }

    /// Returns how many of the usable callers make long calls, counted from the first.
    fn long_callers(&self, all: usize) -> usize {
        if self.disabled.uses(Mechanism::CallerSplit) {
            (all * 2).div_ceil(3)
        } else {
            all
        }
    }

    /// Reserves the caller that is free first, if that is soon enough for a call of this length.
    /// Returns its instance and the time after which the call counts as lost.
    pub(crate) fn reserve(&mut self, duration: Span, now: Time) -> Option<(Arc<str>, Time)> {
        let caller = self.choose(duration, now)?;
        Some(self.reserve_caller(caller, duration, now))
    }

    /// Reserves a caller that is idle and whose last call did not fail.
    pub(crate) fn reserve_idle(&mut self, duration: Span, now: Time) -> Option<(Arc<str>, Time)> {
        let caller = self.first_free(&self.usable_callers(), now, now)?;
        let is_sound = self.callers[caller].failures == 0;
        is_sound.then(|| self.reserve_caller(caller, duration, now))
    }

    fn reserve_caller(&mut self, caller: usize, duration: Span, now: Time) -> (Arc<str>, Time) {
        let caller = &mut self.callers[caller];
        caller.free_at = caller.free_at.max(now) + duration;
        caller.pending += 1;
        caller
            .overdue_at
            .get_or_insert(caller.free_at + OVERDUE_MARGIN);
        (
            Arc::clone(&caller.instance),
            caller.free_at + CALL_TIMEOUT_MARGIN,
        )
    }

    fn choose(&self, duration: Span, now: Time) -> Option<usize> {
        let callers = self.usable_callers();
        let (max_wait, count) = if duration > LONG_CALL_THRESHOLD {
            (LONG_CALL_MAX_WAIT, self.long_callers(callers.len()))
        } else {
            (SHORT_CALL_MAX_WAIT, callers.len())
        };
        let free_by = now + max_wait;
        // Short calls use the callers from the end of the list, which long calls may not use. One whose
        // last call failed is tried again if the others are busy.
        self.first_free(&callers[..count], free_by, now)
            .or_else(|| self.first_free(&self.failed_callers(), free_by, now))
    }

    /// Returns the caller that is free first, the last one of several, if one is free soon enough.
    fn first_free(&self, callers: &[usize], free_by: Time, now: Time) -> Option<usize> {
        let is_free = |caller: &usize| {
            let caller = &self.callers[*caller];
            self.is_available(caller, now) && caller.free_at <= free_by
        };
        let callers = callers.iter().rev().copied().filter(is_free);
        callers.min_by_key(|caller| self.callers[*caller].free_at.max(now))
    }

    fn is_available(&self, caller: &AdviceCaller, now: Time) -> bool {
        caller.is_available(now) || !self.disabled.uses(Mechanism::CallerHealth)
    }

    /// Records that a call of an instance was answered.
    pub(crate) fn note_response(&mut self, instance: &str) {
        if let Some(caller) = self.find(instance) {
            caller.failures = 0;
            caller.life = CallerLife::Heard;
            caller.end_call();
        }
    }

    /// Records that a call of an instance failed or was lost, and makes no calls from it for a while.
    pub(crate) fn note_failure(&mut self, instance: &str, now: Time) {
        let Some(caller) = self.find(instance) else {
            return;
        };
        caller.end_call();
        if !caller.is_silent() {
            caller.life = CallerLife::Silent {
                probe_at: now,
                failed_probes: 0,
            };
        }
        // Calls that were made before the first failure show nothing new.
        if caller.failures > 0 && caller.free_at > now {
            return;
        }
        let doublings = caller.failures.min(MAX_BACKOFF_DOUBLINGS);
        caller.failures += 1;
        caller.free_at = caller
            .free_at
            .max(now + CALLER_BACKOFF.times(1 << doublings));
    }

    fn find(&mut self, instance: &str) -> Option<&mut AdviceCaller> {
        let mut callers = self.callers.iter_mut();
        callers.find(|caller| &*caller.instance == instance)
    }
}
