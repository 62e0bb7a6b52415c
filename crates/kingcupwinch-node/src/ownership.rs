//! Follows the group partition: tracks who owns the cell, and claims it when it falls to this
//! instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::{ActorRef, WeakActorRef};
use kingcupwinch_adapter::{KeyedRecord, StoreError, WriteError};
use kingcupwinch_cell::{Claim, ElectionStep, ElectionTimers, GroupRecord, OwnerElection};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, timeout, timeout_at};

use crate::events::Event;
use crate::layout::{CLAIM_KEY, GROUP, HEARTBEAT_KEY, MEMBER_PREFIX};
use crate::owner::{
    LeaseLimits, Members, Owner, Release, Superseded, TERM_TIMEOUT, Takeover, TakeoverError,
    TermConfirmed, TokenOffered, take_over,
};
use crate::shared::Shared;
use crate::siblings::Siblings;

#[cfg(test)]
mod tests;

/// Time between two heartbeats of an owner.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(300);
/// An owner without heartbeats for this long may be replaced: three lost heartbeats.
const OWNER_TIMEOUT: Span = Span::from_millis(900);
/// An owner without heartbeats for this long may be replaced even while the store is slow.
const MAX_OWNER_TIMEOUT: Span = Span::from_millis(2_500);
/// A gap between reads after which the time without heartbeats is measured from the later read.
const MAX_READ_GAP: Span = Span::from_millis(1_600);
/// Delay before the first claim, so that the members are known by then.
const DISCOVERY_DELAY: Span = Span::from_millis(800);
/// Delay between the claims of two members that are adjacent in order of size.
const CLAIM_STAGGER: Span = Span::from_millis(20);
/// An owner with less CPU than this, in thousandths of a core, yields the cell to a member that is
/// twice as large. The orders of 350 workers take about 140 thousandths of a core.
const SMALL_OWNER_MILLICORES: u32 = 180;
/// CPU that an owner can use for each Mbit/s of its link, in thousandths of a core. In the mean the orders
/// of 540 workers take four times as much; a takeover and peaks need the rest of the link.
const MILLICORES_PER_MBIT: f64 = 5.0;
/// How long the larger member must have been present before the owner yields.
const YIELD_DELAY: Span = Span::from_millis(1_500);
/// Number of the largest members that follow the partition without a pause; the others read it
/// every [`IDLE_READ_INTERVAL`].
const STANDBY_COUNT: usize = 4;
/// Time between two reads of a member that is not a standby.
const IDLE_READ_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum long-poll wait of a read, in milliseconds.
const READ_WAIT_MS: u64 = 700;
/// Time that a call may take beyond its long-poll wait.
const CALL_MARGIN: Duration = Duration::from_millis(900);
/// Time from its claim within which an owner has to restore the cell's state.
const RESTORE_TIMEOUT: Span = Span::from_millis(4_000);
/// Time after which a heartbeat without a response is given up. It does not depend on how fast the
/// store was before: on a full link each heartbeat that is given up too soon adds to the queue.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of heartbeats in flight.
const MAX_HEARTBEATS: usize = 3;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time between two announcements of a member.
const MEMBER_INTERVAL: Duration = Duration::from_secs(30);
/// A member without announcements for this long is gone: three were lost.
const MEMBER_TIMEOUT: Span = Span::from_secs(100);

/// Task that follows the group, and owns the cell under the claims of this instance.
pub(crate) struct OwnershipTask {
    shared: Arc<Shared>,
    siblings: Siblings,
    election: OwnerElection,
    next: Option<u64>,
    /// Offset up to which the group was read, for the owner's heartbeats.
    read_to: Arc<AtomicU64>,
    /// Generation of the last claim of this instance that may have been appended.
    claimed_generation: Option<u32>,
    cell: Option<OwnedCell>,
    takeover: Option<PendingTakeover>,
    /// The send time of the last read that showed that this instance's claim was the latest.
    confirmed_at: Time,
}

/// A takeover in progress; it ends when this is dropped.
struct PendingTakeover {
    term: u64,
    task: JoinHandle<Result<ActorRef<Owner>, TakeoverError>>,
}

