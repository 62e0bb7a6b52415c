//! Appends callers' jobs and cancellations to the intake, in batches.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kingcupwinch_adapter::{KeyedRecord, Partition, Retry, WriteError};
use kingcupwinch_cell::{Demand, JobId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::layout::{IntakeKey, OWNER_PARTITION, instance_partition};
use crate::owner::{GetJobState, IntakeRead, JobsAnnounced, JobsNotAppended};
use crate::room::NoRoom;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Maximum number of queued requests.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum size of one append, in bytes.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Outcome of appending a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The record is in the log.
    Appended,
    /// The record is not in the log and never will be; holds the reason.
    Rejected(Arc<str>),
    /// The id is that of another customer's job; the record is not in the log and never will be.
    Conflict,
    /// The owner has no room for the request; the record is not in the log and never will be.
    NoRoom(NoRoom),
    /// The record may be in the log; holds the reason why the outcome is not known.
    Unknown(Arc<str>),
}

impl Outcome {
    /// Merges the outcomes of two attempts to append the same record.
    pub(crate) fn merge(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Appended, _) | (_, Outcome::Appended) => Outcome::Appended,
            (Outcome::Unknown(reason), _) | (_, Outcome::Unknown(reason)) => {
                Outcome::Unknown(reason)
            }
            (Outcome::Conflict, _) | (_, Outcome::Conflict) => Outcome::Conflict,
            (Outcome::NoRoom(no_room), _) | (_, Outcome::NoRoom(no_room)) => {
                Outcome::NoRoom(no_room)
            }
            (Outcome::Rejected(_), Outcome::Rejected(reason)) => Outcome::Rejected(reason),
        }
    }
}

/// A caller's record for the intake, with what it demands of the owner.
#[derive(Debug, Clone)]
pub(crate) struct IntakeRequest {
    pub(crate) record: KeyedRecord,
    pub(crate) demand: Demand,
}

impl IntakeRequest {
    /// Creates the request for a record.
    pub(crate) fn new(record: KeyedRecord, demand: Demand) -> Self {
        IntakeRequest { record, demand }
    }
}

struct PendingAppend {
    record: KeyedRecord,
    /// Whether it is the acceptance of a customer's job.
    has_customer: bool,
    deadline: Instant,
    attempts: u32,
    /// Whether an earlier attempt may have been executed.
    may_be_appended: bool,
    reply: oneshot::Sender<Outcome>,
}

impl PendingAppend {
    /// Returns the job and its acceptance; `None` for a cancellation.
    fn accepted(&self) -> Option<(JobId, Bytes)> {
        Some((accepted_id(&self.record)?, self.record.value.clone()?))
    }
}

/// Queue of records to append to one intake partition; clones share it.
#[derive(Clone)]
pub(crate) struct Intake {
    shared: Arc<Shared>,
    queue: mpsc::Sender<PendingAppend>,
}

impl Intake {
    /// Creates a queue for the partition of this instance.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let partition = instance_partition(&shared.settings.instance);
        Intake::with_partition(shared, partition)
    }

    /// Creates a queue for the records that siblings forward to this instance as the owner.
    pub(crate) fn for_owner(shared: Arc<Shared>) -> Self {
        Intake::with_partition(shared, OWNER_PARTITION)
    }

    fn with_partition(shared: Arc<Shared>, partition: Partition) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(Arc::clone(&shared), partition, requests));
        Intake { shared, queue }
    }

    /// Appends a record as the owner, if there is room for the request or its job is known already.
    pub(crate) async fn append_as_owner(
        &self,
        request: &IntakeRequest,
        deadline: Instant,
    ) -> Outcome {
        let Some(key) = IntakeKey::parse(&request.record.key) else {
            return Outcome::Rejected("the record is not one of the intake".into());
        };
        let room = &self.shared.room;
        let reserved = room.reserve(key, &request.demand, self.shared.now());
        if let Err(no_room) = reserved
            && !self.is_known(key).await
        {
            return Outcome::NoRoom(no_room);
        }
        let outcome = self.append(request, deadline).await;
        if matches!(outcome, Outcome::Rejected(_)) {
            room.release(key);
        }
        outcome
    }

    /// Appends a record to the partition of this instance, if its part of the owner's room suffices.
    pub(crate) async fn append_by_share(
        &self,
        request: &IntakeRequest,
        deadline: Instant,
    ) -> Outcome {
        let shared = &self.shared;
        let members = shared.members.borrow().len();
        let (limit, now) = (shared.accepted_limit(), shared.now());
        match shared.room.take_share(&request.demand, members, limit, now) {
            Ok(()) => self.append(request, deadline).await,
            Err(no_room) => Outcome::NoRoom(no_room),
        }
    }

    /// Returns whether the owner, which is this instance, knows the job of a record.
    async fn is_known(&self, key: IntakeKey) -> bool {
        let (IntakeKey::Accepted(id) | IntakeKey::Cancelled(id)) = key;
        let Some(owner) = self.shared.owner() else {
            return false;
        };
        // An owner that has ended sends no reply.
        matches!(owner.ask(GetJobState(id)).await, Ok(Some(Some(_))))
    }

    /// Appends a record and returns its outcome, at the latest at the deadline. Rejects the record
    /// at once while the store is unreachable or the queue is full.
    async fn append(&self, request: &IntakeRequest, deadline: Instant) -> Outcome {
        if !self.shared.is_store_available() {
            return Outcome::Rejected("the store is unreachable from this instance".into());
        }
        let (reply, receiver) = oneshot::channel();
        let request = PendingAppend {
            record: request.record.clone(),
            has_customer: matches!(request.demand, Demand::Job(_, Some(_))),
            deadline,
            attempts: 0,
            may_be_appended: false,
            reply,
        };
        if self.queue.try_send(request).is_err() {
            return Outcome::Rejected("the append queue is full".into());
        }
        await_outcome(receiver, deadline).await
    }
}

