//! Tests of the owner election.

use kingcupwinch_cell::{ElectionStep, ElectionTimers, GroupRecord, LeaseBounds, OwnerElection};
use kingcupwinch_time::{Span, Time};

const OWNER_TIMEOUT_MS: u64 = 2_000;
const MAX_TIMEOUT_MS: u64 = 5_000;
const RESTORE_TIMEOUT_MS: u64 = 4_000;
const READ_GAP_MS: u64 = 1_500;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn election(me: &str) -> OwnerElection {
    let timers = ElectionTimers {
        owner_timeout: Span::from_millis(OWNER_TIMEOUT_MS),
        max_timeout: Span::from_millis(MAX_TIMEOUT_MS),
        restore_timeout: Span::from_millis(RESTORE_TIMEOUT_MS),
        read_gap: Span::from_millis(READ_GAP_MS),
        initial_delay: Span::from_millis(600),
        rank_delay: Span::from_millis(50),
        small_millicores: 220,
        yield_after: Span::from_millis(1_000),
        member_timeout: Span::from_secs(100),
    };
    let mut election = OwnerElection::new(me.into(), timers, at(0));
    for (instance, millicores) in [("z", 500), (me, 200)] {
        election.apply(0, member(instance, millicores), at(0));
    }
    election
}

fn member(instance: &str, millicores: u32) -> GroupRecord {
    GroupRecord::Member {
        instance: instance.into(),
        address: "127.0.0.1:1".into(),
        millicores,
        memory_bytes: None,
    }
}

fn claim_by(instance: &str, generation: u32) -> GroupRecord {
    GroupRecord::Claim {
        instance: instance.into(),
        address: "127.0.0.1:1".into(),
        generation,
        leases: None,
    }
}

fn heartbeat(term: u64) -> GroupRecord {
    GroupRecord::Heartbeat {
        term,
        restoring: false,
    }
}

/// The release of an owner of an earlier version.
fn release(term: u64) -> GroupRecord {
    GroupRecord::Release {
        term,
        fenced_ms_ago: None,
    }
}

/// Records a read every 500 ms between two times.
fn read_every_500_ms(election: &mut OwnerElection, from: u64, to: u64) {
    for ms in (from..=to).step_by(500) {
        election.note_read(at(ms));
    }
}

#[test]
fn an_ownerless_cell_is_claimed_after_a_first_read() {
    let mut election = election("a");
    assert!(matches!(election.next_step(at(100)), ElectionStep::Wait(_)));
    election.note_read(at(100));
    assert_eq!(election.next_step(at(150)), ElectionStep::Wait(at(750)));
    assert_eq!(
        election.next_step(at(750)),
        ElectionStep::Claim { generation: 1 }
    );
}

#[test]
fn a_silent_owner_is_replaced() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 3), at(0));
    read_every_500_ms(&mut election, 0, 2_000);
    assert_eq!(election.next_step(at(2_000)), ElectionStep::Wait(at(2_050)));
    assert_eq!(
        election.next_step(at(2_050)),
        ElectionStep::Claim { generation: 4 }
    );
}

#[test]
fn a_heartbeat_of_another_term_does_not_count() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 3), at(0));
    read_every_500_ms(&mut election, 0, 2_500);
    election.apply(6, heartbeat(4), at(2_000));
    assert_eq!(
        election.next_step(at(2_500)),
        ElectionStep::Claim { generation: 4 }
    );
    election.apply(7, heartbeat(5), at(2_500));
    assert!(matches!(
        election.next_step(at(2_500)),
        ElectionStep::Wait(_)
    ));
}

/// While the store is unreachable nobody can write, so silence says nothing about the owner.
#[test]
fn silence_is_measured_anew_after_a_gap_in_reading() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 3), at(0));
    election.note_read(at(0));
    election.note_read(at(6_000));
    assert_eq!(election.next_step(at(6_000)), ElectionStep::Wait(at(8_050)));
}