impl Drop for PendingTakeover {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Result of a read of the group partition.
struct GroupRead {
    /// Send time of the read.
    sent: Time,
    /// Offset from which to continue reading.
    next: u64,
    /// Offset of the last record up to which all were read, if any were.
    through: Option<u64>,
    /// Whether the read reached the end of the partition.
    is_complete: bool,
    records: Vec<(u64, KeyedRecord)>,
}

/// The cell, owned by this instance under a term.
struct OwnedCell {
    term: u64,
    owner: ActorRef<Owner>,
}

impl OwnershipTask {
    pub(crate) fn new(shared: Arc<Shared>, siblings: Siblings) -> Self {
        let timers = ElectionTimers {
            owner_timeout: OWNER_TIMEOUT,
            max_timeout: MAX_OWNER_TIMEOUT,
            restore_timeout: RESTORE_TIMEOUT,
            read_gap: MAX_READ_GAP,
            initial_delay: DISCOVERY_DELAY,
            rank_delay: CLAIM_STAGGER,
            small_millicores: SMALL_OWNER_MILLICORES,
            yield_after: YIELD_DELAY,
            member_timeout: MEMBER_TIMEOUT,
        };
        let me = Arc::clone(&shared.settings.instance);
        let election = OwnerElection::new(me, timers, shared.now());
        OwnershipTask {
            shared,
            siblings,
            election,
            next: None,
            read_to: Arc::default(),
            claimed_generation: None,
            cell: None,
            takeover: None,
            confirmed_at: Time::ZERO,
        }
    }

    /// Follows the group until the instance stops, and then releases the cell.
    pub(crate) async fn run(mut self) {
        let shared = Arc::clone(&self.shared);
        while !shared.is_stopping() {
            // The clock is read before this instance may own the cell, so that jumps are detected.
            let _ = shared.wall_time();
            let mut takeover = self.takeover.take();
            let next = tokio::select! {
                biased;
                outcome = takeover_outcome(&mut takeover) => Next::TakenOver(outcome),
                result = self.read() => Next::Read(result),
                () = shared.stop_requested() => Next::Stop,
            };
            match next {
                Next::Read(result) => {
                    self.takeover = takeover;
                    self.handle_read(result).await;
                }
                Next::TakenOver((term, outcome)) => {
                    // Its task has ended.
                    drop(takeover);
                    self.finish_takeover(term, outcome).await;
                }
                Next::Stop => {
                    self.takeover = takeover;
                    break;
                }
            }
            self.drop_dead_cell();
            self.yield_cell().await;
            self.pause_between_reads().await;
        }
        self.drop_takeover().await;
        self.release().await;
    }

    /// Returns whether this instance neither owns the cell nor takes it over.
    fn is_idle(&self) -> bool {
        self.cell.is_none() && self.takeover.is_none()
    }

    /// Waits between two reads, unless this member is a standby, no owner is known or a request
    /// could not reach the owner.
    async fn pause_between_reads(&self) {
        let is_standby = !self.is_idle() || self.election.rank() < STANDBY_COUNT;
        if is_standby || self.election.claim().is_none() || self.next.is_none() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(IDLE_READ_INTERVAL) => {}
            () = self.shared.owner_unreachable.notified() => {}
            () = self.shared.stop_requested() => {}
        }
    }

    /// Gives the cell up if its owner has ended by itself, so that this instance can claim it again
    /// if no other does.
    fn drop_dead_cell(&mut self) {
        let Some(cell) = self.cell.take_if(|cell| !cell.owner.is_alive()) else {
            return;
        };
        self.withdraw_owner();
        self.shared
            .log
            .write(Event::OwnerEnded, o!("term" => cell.term));
        self.election.abandon_claim();
    }

    /// Deletes the record of a member that is gone, as the owner, if the partition still ends where this
    /// instance has read to. A member that announces itself at the same time keeps its record.
    async fn forget_gone_member(&self, at: u64) {
        if self.cell.is_none() {
            return;
        }
        let now = self.shared.now();
        let Some(gone) = self.election.gone_members(now).next() else {
            return;
        };
        let instance = Arc::clone(&gone.instance);
        let record = [KeyedRecord::tombstone(format!("{MEMBER_PREFIX}{instance}"))];
        let deadline = Instant::now() + CALL_MARGIN;
        let sent = self
            .shared
            .store
            .append(GROUP, &record, Some(at), None, deadline);
        let error = sent.await.err().map(|error| error.to_string());
        self.shared.log.write(
            Event::MemberForgotten,
            o!("member" => instance.to_string(), "error" => error),
        );
    }

