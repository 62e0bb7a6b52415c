//! Appends job progress records to the log, fenced with the owner's term.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, WeakActorRef};
use kameo::message::{Context, Message};
use kingcupwinch_adapter::{Fence, KeyedRecord, Partition, WriteError};
use kingcupwinch_cell::{JobId, PartKey, RecordBatch, RunTimeRecord, WorkerRecord};
use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use serde::Serialize;
use slog::o;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::Owner;
use super::leases::LeaseRecord;
use super::messages::{Superseded, TermConfirmed};
use super::worker_shards::WorkerShards;
use crate::events::Event;
use crate::intake::records_that_fit;
use crate::layout::{
    GROUP, HEARTBEAT_KEY, IntakeKey, LEASES_KEY, PROGRESS, RUN_TIMES_KEY, intake_partitions,
};
use crate::metrics::Metrics;
use crate::shared::Shared;

use rejected::{Rejected, Repeats};

mod rejected;
#[cfg(test)]
mod tests;

/// Minimum time between two appends of progress.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(8);
/// Maximum time that progress is batched while no start waits for it.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(20);
/// Timeout of one append attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum attempts to append the release record.
const RELEASE_ATTEMPTS: u32 = 8;
/// Time between two deletions of the intake records of ended jobs.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(2_000);

/// Requests the next batch to append.
struct TakeBatch {
    /// Whether to include the intake records that are to be deleted, and the learned run times.
    with_cleanup: bool,
}

/// A batch of records to append.
#[derive(kameo::Reply)]
struct WriteBatch {
    records: RecordBatch,
    /// The known workers, if the list changed.
    workers: Option<Vec<WorkerRecord>>,
    /// What was learned about run times, if it changed.
    run_times: Option<RunTimeRecord>,
    /// The longest lease that may be held, once.
    leases: Option<LeaseRecord>,
    cleanup: Vec<(Partition, IntakeKey)>,
    /// When all earlier owners that had not stopped were certainly fenced.
    fenced_at: Time,
    /// Signals the end of a release; set on the last batch of an owner that releases the cell.
    release_done: Option<oneshot::Sender<()>>,
    is_retired: bool,
}

/// Reports that a batch and all earlier ones are in the log.
struct BatchAppended(u64);

/// Reports jobs whose records the store rejects, each with the parts that were to be deleted and were not.
struct JobsSetAside(FxHashMap<JobId, Vec<PartKey>>);

/// Reports deletions that were sent.
struct DeletionsSent {
    sent: Vec<(Partition, IntakeKey)>,
    /// Those that may not have been executed.
    failed: Vec<(Partition, IntakeKey)>,
}

impl Message<TakeBatch> for Owner {
    type Reply = WriteBatch;

    async fn handle(&mut self, take: TakeBatch, _: &mut Context<Self, WriteBatch>) -> WriteBatch {
        let now = self.shared.now();
        let is_dirty = std::mem::take(&mut self.is_worker_list_dirty);
        let has_changes = self.cell.take_worker_changes();
        let workers = (is_dirty || has_changes).then(|| self.cell.worker_records());
        self.forget_expired(now);
        let records = self.cell.take_records(now);
        let cleanup = if take.with_cleanup {
            self.deletions.take_due()
        } else {
            Vec::new()
        };
        let learned_steps = self.cell.learned_steps();
        let is_outdated = learned_steps != self.recorded_steps;
        let run_times = (take.with_cleanup && is_outdated).then(|| {
            self.recorded_steps = learned_steps;
            self.cell.run_time_record()
        });
        let leases = self.lease_record_due.take_if(|due| *due <= now);
        WriteBatch {
            records,
            workers,
            run_times,
            leases: leases.map(|_| self.leases.to_record()),
            cleanup,
            fenced_at: self.fenced_at,
            release_done: self.release_done.take(),
            is_retired: self.is_retired,
        }
    }
}

impl Message<BatchAppended> for Owner {
    type Reply = ();

    async fn handle(&mut self, appended: BatchAppended, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.handle_appended(appended.0, now);
        self.execute_recorded();
    }
}

impl Message<JobsSetAside> for Owner {
    type Reply = ();