/// Waits for an outcome until the caller's deadline.
async fn await_outcome(receiver: oneshot::Receiver<Outcome>, deadline: Instant) -> Outcome {
    match timeout_at(deadline, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Outcome::Unknown("the instance is stopping".into()),
        Err(_) => Outcome::Unknown("no outcome before the deadline".into()),
    }
}

async fn run(shared: Arc<Shared>, partition: Partition, mut queue: mpsc::Receiver<PendingAppend>) {
    let mut pending: Vec<PendingAppend> = Vec::new();
    loop {
        if pending.is_empty() {
            match queue.recv().await {
                Some(request) => pending.push(request),
                None => return,
            }
        }
        while let Ok(request) = queue.try_recv() {
            pending.push(request);
        }
        let limit = MAX_BATCH_BYTES.min(shared.settings.append_limits.request);
        let batch = take_batch(&mut pending, limit);
        let retries = append_batch(&shared, partition, batch).await;
        if !retries.is_empty() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        pending.splice(0..0, retries);
    }
}

/// Removes as many requests from the front as fit into one append of `limit` bytes, and at least one.
fn take_batch(pending: &mut Vec<PendingAppend>, limit: usize) -> Vec<PendingAppend> {
    let records = pending.iter().map(|request| &request.record);
    let count = records_that_fit(records, limit);
    pending.drain(..count).collect()
}

/// Returns how many records from the first fit into one append of this size in bytes, at least one.
pub(crate) fn records_that_fit<'a>(
    records: impl Iterator<Item = &'a KeyedRecord>,
    limit: usize,
) -> usize {
    let mut bytes = 0;
    let fits = |record: &&KeyedRecord| {
        bytes += record.wire_len();
        bytes <= limit
    };
    records.take_while(fits).count().max(1)
}

/// Makes one attempt to append a batch, in halves as long as the store rejects more than one record for
/// good: no request fails for another one. Returns the requests to retry.
async fn append_batch(
    shared: &Shared,
    partition: Partition,
    batch: Vec<PendingAppend>,
) -> Vec<PendingAppend> {
    let mut retries = Vec::new();
    let mut pending = VecDeque::from([batch]);
    while let Some(mut batch) = pending.pop_front() {
        if partition == OWNER_PARTITION {
            batch = announce_jobs(shared, batch).await;
        }
        if batch.is_empty() {
            continue;
        }
        match append_records(shared, partition, &batch).await {
            Ok(()) => {
                for request in batch {
                    // The caller may have disconnected.
                    let _ = request.reply.send(Outcome::Appended);
                }
            }
            Err(WriteError::Rejected(_)) if batch.len() > 1 => {
                let rest = batch.split_off(batch.len() / 2);
                pending.extend([batch, rest]);
            }
            Err(error) => {
                let may_be_appended = error.retry() == Retry::Unknown;
                let (to_retry, rejected) =
                    complete_failed(batch, may_be_appended, &error.to_string().into());
                if partition == OWNER_PARTITION {
                    withdraw_jobs(shared, rejected).await;
                }
                retries.extend(to_retry);
            }
        }
    }
    retries
}

