use hyper::header::HeaderMap;
use kingcupwinch_cell::{Demand, Footprint, JobId};
use kingcupwinch_time::{Span, Time};

use super::{ROOM_HEADER, Room, accepted_limit, smallest_memory};
use crate::layout::IntakeKey;

const LIMIT: u64 = 100_000;

fn key(number: u64) -> IntakeKey {
    IntakeKey::Accepted(JobId::parse(&format!("{number:016x}")).unwrap())
}

fn job(bytes: u64) -> Demand {
    Demand::Job(bytes, None)
}

fn after(seconds: u64) -> Time {
    Time::ZERO + Span::from_secs(seconds)
}

/// Returns the room of an owner whose jobs take so many bytes.
fn owner(bytes: u64) -> (Room, Footprint) {
    let room = Room::default();
    let mut footprint = Footprint::default();
    footprint.add(&job(bytes));
    room.publish(&footprint, LIMIT, [], Time::ZERO);
    (room, footprint)
}

/// Requests whose records are being appended must not share the same room.
#[test]
fn reserved_room_is_taken_until_the_job_counts_or_fails() {
    let (room, mut footprint) = owner(80_000);
    let reserve = |number| room.reserve(key(number), &job(9_000), Time::ZERO);
    assert!(reserve(1).is_ok() && reserve(2).is_ok());
    assert!(reserve(3).is_err() && reserve(1).is_ok());
    room.release(key(2));
    assert!(reserve(3).is_ok() && reserve(4).is_err());
    footprint.add(&job(9_000));
    room.publish(&footprint, LIMIT, [key(1)], Time::ZERO);
    assert!(reserve(4).is_err());
    footprint.remove(&job(9_000));
    room.publish(&footprint, LIMIT, [], Time::ZERO);
    assert!(reserve(4).is_ok());
}

/// The room of a request must not be lost when its owner never reads the record.
#[test]
fn a_reservation_expires() {
    let (room, footprint) = owner(95_000);
    assert!(room.reserve(key(1), &job(5_000), Time::ZERO).is_ok());
    room.publish(&footprint, LIMIT, [], after(9));
    assert!(room.reserve(key(2), &job(5_000), after(9)).is_err());
    room.publish(&footprint, LIMIT, [], after(10));
    assert!(room.reserve(key(2), &job(5_000), after(10)).is_ok());
}

/// Callers must be told to come back when there is room for them.
#[test]
fn the_time_to_retry_follows_the_rate_of_released_room() {
    let (room, mut footprint) = owner(100_000);
    let seconds = |at| {
        let refused = room.reserve(key(1), &job(10_000), at).unwrap_err();
        u64::from(refused.retry_after_s)
    };
    // Nothing was released so far.
    assert_eq!(seconds(Time::ZERO), 30);
    footprint.remove(&job(20_000));
    room.publish(&footprint, LIMIT, [], after(1));
    footprint.add(&job(20_000));
    room.publish(&footprint, LIMIT, [], after(1));
    // 5,000 bytes a second in the mean, with jitter of up to half.
    assert!((2..=3).contains(&seconds(after(1))));
}

fn told(free: Option<u64>) -> HeaderMap {
    let header = free.map(|free| (ROOM_HEADER, free.into()));
    header.into_iter().collect()
}

/// All siblings together must not append more than is free while none reaches the owner.
#[test]
fn siblings_append_their_parts_of_what_is_free() {
    let members = 4;
    let room = Room::default();
    room.receive(&told(Some(40_000)), Time::ZERO);
    let take = |bytes, at| room.take_share(&job(bytes), members, LIMIT, at);
    assert!(take(10_001, Time::ZERO).is_err());
    assert!(take(6_000, Time::ZERO).is_ok() && take(4_000, Time::ZERO).is_ok());
    assert!(take(1, after(1)).is_err());
    // What was told before the owner may have read that must not raise it.
    room.receive(&told(Some(40_000)), after(1));
    assert!(take(1, after(1)).is_err() && take(10_000, after(2)).is_ok());
    // Without a word of the owner, half of the bound counts as free.
    room.receive(&told(None), after(4));
    assert!(take(12_500, after(4)).is_ok() && take(1, after(4)).is_err());
}

/// A sibling must not keep refusing jobs for what an owner told long ago.
#[test]
fn a_sibling_believes_the_owner_for_a_while() {
    let (owner, _) = owner(60_000);
    let mut headers = HeaderMap::new();
    headers.insert(ROOM_HEADER, owner.to_header().unwrap());
    let room = Room::default();
    assert!(!room.is_exhausted(&job(40_001), Time::ZERO));
    room.receive(&headers, Time::ZERO);
    assert!(
        room.is_exhausted(&job(40_001), after(1)) && !room.is_exhausted(&job(40_000), after(1))
    );
    assert!(!room.is_exhausted(&job(40_001), after(2)));
}

/// An owner with plenty of room must not add bytes to each response.
#[test]
fn plenty_of_room_is_not_told() {
    let (room, _) = owner(50_000);
    assert_eq!(room.to_header(), None);
    assert_eq!(Room::default().to_header(), None);
}

/// An owner must not accept what a smaller successor can't hold.
#[test]
fn the_smallest_member_decides() {
    let memory = [Some(512), None, Some(160)].map(|mb| mb.map(|mb: u64| mb * 1_000_000));
    let smallest = smallest_memory(memory.into_iter(), 120_000_000);
    assert_eq!(accepted_limit(smallest), 27_000_000);
    assert_eq!(smallest_memory(std::iter::empty(), 7), 7);
}