#[test]
fn a_released_cell_is_claimed_at_once() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 3), at(0));
    election.note_read(at(100));
    election.apply(6, release(5), at(100));
    assert!(election.is_owner_stopped());
    assert_eq!(
        election.next_step(at(150)),
        ElectionStep::Claim { generation: 4 }
    );
}

#[test]
fn a_restarted_instance_claims_its_own_cell_at_once() {
    let mut election = election("a");
    election.apply(5, claim_by("a", 3), at(0));
    election.note_read(at(0));
    assert_eq!(
        election.next_step(at(50)),
        ElectionStep::Claim { generation: 4 }
    );
}

/// `b` was cut off and keeps renewing leases for some seconds after `c` has replaced it. That `c`
/// releases the cell meanwhile does not stop `b`.
#[test]
fn a_release_does_not_stop_the_owner_before() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 1), at(0));
    election.apply(6, heartbeat(5), at(100));
    election.apply(7, claim_by("c", 2), at(3_000));
    assert_eq!(election.earlier_owners_fenced_at(), None);
    election.apply(8, heartbeat(7), at(3_200));
    election.apply(9, heartbeat(7), at(3_500));
    assert_eq!(election.earlier_owners_fenced_at(), None);
    election.apply(10, release(7), at(3_800));
    assert_eq!(election.earlier_owners_fenced_at(), Some(at(3_200)));
    // A handover from a stopped owner fences nobody anew.
    election.apply(11, claim_by("d", 3), at(4_000));
    election.apply(12, heartbeat(11), at(4_100));
    election.apply(13, release(11), at(4_200));
    assert_eq!(election.earlier_owners_fenced_at(), Some(at(3_200)));
}

/// An instance claims the cell of `b`, and is killed or fails before it has fenced `b`. Its next
/// claim follows one of its own.
#[test]
fn a_claim_alone_does_not_fence_the_owner_before() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 1), at(0));
    election.apply(7, claim_by("a", 2), at(3_000));
    assert!(election.is_owner_stopped());
    assert_eq!(election.earlier_owners_fenced_at(), None);
    election.apply(8, claim_by("a", 3), at(3_500));
    assert_eq!(election.earlier_owners_fenced_at(), None);
    election.apply(9, heartbeat(8), at(3_700));
    assert_eq!(election.earlier_owners_fenced_at(), Some(at(3_700)));
}

/// A new process reads only the last claim, its own, and can't know what preceded it.
#[test]
fn a_new_process_knows_nothing_of_earlier_owners() {
    let mut election = election("a");
    assert!(election.earlier_owners_fenced_at().is_some());
    election.apply(7, claim_by("a", 2), at(0));
    assert_eq!(election.earlier_owners_fenced_at(), None);
}

/// An instance that started after the release counted the owners before the released one as fenced
/// only then, so that tasks on lost workers waited again for the end of their leases after each of
/// several restarts.
#[test]
fn a_new_process_learns_from_the_release_when_earlier_owners_were_fenced() {
    let mut election = election("a");
    election.apply(7, claim_by("c", 5), at(0));
    let record = GroupRecord::Release {
        term: 7,
        fenced_ms_ago: Some(6_000),
    };
    election.apply(9, record, at(100));
    let fenced_at = at(100) - Span::from_secs(6);
    assert_eq!(election.earlier_owners_fenced_at(), Some(fenced_at));
}

#[test]
fn a_release_read_late_does_not_replace_what_was_seen() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 1), at(0));
    election.apply(7, claim_by("c", 2), at(3_000));
    election.apply(8, heartbeat(7), at(3_200));
    let record = GroupRecord::Release {
        term: 7,
        fenced_ms_ago: Some(400),
    };
    election.apply(10, record, at(3_800));
    assert_eq!(election.earlier_owners_fenced_at(), Some(at(3_200)));
}

#[test]
fn the_release_of_an_earlier_version_is_read() {
    let text = r#"{"kind":"release","term":7}"#;
    assert_eq!(
        serde_json::from_str::<GroupRecord>(text).unwrap(),
        release(7)
    );
}