/// Makes one attempt to append the records of a batch.
async fn append_records(
    shared: &Shared,
    partition: Partition,
    batch: &[PendingAppend],
) -> Result<(), WriteError> {
    let records: Vec<KeyedRecord> = batch.iter().map(|r| r.record.clone()).collect();
    let attempts = batch.iter().map(|request| request.attempts).max();
    let wait = shared.append_timeout.timeout(attempts.unwrap_or(0));
    shared
        .append("intake", partition, &records, None, wait)
        .await?;
    if partition == OWNER_PARTITION {
        forward_to_owner(shared, records).await;
    }
    Ok(())
}

/// Sends the owner the records that this instance has just appended, so that it need not read them
/// back: a read takes as long as the append did, and longer while the store's readers lag.
async fn forward_to_owner(shared: &Shared, records: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    let row = |record: KeyedRecord| Some((IntakeKey::parse(&record.key)?, record.value));
    let read = IntakeRead {
        partition: OWNER_PARTITION,
        records: records.into_iter().filter_map(row).collect(),
        complete_at: None,
    };
    // The owner may have ended; the next one reads the partition.
    let _ = owner.tell(read).await;
}

/// Announces jobs to the owner, so that it can place them while they are being appended. It starts
/// no task of theirs before the append has succeeded. Returns the requests to append: where there are
/// customers, those under ids of other customers' jobs are completed.
async fn announce_jobs(shared: &Shared, batch: Vec<PendingAppend>) -> Vec<PendingAppend> {
    let Some(owner) = shared.owner() else {
        return batch;
    };
    let announced = JobsAnnounced(batch.iter().filter_map(PendingAppend::accepted).collect());
    let has_customers =
        shared.configuration.has_customers() || batch.iter().any(|request| request.has_customer);
    // The owner may have ended; the next one reads the partition.
    if has_customers {
        let taken = owner.ask(announced).await.unwrap_or_default();
        complete_taken(batch, &taken)
    } else {
        let _ = owner.tell(announced).await;
        batch
    }
}

/// Completes the requests whose ids are taken, by their positions among the acceptances of a batch. Returns
/// the others.
fn complete_taken(batch: Vec<PendingAppend>, taken: &[usize]) -> Vec<PendingAppend> {
    let mut positions = 0..;
    let mut remaining = Vec::with_capacity(batch.len());
    for request in batch {
        let position = request.accepted().and_then(|_| positions.next());
        if position.is_none_or(|position| !taken.contains(&position)) {
            remaining.push(request);
            continue;
        }
        let outcome = if request.may_be_appended {
            Outcome::Unknown("an earlier attempt under another customer's id may succeed".into())
        } else {
            Outcome::Conflict
        };
        // The caller may have disconnected.
        let _ = request.reply.send(outcome);
    }
    remaining
}

/// Returns the job that an acceptance record is for; `None` for any other record.
fn accepted_id(record: &KeyedRecord) -> Option<JobId> {
    match IntakeKey::parse(&record.key)? {
        IntakeKey::Accepted(id) => Some(id),
        IntakeKey::Cancelled(_) => None,
    }
}

/// Tells the owner which announced jobs certainly are not in the log, so that it drops them.
async fn withdraw_jobs(shared: &Shared, rejected: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    // The owner may have ended, and its tentative jobs with it.
    let _ = owner
        .tell(JobsNotAppended(
            rejected.iter().filter_map(accepted_id).collect(),
        ))
        .await;
}

/// Completes the requests of a failed append. Returns the requests to retry, which may have been
/// appended and can be repeated without effect, and the records that certainly were not appended.
fn complete_failed(
    batch: Vec<PendingAppend>,
    may_be_appended: bool,
    reason: &Arc<str>,
) -> (Vec<PendingAppend>, Vec<KeyedRecord>) {
    let mut retries = Vec::new();
    let mut rejected = Vec::new();
    for mut request in batch {
        request.attempts += 1;
        request.may_be_appended |= may_be_appended;
        // No one waits for the outcome any more.
        if request.reply.is_closed() {
            if !request.may_be_appended {
                rejected.push(request.record);
            }
            continue;
        }
        if !request.may_be_appended {
            rejected.push(request.record);
            let _ = request.reply.send(Outcome::Rejected(Arc::clone(reason)));
        } else if Instant::now() + RETRY_DELAY < request.deadline {
            retries.push(request);
        } else {
            let _ = request.reply.send(Outcome::Unknown(Arc::clone(reason)));
        }
    }
    (retries, rejected)
}
