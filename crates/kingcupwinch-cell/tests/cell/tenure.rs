//! Who owns the cell, and when another may.

use kingcupwinch_cell::{ElectionStep, ElectionTimers, GroupRecord, OwnerElection};
use kingcupwinch_time::{Span, Time};

const SILENCE: u64 = 2_000;
const LONGEST: u64 = 5_000;
const GAP: u64 = 1_500;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn tenure(me: &str) -> OwnerElection {
    let timers = ElectionTimers {
        owner_timeout: Span::from_millis(SILENCE),
        max_timeout: Span::from_millis(LONGEST),
        read_gap: Span::from_millis(GAP),
        initial_delay: Span::from_millis(600),
        rank_delay: Span::from_millis(50),
        small_millicores: 220,
        yield_after: Span::from_millis(1_000),
    };
    let mut tenure = OwnerElection::new(me.into(), timers, at(0));
    for (instance, size) in [("z", 500), (me, 200)] {
        tenure.apply(0, member(instance, size), at(0));
    }
    tenure
}

fn member(instance: &str, size: u32) -> GroupRecord {
    GroupRecord::Member {
        instance: instance.into(),
        address: "127.0.0.1:1".into(),
        millicores: size,
    }
}

fn claim_by(instance: &str, generation: u32) -> GroupRecord {
    GroupRecord::Claim {
        instance: instance.into(),
        address: "127.0.0.1:1".into(),
        generation,
    }
}

/// Reads every 500 ms between two times.
fn read_through(tenure: &mut OwnerElection, from: u64, to: u64) {
    for ms in (from..=to).step_by(500) {
        tenure.note_read(at(ms));
    }
}

#[test]
fn an_ownerless_cell_is_claimed_after_a_first_read() {
    let mut tenure = tenure("a");
    assert!(matches!(tenure.next_step(at(100)), ElectionStep::Wait(_)));
    tenure.note_read(at(100));
    assert_eq!(tenure.next_step(at(150)), ElectionStep::Wait(at(750)));
    assert_eq!(
        tenure.next_step(at(750)),
        ElectionStep::Claim { generation: 1 }
    );
}

#[test]
fn a_silent_owner_is_replaced() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("b", 3), at(0));
    read_through(&mut tenure, 0, 2_000);
    assert_eq!(tenure.next_step(at(2_000)), ElectionStep::Wait(at(2_050)));
    assert_eq!(
        tenure.next_step(at(2_050)),
        ElectionStep::Claim { generation: 4 }
    );
}

#[test]
fn a_sign_of_life_of_another_term_does_not_count() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("b", 3), at(0));
    read_through(&mut tenure, 0, 2_500);
    tenure.apply(6, GroupRecord::Heartbeat { term: 4 }, at(2_000));
    assert_eq!(
        tenure.next_step(at(2_500)),
        ElectionStep::Claim { generation: 4 }
    );
    tenure.apply(7, GroupRecord::Heartbeat { term: 5 }, at(2_500));
    assert!(matches!(tenure.next_step(at(2_500)), ElectionStep::Wait(_)));
}

/// Pattern: the store is away. Nobody could write, so silence says nothing of the owner.
#[test]
fn silence_counts_anew_after_a_gap_in_reading() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("b", 3), at(0));
    tenure.note_read(at(0));
    tenure.note_read(at(6_000));
    assert_eq!(tenure.next_step(at(6_000)), ElectionStep::Wait(at(8_050)));
}

#[test]
fn a_released_cell_is_claimed_at_once() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("b", 3), at(0));
    tenure.note_read(at(100));
    tenure.apply(6, GroupRecord::Release { term: 5 }, at(100));
    assert!(tenure.is_owner_stopped());
    assert_eq!(
        tenure.next_step(at(150)),
        ElectionStep::Claim { generation: 4 }
    );
}

#[test]
fn an_instance_that_was_restarted_follows_itself_at_once() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("a", 3), at(0));
    tenure.note_read(at(0));
    assert_eq!(
        tenure.next_step(at(50)),
        ElectionStep::Claim { generation: 4 }
    );
}

#[test]
fn the_latest_claim_holds_in_whatever_order_records_are_read() {
    let mut tenure = tenure("a");
    tenure.apply(8, claim_by("c", 4), at(0));
    tenure.apply(5, claim_by("b", 3), at(0));
    assert_eq!(&*tenure.claim().unwrap().instance, "c");
    assert_eq!(tenure.claim().unwrap().term, 8);
}

/// Pattern: the store turns slow. Signs of life come late, and the owner is not replaced for it.
#[test]
fn an_owner_on_a_slow_store_is_given_more_time() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("b", 3), at(0));
    for beat in 1..=4 {
        tenure.note_read(at(beat * 1_200));
        tenure.apply(
            5 + beat,
            GroupRecord::Heartbeat { term: 5 },
            at(beat * 1_200),
        );
    }
    read_through(&mut tenure, 4_800, 8_300);
    assert!(matches!(tenure.next_step(at(8_300)), ElectionStep::Wait(_)));
    read_through(&mut tenure, 8_300, 9_300);
    assert_eq!(
        tenure.next_step(at(9_300)),
        ElectionStep::Claim { generation: 4 }
    );
}

/// Pattern: machines of unlike size. The largest claims first, the others only if it does not.
#[test]
fn large_instances_claim_before_small_ones() {
    let mut tenure = tenure("a");
    for (instance, size) in [("b", 300), ("c", 100), ("d", 200)] {
        tenure.apply(0, member(instance, size), at(0));
    }
    assert_eq!(tenure.rank(), 2, "after z and b, before d and c");
    tenure.note_read(at(0));
    assert_eq!(tenure.next_step(at(0)), ElectionStep::Wait(at(700)));
}

#[test]
fn a_small_owner_gives_the_cell_to_a_large_instance_that_comes() {
    let mut tenure = tenure("a");
    tenure.apply(5, claim_by("a", 1), at(100));
    assert!(
        !tenure.should_yield(at(5_000)),
        "z was there before the claim"
    );
    tenure.apply(6, member("y", 390), at(5_000));
    assert!(!tenure.should_yield(at(9_000)), "not large enough");
    tenure.apply(7, member("x", 400), at(9_000));
    assert!(!tenure.should_yield(at(9_500)));
    assert!(tenure.should_yield(at(10_000)));
}