#[test]
fn the_first_owner_has_none_before_it() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 1), at(0));
    assert_eq!(election.earlier_owners_fenced_at(), None);
    election.apply(6, release(5), at(900));
    assert_eq!(election.earlier_owners_fenced_at(), Some(Time::ZERO));
}

#[test]
fn the_latest_claim_holds_in_any_order_of_reading() {
    let mut election = election("a");
    election.apply(8, claim_by("c", 4), at(0));
    election.apply(5, claim_by("b", 3), at(0));
    assert_eq!(&*election.claim().unwrap().instance, "c");
    assert_eq!(election.claim().unwrap().term, 8);
}

/// On a slow store heartbeats arrive late, which must not replace the owner.
#[test]
fn an_owner_on_a_slow_store_gets_a_longer_timeout() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 3), at(0));
    for number in 1..=4 {
        election.note_read(at(number * 1_200));
        election.apply(5 + number, heartbeat(5), at(number * 1_200));
    }
    read_every_500_ms(&mut election, 4_800, 8_300);
    assert!(matches!(
        election.next_step(at(8_300)),
        ElectionStep::Wait(_)
    ));
    read_every_500_ms(&mut election, 8_300, 9_300);
    assert_eq!(
        election.next_step(at(9_300)),
        ElectionStep::Claim { generation: 4 }
    );
}

fn restoring(term: u64) -> GroupRecord {
    GroupRecord::Heartbeat {
        term,
        restoring: true,
    }
}

/// Claimants that need more time than silence leaves them replaced one another without end.
#[test]
fn a_claim_that_follows_an_unsuccessful_one_gets_twice_the_time() {
    let mut election = election("a");
    election.apply(5, claim_by("b", 1), at(0));
    election.apply(6, heartbeat(5), at(100));
    assert_eq!(election.restore_timeout(), Span::from_secs(4));
    election.apply(7, claim_by("c", 2), at(3_000));
    election.apply(8, restoring(7), at(3_100));
    assert_eq!(election.restore_timeout(), Span::from_secs(4));
    election.apply(9, claim_by("d", 3), at(6_000));
    assert_eq!(election.restore_timeout(), Span::from_secs(8));
    read_every_500_ms(&mut election, 6_000, 10_000);
    let due = at(6_000 + 2 * (OWNER_TIMEOUT_MS + 50));
    assert_eq!(election.next_step(at(10_000)), ElectionStep::Wait(due));
    for claim in 0..6 {
        election.apply(10 + claim, claim_by("e", 4 + claim as u32), at(11_000));
    }
    assert_eq!(election.restore_timeout(), Span::from_secs(32), "the most");
    election.apply(20, restoring(15), at(11_500));
    election.apply(21, heartbeat(15), at(12_000));
    election.apply(22, claim_by("f", 10), at(16_000));
    assert_eq!(election.restore_timeout(), Span::from_secs(4));
}

/// An instance that restarts claims its own cell at once. One that could not restore the state in
/// time would only do so again.
#[test]
fn an_instance_that_gave_up_lets_the_others_claim_first() {
    let mut election = election("a");
    election.apply(5, claim_by("a", 1), at(0));
    election.abandon_claim();
    read_every_500_ms(&mut election, 0, 2_000);
    let due = at(OWNER_TIMEOUT_MS + 3 * 50);
    assert_eq!(election.next_step(at(2_000)), ElectionStep::Wait(due));
    election.apply(6, claim_by("z", 2), at(2_050));
    election.apply(7, release(6), at(2_060));
    election.note_read(at(2_200));
    let step = election.next_step(at(2_200));
    assert_eq!(step, ElectionStep::Claim { generation: 3 });
}

#[test]
fn the_heartbeat_of_an_earlier_version_is_one_of_a_serving_owner() {
    let text = r#"{"kind":"beat","term":7}"#;
    assert_eq!(
        serde_json::from_str::<GroupRecord>(text).unwrap(),
        heartbeat(7)
    );
    assert_eq!(serde_json::to_string(&heartbeat(7)).unwrap(), text);
}

