//! The loops that feed the owner: looks at workers, the intake, the directory, the adviser.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::WeakActorRef;
use kingcupwinch_adapter::{Advice, DIRECTORY, KeyedRecord, Page, Partition, StoreError};
use kingcupwinch_cell::{AdviceCallId, Ticket, WorkerKey};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::time::Instant;

use super::messages::{DirectoryRead, IntakeRead, LookDue, LookPlan, Looked};
use super::{Freshness, Owner};
use crate::events::Event;
use crate::layout::{DIRECT, IntakeKey};
use crate::shared::Shared;
use crate::siblings::{AdviceQuestion, Siblings};

/// The least time between two looks at a worker; each look has a price.
const LOOK_GAP: Duration = Duration::from_millis(60);
/// The pause after a look that failed, or while no orders may be given.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// How long a read of the intake waits for news.
const INTAKE_WAIT_MS: u64 = 1_000;
/// How much longer than its wait a read may take.
const READ_MARGIN: Duration = Duration::from_millis(900);
/// The least time between two reads of the intake.
const INTAKE_GAP: Duration = Duration::from_millis(12);
/// The time between two reads of the partition that the owner itself appends to: they bring only
/// what an earlier owner appended late, or what got no answer.
const DIRECT_GAP: Duration = Duration::from_millis(250);
/// The time between two reads of the directory.
const DIRECTORY_GAP: Duration = Duration::from_millis(400);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A call to the adviser.
pub(crate) struct Question {
    pub(crate) ask: AdviceCallId,
    pub(crate) instance: Arc<str>,
    pub(crate) step: String,
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) until: Time,
}

/// Looks at one worker until it is forgotten or the owner is over.
pub(crate) async fn look(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    worker: WorkerKey,
    id: Arc<str>,
) {
    let mut is_lost = false;
    loop {
        let Some(actor) = owner.upgrade() else { return };
        let (order, port) = match actor.ask(LookDue(worker)).await {
            Ok(LookPlan::Look(order, port)) => (order, port),
            Ok(LookPlan::Pause) => {
                drop(actor);
                tokio::time::sleep(LOOK_PAUSE).await;
                continue;
            }
            Ok(LookPlan::End) | Err(_) => return,
        };
        drop(actor);
        let sent = shared.now();
        let was_lost = is_lost;
        let result = port.look(order).await;
        let failure = result.as_ref().err().map(ToString::to_string);
        note_change(&shared, &id, &mut is_lost, failure.as_deref());
        let Some(actor) = owner.upgrade() else { return };
        let looked = Looked {
            worker,
            sent,
            result,
        };
        if actor.tell(looked).await.is_err() {
            return;
        }
        drop(actor);
        // A first failure may be that of a connection only.
        let pause = if failure.is_some() && was_lost {
            LOOK_PAUSE
        } else {
            LOOK_GAP
        };
        tokio::time::sleep(pause).await;
    }
}

fn note_change(shared: &Shared, id: &Arc<str>, is_lost: &mut bool, failure: Option<&str>) {
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
                .write(Event::WorkerRegained, o!("worker" => id.to_string()));
        }
        _ => {}
    }
}

