//! Appends what callers hand in, several requests at a time.

use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::{KeyedRecord, Partition, WriteError};
use kingcupwinch_cell::JobId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::layout::{IntakeKey, OWNER_PARTITION, instance_partition};
use crate::owner::{IntakeRead, JobsAnnounced, JobsNotAppended};
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Requests that may wait for an append.
const QUEUE_CAPACITY: usize = 1_024;
/// The most bytes of one append.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// The pause before another try.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// It is in the log.
    Appended,
    /// It certainly is not, and never will be.
    Rejected(Arc<str>),
    /// It may be.
    Unknown(Arc<str>),
}

impl AppendOutcome {
    /// Combines the outcomes of two ways to append one record.
    pub(crate) fn merge(self, other: AppendOutcome) -> AppendOutcome {
        match (self, other) {
            (AppendOutcome::Appended, _) | (_, AppendOutcome::Appended) => AppendOutcome::Appended,
            (AppendOutcome::Unknown(why), _) | (_, AppendOutcome::Unknown(why)) => {
                AppendOutcome::Unknown(why)
            }
            (AppendOutcome::Rejected(_), AppendOutcome::Rejected(why)) => {
                AppendOutcome::Rejected(why)
            }
        }
    }
}

struct PendingAppend {
    record: KeyedRecord,
    deadline: Instant,
    attempts: u32,
    /// An earlier try may have been carried out.
    may_be_appended: bool,
    reply: oneshot::Sender<AppendOutcome>,
}

/// Takes records to append; clones share one queue.
#[derive(Clone)]
pub(crate) struct Intake {
    shared: Arc<Shared>,
    queue: mpsc::Sender<PendingAppend>,
}

impl Intake {
    /// Starts appending to the partition of this instance.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let partition = instance_partition(&shared.settings.instance);
        Intake::with_partition(shared, partition)
    }

    /// Starts appending what siblings pass on to this instance as the owner.
    pub(crate) fn for_owner(shared: Arc<Shared>) -> Self {
        Intake::with_partition(shared, OWNER_PARTITION)
    }

    fn with_partition(shared: Arc<Shared>, partition: Partition) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(Arc::clone(&shared), partition, requests));
        Intake { shared, queue }
    }

    /// Appends a record and returns when it is in the log, or at the deadline; at once while the
    /// store does not answer this instance.
    pub(crate) async fn append(&self, record: KeyedRecord, deadline: Instant) -> AppendOutcome {
        if !self.shared.is_store_available() {
            return AppendOutcome::Rejected("the store does not answer this instance".into());
        }
        let (reply, answer) = oneshot::channel();
        let request = PendingAppend {
            record,
            deadline,
            attempts: 0,
            may_be_appended: false,
            reply,
        };
        if self.queue.try_send(request).is_err() {
            return AppendOutcome::Rejected("too many requests wait for the log".into());
        }
        await_outcome(answer, deadline).await
    }
}

/// Waits for an outcome, and no longer than the caller does.
async fn await_outcome(
    answer: oneshot::Receiver<AppendOutcome>,
    deadline: Instant,
) -> AppendOutcome {
    match timeout_at(deadline, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => AppendOutcome::Unknown("the instance stops".into()),
        Err(_) => AppendOutcome::Unknown("no outcome before the deadline".into()),
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
        let batch = take_batch(&mut pending);
        let retries = append_batch(&shared, partition, batch).await;
        if !retries.is_empty() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        pending.splice(0..0, retries);
    }
}

/// Takes as many requests as one append carries.
fn take_batch(pending: &mut Vec<PendingAppend>) -> Vec<PendingAppend> {
    let mut bytes = 0;
    let fits = |request: &PendingAppend| {
        bytes += request.record.wire_len();
        bytes <= MAX_BATCH_BYTES
    };
    let count = pending.iter().map(fits).take_while(|fits| *fits).count();
    pending.drain(..count.max(1)).collect()
}

