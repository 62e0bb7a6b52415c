//! Room for further jobs in the memory of the owner.
//!
//! What is accepted is restored by each later owner, so it is bounded by the memory of the smallest
//! instance of the group. The owner reserves room for a request before it appends its record. Its
//! responses tell the siblings how much is free once that is less than half; each sibling may append its
//! part of that by itself while it can't reach the owner.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use kingcupwinch_cell::{Demand, Footprint};
use kingcupwinch_time::{Span, Time};
use rand::Rng;
use rustc_hash::FxHashMap;

use crate::layout::IntakeKey;

#[cfg(test)]
mod tests;

/// Header of the owner's responses to siblings that holds the free room in bytes. Earlier versions ignore
/// it.
pub(crate) const ROOM_HEADER: HeaderName = HeaderName::from_static("x-room");
/// Memory of an instance without jobs and callers, in bytes.
const BASE_BYTES: u64 = 12_000_000;
/// Part of the rest of an instance's memory for jobs that are accepted, as a divisor. Connections and
/// bodies of callers take up to three eighths, and a takeover holds the records beside the jobs.
const ACCEPTED_SHARE: u64 = 4;
/// Free part of the bound, as a divisor, above which the owner does not tell how much is free.
const PLENTY_SHARE: u64 = 2;
/// Time after which a reserved request that the owner has not read is given up: a job whose acceptance
/// was not confirmed is dropped earlier.
const RESERVATION_TIMEOUT: Span = Span::from_secs(10);
/// Time within which the owner reads what a sibling has appended by itself.
const SHARE_TIMEOUT: Span = Span::from_secs(2);
/// Time for which a sibling believes what the owner told.
const BELIEF_TIMEOUT: Span = Span::from_secs(2);
/// Time over which the rate of released room is measured.
const RATE_INTERVAL: Span = Span::from_secs(1);
/// Weight of the last interval in that rate, as a divisor.
const RATE_DECAY: u64 = 4;
/// Longest time after which a refused caller is asked to retry, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;

/// A request that has no room, with the time after which to retry, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom {
    pub(crate) retry_after_s: u32,
}

/// Returns the bound of what is accepted, in bytes, for a group whose smallest member has this memory.
pub(crate) fn accepted_limit(memory_bytes: u64) -> u64 {
    memory_bytes.saturating_sub(BASE_BYTES) / ACCEPTED_SHARE
}

/// Room at the owner as this instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Room {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Set while this instance is the owner.
    own: Option<OwnRoom>,
    told: Option<ToldRoom>,
    /// Bytes that this instance has appended by itself, and until when they count.
    appended: VecDeque<(Time, u64)>,
}

/// Room as the owner accounts for it.
#[derive(Debug)]
struct OwnRoom {
    footprint: Footprint,
    /// The footprint with what is reserved.
    expected: Footprint,
    limit: u64,
    /// Requests whose records are being appended, and until when they count.
    reserved: FxHashMap<IntakeKey, (Demand, Time)>,
    released: ReleaseRate,
}

/// Free room as the owner told it.
#[derive(Debug)]
struct ToldRoom {
    free: u64,
    valid_until: Time,
}

/// Bytes that are released in a second.
#[derive(Debug)]
struct ReleaseRate {
    per_second: u64,
    bytes: u64,
    interval_end: Time,
}

impl ReleaseRate {
    fn new(now: Time) -> Self {
        ReleaseRate {
            per_second: 0,
            bytes: 0,
            interval_end: now + RATE_INTERVAL,
        }
    }

    fn add(&mut self, bytes: u64, now: Time) {
        self.bytes += bytes;
        if now >= self.interval_end {
            let (old, new) = (self.per_second, self.bytes);
            self.per_second = (old * (RATE_DECAY - 1) + new) / RATE_DECAY;
            (self.bytes, self.interval_end) = (0, now + RATE_INTERVAL);
        }
    }

    /// Returns when so many bytes are released, with jitter of up to half of that time.
    fn retry_after_s(&self, bytes: u64) -> u32 {
        let seconds = bytes.div_ceil(self.per_second.max(1));
        let seconds = seconds.clamp(1, MAX_RETRY_AFTER_S);
        let jitter = rand::rng().random_range(0..=seconds.div_ceil(2));
        (seconds + jitter).min(MAX_RETRY_AFTER_S) as u32
    }
}

