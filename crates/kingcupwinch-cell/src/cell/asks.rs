//! Calls to the adviser on their way.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::Cell;
use crate::advice::Ticket;
use crate::job::JobKey;
use crate::worker::WorkerKey;

/// How long an instance that failed to ask is passed over.
const DESK_PAUSE: Span = Span::from_millis(1_500);

/// Names a call to the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdviceCallId(u64);

#[derive(Debug)]
pub(super) struct Ask {
    job: JobKey,
    step: usize,
    workers: Vec<WorkerKey>,
    instance: Arc<str>,
}

impl Cell {
    /// Remembers a call about a step; returns its key.
    pub(crate) fn add_ask(
        &mut self,
        job: JobKey,
        step: usize,
        workers: Vec<WorkerKey>,
        instance: Arc<str>,
    ) -> AdviceCallId {
        let key = AdviceCallId(self.next_ask);
        self.next_ask += 1;
        self.counters.advice_calls += 1;
        let ask = Ask {
            job,
            step,
            workers,
            instance,
        };
        self.asks.insert(key, ask);
        key
    }

    /// Takes the adviser's answer, `None` if there was none: the tickets of the workers that may
    /// run the step, valid for `valid`.
    pub fn advice_received(
        &mut self,
        ask: AdviceCallId,
        answer: Option<(Vec<Ticket>, Span)>,
        now: Time,
    ) {
        let Some(ask) = self.asks.remove(&ask) else {
            return;
        };
        let Some((tickets, valid)) = answer else {
            self.desks.failed(&ask.instance, now + DESK_PAUSE);
            if let Some(job) = self.jobs.get_mut(ask.job) {
                job.steps[ask.step].tickets.failed(now);
            }
            return;
        };
        let mut allowed = Vec::with_capacity(tickets.len());
        for ticket in tickets {
            if let Some(&worker) = self.by_name.get(&ticket.worker) {
                allowed.push((worker, ticket.text));
            }
        }
        let Some(job) = self.jobs.get_mut(ask.job) else {
            return;
        };
        let queue = Arc::clone(&job.spec.policy.queue);
        let known = &mut job.steps[ask.step].tickets;
        known.answered();
        let mut fresh = 0;
        let mut fresh_allowed = 0;
        for worker in &ask.workers {
            let is_fresh = known.verdict(*worker).is_none();
            let ticket = allowed.iter().find(|(allowed, _)| allowed == worker);
            fresh += usize::from(is_fresh);
            fresh_allowed += usize::from(is_fresh && ticket.is_some());
            match ticket {
                Some((_, text)) => known.allow(*worker, Arc::clone(text), valid, now),
                None => known.bar(*worker),
            }
        }
        self.sense(&queue).allowed.observe(fresh_allowed, fresh);
    }

    /// Gives up calls whose time has passed.
    pub(crate) fn expire_ask(&mut self, job: JobKey, step: usize, now: Time) {
        let tickets = &mut self.jobs[job].steps[step].tickets;
        if tickets.pending.is_some_and(|until| until < now) {
            tickets.failed(now);
            self.asks
                .retain(|_, ask| ask.job != job || ask.step != step);
        }
    }
}