/// Follows a partition of the intake from an offset.
pub(crate) async fn intake(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    partition: Partition,
    from: u64,
    freshness: Freshness,
) {
    let gap = if partition == DIRECT {
        DIRECT_GAP
    } else {
        INTAKE_GAP
    };
    let mut from = Some(from);
    loop {
        let result = match from {
            Some(offset) => read_intake(&shared, partition, offset).await,
            None => reread_intake(&shared, partition).await,
        };
        match result {
            Ok((next, end, records)) => {
                shared.note_store(None);
                from = Some(next);
                let read = IntakeRead { partition, records };
                if !read.records.is_empty() && !tell(&owner, read).await {
                    return;
                }
                if next >= end {
                    freshness.note(partition, shared.now());
                }
                tokio::time::sleep(gap).await;
            }
            Err(StoreError::Expired(_)) => from = None,
            Err(error) => {
                shared.note_store(Some(&error.to_string()));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if owner.upgrade().is_none() {
            return;
        }
    }
}

type IntakeRecords = Vec<(IntakeKey, Option<Bytes>)>;

/// Reads records; returns where to read on, where the partition ends, and the records.
async fn read_intake(
    shared: &Shared,
    partition: Partition,
    from: u64,
) -> Result<(u64, u64, IntakeRecords), StoreError> {
    let deadline = Instant::now() + Duration::from_millis(INTAKE_WAIT_MS) + READ_MARGIN;
    let batch = shared
        .store
        .read(partition, from, INTAKE_WAIT_MS, deadline)
        .await?;
    let records = shared.decode_records("intake", batch.records);
    let records = records.into_iter().filter_map(|(offset, record)| {
        let key = IntakeKey::parse(&record.key);
        if key.is_none() {
            let fields = o!("partition" => "intake", "offset" => offset, "error" => "unknown key");
            shared.log.write(Event::RecordSkipped, fields);
        }
        Some((key?, record.value))
    });
    Ok((batch.next, batch.end, records.collect()))
}

async fn reread_intake(
    shared: &Shared,
    partition: Partition,
) -> Result<(u64, u64, IntakeRecords), StoreError> {
    let deadline = Instant::now() + Duration::from_millis(INTAKE_WAIT_MS) + READ_MARGIN;
    let page = shared.store.newest_all(partition, deadline).await?;
    Ok((page.end, page.end, intake_items(&page)))
}

/// Reads the items of a page of the intake; cancellations come last.
pub(crate) fn intake_items(page: &Page) -> IntakeRecords {
    let mut items: IntakeRecords = page
        .items
        .iter()
        .filter_map(|item| Some((IntakeKey::parse(&item.key)?, Some(item.value.clone()))))
        .collect();
    items.sort_by_key(|(key, _)| matches!(key, IntakeKey::Cancelled(_)));
    items
}

/// Follows the directory from an offset.
pub(crate) async fn directory(shared: Arc<Shared>, owner: WeakActorRef<Owner>, from: u64) {
    let mut from = Some(from);
    loop {
        tokio::time::sleep(DIRECTORY_GAP).await;
        let deadline = Instant::now() + READ_MARGIN;
        let result = match from {
            Some(offset) => read_directory(&shared, offset, deadline).await,
            None => reread_directory(&shared, deadline).await,
        };
        match result {
            Ok((next, read)) => {
                shared.note_store(None);
                from = Some(next);
                let is_news = read.is_whole || !read.entries.is_empty();
                if is_news && !tell(&owner, read).await {
                    return;
                }
            }
            Err(StoreError::Expired(_)) => from = None,
            Err(error) => shared.note_store(Some(&error.to_string())),
        }
        if owner.upgrade().is_none() {
            return;
        }
    }
}

async fn read_directory(
    shared: &Shared,
    from: u64,
    deadline: Instant,
) -> Result<(u64, DirectoryRead), StoreError> {
    let batch = shared.store.read(DIRECTORY, from, 0, deadline).await?;
    let records = shared.decode_records("directory", batch.records);
    let row = |(_, record): (u64, KeyedRecord)| (record.key, record.value);
    let read = DirectoryRead {
        entries: records.into_iter().map(row).collect(),
        is_whole: false,
    };
    Ok((batch.next, read))
}

async fn reread_directory(
    shared: &Shared,
    deadline: Instant,
) -> Result<(u64, DirectoryRead), StoreError> {
    let page = shared.store.newest_all(DIRECTORY, deadline).await?;
    let row = |item: kingcupwinch_adapter::Item| (item.key, Some(item.value));
    let read = DirectoryRead {
        entries: page.items.into_iter().map(row).collect(),
        is_whole: true,
    };
    Ok((page.end, read))
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

/// Has an instance ask the adviser; `None` without an answer.
pub(crate) async fn ask(
    shared: &Shared,
    siblings: &Siblings,
    address: Option<Arc<str>>,
    question: Question,
) -> Option<(Vec<Ticket>, Span)> {
    let patience = question.until.since(shared.now());
    let deadline = Instant::now() + Duration::from(patience);
    let count = question.workers.len();
    let bytes = if question.instance == shared.settings.instance {
        let adviser = shared.adviser.as_ref()?;
        adviser
            .ask(&question.step, &question.workers, deadline)
            .await
            .ok()
    } else {
        let sent = AdviceQuestion {
            step: question.step.clone(),
            workers: question.workers,
            patience_ms: patience.as_millis(),
        };
        siblings.advise(&address?, &sent, deadline).await
    };
    let advice = bytes.and_then(|bytes| Advice::decode(&bytes).ok());
    let event = if advice.is_some() {
        Event::Asked
    } else {
        Event::AskFailed
    };
    let allowed = advice.as_ref().map_or(0, |advice| advice.tickets.len());
    shared.log.write(
        event,
        o!("step" => question.step, "by" => question.instance.to_string(),
            "workers" => count, "allowed" => allowed),
    );
    advice.map(|advice| (advice.tickets, advice.valid))
}
