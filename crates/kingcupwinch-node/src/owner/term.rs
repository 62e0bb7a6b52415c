//! Whether an owner still holds the cell, and may give orders.
//!
//! A worker that refuses an order for its fencing token has seen a higher one, mostly that of a later owner.
//! That owner's claim was in the group before its first order, so a read or append that was sent after the
//! refusal and shows no later owner refutes it. The worker alone goes without orders then, and not the whole
//! cell.

use kingcupwinch_adapter::WorkerClient;
use kingcupwinch_cell::WorkerKey;
use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use slog::o;

use super::{Owner, TERM_TIMEOUT};
use crate::events::Event;

#[cfg(test)]
mod tests;

/// Refusals by workers that put the term of an owner in doubt.
#[derive(Debug, Default)]
pub(crate) struct TermDoubt {
    /// The last refusal that put the term in doubt, unless it was refuted.
    refused_at: Option<Time>,
    /// When workers refused an order that have responded to no later poll.
    refusing: FxHashMap<WorkerKey, Time>,
}

impl TermDoubt {
    /// Records that a worker refused an order. Returns whether that puts the term in doubt: only the first
    /// refusal in a row does, so that a worker which refuses all orders suspends its owner once.
    pub(crate) fn note_refusal(&mut self, worker: WorkerKey, now: Time) -> bool {
        let is_first = self.refusing.insert(worker, now).is_none();
        if is_first {
            self.refused_at = Some(now);
        }
        is_first
    }

    /// Records that a worker responded to a poll that was sent at a time.
    pub(crate) fn note_response(&mut self, worker: WorkerKey, sent: Time) {
        if self.refusing.get(&worker).is_some_and(|at| *at < sent) {
            self.refusing.remove(&worker);
        }
    }

    /// Records a time at which the owner certainly held the cell.
    pub(crate) fn note_confirmed(&mut self, at: Time) {
        self.refused_at = self.refused_at.filter(|refused_at| at <= *refused_at);
    }

    /// Returns whether there may be a later owner.
    pub(crate) fn is_open(&self) -> bool {
        self.refused_at.is_some()
    }
}

impl Owner {
    /// Returns whether orders may be sent to workers now; logs when they are suspended or resumed.
    pub(super) fn may_dispatch(&mut self, now: Time) -> bool {
        if self.is_retired {
            return false;
        }
        let is_overdue = now.since(self.confirmed_at) > TERM_TIMEOUT;
        let is_suspended = is_overdue || self.doubt.is_open();
        if is_suspended != self.is_suspended {
            self.is_suspended = is_suspended;
            let event = if is_suspended {
                Event::Suspended
            } else {
                self.cell.note_pause();
                Event::Resumed
            };
            let age = now.since(self.confirmed_at).as_millis();
            self.shared.log.write(
                event,
                o!("term" => self.term, "confirmed_ms_ago" => age, "in_doubt" => self.doubt.is_open()),
            );
        }
        !is_suspended
    }

    /// Returns whether this owner may state what it knows: no later owner is known or suspected.
    pub(super) fn may_answer(&self) -> bool {
        !self.is_retired && !self.doubt.is_open()
    }

    /// Handles that a worker refused an order for the token that orders to it have now. Suspends all orders
    /// if that may be for a later owner.
    pub(super) fn handle_refusal(&mut self, worker: WorkerKey, now: Time) {
        if self.doubt.note_refusal(worker, now) {
            let id = self.clients.get(&worker).map(WorkerClient::id);
            self.shared.log.write(
                Event::OrdersRefused,
                o!("worker" => id.map(ToString::to_string), "term" => self.term,
                    "token" => self.order_token(worker)),
            );
        }
        self.cell.orders_refused(worker);
    }

    /// Stops dispatching for good, because a later owner exists. Ends a release, which no longer matters
    /// to anyone and which the writer, fenced as well, does not append.
    pub(super) fn fence(&mut self, by: &'static str) {
        let is_releasing = self.release_done.take().is_some();
        if !self.is_retired || is_releasing {
            self.is_retired = true;
            self.shared.log.write(
                Event::Fenced,
                o!("term" => self.term, "seen_by" => by, "releasing" => is_releasing),
            );
        }
    }
}
