//! Becoming the owner: the log is fenced, the cell's state is read, and the workers are looked at.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kingcupwinch_adapter::{
    DIRECTORY, Fence, Page, Partition, Store, StoreError, WriteError, decode_registration,
};
use kingcupwinch_cell::{Cell, CellTimers, Claim, JobId, JobRecord, JobSpec, JobState};
use kingcupwinch_time::{Span, Time};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use slog::o;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::loops;
use super::{Freshness, Origins, Owner, OwnerArgs, STOP_AFTER};
use crate::events::Event;
use crate::layout::{IntakeKey, PROGRESS, WORKERS_KEY, intake_partitions};
use crate::shared::Shared;
use crate::siblings::Siblings;

/// How long the reads of a take-over may take.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Taken off the longest lease: clocks are read with a delay.
const LEASE_MARGIN: Span = Span::from_millis(150);
/// How long orders of an owner that stopped may still be on their way.
const STOPPED_OVERLAP: Span = Span::from_millis(300);
/// The greatest age of a job that counts against its objective; clocks may jump.
const MOST_AGE_MS: u64 = 60_000;

quick_error! {
    /// Why a take-over failed.
    #[derive(Debug)]
    pub enum TakeOverError {
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

/// Takes the cell over under a claim. `is_stopped` tells that the owner before gives no orders.
pub(crate) async fn take_over(
    shared: &Arc<Shared>,
    siblings: &Siblings,
    claim: &Claim,
    is_stopped: bool,
    claimed: Time,
) -> Result<ActorRef<Owner>, TakeOverError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let fence = Fence {
        term: claim.term,
        sequence: 0,
    };
    shared
        .store
        .append(PROGRESS, &[], None, Some(fence), deadline)
        .await?;
    let (progress, intake, directory) = tokio::try_join!(
        shared.store.newest_all(PROGRESS, deadline),
        read_intake(&shared.store, deadline),
        shared.store.newest_all(DIRECTORY, deadline),
    )?;
    shared.note_store(None);
    let overlap = if is_stopped {
        STOPPED_OVERLAP
    } else {
        STOP_AFTER
    };
    let limits = CellTimers {
        max_lease: shared.settings.lease - LEASE_MARGIN,
        handover_overlap: overlap,
        end_retention: shared.settings.status_keep,
        exit_window: shared.settings.heartbeat,
    };
    let mut cell = Cell::new(limits, claim.generation);
    let now = shared.now();
    let workers = list_workers(shared, &mut cell, &directory, &progress, now);
    let mut origins = Origins::default();
    let records = restore_ends(shared, &mut cell, &progress, now);
    for (partition, page) in &intake {
        restore_jobs(shared, &mut cell, page, &records, now);
        for (key, _) in loops::intake_items(page) {
            let (IntakeKey::Accepted(id) | IntakeKey::Cancelled(id)) = key;
            origins.entry(id).or_default().push(*partition);
        }
    }
    let jobs = cell.live_jobs();
    shared.log.write(
        Event::TookOver,
        o!("term" => claim.term, "generation" => claim.generation, "jobs" => jobs,
            "workers" => workers, "owner_before_stopped" => is_stopped,
            "since_claim_ms" => now.since(claimed).as_millis()),
    );
    let freshness = Freshness::new(intake_partitions(), now);
    let args = OwnerArgs {
        shared: Arc::clone(shared),
        siblings: siblings.clone(),
        term: claim.term,
        cell,
        confirmed: claimed,
        origins,
        freshness: freshness.clone(),
    };
    let owner = Owner::spawn_with_mailbox(args, mailbox::unbounded());
    let me = owner.downgrade();
    for (partition, page) in intake {
        let (shared, me) = (Arc::clone(shared), me.clone());
        let freshness = freshness.clone();
        tokio::spawn(loops::intake(shared, me, partition, page.end, freshness));
    }
    tokio::spawn(loops::directory(Arc::clone(shared), me, directory.end));
    Ok(owner)
}

/// Lists the workers of the directory, and those that an earlier owner used and that left it.
fn list_workers(
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
    let used = progress.items.iter().find(|item| &*item.key == WORKERS_KEY);
    let used = used.map(|item| serde_json::from_slice::<Vec<(Arc<str>, Arc<str>)>>(&item.value));
    match used {
        None => {}
        Some(Ok(used)) => {
            for (id, address) in used {
                cell.register_lost_worker(&id, address, now);
            }
        }
        // What is placed on workers that left still counts, until their leases have lapsed.
        Some(Err(error)) => shared.log.write(
            Event::RecordSkipped,
            o!("key" => WORKERS_KEY, "error" => error.to_string()),
        ),
    }
    cell.workers().len()
}

/// Reads the partitions of the intake, all at once.
async fn read_intake(
    store: &Store,
    deadline: Instant,
) -> Result<Vec<(Partition, Page)>, StoreError> {
    let mut reads = JoinSet::new();
    for partition in intake_partitions() {
        let store = store.clone();
        reads.spawn(async move {
            let page = store.newest_all(partition, deadline).await?;
            Ok((partition, page))
        });
    }
    reads.join_all().await.into_iter().collect()
}

/// Reads the jobs' progress, and takes over the ends that can still be asked for.
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
            Err(error) => skipped(shared, id, &error.to_string()),
        }
    }
    records
}

/// Takes over the jobs of a partition of the intake that have not ended.
fn restore_jobs(
    shared: &Shared,
    cell: &mut Cell,
    intake: &Page,
    records: &FxHashMap<JobId, JobRecord>,
    now: Time,
) {
    let wall = shared.day().as_millis();
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
                let age = wall.saturating_sub(spec.accepted_ms).min(MOST_AGE_MS);
                let age = Span::from_millis(age);
                cell.restore(id, Some(spec), records.get(&id), age, now);
            }
            Err(error) => skipped(shared, id, &error.to_string()),
        }
    }
}

fn skipped(shared: &Shared, id: JobId, error: &str) {
    shared.log.write(
        Event::RecordSkipped,
        o!("job" => id.to_string(), "error" => error.to_owned()),
    );
}
