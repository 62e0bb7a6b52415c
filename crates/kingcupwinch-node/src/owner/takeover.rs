//! Takeover of the cell: fences the log, restores the cell's state and starts the owner.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kingcupwinch_adapter::{
    DIRECTORY, Fence, Page, Partition, Store, StoreError, WriteError, decode_registration,
};
use kingcupwinch_cell::{
    Cell, CellTimers, Claim, JobId, JobRecord, JobSpec, JobState, WorkerRecord,
};
use kingcupwinch_time::{Span, Time};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use slog::o;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::leases::LeaseLimits;
use super::loops;
use super::{Freshness, Origins, Owner, OwnerArgs, TERM_TIMEOUT};
use crate::events::Event;
use crate::layout::{
    IntakeKey, LEASES_KEY, PROGRESS, RUN_TIMES_KEY, WORKERS_KEY, intake_partitions,
};
use crate::shared::Shared;
use crate::siblings::Siblings;

#[cfg(test)]
mod tests;

/// Timeout for fencing the log and reading the state.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which no order of an owner that has stopped is still in flight.
const IN_FLIGHT_MARGIN: Span = Span::from_millis(300);
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
        /// The state could not be read.
        Read(source: StoreError) {
            from()
            source(source)
            display("reading the state: {source}")
        }
    }
}

/// Takes the cell over under a claim sent at `claimed_at`. All owners that may still give orders were
/// fenced at `fenced_at`, which is set once they are.
///
/// # Errors
///
/// Fails if the log can't be fenced or the state can't be read.
pub(crate) async fn take_over(
    shared: &Arc<Shared>,
    siblings: &Siblings,
    claim: &Claim,
    fenced_at: &mut Option<Time>,
    claimed_at: Time,
) -> Result<ActorRef<Owner>, TakeoverError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let fence = Fence {
        term: claim.term,
        sequence: 0,
    };
    shared
        .store
        .append(PROGRESS, &[], None, Some(fence), deadline)
        .await?;
    let read_at = shared.now();
    let fenced_at = *fenced_at.get_or_insert(read_at);
    let (progress, intake, directory) = tokio::try_join!(
        shared.store.read_latest(PROGRESS, deadline),
        read_intake(&shared.store, deadline),
        shared.store.read_latest(DIRECTORY, deadline),
    )?;
    shared.record_store_result(None);
    let now = shared.now();
    let handover_overlap = overlap_after(fenced_at, now);
    let record = decode_value(shared, &progress, LEASES_KEY);
    let leases = LeaseLimits::new(claim.generation, shared.settings.max_lease, record);
    let timers = CellTimers {
        max_lease: leases.granted,
        inherited_lease: leases.inherited,
        handover_overlap,
        end_retention: shared.settings.status_retention,
        exit_window: shared.settings.heartbeat.times(EXIT_HEARTBEATS),
    };
    let mut cell = Cell::new(timers, claim.generation).with_disabled(shared.disabled);
    let workers = restore_workers(shared, &mut cell, &directory, &progress, now);
    let mut origins = Origins::default();
    let records = restore_ends(shared, &mut cell, &progress, now);
    for (partition, page) in &intake {
        restore_jobs(shared, &mut cell, page, &records, now);
        for (key, _) in loops::intake_items(page) {
            let (IntakeKey::Accepted(id) | IntakeKey::Cancelled(id)) = key;
            origins.entry(id).or_default().push(*partition);
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
        freshness: Freshness::new(intake_partitions(), read_at),
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
            Some(entry) => {
                cell.register_worker(entry, true, now);
            }
            None => shared.log.write(
                Event::RecordSkipped,
                o!("partition" => "directory", "worker" => item.key.to_string()),
            ),
        }
    }
    // If this can't be read, runs on workers that left the directory still count until their leases
    // expire.
    let used: Option<Vec<WorkerRecord>> = decode_value(shared, progress, WORKERS_KEY);
    for record in used.unwrap_or_default() {
        cell.register_lost_worker(&record, now);
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
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            let fields = o!("key" => key, "error" => error.to_string());
            shared.log.write(Event::RecordSkipped, fields);
            None
        }
    }
}

/// Reads all partitions of the intake concurrently.
async fn read_intake(
    store: &Store,
    deadline: Instant,
) -> Result<Vec<(Partition, Page)>, StoreError> {
    let mut reads = JoinSet::new();
    for partition in intake_partitions() {
        let store = store.clone();
        reads.spawn(async move {
            let page = store.read_latest(partition, deadline).await?;
            Ok((partition, page))
        });
    }
    reads.join_all().await.into_iter().collect()
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
    records
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
            (IntakeKey::Cancelled(id), Some(_)) => {
                cell.cancel(id, now);
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
