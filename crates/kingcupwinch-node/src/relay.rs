//! Start orders that another instance sends to workers for the owner.
//!
//! A start order carries the caller's payload, so the orders of one owner can fill its link. The
//! instance that accepted a job keeps its payload for a while; the owner sends it the orders
//! without payload, and it sends them on under the fencing token that the owner names. An instance
//! that does not have the payload gets it once for all tasks of a request.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kingcupwinch_adapter::WorkerClient;
use kingcupwinch_cell::{JobId, StartOrder, StartOutcome, TaskName, WorkerKey};
use kingcupwinch_time::{Span, Time};
use rustc_hash::{FxBuildHasher, FxHashMap};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::metrics::Metrics;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Time for which the payload of an accepted job is kept.
const PAYLOAD_RETENTION: Span = Span::from_secs(60);
/// Maximum size of all payloads that are kept with their entries, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4 << 20;
/// Part of an instance's memory for payloads, as a divisor.
const PAYLOAD_SHARE: u64 = 30;
/// Memory of an entry without its payload, in bytes.
const ENTRY_BYTES: usize = 128;
/// Time after which an unused connection to a worker is closed: a worker has fewer connections than
/// there may be instances.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to send start orders of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// Fencing token of the orders: the term of the owner, or a later one to workers that have restarted.
    pub(crate) term: u64,
    /// Time after which no order is sent any more, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// The payload of the job, if the instance may not have it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) payload: Option<Arc<str>>,
    /// Digest of the payload: the instance may have that of another job that was submitted under the id.
    /// Earlier versions state none. A version with another digest gets the payload with the orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) digest: Option<u64>,
    pub(crate) starts: Vec<RelayedStart>,
}

/// Returns the digest of a payload.
pub(crate) fn payload_digest(payload: &str) -> u64 {
    FxBuildHasher.hash_one(payload)
}

/// A start order without the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayedStart {
    /// Id of the worker.
    pub(crate) worker: Arc<str>,
    pub(crate) address: SocketAddr,
    /// Name of the task.
    pub(crate) task: Arc<str>,
    pub(crate) run: u32,
    #[serde(rename = "until")]
    pub(crate) lease_until: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ticket: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// The outcomes of the orders of a request, in their order.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayResponse {
    pub(crate) outcomes: Vec<StartOutcome>,
}

impl RelayedStart {
    /// Creates the order to a worker that is reached by `client`.
    pub(crate) fn new(order: &StartOrder, client: &WorkerClient) -> Self {
        RelayedStart {
            worker: Arc::clone(client.id()),
            address: client.address(),
            task: order.task.to_string().into(),
            run: order.run,
            lease_until: order.lease_until,
            ticket: order.ticket.clone(),
            checkpoint: order.checkpoint.clone(),
        }
    }

    /// Returns the order with its payload.
    fn into_order(self, task: TaskName, payload: Arc<str>) -> StartOrder {
        StartOrder {
            // The client knows its worker; the key has a meaning only at the owner.
            worker: WorkerKey::default(),
            task,
            run: self.run,
            payload,
            lease_until: self.lease_until,
            ticket: self.ticket,
            checkpoint: self.checkpoint,
            pace_percent: 100,
            accepted_by: None,
        }
    }
}

/// The payloads of the jobs that this instance accepted last.
#[derive(Debug)]
pub(crate) struct Payloads {
    limit: usize,
    /// Each with its expiry; without a payload if there were two of the id.
    entries: FxHashMap<JobId, (Option<Arc<str>>, Time)>,
    /// When entries expire, in order of time. An entry that was inserted again has a later one.
    expiry: VecDeque<(Time, JobId)>,
    bytes: usize,
}

