//! Calls to the adviser that are in flight.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Action, Cell, INITIAL_ALLOWED_SHARE};
use crate::advice::Ticket;
use crate::estimate::ShareEstimate;
use crate::job::JobKey;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// The id of a call to the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdviceCallId(u64);

#[derive(Debug)]
pub(super) struct AdviceCall {
    job: JobKey,
    step: usize,
    workers: Vec<NamedWorker>,
    instance: Arc<str>,
    /// When the call counts as lost, and nothing is expected of it any more.
    deadline: Time,
    /// The first of the calls that several instances make at once.
    original: AdviceCallId,
    /// Whether another one of these was answered.
    is_superseded: bool,
}

/// A worker that a call names, and what the step is expected to place there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NamedWorker {
    pub(crate) key: WorkerKey,
    pub(crate) load: Resources,
    /// Whether the worker had capacity for a task.
    pub(crate) has_capacity: bool,
}

impl Cell {
    /// Adds a call about a step and returns its id. `original` is the first of the calls that several
    /// instances make at once.
    pub(crate) fn add_advice_call(
        &mut self,
        job: JobKey,
        step: usize,
        workers: Vec<NamedWorker>,
        (instance, deadline): (Arc<str>, Time),
        original: Option<AdviceCallId>,
    ) -> AdviceCallId {
        let id = AdviceCallId(self.next_call);
        self.next_call += 1;
        self.counters.advice_calls += 1;
        let call = AdviceCall {
            job,
            step,
            workers,
            instance,
            deadline,
            original: original.unwrap_or(id),
            is_superseded: false,
        };
        self.advice_calls.insert(id, call);
        id
    }

    /// Returns the workers that the call of a step in flight names, none without a call.
    pub(crate) fn asked_workers(
        &self,
        job: JobKey,
        step: usize,
    ) -> impl Iterator<Item = WorkerKey> {
        let mut calls = self.advice_calls.values();
        let call = calls.find(|call| call.job == job && call.step == step);
        let workers = call.map_or(&[][..], |call| &call.workers);
        workers.iter().map(|worker| worker.key)
    }

    /// Returns the steps with calls in flight or answered since the last round, each once.
    pub(crate) fn asked_steps(&self) -> FxHashSet<(JobKey, usize)> {
        let calls = self.advice_calls.values();
        let open = calls.filter(|call| !call.is_superseded);
        let asked = open.map(|call| (call.job, call.step));
        let answered = self.customers.answered.iter().copied();
        let is_live = |(key, _): &(JobKey, usize)| {
            let job = self.jobs.get(*key);
            job.is_some_and(|job| job.end.is_none())
        };
        asked.chain(answered).filter(is_live).collect()
    }

    /// Returns what the steps with calls in flight are expected to place on each worker.
    pub(crate) fn expected_loads(&self, now: Time) -> FxHashMap<WorkerKey, Resources> {
        let mut loads: FxHashMap<WorkerKey, Resources> = FxHashMap::default();
        let calls = self.advice_calls.iter();
        let is_open = |call: &&AdviceCall| now <= call.deadline && !call.is_superseded;
        // Each of several calls that are made at once names the same workers.
        let is_first = |(id, call): &(&AdviceCallId, &AdviceCall)| **id == call.original;
        for (_, call) in calls.filter(is_first).filter(|(_, call)| is_open(call)) {
            if self.jobs.get(call.job).is_none_or(|job| job.end.is_some()) {
                continue;
            }
            for worker in &call.workers {
                loads.entry(worker.key).or_default().add(worker.load);
            }
        }
        loads
    }

    /// Handles the response to a call, or `None` if the call failed. The response holds the tickets
    /// of the workers that may run the step and how long they are valid.
    pub fn advice_received(
        &mut self,
        call: AdviceCallId,
        response: Option<(Vec<Ticket>, Span)>,
        now: Time,
    ) {
        let Some(call) = self.advice_calls.remove(&call) else {
            return;
        };
        let Some((tickets, validity)) = response else {
            self.note_lost_call(&call, now);
            return;
        };
        self.advice_callers.note_response(&call.instance);
        if call.is_superseded {
            return;
        }
        let copies = self.supersede_copies(call.original);
        let mut allowed = Vec::with_capacity(tickets.len());
        for ticket in tickets {
            if let Some(&worker) = self.workers_by_id.get(&ticket.worker) {
                allowed.push((worker, ticket.text));
            }
        }
        let Some(job) = self.jobs.get_mut(call.job) else {
            return;
        };
        if job.spec.customer.is_some() {
            self.customers.answered.insert((call.job, call.step));
        }
        let queue = Arc::clone(&job.spec.policy.queue);
        let cache = &mut job.steps[call.step].tickets;
        cache.note_response(copies);
        if call.workers.iter().any(|worker| worker.has_capacity) {
            cache.calls_without_start += 1;
        }
        let mut new_verdicts = 0;
        let mut new_allowed = 0;
        for NamedWorker { key: worker, .. } in &call.workers {
            let is_new = cache.verdict(*worker).is_none();
            let ticket = allowed.iter().find(|(allowed, _)| allowed == worker);
            new_verdicts += usize::from(is_new);
            new_allowed += usize::from(is_new && ticket.is_some());
            match ticket {
                Some((_, text)) => cache.allow(*worker, Arc::clone(text), validity, now),
                None => cache.deny(*worker),
            }
        }
        self.allowed_shares
            .entry(queue)
            .or_insert(ShareEstimate::new(INITIAL_ALLOWED_SHARE))
            .observe(new_allowed, new_verdicts);
    }

    /// Marks the calls that were made at once with one that was answered, and returns their number.
    fn supersede_copies(&mut self, original: AdviceCallId) -> u32 {
        let copies = self.advice_calls.values_mut();
        let mut count = 0;
        for copy in copies.filter(|copy| copy.original == original) {
            copy.is_superseded = true;
            count += 1;
        }
        count
    }

    /// Delays the next calls of the caller and the step of a call that failed or was lost.
    fn note_lost_call(&mut self, call: &AdviceCall, now: Time) {
        self.advice_callers.note_failure(&call.instance, now);
        if !call.is_superseded
            && let Some(job) = self.jobs.get_mut(call.job)
        {
            job.steps[call.step].tickets.note_failure(now);
        }
    }

    /// Probes the instances that may call the adviser and of which nothing is known, or that were
    /// silent.
    pub(crate) fn probe_callers(&mut self, now: Time) {
        let due = self.advice_callers.start_probes(now);
        self.actions
            .extend(due.into_iter().map(Action::ProbeCaller));
    }

    /// Records whether an instance responded to a probe.
    pub fn caller_probed(&mut self, instance: &str, has_responded: bool, now: Time) {
        self.advice_callers.note_probe(instance, has_responded, now);
    }

    /// Drops the calls that have timed out, also those of jobs that have ended, and delays the next
    /// ones of their steps and callers.
    pub(crate) fn expire_advice_calls(&mut self, now: Time) {
        let overdue = |_: &AdviceCallId, call: &mut AdviceCall| call.deadline < now;
        let expired: Vec<_> = self.advice_calls.extract_if(overdue).collect();
        for (_, call) in expired {
            self.note_lost_call(&call, now);
        }
    }
}