    async fn handle(&mut self, jobs: JobsSetAside, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        for (id, kept_parts) in jobs.0 {
            self.cell.set_aside(id, &kept_parts, now);
        }
    }
}

impl Message<DeletionsSent> for Owner {
    type Reply = ();

    async fn handle(&mut self, deletions: DeletionsSent, _: &mut Context<Self, ()>) {
        self.deletions.finish(&deletions.sent, &deletions.failed);
    }
}

/// Appends batches until the owner ends, releases the cell or is superseded.
pub(crate) async fn run(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    term: u64,
    write_due: Arc<Notify>,
    mut shards: WorkerShards,
) {
    let mut fence = Fence { term, sequence: 1 };
    let mut cleanup_due = Instant::now() + CLEANUP_INTERVAL;
    let mut repeats = Repeats::default();
    loop {
        let Some(actor) = owner.upgrade() else { return };
        let with_cleanup = cleanup_due <= Instant::now();
        if with_cleanup {
            cleanup_due = Instant::now() + CLEANUP_INTERVAL;
        }
        let Ok(batch) = actor.ask(TakeBatch { with_cleanup }).await else {
            return;
        };
        let mut records = encode(&shared, &batch, &mut shards);
        repeats.move_due(&mut records, shared.now());
        let Some(rejected) = append_all(&shared, &actor, records, &mut fence).await else {
            return;
        };
        repeats.add(rejected, shared.now());
        let _ = actor.tell(BatchAppended(batch.records.batch)).await;
        if !batch.cleanup.is_empty() {
            let (shared, owner, sent) = (Arc::clone(&shared), owner.clone(), batch.cleanup);
            tokio::spawn(async move {
                let failed = delete_ended(&shared, &sent).await;
                if let Some(owner) = owner.upgrade() {
                    // The owner may have ended; the next one deletes the records.
                    let _ = owner.tell(DeletionsSent { sent, failed }).await;
                }
            });
        }
        if let Some(release_done) = batch.release_done {
            release(&shared, term, batch.fenced_at).await;
            // The receiver may have stopped waiting.
            let _ = release_done.send(());
            return;
        }
        if batch.is_retired {
            return;
        }
        drop(actor);
        tokio::time::sleep(MIN_WRITE_INTERVAL).await;
        // Only starts need their records appended at once; the rest is batched.
        let _ = tokio::time::timeout(MAX_WRITE_DELAY, write_due.notified()).await;
    }
}

fn encode(shared: &Shared, batch: &WriteBatch, shards: &mut WorkerShards) -> Vec<KeyedRecord> {
    let changes = &batch.records;
    let mut records = Vec::with_capacity(changes.parts.len() + changes.progress.len());
    let parts = changes.parts.iter();
    let parts = parts.map(|(id, part, record)| (part.in_log(*id), record));
    let progress = changes.progress.iter();
    let progress = progress.map(|(id, record)| (id.to_string(), record));
    for (key, record) in parts.chain(progress) {
        match record.encode() {
            Ok(value) => records.push(KeyedRecord::with_value(key, value)),
            Err(error) => {
                let fields = o!("key" => key, "error" => error.to_string());
                shared.log.write(Event::RecordSkipped, fields);
            }
        }
    }
    let dropped_parts = changes.dropped_parts.iter();
    let dropped_parts = dropped_parts.map(|(id, part)| part.in_log(*id));
    let expired = changes.expired.iter().map(JobId::to_string);
    records.extend(dropped_parts.chain(expired).map(KeyedRecord::tombstone));
    if let Some(workers) = &batch.workers {
        for (key, rows) in shards.changed(workers) {
            records.extend(encode_value(shared, &key, &rows));
        }
    }
    let run_times = batch.run_times.as_ref();
    records.extend(run_times.and_then(|learned| encode_value(shared, RUN_TIMES_KEY, learned)));
    let leases = batch.leases.as_ref();
    records.extend(leases.and_then(|leases| encode_value(shared, LEASES_KEY, leases)));
    records
}

