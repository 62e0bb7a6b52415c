//! Background loops that send the owner events: worker polls, intake and directory records, and
//! the adviser's responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::WeakActorRef;
use kingcupwinch_adapter::{Advice, DIRECTORY, KeyedRecord, Page, Partition, StoreError};
use kingcupwinch_cell::{AdviceCallId, RunEnd, Ticket, WorkerKey};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::time::Instant;

use super::Owner;
use super::freshness::view_time;
use super::messages::{DirectoryRead, IntakeRead, NextPoll, PollPlan, PollResult};
use crate::events::Event;
use crate::layout::{IntakeKey, OWNER_PARTITION};
use crate::shared::Shared;
use crate::siblings::{AdviceRequest, Siblings};

#[cfg(test)]
mod tests;

/// Minimum time between two polls of a worker; the cost of a poll limits the rate.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of doublings of the time between two polls while they only repeat known ends, which
/// can't be acknowledged before they are in the log.
const MAX_POLL_DOUBLINGS: u32 = 3;
/// Delay after consecutive failed polls, or while dispatching is suspended.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Long-poll wait of an intake read, in milliseconds.
const INTAKE_WAIT_MS: u64 = 1_000;
/// Time that a read may take beyond its long-poll wait.
const READ_MARGIN: Duration = Duration::from_millis(900);
/// Minimum time between two reads of an intake partition.
const INTAKE_INTERVAL: Duration = Duration::from_millis(12);
/// Time between two reads of the partition that the owner itself appends to. They return only
/// late appends of an earlier owner and appends whose response was lost.
const OWNER_PARTITION_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the directory.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A call to the adviser that an instance is to make.
pub(crate) struct AdviceCall {
    pub(crate) call: AdviceCallId,
    pub(crate) instance: Arc<str>,
    pub(crate) step: String,
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) deadline: Time,
}

/// Polls one worker until it is removed or the owner is retired.
pub(crate) async fn poll_worker(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    worker: WorkerKey,
    id: Arc<str>,
) {
    let mut is_lost = false;
    let mut repeats = RepeatedEnds::default();
    loop {
        let Some(actor) = owner.upgrade() else { return };
        let (order, client) = match actor.ask(NextPoll(worker)).await {
            Ok(PollPlan::Poll(order, client)) => (order, client),
            Ok(PollPlan::Pause) => {
                drop(actor);
                tokio::time::sleep(POLL_RETRY_DELAY).await;
                continue;
            }
            Ok(PollPlan::End) | Err(_) => return,
        };
        drop(actor);
        let sent = shared.now();
        let was_lost = is_lost;
        let result = client.poll(order).await;
        let failure = result.as_ref().err().map(ToString::to_string);
        repeats.note(result.as_ref().map_or(&[], |status| &status.ended));
        log_reachability(&shared, &id, &mut is_lost, failure.as_deref());
        let Some(actor) = owner.upgrade() else { return };
        let poll = PollResult {
            worker,
            address: client.address(),
            sent,
            result,
        };
        if actor.tell(poll).await.is_err() {
            return;
        }
        drop(actor);
        // The first failure may be a stale connection, so it is retried without a longer delay.
        let pause = if failure.is_some() && was_lost {
            POLL_RETRY_DELAY
        } else {
            POLL_INTERVAL * repeats.backoff()
        };
        tokio::time::sleep(pause).await;
    }
}

/// How often in a row the polls of a worker have listed ends of which none was new.
#[derive(Debug, Default)]
struct RepeatedEnds {
    /// The highest number of the ends that were listed last.
    last: Option<u64>,
    count: u32,
}

impl RepeatedEnds {
    /// Records the ends that a poll has listed.
    fn note(&mut self, ended: &[RunEnd]) {
        let last = ended.iter().map(|end| end.sequence).max();
        let is_repeat = last.is_some() && last == self.last;
        self.count = if is_repeat { self.count + 1 } else { 0 };
        self.last = last;
    }

