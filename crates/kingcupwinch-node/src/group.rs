//! Follows the group: who owns the cell, and whether this instance has to claim it.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kingcupwinch_adapter::{KeyedRecord, StoreError, WriteError};
use kingcupwinch_cell::{Claim, ElectionStep, ElectionTimers, GroupRecord, OwnerElection};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::events::Event;
use crate::layout::{BEAT_KEY, CLAIM_KEY, GROUP, MEMBER_PREFIX};
use crate::owner::{Confirmed, Members, Owner, Release, STOP_AFTER, Superseded, take_over};
use crate::shared::Shared;
use crate::siblings::Siblings;

/// Between two signs of life of an owner.
const BEAT: Span = Span::from_millis(300);
/// An owner that was silent for so long may be replaced: three lost beats.
const SILENCE: Span = Span::from_millis(900);
/// An owner that was silent for so long may be replaced though the store is slow.
const LONGEST_SILENCE: Span = Span::from_millis(2_500);
/// A gap between reads after which silence is counted anew.
const READ_GAP: Span = Span::from_millis(1_600);
/// Before a first claim, so that the members are known by then.
const GATHER: Span = Span::from_millis(800);
/// Between the claims of two members that are next to each other by size.
const STAGGER: Span = Span::from_millis(20);
/// An owner of fewer thousandths of a core gives the cell to a member that is twice as large: the
/// orders of 350 workers take about 140.
const SMALL: u32 = 180;
/// It does so once the member was there for so long.
const YIELD_AFTER: Span = Span::from_millis(1_500);
/// So many of the largest members hear of a change at once; the others read now and then.
const DEPUTIES: usize = 4;
/// Between two reads of the others.
const IDLE_READ_GAP: Duration = Duration::from_millis(800);
/// The longest wait of a read.
const READ_WAIT_MS: u64 = 700;
/// How much longer than its wait a call may take.
const CALL_MARGIN: Duration = Duration::from_millis(900);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Between two records of a member.
const MEMBER_GAP: Duration = Duration::from_secs(30);

/// Follows the group, and owns the cell when it falls to this instance.
pub(crate) struct Group {
    shared: Arc<Shared>,
    siblings: Siblings,
    tenure: OwnerElection,
    next: Option<u64>,
    /// The generation of a claim that may have been appended.
    tried: Option<u32>,
    held: Option<Held>,
}

/// The cell, held by this instance.
struct Held {
    term: u64,
    owner: ActorRef<Owner>,
}

impl Group {
    pub(crate) fn new(shared: Arc<Shared>, siblings: Siblings) -> Self {
        let timers = ElectionTimers {
            owner_timeout: SILENCE,
            max_timeout: LONGEST_SILENCE,
            read_gap: READ_GAP,
            initial_delay: GATHER,
            rank_delay: STAGGER,
            small_millicores: SMALL,
            yield_after: YIELD_AFTER,
        };
        let me = Arc::clone(&shared.settings.instance);
        let tenure = OwnerElection::new(me, timers, shared.now());
        Group {
            shared,
            siblings,
            tenure,
            next: None,
            tried: None,
            held: None,
        }
    }

    /// Follows the group until the instance stops, and then gives the cell up.
    pub(crate) async fn run(mut self) {
        let shared = Arc::clone(&self.shared);
        while !shared.is_stopping() {
            // Noted before this instance may own the cell, so that a jump is told from the truth.
            let _ = shared.day();
            let result = tokio::select! {
                result = self.read() => result,
                () = shared.stop_asked() => break,
            };
            self.note_read(result).await;
            self.yield_cell().await;
            self.rest().await;
        }
        self.release().await;
    }