fn encode_value<T: Serialize>(shared: &Shared, key: &str, value: &T) -> Option<KeyedRecord> {
    match serde_json::to_vec(value) {
        Ok(value) => Some(KeyedRecord::with_value(key, value)),
        Err(error) => {
            let fields = o!("key" => key.to_owned(), "error" => error.to_string());
            shared.log.write(Event::RecordSkipped, fields);
            None
        }
    }
}

/// Appends records in order, as many at a time as the store takes, and advances the sequence number
/// of the fence. A record that the store rejects for good is set aside, and the others are appended.
/// Returns the rejected records that are about no job, or `None` if the owner can't go on.
async fn append_all(
    shared: &Shared,
    owner: &ActorRef<Owner>,
    records: Vec<KeyedRecord>,
    fence: &mut Fence,
) -> Option<Vec<KeyedRecord>> {
    let limits = shared.settings.append_limits;
    let fits = |record: &KeyedRecord| record.size() <= limits.record;
    let (records, too_large): (Vec<_>, Vec<_>) = records.into_iter().partition(fits);
    let mut rejected = Rejected::default();
    for record in too_large {
        rejected.add(shared, record, "larger than the store takes");
    }
    let mut pending = into_appends(records, limits.request);
    while let Some(mut records) = pending.pop_front() {
        rejected.withhold(&mut records);
        if records.is_empty() {
            continue;
        }
        match append(shared, owner, &records, *fence).await {
            Ok(sent) => {
                fence.sequence += 1;
                // The owner may have ended; its state no longer matters then.
                let _ = owner.tell(TermConfirmed(sent)).await;
            }
            Err(AppendStopped::Fenced) => {
                let _ = owner.tell(Superseded("store")).await;
                return None;
            }
            Err(AppendStopped::Ended) => return None,
            Err(AppendStopped::OutOfSequence) => {
                give_up(shared, owner, "the store expects another sequence number");
                return None;
            }
            Err(AppendStopped::Rejected(_)) if records.len() > 1 => {
                push_halves(&mut pending, records);
            }
            Err(AppendStopped::Rejected(status)) => {
                for record in records {
                    rejected.add(shared, record, &format!("status {status}"));
                }
            }
        }
    }
    if !rejected.jobs.is_empty() {
        // The owner may have ended; the next one reads what is in the log.
        let _ = owner.tell(JobsSetAside(rejected.jobs)).await;
    }
    Some(rejected.others)
}

/// Divides records into appends that the store takes, in order.
fn into_appends(mut records: Vec<KeyedRecord>, limit: usize) -> VecDeque<Vec<KeyedRecord>> {
    let mut appends = VecDeque::new();
    while !records.is_empty() {
        let rest = records.split_off(records_that_fit(records.iter(), limit));
        appends.push_back(std::mem::replace(&mut records, rest));
    }
    appends
}

/// Puts the halves of a rejected append before the other ones, to find the record at fault.
fn push_halves(pending: &mut VecDeque<Vec<KeyedRecord>>, mut records: Vec<KeyedRecord>) {
    let rest = records.split_off(records.len() / 2);
    pending.push_front(rest);
    pending.push_front(records);
}

/// Ends an owner that can't write any more, so that another instance takes the cell over.
fn give_up(shared: &Shared, owner: &ActorRef<Owner>, reason: &'static str) {
    shared
        .log
        .write(Event::WriterFailed, o!("reason" => reason));
    // Without its heartbeats, and without an owner here, the cell falls to the next claimant.
    owner.kill();
}

/// Retries an append until it succeeds. Returns the time at which this owner certainly still held
/// the cell. Every attempt has the same sequence number, so the records are appended once.
async fn append(
    shared: &Shared,
    owner: &ActorRef<Owner>,
    records: &[KeyedRecord],
    fence: Fence,
) -> Result<Time, AppendStopped> {
    let attempt = |attempts| {
        let wait = shared.append_timeout.timeout(attempts);
        shared.append("progress", PROGRESS, records, Some(fence), wait)
    };
    retry_append(|| shared.now(), || owner.is_alive(), attempt).await
}

