//! Sending of start orders, directly or through the instance that accepted the job.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::WeakActorRef;
use kingcupwinch_adapter::WorkerClient;
use kingcupwinch_cell::{JobId, StartOrder, StartOutcome};
use rustc_hash::{FxBuildHasher, FxHashMap};
use slog::o;
use tokio::time::Instant;

use super::{Owner, messages};
use crate::events::Event;
use crate::link::{OrderBudget, sent_besides_orders};
use crate::metrics::Metrics;
use crate::relay::{RelayRequest, RelayedStart, payload_digest};
use crate::shared::Shared;
use crate::siblings::CallError;

#[cfg(test)]
mod tests;

/// Bytes of a start order besides the payload: the other fields and the headers.
const ORDER_BYTES: usize = 400;
/// Time after which a relay sends no more orders.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a relay's response counts as lost: its own time-out and that of an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Orders of a job with one fencing token for another instance to send, by the address of the instance.
pub(super) type Relayed = FxHashMap<(Arc<str>, JobId, u64), Vec<(StartOrder, WorkerClient)>>;

impl Owner {
    /// Adds what the time since the last decision has brought to the budgets of orders, and charges what
    /// was sent in it.
    pub(super) fn refill_budget(&mut self) {
        let now = self.shared.now();
        self.start_rate.refill(now);
        if let Some(budget) = &mut self.budget {
            budget.refill(sent_besides_orders(&self.shared.traffic), now);
        }
    }

    /// Sends a start order, or adds it to those for the instance that accepted the job if the link has
    /// no room for the payload or this instance has sent too many itself.
    pub(super) fn start(&mut self, order: StartOrder, relayed: &mut Relayed) {
        let Some(client) = self.client(order.worker) else {
            return;
        };
        let bytes = order.payload.len() + ORDER_BYTES;
        let has_room = |budget: &mut OrderBudget| budget.take(bytes);
        let is_affordable = self.start_rate.take() && self.budget.as_mut().is_none_or(has_room);
        let relay = if is_affordable {
            None
        } else {
            self.relay_of(&order)
        };
        self.shared.log.write(
            Event::RunDispatched,
            o!("task" => order.task.to_string(), "run" => order.run,
                "worker" => client.id().to_string(), "worker_pace" => order.pace_percent,
                "until" => order.lease_until, "term" => self.term, "token" => client.token(),
                "relay" => relay.as_ref().map(ToString::to_string)),
        );
        match relay {
            Some(address) => {
                let key = (address, order.task.job, client.token());
                relayed.entry(key).or_default().push((order, client));
            }
            None => self.send_start(order, client),
        }
    }

    /// Returns the address of the instance that is to send an order, if there is one that responds.
    fn relay_of(&self, order: &StartOrder) -> Option<Arc<str>> {
        let me = &self.shared.settings.instance;
        let acceptor = order.accepted_by.as_ref();
        let is_silent = |address: &Arc<str>| self.siblings.is_silent(address);
        choose_relay(&self.addresses, me, acceptor, order.task.job, is_silent).cloned()
    }

    fn send_start(&self, order: StartOrder, client: WorkerClient) {
        let sender = self.start_sender();
        tokio::spawn(async move { sender.send(order, client).await });
    }

    /// Has another instance send start orders of a job with a fencing token. If it lacks the payload, it gets that with the
    /// orders; if it certainly sent none, they are sent directly.
    pub(super) fn relay_starts(
        &self,
        address: Arc<str>,
        token: u64,
        orders: Vec<(StartOrder, WorkerClient)>,
    ) {
        let sender = self.start_sender();
        let siblings = self.siblings.clone();
        let payload = orders.first().map(|(order, _)| Arc::clone(&order.payload));
        let mut request = RelayRequest {
            payload: None,
            digest: payload.as_deref().map(payload_digest),
            term: token,
            timeout_ms: RELAY_TIMEOUT.as_millis() as u64,
            starts: orders
                .iter()
                .map(|(order, client)| RelayedStart::new(order, client))
                .collect(),
        };
        tokio::spawn(async move {
            let deadline = Instant::now() + RESPONSE_TIMEOUT;
            let mut response = siblings.start(&address, &request, deadline).await;
            // The payload of a single order is no longer with the order itself.
            if response == Err(CallError::Refused) && orders.len() > 1 {
                request.payload = payload;
                response = siblings.start(&address, &request, deadline).await;
            }
            let outcomes = match response {
                Ok(response) => response.outcomes,
                Err(CallError::NotSent | CallError::Refused | CallError::NoRoom(_)) => {
                    for (order, client) in orders {
                        let sender = sender.clone();
                        tokio::spawn(async move { sender.send(order, client).await });
                    }
                    return;
                }
                Err(CallError::Lost) => Vec::new(),
            };
            // An order without an outcome may have been sent.
            let missing = std::iter::repeat(StartOutcome::Lost);
            let outcomes = outcomes.into_iter().chain(missing);
            for ((order, client), outcome) in orders.into_iter().zip(outcomes) {
                sender.finish(order, &client, outcome).await;
            }
        });
    }

    fn start_sender(&self) -> StartSender {
        StartSender {
            shared: Arc::clone(&self.shared),
            owner: self.me.clone(),
        }
    }
}

/// Chooses the instance that sends the orders of a job for `me`: the one that accepted the job, or another
/// one if that is `me`, has left or is silent. All orders of a job go to the same instance.
fn choose_relay<'a>(
    addresses: &'a FxHashMap<Arc<str>, Arc<str>>,
    me: &Arc<str>,
    acceptor: Option<&Arc<str>>,
    job: JobId,
    is_silent: impl Fn(&Arc<str>) -> bool,
) -> Option<&'a Arc<str>> {
    let acceptor = acceptor.filter(|name| *name != me);
    let known = acceptor.and_then(|name| addresses.get(name));
    let known = known.filter(|address| !is_silent(address));
    let others = || {
        let others = addresses.iter().filter(|(name, _)| *name != me);
        let others = others.map(|(_, address)| address);
        let others: Vec<_> = others.filter(|address| !is_silent(address)).collect();
        let hash = FxBuildHasher.hash_one(job) as usize;
        others.get(hash % others.len().max(1)).copied()
    };
    known.or_else(others)
}

/// Sends start orders and reports their outcomes to the owner.
#[derive(Clone)]
struct StartSender {
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
}

impl StartSender {
    async fn send(&self, order: StartOrder, client: WorkerClient) {
        let outcome = client.start(&order).await;
        self.finish(order, &client, outcome).await;
    }

    async fn finish(&self, order: StartOrder, client: &WorkerClient, outcome: StartOutcome) {
        Metrics::count(&self.shared.metrics.orders, "start", outcome.as_str());
        if outcome != StartOutcome::Started {
            self.shared.log.write(
                Event::RunNotStarted,
                o!("task" => order.task.to_string(), "run" => order.run,
                    "worker" => client.id().to_string(), "answer" => outcome.as_str()),
            );
        }
        if let Some(owner) = self.owner.upgrade() {
            let token = client.token();
            let started = messages::Started {
                order,
                token,
                outcome,
            };
            // The owner may have ended.
            let _ = owner.tell(started).await;
        }
    }
}
