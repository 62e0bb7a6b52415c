//! Takeover of the cell: fences the log, restores the cell's state and starts the owner.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kingcupwinch_adapter::{
    DIRECTORY, Fence, LatestReader, LatestRecord, Page, Partition, StoreError, WriteError,
    decode_registration,
};
use kingcupwinch_cell::{
    Cell, CellTimers, Claim, JobId, JobRecord, JobSpec, JobState, PartKey, WorkerRecord,
};
use kingcupwinch_time::{Span, Time};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use slog::o;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::leases::LeaseLimits;
use super::loops;
use super::worker_shards::WorkerShards;
use super::{Freshness, Origins, Owner, OwnerArgs, TERM_TIMEOUT};
use crate::cancellation;
use crate::events::Event;
use crate::layout::{
    IntakeKey, LEASES_KEY, PROGRESS, RUN_TIMES_KEY, WORKERS_KEY, intake_partitions,
};
use crate::link::BYTES_PER_MBIT;
use crate::shared::Shared;
use crate::siblings::Siblings;

#[cfg(test)]
mod tests;

/// Timeout of one attempt to fence the log.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of partitions that are read at a time.
const MAX_READS: usize = 9;
/// Bytes of a read that may wait at the link: a common receive window.
const WINDOW_BYTES: f64 = 65_536.0;
/// Time for which the bytes of all reads may wait at the link, in seconds: less than the interval
/// between two heartbeats.
const MAX_QUEUE_S: f64 = 0.25;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which no order of an owner that has stopped is still in flight, also through a relay.
const IN_FLIGHT_MARGIN: Span = Span::from_millis(600);
/// Heartbeats after the last one within which a directory entry disappears only if its worker removes
/// it. The entry of a silent worker expires one heartbeat later.
const EXIT_HEARTBEATS: u64 = 2;
/// Maximum age of a job that counts towards its latency objective, in milliseconds; bounds the
/// effect of clock jumps.
const MAX_AGE_MS: u64 = 60_000;

quick_error! {
    /// Error of a takeover.
    #[derive(Debug)]
    pub enum TakeoverError {
        /// The log could not be fenced.
        Fence(source: WriteError) {
            from()
            source(source)
            display("fencing the log: {source}")
        }
        /// There is a later claim.
        Superseded {
            display("a later owner has written")
        }
        /// The state could not be read.
        Read(source: StoreError) {
            from()
            source(source)
            display("reading the state: {source}")
        }
        /// The instance is stopping.
        Stopped {
            display("the instance is stopping")
        }
    }
}

/// A claim under which an instance takes the cell over.
#[derive(Debug)]
pub(crate) struct Takeover {
    pub(crate) claim: Claim,
    /// When all owners that may still give orders were certainly fenced, if that is known.
    pub(crate) fenced_at: Option<Time>,
    /// When the claim was sent.
    pub(crate) claimed_at: Time,
    /// When the takeover fails unless it is complete.
    pub(crate) give_up: Instant,
}

/// The state of a cell as it is in the log.
struct LoggedState {
    progress: Page,
    intake: Vec<(Partition, Page)>,
    directory: Page,
}