impl Room {
    /// Sets what the jobs of this instance's cell take, which includes the requests of `keys`.
    pub(crate) fn publish(
        &self,
        footprint: &Footprint,
        limit: u64,
        keys: impl IntoIterator<Item = IntakeKey>,
        now: Time,
    ) {
        let mut state = self.lock();
        let own = state.own.get_or_insert_with(|| OwnRoom {
            footprint: Footprint::default(),
            expected: Footprint::default(),
            limit,
            reserved: FxHashMap::default(),
            released: ReleaseRate::new(now),
        });
        let released = own.footprint.total().saturating_sub(footprint.total());
        own.released.add(released, now);
        own.footprint.clone_from(footprint);
        own.limit = limit;
        for key in keys {
            own.reserved.remove(&key);
        }
        own.reserved.retain(|_, (_, until)| *until > now);
        own.expected.clone_from(footprint);
        for (demand, _) in own.reserved.values() {
            own.expected.add(demand);
        }
    }

    /// Records that this instance does not own the cell any more.
    pub(crate) fn retire(&self) {
        self.lock().own = None;
    }

    /// Reserves room for a request that this instance appends as the owner. A request that is repeated
    /// has its room already.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub(crate) fn reserve(&self, key: IntakeKey, demand: &Demand, now: Time) -> Result<(), NoRoom> {
        let mut state = self.lock();
        let Some(own) = &mut state.own else {
            return Ok(());
        };
        if own.reserved.contains_key(&key) {
            return Ok(());
        }
        if !own.expected.admits(demand, own.limit) {
            let retry_after_s = own.released.retry_after_s(demand.bytes());
            return Err(NoRoom { retry_after_s });
        }
        let until = now + RESERVATION_TIMEOUT;
        own.expected.add(demand);
        own.reserved.insert(key, (demand.clone(), until));
        Ok(())
    }

    /// Releases the room of a request whose record certainly is not in the log.
    pub(crate) fn release(&self, key: IntakeKey) {
        if let Some(own) = &mut self.lock().own
            && let Some((demand, _)) = own.reserved.remove(&key)
        {
            own.expected.remove(&demand);
        }
    }

    /// Returns the header for a response to a sibling; `None` if there is plenty of room.
    pub(crate) fn to_header(&self) -> Option<HeaderValue> {
        let state = self.lock();
        let own = state.own.as_ref()?;
        let free = own.limit.saturating_sub(own.expected.total());
        (free < own.limit / PLENTY_SHARE).then(|| HeaderValue::from(free))
    }

    /// Takes what a response of the owner tells. Without the header, or with one that is not a number,
    /// nothing is known, as of an owner with plenty of room.
    pub(crate) fn receive(&self, headers: &HeaderMap, now: Time) {
        let free = headers.get(ROOM_HEADER);
        let free = free.and_then(|value| value.to_str().ok()?.parse().ok());
        self.lock().told = free.map(|free| ToldRoom {
            free,
            valid_until: now + BELIEF_TIMEOUT,
        });
    }

    /// Returns whether the owner has just told that it has no room for a request.
    pub(crate) fn is_exhausted(&self, demand: &Demand, now: Time) -> bool {
        let state = self.lock();
        let told = state.told.as_ref().filter(|told| now < told.valid_until);
        told.is_some_and(|told| told.free < demand.bytes())
    }

    /// Counts a request that this instance appends by itself against its part of the room: that of one
    /// of `members` instances. `limit` is the bound as far as this instance knows.
    ///
    /// # Errors
    ///
    /// Fails if its part does not suffice.
    pub(crate) fn take_share(
        &self,
        demand: &Demand,
        members: usize,
        limit: u64,
        now: Time,
    ) -> Result<(), NoRoom> {
        let mut state = self.lock();
        while state
            .appended
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            state.appended.pop_front();
        }
        let told = state.told.as_ref().map(|told| told.free);
        let share = told.unwrap_or(limit / PLENTY_SHARE) / members.max(1) as u64;
        let used: u64 = state.appended.iter().map(|(_, bytes)| bytes).sum();
        if used + demand.bytes() > share {
            let retry_after_s = SHARE_TIMEOUT.as_millis().div_ceil(1_000) as u32;
            return Err(NoRoom { retry_after_s });
        }
        state
            .appended
            .push_back((now + SHARE_TIMEOUT, demand.bytes()));
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the smallest memory of the members of a group in bytes, where one that states none counts as
/// `default`.
pub(crate) fn smallest_memory(members: impl Iterator<Item = Option<u64>>, default: u64) -> u64 {
    let memory = members.map(|bytes| bytes.unwrap_or(default));
    memory.min().unwrap_or(default)
}
