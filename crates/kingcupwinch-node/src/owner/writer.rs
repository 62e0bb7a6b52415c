//! Appends the jobs' progress under the owner's term.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, WeakActorRef};
use kameo::message::{Context, Message};
use kingcupwinch_adapter::{Fence, KeyedRecord, Partition, WriteError};
use kingcupwinch_cell::{JobId, RecordBatch};
use kingcupwinch_time::Time;
use slog::o;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::Owner;
use super::messages::{Confirmed, Superseded};
use crate::events::Event;
use crate::layout::{BEAT_KEY, GROUP, IntakeKey, PROGRESS, WORKERS_KEY, intake_partitions};
use crate::metrics::Metrics;
use crate::shared::Shared;

/// The least time between two appends of progress.
const LEAST_GAP: Duration = Duration::from_millis(8);
/// How long progress that no order waits for may wait for more of it.
const WRITE_GAP: Duration = Duration::from_millis(20);
/// How long one try of an append may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Tries to write that the cell is released.
const RELEASE_TRIES: u32 = 8;
/// The time between two appends that drop records of ended jobs.
const DROP_GAP: Duration = Duration::from_millis(2_000);

/// Asks what is to be appended.
struct TakeBatch {
    /// Whether the records of ended jobs are asked for too.
    with_ended: bool,
}

/// What is to be appended.
#[derive(kameo::Reply)]
struct WriteBatch {
    records: RecordBatch,
    /// The workers in use, if they changed.
    workers: Option<Vec<(Arc<str>, Arc<str>)>>,
    ended: Vec<(Partition, IntakeKey)>,
    /// Set with the last batch of an owner that gives the cell up.
    released: Option<oneshot::Sender<()>>,
    is_over: bool,
}

/// A batch and all before it are in the log.
struct Recorded(u64);

impl Message<TakeBatch> for Owner {
    type Reply = WriteBatch;

    async fn handle(&mut self, take: TakeBatch, _: &mut Context<Self, WriteBatch>) -> WriteBatch {
        let now = self.shared.now();
        let workers = std::mem::take(&mut self.is_worker_list_new).then(|| {
            let row = |(_, id, address)| (id, address);
            self.cell.workers().into_iter().map(row).collect()
        });
        let ended = if take.with_ended {
            std::mem::take(&mut self.ended)
        } else {
            Vec::new()
        };
        WriteBatch {
            records: self.cell.take_records(now),
            workers,
            ended,
            released: self.released.take(),
            is_over: self.is_over,
        }
    }
}

impl Message<Recorded> for Owner {
    type Reply = ();

    async fn handle(&mut self, recorded: Recorded, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.note_recorded(recorded.0, now);
        self.send_recorded();
    }
}

/// Appends until the owner is over.
pub(crate) async fn run(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    term: u64,
    write_due: Arc<Notify>,
) {
    let mut sequence = 1;
    let mut drop_due = Instant::now() + DROP_GAP;
    loop {
        let Some(actor) = owner.upgrade() else { return };
        let with_ended = drop_due <= Instant::now();
        if with_ended {
            drop_due = Instant::now() + DROP_GAP;
        }
        let Ok(batch) = actor.ask(TakeBatch { with_ended }).await else {
            return;
        };
        let records = encode(&shared, &batch);
        if !records.is_empty() {
            let fence = Fence { term, sequence };
            let Some(sent) = append(&shared, &actor, &records, fence).await else {
                return;
            };
            sequence += 1;
            // The owner may be over; then its state no longer counts.
            let _ = actor.tell(Confirmed(sent)).await;
        }
        let _ = actor.tell(Recorded(batch.records.batch)).await;
        if !batch.ended.is_empty() {
            let (shared, ended) = (Arc::clone(&shared), batch.ended);
            tokio::spawn(async move { drop_ended(&shared, &ended).await });
        }
        if let Some(released) = batch.released {
            release(&shared, term).await;
            // The instance may have stopped waiting.
            let _ = released.send(());
            return;
        }
        if batch.is_over {
            return;
        }
        drop(actor);
        tokio::time::sleep(LEAST_GAP).await;
        // Orders wait for the log; everything else can wait a little.
        let _ = tokio::time::timeout(WRITE_GAP, write_due.notified()).await;
    }
}

fn encode(shared: &Shared, batch: &WriteBatch) -> Vec<KeyedRecord> {
    let mut records = Vec::with_capacity(batch.records.progress.len());
    for (id, record) in &batch.records.progress {
        match record.encode() {
            Ok(value) => records.push(KeyedRecord::with_value(id.to_string(), value)),
            Err(error) => {
                let fields = o!("job" => id.to_string(), "error" => error.to_string());
                shared.log.write(Event::RecordSkipped, fields);
            }
        }
    }
    let dropped = |id: &JobId| KeyedRecord::without_value(id.to_string());
    records.extend(batch.records.expired.iter().map(dropped));
    if let Some(workers) = &batch.workers {
        match serde_json::to_vec(workers) {
            Ok(value) => records.push(KeyedRecord::with_value(WORKERS_KEY, value)),
            Err(error) => {
                let fields = o!("key" => WORKERS_KEY, "error" => error.to_string());
                shared.log.write(Event::RecordSkipped, fields);
            }
        }
    }
    records
}

/// Appends until it succeeds; returns when the successful try was sent, or `None` if a later
/// owner has written. A repeat has the same number, so it is appended once.
async fn append(
    shared: &Shared,
    owner: &ActorRef<Owner>,
    records: &[KeyedRecord],
    fence: Fence,
) -> Option<Time> {
    let mut tries = 0;
    loop {
        let sent = shared.now();
        let wait = shared.patience.timeout(tries);
        tries += 1;
        let result = shared
            .append("progress", PROGRESS, records, Some(fence), wait)
            .await;
        match result {
            Ok(_) => return Some(sent),
            Err(WriteError::Fenced) => {
                let _ = owner.tell(Superseded("store")).await;
                return None;
            }
            // Noted already; it is tried again.
            Err(_) => {}
        }
        if !owner.is_alive() {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Drops the intake's records of ended jobs.
async fn drop_ended(shared: &Shared, ended: &[(Partition, IntakeKey)]) {
    for partition in intake_partitions() {
        let here = ended.iter().filter(|(place, _)| *place == partition);
        let records: Vec<KeyedRecord> = here
            .map(|(_, key)| KeyedRecord::without_value(key.to_key()))
            .collect();
        if records.is_empty() {
            continue;
        }
        let deadline = Instant::now() + TRY_TIMEOUT;
        let result = shared
            .store
            .append(partition, &records, None, None, deadline)
            .await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        // A record that stays is dropped by the next owner that meets it.
        Metrics::count(&shared.metrics.store_calls, "drop", label);
    }
}

/// Tells the siblings that this owner gives no more orders. Without the record they wait for its
/// silence, so it is tried again while the store refuses.
async fn release(shared: &Shared, term: u64) {
    let record = kingcupwinch_cell::GroupRecord::Release { term };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let record = [KeyedRecord::with_value(BEAT_KEY, value)];
    let mut error = None;
    for _ in 0..RELEASE_TRIES {
        let deadline = Instant::now() + TRY_TIMEOUT;
        let result = shared
            .store
            .append(GROUP, &record, None, None, deadline)
            .await;
        error = result.err().map(|error| error.to_string());
        if error.is_none() {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    shared
        .log
        .write(Event::Released, o!("term" => term, "error" => error));
}