    /// Pauses between two reads, unless the owner is missed.
    async fn rest(&self) {
        let is_close = self.held.is_some() || self.tenure.rank() < DEPUTIES;
        if is_close || self.tenure.claim().is_none() || self.next.is_none() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(IDLE_READ_GAP) => {}
            () = self.shared.owner_missed.notified() => {}
            () = self.shared.stop_asked() => {}
        }
    }

    /// Gives the cell to a larger instance.
    async fn yield_cell(&mut self) {
        if self.held.is_some() && self.tenure.should_yield(self.shared.now()) {
            self.release().await;
        }
    }

    async fn read(&self) -> Result<(u64, Vec<(u64, KeyedRecord)>), StoreError> {
        let store = &self.shared.store;
        let Some(from) = self.next else {
            let deadline = Instant::now() + CALL_MARGIN;
            let page = store.newest_all(GROUP, deadline).await?;
            let mut records: Vec<_> = page
                .items
                .into_iter()
                .map(|item| (item.offset, KeyedRecord::with_value(item.key, item.value)))
                .collect();
            records.sort_by_key(|(offset, _)| *offset);
            return Ok((page.end, records));
        };
        let wait = self.read_wait();
        let deadline = Instant::now() + Duration::from_millis(wait) + CALL_MARGIN;
        let batch = store.read(GROUP, from, wait, deadline).await?;
        let records = self.shared.decode_records("group", batch.records);
        Ok((batch.next, records))
    }

    /// Returns how long the next read may wait, in milliseconds: not past a claim that is due.
    fn read_wait(&self) -> u64 {
        let now = self.shared.now();
        match self.tenure.next_step(now) {
            ElectionStep::Wait(until) if self.held.is_none() => {
                until.since(now).as_millis().min(READ_WAIT_MS)
            }
            _ => READ_WAIT_MS,
        }
    }

    async fn note_read(&mut self, result: Result<(u64, Vec<(u64, KeyedRecord)>), StoreError>) {
        match result {
            Ok((next, records)) => {
                self.shared.note_store(None);
                self.next = Some(next);
                let now = self.shared.now();
                self.tenure.note_read(now);
                for (offset, record) in records {
                    self.apply(offset, &record, now);
                }
                self.follow_claim().await;
                if let (None, ElectionStep::Claim { generation }) =
                    (&self.held, self.tenure.next_step(now))
                {
                    self.claim(generation, next).await;
                }
            }
            Err(StoreError::Expired(_)) => self.next = None,
            Err(error) => {
                self.shared.note_store(Some(&error.to_string()));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn apply(&mut self, offset: u64, record: &KeyedRecord, now: Time) {
        let Some(value) = &record.value else { return };
        match serde_json::from_slice::<GroupRecord>(value) {
            Ok(record) => self.tenure.apply(offset, record, now),
            Err(error) => self.shared.log.write(
                Event::RecordSkipped,
                o!("partition" => "group", "offset" => offset, "error" => error.to_string()),
            ),
        }
    }

    /// Publishes the claim that holds, and acts on it if it is new.
    async fn follow_claim(&mut self) {
        let claim = self.tenure.claim().cloned();
        let is_new = self.shared.claim.send_if_modified(|held| {
            let is_new = *held != claim;
            held.clone_from(&claim);
            is_new
        });
        let are_new = self.shared.members.send_if_modified(|held| {
            let is_new = *held != self.tenure.members();
            if is_new {
                *held = self.tenure.members().to_vec();
            }
            is_new
        });
        if let (true, Some(held)) = (are_new, &self.held) {
            // The owner may have ended by itself; then nobody needs the members.
            let _ = held
                .owner
                .tell(Members(self.tenure.members().to_vec()))
                .await;
        }
        let Some(claim) = claim.filter(|_| is_new) else {
            return;
        };
        self.shared.log.write(
            Event::OwnerSeen,
            o!("owner" => claim.instance.to_string(), "term" => claim.term,
                "generation" => claim.generation),
        );
        if self
            .held
            .as_ref()
            .is_some_and(|held| held.term < claim.term)
        {
            self.drop_held().await;
        }
        // A claim whose answer was lost.
        let is_mine = claim.instance == self.shared.settings.instance;
        if is_mine && self.tried == Some(claim.generation) && self.held.is_none() {
            let now = self.shared.now();
            self.own(claim, false, now).await;
        }
    }

    async fn drop_held(&mut self) {
        if let Some(held) = self.held.take() {
            self.shared.set_owner(None);
            self.shared.metrics.term.set(0);
            let _ = held.owner.tell(Superseded("claim in the log")).await;
            // Its loops end with it; orders on their way are refused by the workers.
            held.owner.kill();
        }
    }

    async fn claim(&mut self, generation: u32, at: u64) {
        let shared = Arc::clone(&self.shared);
        let is_stopped = self.tenure.is_owner_stopped();
        let record = GroupRecord::Claim {
            instance: Arc::clone(&shared.settings.instance),
            address: shared.settings.siblings.to_string().into(),
            generation,
        };
        self.tried = Some(generation);
        let sent = shared.now();
        match append(&shared, CLAIM_KEY, &record, Some(at), CALL_MARGIN).await {
            Ok(term) => {
                let claim = Claim {
                    term,
                    instance: Arc::clone(&shared.settings.instance),
                    address: shared.settings.siblings.to_string().into(),
                    generation,
                };
                self.next = Some(term + 1);
                self.tenure.apply(term, record, shared.now());
                shared.claim.send_replace(Some(claim.clone()));
                self.own(claim, is_stopped, sent).await;
            }
            Err(WriteError::Moved(_)) => {}
            Err(error) => {
                shared.log.write(
                    Event::ClaimFailed,
                    o!("generation" => generation, "error" => error.to_string()),
                );
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Takes the cell over under a claim of this instance.
    async fn own(&mut self, claim: Claim, is_stopped: bool, sent: Time) {
        self.shared.log.write(
            Event::Claimed,
            o!("term" => claim.term, "generation" => claim.generation,
                "owner_before_stopped" => is_stopped),
        );
        let (term, shared) = (claim.term, Arc::clone(&self.shared));
        loop {
            match take_over(&shared, &self.siblings, &claim, is_stopped, sent).await {
                Ok(owner) => {
                    let _ = owner.tell(Members(self.tenure.members().to_vec())).await;
                    shared.set_owner(Some(owner.clone()));
                    shared.metrics.term.set(term as i64);
                    tokio::spawn(beat(Arc::clone(&shared), owner.clone(), term));
                    self.held = Some(Held { term, owner });
                    return;
                }
                Err(error) => {
                    shared.log.write(
                        Event::ClaimFailed,
                        o!("term" => term, "error" => error.to_string()),
                    );
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            let is_late = shared.now().since(sent) > STOP_AFTER;
            if is_late || shared.is_stopping() {
                return;
            }
        }
    }

    async fn release(&mut self) {
        let Some(held) = self.held.take() else { return };
        let (done, released) = oneshot::channel();
        if held.owner.tell(Release(done)).await.is_ok() {
            // The owner may end without an answer: then its silence tells the others.
            let _ = released.await;
        }
        self.shared.set_owner(None);
        self.shared.metrics.term.set(0);
    }
}

/// Appends a record of the group; returns its offset.
async fn append(
    shared: &Shared,
    key: &str,
    record: &GroupRecord,
    at: Option<u64>,
    wait: Duration,
) -> Result<u64, WriteError> {
    let value = serde_json::to_vec(record)
        .map_err(|error| WriteError::NotDone(error.to_string().into()))?;
    let record = KeyedRecord::with_value(key, value);
    let begun = Instant::now();
    let result = shared
        .store
        .append(GROUP, &[record], at, None, begun + wait)
        .await;
    let error = result.as_ref().err().map(ToString::to_string);
    shared.note_append(GROUP, 1, begun.elapsed(), error.as_deref());
    Ok(result?.offset)
}

/// Shows that the owner lives, and lets it know that it can write.
async fn beat(shared: Arc<Shared>, owner: ActorRef<Owner>, term: u64) {
    let owner = owner.downgrade();
    let record = GroupRecord::Heartbeat { term };
    loop {
        let sent = shared.now();
        let wait = shared.patience.timeout(0);
        let result = append(&shared, BEAT_KEY, &record, None, wait).await;
        let Some(owner) = owner.upgrade() else { return };
        match result {
            Ok(_) => {
                shared.note_store(None);
                if owner.tell(Confirmed(sent)).await.is_err() {
                    return;
                }
            }
            Err(error) => shared.note_store(Some(&error.to_string())),
        }
        drop(owner);
        tokio::time::sleep(Duration::from(BEAT)).await;
        if shared.is_stopping() {
            return;
        }
    }
}

/// Tells the siblings where this instance is reached, now and then.
pub(crate) async fn announce(shared: Arc<Shared>) {
    let key = format!("{MEMBER_PREFIX}{}", shared.settings.instance);
    let record = GroupRecord::Member {
        instance: Arc::clone(&shared.settings.instance),
        address: shared.settings.siblings.to_string().into(),
        millicores: (shared.settings.cpu_share * 1_000.0) as u32,
    };
    loop {
        let pause = match append(&shared, &key, &record, None, CALL_MARGIN).await {
            Ok(_) => MEMBER_GAP,
            Err(error) => {
                shared.note_store(Some(&error.to_string()));
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}
