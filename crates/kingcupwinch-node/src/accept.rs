//! Appends what callers hand in, several requests at a time.

use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::{KeyedRecord, Partition, WriteError};
use kingcupwinch_cell::JobId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::layout::{DIRECT, IntakeKey, intake_of};
use crate::owner::{Announced, IntakeRead, NotKept};
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Requests that may wait for an append.
const QUEUE_LENGTH: usize = 1_024;
/// The most bytes of one append.
const MOST_BYTES: usize = 512 << 10;
/// The pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kept {
    /// It is in the log.
    Yes,
    /// It certainly is not, and never will be.
    No(Arc<str>),
    /// It may be.
    Unknown(Arc<str>),
}

impl Kept {
    /// Combines the outcomes of two ways to append one record.
    pub(crate) fn or(self, other: Kept) -> Kept {
        match (self, other) {
            (Kept::Yes, _) | (_, Kept::Yes) => Kept::Yes,
            (Kept::Unknown(why), _) | (_, Kept::Unknown(why)) => Kept::Unknown(why),
            (Kept::No(_), Kept::No(why)) => Kept::No(why),
        }
    }
}

struct Request {
    record: KeyedRecord,
    deadline: Instant,
    tries: u32,
    /// An earlier try may have been carried out.
    is_doubtful: bool,
    reply: oneshot::Sender<Kept>,
}

/// Takes records to append; clones share one queue.
#[derive(Clone)]
pub(crate) struct Intake {
    shared: Arc<Shared>,
    queue: mpsc::Sender<Request>,
}

impl Intake {
    /// Starts appending to the partition of this instance.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let partition = intake_of(&shared.settings.instance);
        Intake::with_partition(shared, partition)
    }

    /// Starts appending what siblings pass on to this instance as the owner.
    pub(crate) fn direct(shared: Arc<Shared>) -> Self {
        Intake::with_partition(shared, DIRECT)
    }

    fn with_partition(shared: Arc<Shared>, partition: Partition) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run(Arc::clone(&shared), partition, requests));
        Intake { shared, queue }
    }

    /// Appends a record and returns when it is in the log, or at the deadline; at once while the
    /// store does not answer this instance.
    pub(crate) async fn keep(&self, record: KeyedRecord, deadline: Instant) -> Kept {
        if !self.shared.has_store() {
            return Kept::No("the store does not answer this instance".into());
        }
        let (reply, answer) = oneshot::channel();
        let request = Request {
            record,
            deadline,
            tries: 0,
            is_doubtful: false,
            reply,
        };
        if self.queue.try_send(request).is_err() {
            return Kept::No("too many requests wait for the log".into());
        }
        await_outcome(answer, deadline).await
    }
}

/// Waits for an outcome, and no longer than the caller does.
async fn await_outcome(answer: oneshot::Receiver<Kept>, deadline: Instant) -> Kept {
    match timeout_at(deadline, answer).await {
        Ok(Ok(kept)) => kept,
        Ok(Err(_)) => Kept::Unknown("the instance stops".into()),
        Err(_) => Kept::Unknown("no outcome before the deadline".into()),
    }
}

async fn run(shared: Arc<Shared>, partition: Partition, mut queue: mpsc::Receiver<Request>) {
    let mut waiting: Vec<Request> = Vec::new();
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(request) => waiting.push(request),
                None => return,
            }
        }
        while let Ok(request) = queue.try_recv() {
            waiting.push(request);
        }
        let batch = cut_batch(&mut waiting);
        let left = append(&shared, partition, batch).await;
        if !left.is_empty() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        waiting.splice(0..0, left);
    }
}

/// Takes as many requests as one append carries.
fn cut_batch(waiting: &mut Vec<Request>) -> Vec<Request> {
    let mut bytes = 0;
    let fits = |request: &Request| {
        bytes += request.record.wire_len();
        bytes <= MOST_BYTES
    };
    let count = waiting.iter().map(fits).take_while(|fits| *fits).count();
    waiting.drain(..count.max(1)).collect()
}

/// Tries once to append a batch. Returns the requests to be tried again.
async fn append(shared: &Shared, partition: Partition, batch: Vec<Request>) -> Vec<Request> {
    let records: Vec<KeyedRecord> = batch.iter().map(|r| r.record.clone()).collect();
    let tries = batch.iter().map(|request| request.tries).max();
    let wait = shared.patience.timeout(tries.unwrap_or(0));
    if partition == DIRECT {
        announce(shared, &records).await;
    }
    let result = shared
        .append("intake", partition, &records, None, wait)
        .await;
    match result {
        Ok(_) => {
            if partition == DIRECT {
                hand_over(shared, records).await;
            }
            for request in batch {
                // The caller may have left.
                let _ = request.reply.send(Kept::Yes);
            }
            Vec::new()
        }
        Err(error) => {
            let is_doubtful = matches!(error, WriteError::Unknown(_));
            let (left, refused) = settle_failed(batch, is_doubtful, &error.to_string().into());
            if partition == DIRECT {
                take_back(shared, refused).await;
            }
            left
        }
    }
}

/// Gives the owner what this instance has just appended for it: the read that would bring it takes
/// as long as the append did, and longer while the store's readers are behind.
async fn hand_over(shared: &Shared, records: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    let row = |record: KeyedRecord| Some((IntakeKey::parse(&record.key)?, record.value));
    let read = IntakeRead {
        partition: DIRECT,
        records: records.into_iter().filter_map(row).collect(),
    };
    // The owner may have ended: the next one reads the partition.
    let _ = owner.tell(read).await;
}

/// Lets the owner place jobs while they are appended: it orders nothing of them before.
async fn announce(shared: &Shared, records: &[KeyedRecord]) {
    let Some(owner) = shared.owner() else { return };
    let row = |record: &KeyedRecord| Some((accepted_id(record)?, record.value.clone()?));
    // The owner may have ended: the next one reads the partition.
    let _ = owner
        .tell(Announced(records.iter().filter_map(row).collect()))
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
async fn take_back(shared: &Shared, refused: Vec<KeyedRecord>) {
    let Some(owner) = shared.owner() else { return };
    // The owner may have ended, and with it what was announced.
    let _ = owner
        .tell(NotKept(refused.iter().filter_map(accepted_id).collect()))
        .await;
}

/// Settles the requests of an append that failed. Returns those to be tried again, since they may
/// have been appended and a repeat changes nothing, and the records that certainly were not.
fn settle_failed(
    batch: Vec<Request>,
    is_doubtful: bool,
    why: &Arc<str>,
) -> (Vec<Request>, Vec<KeyedRecord>) {
    let mut left = Vec::new();
    let mut refused = Vec::new();
    for mut request in batch {
        request.tries += 1;
        request.is_doubtful |= is_doubtful;
        // Nobody waits for the outcome any more.
        if request.reply.is_closed() {
            if !request.is_doubtful {
                refused.push(request.record);
            }
            continue;
        }
        if !request.is_doubtful {
            refused.push(request.record);
            let _ = request.reply.send(Kept::No(Arc::clone(why)));
        } else if Instant::now() + RETRY_PAUSE < request.deadline {
            left.push(request);
        } else {
            let _ = request.reply.send(Kept::Unknown(Arc::clone(why)));
        }
    }
    (left, refused)
}