/// Takes the cell over. `heartbeats` sends heartbeats while it is polled, which begins once the earlier
/// owners are fenced.
///
/// # Errors
///
/// Fails if there is a later claim, or if the log can't be fenced or the state can't be read in time.
pub(crate) async fn take_over(
    shared: &Arc<Shared>,
    siblings: &Siblings,
    takeover: Takeover,
    heartbeats: impl Future<Output = ()>,
) -> Result<ActorRef<Owner>, TakeoverError> {
    let Takeover {
        claim,
        fenced_at,
        claimed_at,
        give_up,
    } = takeover;
    fence(shared, claim.term, give_up).await?;
    let read_at = shared.now();
    let fenced_at = fenced_at.unwrap_or(read_at);
    let state = tokio::select! {
        state = read_state(shared, give_up) => state?,
        () = heartbeats => return Err(TakeoverError::Stopped),
    };
    let LoggedState {
        progress,
        intake,
        directory,
    } = state;
    shared.record_store_result(None);
    let now = shared.now();
    let handover_overlap = overlap_after(fenced_at, now);
    let record = decode_value(shared, &progress, LEASES_KEY);
    let max_lease = shared.settings.max_lease;
    let leases = LeaseLimits::new(claim.generation, max_lease, claim.leases, record);
    // No earlier owner was confirmed after the fence.
    let inherited_until = leases.inherited_bounds.map(|b| b.expiry_after(read_at));
    let timers = CellTimers {
        max_lease: leases.granted,
        inherited_lease: leases.inherited,
        longest_lease: max_lease,
        handover_overlap,
        end_retention: shared.settings.status_retention,
        exit_window: shared.settings.heartbeat.times(EXIT_HEARTBEATS),
    };
    let limit = shared.settings.append_limits.record;
    let mut cell = Cell::new(timers, claim.generation)
        .with_disabled(shared.disabled)
        .with_inherited_until(inherited_until)
        .with_record_limit(limit)
        .with_cap_overage(shared.settings.cap_overage)
        .with_far_factor(shared.settings.far_factor);
    let workers = restore_workers(shared, &mut cell, &directory, &progress, now);
    let shards = WorkerShards::new(limit, progress.items.iter().map(|item| &*item.key));
    let mut origins = Origins::default();
    let mut duplicates = Vec::new();
    let records = restore_ends(shared, &mut cell, &progress, now);
    for (partition, page) in &intake {
        restore_jobs(shared, &mut cell, page, &records, now);
        for (key, _) in loops::intake_items(page) {
            duplicates.extend(
                origins
                    .add(key, *partition)
                    .map(|duplicate| (duplicate, key)),
            );
        }
    }
    for (id, record) in &records {
        if cell.job_state(*id).is_none() {
            cell.restore(*id, None, Some(record), Span::ZERO, now);
        }
    }
    let jobs = cell.live_jobs();
    shared.log.write(
        Event::TookOver,
        o!("term" => claim.term, "generation" => claim.generation, "jobs" => jobs,
            "workers" => workers, "handover_overlap_ms" => handover_overlap.as_millis(),
            "inherited_lease_ms" => leases.inherited.as_millis(),
            "inherited_for_ms" => inherited_until.map(|until| until.since(now).as_millis()),
            "since_claim_ms" => now.since(claimed_at).as_millis()),
    );
    let args = OwnerArgs {
        shared: Arc::clone(shared),
        siblings: siblings.clone(),
        term: claim.term,
        cell,
        confirmed_at: claimed_at,
        fenced_at,
        leases,
        lease_record_due: leases.record_due(now + handover_overlap, now),
        origins,
        duplicates,
        freshness: Freshness::new(intake_partitions(), read_at),
        shards,
    };
    let owner = Owner::spawn_with_mailbox(args, mailbox::unbounded());
    let me = owner.downgrade();
    for (partition, page) in intake {
        let (shared, me) = (Arc::clone(shared), me.clone());
        tokio::spawn(loops::follow_intake(shared, me, partition, page.end));
    }
    tokio::spawn(loops::follow_directory(
        Arc::clone(shared),
        me,
        directory.end,
    ));
    Ok(owner)
}

/// Returns how long from `now` earlier owners may still give orders: an owner can't be confirmed to
/// hold the cell after it was fenced.
fn overlap_after(fenced_at: Time, now: Time) -> Span {
    let stopped_at = fenced_at + TERM_TIMEOUT;
    stopped_at.since(now).max(IN_FLIGHT_MARGIN)
}

/// Registers the workers in the directory, and those that an earlier owner used and that have left
/// the directory since. Returns the number of workers.
fn restore_workers(
    shared: &Shared,
    cell: &mut Cell,
    directory: &Page,
    progress: &Page,
    now: Time,
) -> usize {
    for item in &directory.items {
        match decode_registration(&item.key, &item.value) {
            Ok(entry) => {
                cell.register_worker(entry, true, now);
            }
            Err(error) => shared.note_odd_entry(&item.key, &item.value, &error),
        }
    }
    // If this can't be read, runs on workers that left the directory still count until their leases
    // expire.
    let is_list = |key: &str| key == WORKERS_KEY || WorkerShards::is_shard(key);
    for item in progress.items.iter().filter(|item| is_list(&item.key)) {
        let used: Option<Vec<WorkerRecord>> = decode_item(shared, item);
        for record in used.unwrap_or_default() {
            cell.register_lost_worker(&record, now);
        }
    }
    if let Some(learned) = decode_value(shared, progress, RUN_TIMES_KEY) {
        cell.restore_run_times(&learned, now);
    }
    cell.workers().len()
}

/// Decodes the value of a key of the progress partition; `None` if it is missing or malformed.
fn decode_value<T: DeserializeOwned>(
    shared: &Shared,
    progress: &Page,
    key: &'static str,
) -> Option<T> {
    let item = progress.items.iter().find(|item| &*item.key == key)?;
    decode_item(shared, item)
}

/// Decodes the value of a record; `None` if it is malformed.
fn decode_item<T: DeserializeOwned>(shared: &Shared, item: &LatestRecord) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            let fields = o!("key" => item.key.to_string(), "error" => error.to_string());
            shared.log.write(Event::RecordSkipped, fields);
            None
        }
    }
}