/// With instances of different sizes, the largest claims first and the others only if it does not.
#[test]
fn large_instances_claim_before_small_ones() {
    let mut election = election("a");
    for (instance, millicores) in [("b", 300), ("c", 100), ("d", 200)] {
        election.apply(0, member(instance, millicores), at(0));
    }
    assert_eq!(election.rank(), 2, "after z and b, before d and c");
    election.note_read(at(0));
    assert_eq!(election.next_step(at(0)), ElectionStep::Wait(at(700)));
}

/// Ordered by name, the owner and all that follow the group closely were in one failure domain of a large
/// deployment, so that its loss left the cell to an instance that reads rarely.
#[test]
fn instances_that_claim_next_are_in_several_failure_domains() {
    for pattern in ["front-{}-1{}", "{}-{}", "node-{}{}", "{}.{}.example"] {
        let mut election = election("a");
        for domain in ["a", "b", "c", "d", "e"] {
            for number in 0..20 {
                let name = pattern.replacen("{}", domain, 1);
                let name = name.replacen("{}", &number.to_string(), 1);
                election.apply(0, member(&format!("x-{name}"), 600), at(0));
            }
        }
        let first = election.members()[..4].iter();
        let domains = first.map(|member| member.instance.replace("node-", ""));
        let domains = domains.map(|name| name.replace("front-", "")[2..3].to_owned());
        let domains: std::collections::HashSet<String> = domains.collect();
        assert!(domains.len() >= 2, "{pattern}: {domains:?}");
    }
}

#[test]
fn a_small_owner_yields_to_a_large_instance_that_joins() {
    let mut election = election("a");
    election.apply(5, claim_by("a", 1), at(100));
    assert!(
        !election.should_yield(at(5_000)),
        "z joined before the claim"
    );
    election.apply(6, member("y", 390), at(5_000));
    assert!(!election.should_yield(at(9_000)), "not large enough");
    election.apply(7, member("x", 400), at(9_000));
    assert!(!election.should_yield(at(9_500)));
    assert!(election.should_yield(at(10_000)));
}

/// A member that is gone stays in the list for three announcements that it has missed.
#[test]
fn a_member_without_announcements_is_gone() {
    let mut election = election("me");
    let gone = |election: &OwnerElection, ms| election.gone_members(at(ms)).count();
    for second in 0..130 {
        election.note_read(at(second * 1_000));
    }
    assert_eq!(gone(&election, 99_000), 0);
    // This instance knows that it is there itself.
    assert_eq!(gone(&election, 101_000), 1);
    election.apply(0, member("z", 500), at(120_000));
    assert_eq!(gone(&election, 130_000), 0);
    election.remove_member("z");
    assert!(
        election
            .members()
            .iter()
            .all(|member| &*member.instance == "me")
    );
}

/// While the log could not be read, members may have announced themselves.
#[test]
fn no_member_is_gone_after_a_gap_in_the_reads() {
    let mut election = election("me");
    election.note_read(at(0));
    election.note_read(at(300_000));
    assert_eq!(election.gone_members(at(300_000)).count(), 0);
}

/// Guards against a successor that relies on bounds which an owner before it does not keep to.
#[test]
fn a_claim_states_lease_bounds_if_all_earlier_ones_do() {
    let own = LeaseBounds {
        grant_ms: 7_000,
        term_ms: 8_500,
    };
    let longer = LeaseBounds {
        grant_ms: 6_000,
        term_ms: 9_000,
    };
    let bounds_after = |leases: Option<LeaseBounds>| {
        let mut election = election("a");
        let claim = GroupRecord::Claim {
            instance: "z".into(),
            address: "127.0.0.1:1".into(),
            generation: 1,
            leases,
        };
        election.apply(1, claim, at(100));
        election.lease_bounds(own)
    };
    assert_eq!(election("a").lease_bounds(own), Some(own), "no owner yet");
    assert_eq!(bounds_after(None), None, "an owner of an earlier version");
    assert_eq!(bounds_after(Some(own)), Some(own));
    let both = LeaseBounds {
        grant_ms: 7_000,
        term_ms: 9_000,
    };
    assert_eq!(bounds_after(Some(longer)), Some(both));
}