/// Tries once to append a batch. Returns the requests to be tried again.
async fn append_batch(
    shared: &Shared,
    partition: Partition,
    batch: Vec<PendingAppend>,
) -> Vec<PendingAppend> {
    let records: Vec<KeyedRecord> = batch.iter().map(|r| r.record.clone()).collect();
    let attempts = batch.iter().map(|request| request.attempts).max();
    let wait = shared.append_timeout.wait(attempts.unwrap_or(0));
    if partition == OWNER_PARTITION {
        announce_jobs(shared, &records).await;
    }
    let result = shared
        .append("intake", partition, &records, None, wait)
        .await;
    match result {
        Ok(_) => {
            if partition == OWNER_PARTITION {
                forward_to_owner(shared, records).await;
            }
            for request in batch {
                // The caller may have left.
                let _ = request.reply.send(AppendOutcome::Appended);
            }
            Vec::new()
        }
        Err(error) => {
            let may_be_appended = matches!(error, WriteError::Unknown(_));
            let (retries, rejected) =
                complete_failed(batch, may_be_appended, &error.to_string().into());
            if partition == OWNER_PARTITION {
                withdraw_jobs(shared, rejected).await;
            }
            retries
        }
    }
}

/// Gives the owner what this instance has just appended for it: the read that would bring it takes
/// as long as the append did, and longer while the store's readers are behind.
async fn forward_to_owner(shared: &Shared, records: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    let row = |record: KeyedRecord| Some((IntakeKey::parse(&record.key)?, record.value));
    let read = IntakeRead {
        partition: OWNER_PARTITION,
        records: records.into_iter().filter_map(row).collect(),
    };
    // The owner may have ended: the next one reads the partition.
    let _ = owner.tell(read).await;
}

/// Lets the owner place jobs while they are appended: it orders nothing of them before.
async fn announce_jobs(shared: &Shared, records: &[KeyedRecord]) {
    let Some(owner) = shared.owner() else { return };
    let row = |record: &KeyedRecord| Some((accepted_id(record)?, record.value.clone()?));
    // The owner may have ended: the next one reads the partition.
    let _ = owner
        .tell(JobsAnnounced(records.iter().filter_map(row).collect()))
        .await;
}

/// Returns the job that a record accepts; `None` for a cancellation.
fn accepted_id(record: &KeyedRecord) -> Option<JobId> {
    match IntakeKey::parse(&record.key)? {
        IntakeKey::Accepted(id) => Some(id),
        IntakeKey::Cancelled(_) => None,
    }
}

/// Tells the owner which announced jobs certainly are not in the log.
async fn withdraw_jobs(shared: &Shared, rejected: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    // The owner may have ended, and with it what was announced.
    let _ = owner
        .tell(JobsNotAppended(
            rejected.iter().filter_map(accepted_id).collect(),
        ))
        .await;
}

/// Settles the requests of an append that failed. Returns those to be tried again, since they may
/// have been appended and a repeat changes nothing, and the records that certainly were not.
fn complete_failed(
    batch: Vec<PendingAppend>,
    may_be_appended: bool,
    why: &Arc<str>,
) -> (Vec<PendingAppend>, Vec<KeyedRecord>) {
    let mut retries = Vec::new();
    let mut rejected = Vec::new();
    for mut request in batch {
        request.attempts += 1;
        request.may_be_appended |= may_be_appended;
        // Nobody waits for the outcome any more.
        if request.reply.is_closed() {
            if !request.may_be_appended {
                rejected.push(request.record);
            }
            continue;
        }
        if !request.may_be_appended {
            rejected.push(request.record);
            let _ = request.reply.send(AppendOutcome::Rejected(Arc::clone(why)));
        } else if Instant::now() + RETRY_DELAY < request.deadline {
            retries.push(request);
        } else {
            let _ = request.reply.send(AppendOutcome::Unknown(Arc::clone(why)));
        }
    }
    (retries, rejected)
}