impl Payloads {
    /// Creates a cache for an instance with this memory, in bytes.
    pub(crate) fn new(memory_bytes: u64) -> Self {
        let share = usize::try_from(memory_bytes / PAYLOAD_SHARE);
        Payloads {
            limit: share.unwrap_or(usize::MAX).min(MAX_PAYLOAD_BYTES),
            entries: FxHashMap::default(),
            expiry: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keeps the payload of a job, and drops those that are too old. Keeps none if there is no space, or
    /// if another one was inserted for the id, since only one of the two jobs runs. Returns whether there was
    /// none of the job before.
    pub(crate) fn insert(&mut self, id: JobId, payload: Arc<str>, now: Time) -> bool {
        self.remove_expired(now);
        if let Some((known, _)) = self.entries.get_mut(&id)
            && known.as_ref() != Some(&payload)
        {
            let dropped = known.take();
            self.bytes -= dropped.map_or(0, |dropped| dropped.len());
            return false;
        }
        let payload = Some(payload);
        let size = entry_bytes(payload.as_deref());
        if self.bytes + size > self.limit {
            return false;
        }
        self.bytes += size;
        let expires = now + PAYLOAD_RETENTION;
        self.expiry.push_back((expires, id));
        let replaced = self.entries.insert(id, (payload, expires));
        if let Some((replaced, _)) = &replaced {
            self.bytes -= entry_bytes(replaced.as_deref());
        }
        replaced.is_none()
    }

    /// Drops the payload of a job that was not accepted.
    pub(crate) fn remove(&mut self, id: JobId) {
        if let Some((payload, _)) = self.entries.remove(&id) {
            self.bytes -= entry_bytes(payload.as_deref());
        }
    }

    /// Returns whether this instance may have accepted a job under the id lately.
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns the payload of a job, if it is kept.
    pub(crate) fn get(&self, id: JobId) -> Option<Arc<str>> {
        let (payload, _) = self.entries.get(&id)?;
        payload.clone()
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((_, id)) = self.expiry.pop_front_if(|(expires, _)| *expires <= now) {
            if let Entry::Occupied(entry) = self.entries.entry(id)
                && entry.get().1 <= now
            {
                let (payload, _) = entry.remove();
                self.bytes -= entry_bytes(payload.as_deref());
            }
        }
    }
}

fn entry_bytes(payload: Option<&str>) -> usize {
    ENTRY_BYTES + payload.map_or(0, str::len)
}

/// Address and id of a worker, and the fencing token of the orders.
type ClientKey = (SocketAddr, Arc<str>, u64);

/// Sends start orders to workers for the owner; clones share the connections.
#[derive(Clone)]
pub(crate) struct StartRelay {
    shared: Arc<Shared>,
    clients: Arc<Mutex<FxHashMap<ClientKey, WorkerClient>>>,
}

impl StartRelay {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        StartRelay {
            shared,
            clients: Arc::default(),
        }
    }

    /// Sends the orders of a request; `None`, without having sent any, if it names a malformed task or
    /// this instance does not have the payload.
    pub(crate) async fn send(&self, request: RelayRequest) -> Option<RelayResponse> {
        let give_up = self.shared.now() + Span::from_millis(request.timeout_ms);
        let mut orders = Vec::with_capacity(request.starts.len());
        for start in request.starts {
            let task = TaskName::parse(&start.task)?;
            let payload = self.payload(task.job, request.payload.as_ref(), request.digest)?;
            let client = self.client(start.address, &start.worker, request.term);
            orders.push((client, start.into_order(task, payload)));
        }
        let mut sends = JoinSet::new();
        for (number, (client, order)) in orders.into_iter().enumerate() {
            let shared = Arc::clone(&self.shared);
            sends.spawn(async move {
                // A process that was paused since then must not start what the owner gave up.
                if shared.now() >= give_up {
                    return (number, StartOutcome::NotSent);
                }
                let outcome = client.start(&order).await;
                Metrics::count(&shared.metrics.orders, "relayed start", outcome.as_str());
                (number, outcome)
            });
        }
        let mut outcomes = sends.join_all().await;
        outcomes.sort_by_key(|(number, _)| *number);
        let outcomes = outcomes.into_iter().map(|(_, outcome)| outcome).collect();
        Some(RelayResponse { outcomes })
    }

    /// Returns the payload of a job: the one that came with the request, which is kept, or the known one if
    /// it has the digest.
    fn payload(
        &self,
        job: JobId,
        sent: Option<&Arc<str>>,
        digest: Option<u64>,
    ) -> Option<Arc<str>> {
        let mut payloads = self.shared.payloads();
        let Some(sent) = sent else {
            let has_digest = |known: &Arc<str>| digest.is_none_or(|it| it == payload_digest(known));
            return payloads.get(job).filter(has_digest);
        };
        if payloads.get(job).is_none() {
            payloads.insert(job, Arc::clone(sent), self.shared.now());
        }
        Some(Arc::clone(sent))
    }

    /// Returns the client of a worker, which is dropped some time later.
    fn client(&self, address: SocketAddr, id: &Arc<str>, term: u64) -> WorkerClient {
        let key = (address, Arc::clone(id), term);
        let mut clients = self.clients();
        if let Some(client) = clients.get(&key) {
            return client.clone();
        }
        let client =
            WorkerClient::new(address, Arc::clone(id), term).with_traffic(&self.shared.traffic);
        clients.insert(key.clone(), client.clone());
        let me = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(IDLE_TIMEOUT).await;
            me.clients().remove(&key);
        });
        client
    }

    fn clients(&self) -> MutexGuard<'_, FxHashMap<ClientKey, WorkerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