/// The reason why an append was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendStopped {
    /// A later owner has written.
    Fenced,
    /// The owner has ended.
    Ended,
    /// The store rejects the records with this status, and would do so each time.
    Rejected(u16),
    /// The store expects another sequence number.
    OutOfSequence,
}

/// Retries an append until it succeeds or can't, and returns the send time of the first attempt. The store
/// answers a repeat as it answered the original, even if a later owner has written since, so a
/// retry that succeeds shows nothing about the time after the first attempt.
async fn retry_append<T, F>(
    now: impl Fn() -> Time,
    is_alive: impl Fn() -> bool,
    mut attempt: impl FnMut(u32) -> F,
) -> Result<Time, AppendStopped>
where
    F: Future<Output = Result<T, WriteError>>,
{
    let first_sent = now();
    let mut attempts = 0;
    loop {
        match attempt(attempts).await {
            Ok(_) => return Ok(first_sent),
            Err(WriteError::Fenced) => return Err(AppendStopped::Fenced),
            Err(WriteError::Rejected(status)) => return Err(AppendStopped::Rejected(status)),
            // The append has no expected offset, so that the end can't be another one.
            Err(WriteError::OutOfSequence(_) | WriteError::EndMismatch(_)) => {
                return Err(AppendStopped::OutOfSequence);
            }
            // Logged by `Shared::append`; retried below.
            Err(WriteError::NotAppended(_) | WriteError::Unknown(_)) => {}
        }
        if !is_alive() {
            return Err(AppendStopped::Ended);
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Deletes the intake records of ended jobs. Returns those that may remain: a job whose acceptance
/// outlives the record of its end would count as new to a later owner.
async fn delete_ended(
    shared: &Shared,
    ended: &[(Partition, IntakeKey)],
) -> Vec<(Partition, IntakeKey)> {
    let mut remaining = Vec::new();
    for partition in intake_partitions() {
        let in_partition = ended.iter().filter(|(known, _)| *known == partition);
        let records: Vec<KeyedRecord> = in_partition
            .map(|(_, key)| KeyedRecord::tombstone(key.to_key()))
            .collect();
        let failed = delete_records(shared, partition, records).await;
        let keys = failed
            .iter()
            .filter_map(|record| IntakeKey::parse(&record.key));
        remaining.extend(keys.map(|key| (partition, key)));
    }
    remaining
}

/// Appends deletions, as many at a time as the store takes. Returns those that failed.
async fn delete_records(
    shared: &Shared,
    partition: Partition,
    records: Vec<KeyedRecord>,
) -> Vec<KeyedRecord> {
    let mut failed = Vec::new();
    let mut pending = into_appends(records, shared.settings.append_limits.request);
    while let Some(records) = pending.pop_front() {
        let deadline = Instant::now() + ATTEMPT_TIMEOUT;
        let result = shared
            .store
            .append(partition, &records, None, None, deadline)
            .await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        Metrics::count(&shared.metrics.store_calls, "drop", label);
        match result {
            Ok(_) => {}
            Err(WriteError::Rejected(_)) if records.len() > 1 => {
                push_halves(&mut pending, records);
            }
            Err(error) => {
                let fields = o!("records" => records.len(), "error" => error.to_string());
                shared.log.write(Event::DeletionFailed, fields);
                failed.extend(records);
            }
        }
    }
    failed
}

/// Appends the release record, which informs the siblings that this owner has stopped dispatching.
/// Without it they wait for the owner's heartbeats to time out, so a failed append is retried.
async fn release(shared: &Shared, term: u64, fenced_at: Time) {
    let record = kingcupwinch_cell::GroupRecord::Release {
        term,
        fenced_ms_ago: Some(shared.now().since(fenced_at).as_millis()),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let record = [KeyedRecord::with_value(HEARTBEAT_KEY, value)];
    let mut error = None;
    for _ in 0..RELEASE_ATTEMPTS {
        let deadline = Instant::now() + ATTEMPT_TIMEOUT;
        let result = shared
            .store
            .append(GROUP, &record, None, None, deadline)
            .await;
        error = result.err().map(|error| error.to_string());
        if error.is_none() {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    shared
        .log
        .write(Event::Released, o!("term" => term, "error" => error));
}