/// Fences the earlier owners from the progress partition.
async fn fence(shared: &Shared, term: u64, give_up: Instant) -> Result<(), TakeoverError> {
    let fence = Fence { term, sequence: 0 };
    loop {
        let deadline = give_up.min(Instant::now() + FENCE_TIMEOUT);
        let sent = shared
            .store
            .append(PROGRESS, &[], None, Some(fence), deadline);
        match sent.await {
            Ok(_) => return Ok(()),
            Err(WriteError::Fenced) => return Err(TakeoverError::Superseded),
            Err(error) if Instant::now() + RETRY_DELAY >= give_up => return Err(error.into()),
            Err(error) => shared.record_store_result(Some(&error.to_string())),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the progress, the intake and the directory, as many partitions at a time as the link bears.
async fn read_state(shared: &Arc<Shared>, give_up: Instant) -> Result<LoggedState, StoreError> {
    let permits = Arc::new(Semaphore::new(max_reads(shared.settings.link_mbps)));
    let mut reads = JoinSet::new();
    for partition in intake_partitions() {
        let (shared, permits) = (Arc::clone(shared), Arc::clone(&permits));
        reads.spawn(async move { read_partition(&shared, partition, &permits, give_up).await });
    }
    let (progress, directory) = tokio::try_join!(
        read_partition(shared, PROGRESS, &permits, give_up),
        read_partition(shared, DIRECTORY, &permits, give_up),
    )?;
    let intake: Result<_, StoreError> = reads.join_all().await.into_iter().collect();
    Ok(LoggedState {
        progress: progress.1,
        intake: intake?,
        directory: directory.1,
    })
}

/// Returns how many partitions may be read at a time. Each read keeps up to a window of bytes waiting
/// at the link, and heartbeats and reads of the group wait behind them.
fn max_reads(link_mbps: Option<f64>) -> usize {
    let Some(link_mbps) = link_mbps else {
        return MAX_READS;
    };
    let most = link_mbps * BYTES_PER_MBIT * MAX_QUEUE_S / WINDOW_BYTES;
    (most as usize).clamp(1, MAX_READS)
}

/// Reads the latest records of a partition. A failed call is repeated for the same page, so that what
/// a narrow link has carried is not read again.
async fn read_partition(
    shared: &Shared,
    partition: Partition,
    permits: &Semaphore,
    give_up: Instant,
) -> Result<(Partition, Page), StoreError> {
    let mut reader = LatestReader::new(partition);
    while !reader.is_complete() {
        // The semaphore is never closed.
        let _permit = permits.acquire().await;
        match reader.advance(&shared.store, give_up).await {
            Ok(()) => {}
            Err(error) if Instant::now() + RETRY_DELAY >= give_up => return Err(error),
            Err(error) => {
                shared.record_store_result(Some(&error.to_string()));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    Ok((partition, reader.into_page()))
}

/// Decodes the jobs' progress records and restores the ended jobs whose state can still be queried.
fn restore_ends(
    shared: &Shared,
    cell: &mut Cell,
    progress: &Page,
    now: Time,
) -> FxHashMap<JobId, JobRecord> {
    let mut records = FxHashMap::default();
    for item in &progress.items {
        let Some(id) = JobId::parse(&item.key) else {
            continue;
        };
        match JobRecord::decode(&item.value) {
            Ok(record) => {
                if record.end.is_some_and(JobState::is_final) {
                    cell.restore(id, None, Some(&record), Span::ZERO, now);
                }
                records.insert(id, record);
            }
            Err(error) => log_skipped(shared, id, &error.to_string()),
        }
    }
    add_parts(shared, cell, progress, &mut records);
    records
}

/// Adds the parts of large records to the records of their jobs, and schedules the deletion of those
/// whose job has ended or, without a record, has expired.
fn add_parts(
    shared: &Shared,
    cell: &mut Cell,
    progress: &Page,
    records: &mut FxHashMap<JobId, JobRecord>,
) {
    for item in &progress.items {
        let Some((id, key)) = PartKey::parse(&item.key) else {
            continue;
        };
        let record = records.get_mut(&id);
        let Some(record) = record.filter(|record| record.end.is_none()) else {
            cell.drop_part(id, key);
            continue;
        };
        match JobRecord::decode(&item.value) {
            Ok(part) => record.add_part(key, part),
            Err(error) => log_skipped(shared, id, &error.to_string()),
        }
    }
}

/// Restores the jobs of an intake partition that have not ended.
fn restore_jobs(
    shared: &Shared,
    cell: &mut Cell,
    intake: &Page,
    records: &FxHashMap<JobId, JobRecord>,
    now: Time,
) {
    let wall = shared.wall_time().as_millis();
    for (key, value) in loops::intake_items(intake) {
        let (id, value) = match (key, value) {
            (IntakeKey::Accepted(id), Some(value)) => (id, value),
            (IntakeKey::Cancelled(id), Some(value)) => {
                cell.cancel_for(id, &cancellation::decode(&value), now);
                continue;
            }
            _ => continue,
        };
        match serde_json::from_slice::<JobSpec>(&value) {
            Ok(spec) => {
                let age = wall.saturating_sub(spec.accepted_ms).min(MAX_AGE_MS);
                let age = Span::from_millis(age);
                cell.restore(id, Some(spec), records.get(&id), age, now);
            }
            Err(error) => log_skipped(shared, id, &error.to_string()),
        }
    }
}

fn log_skipped(shared: &Shared, id: JobId, error: &str) {
    shared.log.write(
        Event::RecordSkipped,
        o!("job" => id.to_string(), "error" => error.to_owned()),
    );
}