    /// Releases the cell if a larger instance should take it.
    async fn yield_cell(&mut self) {
        if self.cell.is_some() && self.election.should_yield(self.shared.now()) {
            self.release().await;
        }
    }

    async fn read(&self) -> Result<GroupRead, StoreError> {
        let store = &self.shared.store;
        let sent = self.shared.now();
        let Some(from) = self.next else {
            let deadline = Instant::now() + CALL_MARGIN;
            let page = store.read_latest(GROUP, deadline).await?;
            let mut records: Vec<_> = page
                .items
                .into_iter()
                .map(|item| (item.offset, KeyedRecord::with_value(item.key, item.value)))
                .collect();
            records.sort_by_key(|(offset, _)| *offset);
            return Ok(GroupRead {
                sent,
                next: page.end,
                // Pages are not a snapshot, so a claim may be missing.
                through: None,
                is_complete: true,
                records,
            });
        };
        let wait = self.read_wait_ms();
        let deadline = Instant::now() + Duration::from_millis(wait) + CALL_MARGIN;
        let batch = store.read(GROUP, from, wait, deadline).await?;
        Ok(GroupRead {
            sent,
            next: batch.next,
            through: batch.next.checked_sub(1).filter(|_| batch.next > from),
            is_complete: batch.next >= batch.end,
            records: self.shared.decode_records("group", batch.records),
        })
    }

    /// Returns the long-poll wait of the next read, in milliseconds; it ends when a claim is due.
    fn read_wait_ms(&self) -> u64 {
        let now = self.shared.now();
        match self.election.next_step(now) {
            ElectionStep::Wait(until) if self.is_idle() => {
                until.since(now).as_millis().min(READ_WAIT_MS)
            }
            _ => READ_WAIT_MS,
        }
    }