    /// Returns the factor for the time until the next poll.
    fn backoff(&self) -> u32 {
        1 << self.count.min(MAX_POLL_DOUBLINGS)
    }
}

fn log_reachability(shared: &Shared, id: &Arc<str>, is_lost: &mut bool, failure: Option<&str>) {
    match failure {
        Some(error) if !*is_lost => {
            *is_lost = true;
            shared.log.write(
                Event::WorkerLost,
                o!("worker" => id.to_string(), "error" => error.to_owned()),
            );
        }
        None if *is_lost => {
            *is_lost = false;
            shared
                .log
                .write(Event::WorkerRecovered, o!("worker" => id.to_string()));
        }
        _ => {}
    }
}

/// Follows a partition of the intake from an offset until the owner ends.
pub(crate) async fn follow_intake(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    partition: Partition,
    from: u64,
) {
    let interval = if partition == OWNER_PARTITION {
        OWNER_PARTITION_INTERVAL
    } else {
        INTAKE_INTERVAL
    };
    let mut from = Some(from);
    loop {
        let result = match from {
            Some(offset) => read_intake(&shared, partition, offset).await,
            None => reload_intake(&shared, partition).await,
        };
        match result {
            Ok((next, read)) => {
                shared.record_store_result(None);
                from = Some(next);
                if !tell(&owner, read).await {
                    return;
                }
                tokio::time::sleep(interval).await;
            }
            Err(StoreError::Expired(_)) => from = None,
            Err(error) => {
                shared.record_store_result(Some(&error.to_string()));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if owner.upgrade().is_none() {
            return;
        }
    }
}

type IntakeRecords = Vec<(IntakeKey, Option<Bytes>)>;

/// Reads records; returns the next offset and the records.
async fn read_intake(
    shared: &Shared,
    partition: Partition,
    from: u64,
) -> Result<(u64, IntakeRead), StoreError> {
    let sent = shared.now();
    let deadline = Instant::now() + Duration::from_millis(INTAKE_WAIT_MS) + READ_MARGIN;
    let batch = shared
        .store
        .read(partition, from, INTAKE_WAIT_MS, deadline)
        .await?;
    let wait = Span::from_millis(INTAKE_WAIT_MS);
    let view_time = view_time(sent, shared.now(), wait, batch.records.is_empty());
    let records = shared.decode_records("intake", batch.records);
    let records = records.into_iter().filter_map(|(offset, record)| {
        let key = IntakeKey::parse(&record.key);
        if key.is_none() {
            let fields = o!("partition" => "intake", "offset" => offset, "error" => "unknown key");
            shared.log.write(Event::RecordSkipped, fields);
        }
        Some((key?, record.value))
    });
    let read = IntakeRead {
        partition,
        records: records.collect(),
        complete_at: (batch.next >= batch.end).then_some(view_time),
    };
    Ok((batch.next, read))
}

async fn reload_intake(
    shared: &Shared,
    partition: Partition,
) -> Result<(u64, IntakeRead), StoreError> {
    let sent = shared.now();
    let deadline = Instant::now() + Duration::from_millis(INTAKE_WAIT_MS) + READ_MARGIN;
    let page = shared.store.read_latest(partition, deadline).await?;
    let read = IntakeRead {
        partition,
        records: intake_items(&page),
        complete_at: Some(sent),
    };
    Ok((page.end, read))
}

/// Decodes a page of intake records, with cancellations after acceptances.
pub(crate) fn intake_items(page: &Page) -> IntakeRecords {
    let mut items: IntakeRecords = page
        .items
        .iter()
        .filter_map(|item| Some((IntakeKey::parse(&item.key)?, Some(item.value.clone()))))
        .collect();
    items.sort_by_key(|(key, _)| matches!(key, IntakeKey::Cancelled(_)));
    items
}

/// Follows the directory from an offset until the owner ends.
pub(crate) async fn follow_directory(shared: Arc<Shared>, owner: WeakActorRef<Owner>, from: u64) {
    let mut from = Some(from);
    // Send time of the last read that reached the end, so that later entries were written after it.
    let mut complete_at = None;
    let mut pause = DIRECTORY_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        pause = DIRECTORY_INTERVAL;
        let sent = shared.now();
        let deadline = Instant::now() + READ_MARGIN;
        let result = match from {
            Some(offset) => read_directory(&shared, offset, complete_at, deadline).await,
            None => reload_directory(&shared, deadline).await,
        };
        match result {
            Ok((next, is_complete, read)) => {
                shared.record_store_result(None);
                from = Some(next);
                if is_complete {
                    complete_at = Some(sent);
                } else if !read.is_whole {
                    pause = Duration::ZERO;
                }
                let has_changes = read.is_whole || !read.entries.is_empty();
                if has_changes && !tell(&owner, read).await {
                    return;
                }
            }
            Err(StoreError::Expired(_)) => from = None,
            Err(error) => shared.record_store_result(Some(&error.to_string())),
        }
        if owner.upgrade().is_none() {
            return;
        }
    }
}

/// Reads entries; returns the next offset, whether the read reached the end, and the entries.
async fn read_directory(
    shared: &Shared,
    from: u64,
    written_after: Option<Time>,
    deadline: Instant,
) -> Result<(u64, bool, DirectoryRead), StoreError> {
    let batch = shared.store.read(DIRECTORY, from, 0, deadline).await?;
    let records = shared.decode_records("directory", batch.records);
    let row = |(_, record): (u64, KeyedRecord)| (record.key, record.value);
    let read = DirectoryRead {
        entries: records.into_iter().map(row).collect(),
        is_whole: false,
        written_after,
    };
    Ok((batch.next, batch.next >= batch.end, read))
}

async fn reload_directory(
    shared: &Shared,
    deadline: Instant,
) -> Result<(u64, bool, DirectoryRead), StoreError> {
    let page = shared.store.read_latest(DIRECTORY, deadline).await?;
    let row = |item: kingcupwinch_adapter::LatestRecord| (item.key, Some(item.value));
    let read = DirectoryRead {
        entries: page.items.into_iter().map(row).collect(),
        is_whole: true,
        written_after: None,
    };
    // Pages are not a snapshot, so entries of before this read may follow.
    Ok((page.end, false, read))
}

async fn tell<M>(owner: &WeakActorRef<Owner>, message: M) -> bool
where
    Owner: kameo::message::Message<M>,
    M: Send + 'static,
{
    match owner.upgrade() {
        Some(owner) => owner.tell(message).await.is_ok(),
        None => false,
    }
}

/// Calls the adviser here or through a sibling; `None` without a valid response.
pub(crate) async fn call_adviser(
    shared: &Shared,
    siblings: &Siblings,
    address: Option<Arc<str>>,
    request: AdviceCall,
) -> Option<(Vec<Ticket>, Span)> {
    let timeout = request.deadline.since(shared.now());
    let deadline = Instant::now() + Duration::from(timeout);
    let count = request.workers.len();
    let bytes = if request.instance == shared.settings.instance {
        let adviser = shared.adviser.as_ref()?;
        adviser
            .query(&request.step, &request.workers, deadline)
            .await
            .ok()
    } else {
        let sent = AdviceRequest {
            step: request.step.clone(),
            workers: request.workers,
            timeout_ms: timeout.as_millis(),
        };
        siblings.advise(&address?, &sent, deadline).await
    };
    let advice = bytes.and_then(|bytes| Advice::decode(&bytes).ok());
    let event = if advice.is_some() {
        Event::AdviceReceived
    } else {
        Event::AdviceFailed
    };
    let allowed = advice.as_ref().map_or(0, |advice| advice.tickets.len());
    shared.log.write(
        event,
        o!("step" => request.step, "by" => request.instance.to_string(),
            "workers" => count, "allowed" => allowed),
    );
    advice.map(|advice| (advice.tickets, advice.validity))
}