    async fn handle_read(&mut self, result: Result<GroupRead, StoreError>) {
        match result {
            Ok(read) => {
                let GroupRead {
                    sent,
                    next,
                    through,
                    ..
                } = read;
                self.shared.record_store_result(None);
                self.next = Some(next);
                let now = self.shared.now();
                self.election.note_read(now);
                for (offset, record) in read.records {
                    self.apply(offset, &record, now);
                }
                self.publish_claim().await;
                self.read_to.store(next, Ordering::Relaxed);
                self.offer_token(through).await;
                if read.is_complete {
                    self.confirm_term(sent).await;
                    self.forget_gone_member(next).await;
                }
                if self.is_idle()
                    && let ElectionStep::Claim { generation } = self.election.next_step(now)
                {
                    self.claim(generation, next).await;
                }
            }
            Err(StoreError::Expired(_)) => self.next = None,
            Err(error) => {
                self.shared.record_store_result(Some(&error.to_string()));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn apply(&mut self, offset: u64, record: &KeyedRecord, now: Time) {
        let Some(value) = &record.value else {
            if let Some(instance) = record.key.strip_prefix(MEMBER_PREFIX) {
                self.election.remove_member(instance);
            }
            return;
        };
        match serde_json::from_slice::<GroupRecord>(value) {
            Ok(record) => self.election.apply(offset, record, now),
            Err(error) => self.shared.log.write(
                Event::RecordSkipped,
                o!("partition" => "group", "offset" => offset, "error" => error.to_string()),
            ),
        }
    }

    /// Publishes the current claim and members, and acts on a new claim.
    async fn publish_claim(&mut self) {
        let claim = self.election.claim().cloned();
        let is_new = self.shared.claim.send_if_modified(|current| {
            let is_new = *current != claim;
            current.clone_from(&claim);
            is_new
        });
        let have_members_changed = self.shared.members.send_if_modified(|current| {
            let is_new = *current != self.election.members();
            if is_new {
                *current = self.election.members().to_vec();
            }
            is_new
        });
        if let (true, Some(cell)) = (have_members_changed, &self.cell) {
            // The owner may have ended by itself and needs no members then.
            let _ = cell
                .owner
                .tell(Members(self.election.members().to_vec()))
                .await;
        }
        let Some(claim) = claim.filter(|_| is_new) else {
            return;
        };
        self.shared.log.write(
            Event::OwnerChanged,
            o!("owner" => claim.instance.to_string(), "term" => claim.term,
                "generation" => claim.generation),
        );
        if self
            .cell
            .as_ref()
            .is_some_and(|cell| cell.term < claim.term)
        {
            self.drop_cell().await;
        }
        if self.takeover.as_ref().is_some_and(|t| t.term < claim.term) {
            self.drop_takeover().await;
        }
        // A claim of this instance whose append response was lost.
        let is_mine = claim.instance == self.shared.settings.instance;
        if is_mine && self.claimed_generation == Some(claim.generation) && self.is_idle() {
            let now = self.shared.now();
            self.start_takeover(claim, None, now);
        }
    }

    /// Confirms to the owner that there was no later claim when a read of the whole group was sent.
    async fn confirm_term(&mut self, sent: Time) {
        let claim = self.election.claim();
        if claim.is_some_and(|claim| claim.instance == self.shared.settings.instance) {
            self.confirmed_at = sent;
        }
        if let Some(cell) = &self.cell
            && claim.is_some_and(|claim| claim.term == cell.term)
        {
            // The owner may have ended by itself.
            let _ = cell.owner.tell(TermConfirmed(sent)).await;
        }
    }

    /// Offers the owner the offset of a record as its fencing token. All records up to there were read, and
    /// its claim held, so that later claims have higher offsets.
    async fn offer_token(&self, through: Option<u64>) {
        let term = self.election.claim().map(|claim| claim.term);
        if let (Some(cell), Some(offset)) = (&self.cell, through)
            && term == Some(cell.term)
            && offset > cell.term
        {
            // The owner may have ended by itself.
            let _ = cell.owner.tell(TokenOffered(offset)).await;
        }
    }

    /// Ends a takeover, whose reads take the link from other calls.
    async fn drop_takeover(&mut self) {
        let Some(mut takeover) = self.takeover.take() else {
            return;
        };
        takeover.task.abort();
        // It may have started the owner just before.
        if let Ok(Ok(owner)) = (&mut takeover.task).await {
            owner.kill();
        }
    }

    /// Shows the rest of the instance that it owns no cell.
    fn withdraw_owner(&self) {
        self.shared.set_owner(None);
        self.shared.metrics.owned_term.set(0);
    }

    async fn drop_cell(&mut self) {
        if let Some(cell) = self.cell.take() {
            self.withdraw_owner();
            let _ = cell.owner.tell(Superseded("claim in the log")).await;
            // The owner's loops end with the actor; workers refuse its orders that are in flight.
            cell.owner.kill();
        }
    }

    async fn claim(&mut self, generation: u32, at: u64) {
        let shared = Arc::clone(&self.shared);
        let fenced_at = self.election.earlier_owners_fenced_at();
        let own_leases = LeaseLimits::own_bounds(shared.settings.max_lease);
        let leases = self.election.lease_bounds(own_leases);
        let record = GroupRecord::Claim {
            instance: Arc::clone(&shared.settings.instance),
            address: shared.settings.siblings.to_string().into(),
            generation,
            leases,
        };
        self.claimed_generation = Some(generation);
        let sent = shared.now();
        match append(&shared, CLAIM_KEY, &record, Some(at), CALL_MARGIN).await {
            Ok(term) => {
                let claim = Claim {
                    term,
                    instance: Arc::clone(&shared.settings.instance),
                    address: shared.settings.siblings.to_string().into(),
                    generation,
                    leases,
                };
                self.next = Some(term + 1);
                self.election.apply(term, record, shared.now());
                shared.claim.send_replace(Some(claim.clone()));
                self.start_takeover(claim, fenced_at, sent);
            }
            Err(WriteError::EndMismatch(_)) => {}
            Err(error) => {
                shared.log.write(
                    Event::ClaimFailed,
                    o!("generation" => generation, "error" => error.to_string()),
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Starts to take the cell over under a claim of this instance. All owners that may still give
    /// orders were fenced at `fenced_at`, if that is known.
    fn start_takeover(&mut self, claim: Claim, fenced_at: Option<Time>, claimed_at: Time) {
        let give_up = Instant::now() + Duration::from(self.election.restore_timeout());
        self.shared.log.write(
            Event::Claimed,
            o!("term" => claim.term, "generation" => claim.generation,
                "earlier_owners_fenced" => fenced_at.is_some(),
                "restore_timeout_ms" => self.election.restore_timeout().as_millis()),
        );
        self.confirmed_at = claimed_at;
        let term = claim.term;
        let takeover = Takeover {
            claim,
            fenced_at,
            claimed_at,
            give_up,
        };
        let (shared, siblings) = (Arc::clone(&self.shared), self.siblings.clone());
        let read_to = Arc::clone(&self.read_to);
        let task = tokio::spawn(async move {
            let heartbeat = GroupRecord::Heartbeat {
                term,
                restoring: true,
            };
            let heartbeats = send_heartbeats(Arc::clone(&shared), || true, heartbeat, read_to);
            take_over(&shared, &siblings, takeover, heartbeats).await
        });
        self.takeover = Some(PendingTakeover { term, task });
    }

    /// Begins to own the cell, unless the takeover has failed.
    async fn finish_takeover(
        &mut self,
        term: u64,
        outcome: Result<ActorRef<Owner>, TakeoverError>,
    ) {
        let shared = Arc::clone(&self.shared);
        let owner = match outcome {
            Ok(owner) => owner,
            Err(error) => {
                shared.log.write(
                    Event::ClaimFailed,
                    o!("term" => term, "error" => error.to_string()),
                );
                self.election.abandon_claim();
                return;
            }
        };
        // The owner can't have ended yet.
        let _ = owner.tell(TermConfirmed(self.confirmed_at)).await;
        let _ = owner.tell(Members(self.election.members().to_vec())).await;
        shared.set_owner(Some(owner.clone()));
        shared.metrics.owned_term.set(term as i64);
        let read_to = Arc::clone(&self.read_to);
        let heartbeats = send_owner_heartbeats(shared, owner.downgrade(), term, read_to);
        tokio::spawn(heartbeats);
        self.cell = Some(OwnedCell { term, owner });
    }

    async fn release(&mut self) {
        let Some(cell) = self.cell.take() else { return };
        let (done, released) = oneshot::channel();
        if cell.owner.tell(Release(done)).await.is_ok() {
            // If the owner ends without a reply, the other members notice its missing heartbeats.
            let _ = released.await;
        }
        self.withdraw_owner();
    }
}

/// What ended a wait for the next read or the end of the takeover.
enum Next {
    Read(Result<GroupRead, StoreError>),
    TakenOver((u64, Result<ActorRef<Owner>, TakeoverError>)),
    Stop,
}

/// Waits for the end of a takeover, for ever if there is none; returns its term and outcome.
async fn takeover_outcome(
    takeover: &mut Option<PendingTakeover>,
) -> (u64, Result<ActorRef<Owner>, TakeoverError>) {
    let Some(pending) = takeover else {
        return std::future::pending().await;
    };
    // A task that panicked has reported it.
    let outcome = (&mut pending.task).await;
    (pending.term, outcome.unwrap_or(Err(TakeoverError::Stopped)))
}

/// Appends a record to the group partition; returns its offset.
async fn append(
    shared: &Shared,
    key: &str,
    record: &GroupRecord,
    at: Option<u64>,
    wait: Duration,
) -> Result<u64, WriteError> {
    let value = serde_json::to_vec(record)
        .map_err(|error| WriteError::NotAppended(error.to_string().into()))?;
    let record = KeyedRecord::with_value(key, value);
    let started = Instant::now();
    let result = shared
        .store
        .append(GROUP, &[record], at, None, started + wait)
        .await;
    let error = result.as_ref().err().map(ToString::to_string);
    shared.record_append(GROUP, 1, started.elapsed(), error.as_deref());
    Ok(result?.offset)
}

/// Appends the heartbeats of an owner that serves, until it ends.
async fn send_owner_heartbeats(
    shared: Arc<Shared>,
    owner: WeakActorRef<Owner>,
    term: u64,
    read_to: Arc<AtomicU64>,
) {
    let heartbeat = GroupRecord::Heartbeat {
        term,
        restoring: false,
    };
    let is_alive = || owner.upgrade().is_some_and(|owner| owner.is_alive());
    send_heartbeats(shared, is_alive, heartbeat, read_to).await;
}

/// Appends heartbeats while `is_alive`. An appended heartbeat does not show that the owner still holds
/// the cell, since a later claim may lie before it. An owner that can append but not read the group
/// can't learn of one, so it stops its heartbeats and leaves the cell to an instance that can.
async fn send_heartbeats(
    shared: Arc<Shared>,
    is_alive: impl Fn() -> bool,
    heartbeat: GroupRecord,
    read_to: Arc<AtomicU64>,
) {
    let mut unread = UnreadHeartbeats::default();
    let mut in_flight = JoinSet::new();
    loop {
        let sent = shared.now();
        let may_send = unread.may_send(read_to.load(Ordering::Relaxed), sent);
        if may_send && in_flight.len() < MAX_HEARTBEATS {
            let (shared, heartbeat) = (Arc::clone(&shared), heartbeat.clone());
            in_flight.spawn(async move {
                let result =
                    append(&shared, HEARTBEAT_KEY, &heartbeat, None, HEARTBEAT_TIMEOUT).await;
                (sent, result)
            });
        }
        let next = Instant::now() + Duration::from(HEARTBEAT_INTERVAL);
        while let Ok(Some(ended)) = timeout_at(next, in_flight.join_next()).await {
            // A task that panicked has reported it.
            let Ok((sent, result)) = ended else { continue };
            match result {
                Ok(offset) => {
                    shared.record_store_result(None);
                    unread.note_appended(offset, sent);
                }
                Err(error) => shared.record_store_result(Some(&error.to_string())),
            }
        }
        tokio::time::sleep_until(next).await;
        if !is_alive() || shared.is_stopping() {
            return;
        }
    }
}

/// The first heartbeat that was appended and not read back: its offset and its send time.
#[derive(Debug, Default)]
struct UnreadHeartbeats {
    first: Option<(u64, Time)>,
}

impl UnreadHeartbeats {
    fn note_appended(&mut self, offset: u64, sent: Time) {
        self.first.get_or_insert((offset, sent));
    }

    /// Returns whether another heartbeat may be sent, given the offset up to which the group was
    /// read.
    fn may_send(&mut self, read_to: u64, now: Time) -> bool {
        self.first = self.first.filter(|(offset, _)| *offset >= read_to);
        self.first
            .is_none_or(|(_, sent)| now.since(sent) <= TERM_TIMEOUT)
    }
}

/// Returns how much CPU an instance could use as the owner, in thousandths of a core. On a narrow link a
/// takeover takes as long as its bytes.
fn owner_millicores(cpu_share: f64, link_mbps: Option<f64>) -> u32 {
    let by_link = link_mbps.map_or(f64::INFINITY, |link| link * MILLICORES_PER_MBIT);
    (cpu_share * 1_000.0).min(by_link) as u32
}

/// Periodically announces this instance's address and size to its siblings, and takes the announcement
/// back when the instance stops.
pub(crate) async fn announce_member(shared: Arc<Shared>) {
    let key = format!("{MEMBER_PREFIX}{}", shared.settings.instance);
    let record = GroupRecord::Member {
        instance: Arc::clone(&shared.settings.instance),
        address: shared.settings.siblings.to_string().into(),
        millicores: owner_millicores(shared.settings.cpu_share, shared.settings.link_mbps),
        memory_bytes: shared
            .settings
            .memory_mb
            .map(|_| shared.settings.memory_bytes()),
    };
    while !shared.is_stopping() {
        let pause = match append(&shared, &key, &record, None, CALL_MARGIN).await {
            Ok(_) => MEMBER_INTERVAL,
            Err(error) => {
                shared.record_store_result(Some(&error.to_string()));
                RETRY_DELAY
            }
        };
        // Either way, the loop looks whether the instance is stopping.
        let _ = timeout(pause, shared.stop_requested()).await;
    }
    let tombstone = [KeyedRecord::tombstone(key)];
    let deadline = Instant::now() + CALL_MARGIN;
    let sent = shared.store.append(GROUP, &tombstone, None, None, deadline);
    if let Err(error) = sent.await {
        // The siblings notice that this instance does not respond.
        shared.record_store_result(Some(&error.to_string()));
    }
}
