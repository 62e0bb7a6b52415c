//! Capacity that is lent, reclaimed, granted to siblings, lost or cancelled.

mod common;

use common::{ALL_PREEMPTION, Harness, urgent_and_batch};
use kingcupwinch_policy::{
    CancelOutcome, ClassKind, Decision, MachineSpec, Outcome, Preemption, Refusal, Resources,
    TaskKey,
};
use kingcupwinch_time::Span;
use rstest::rstest;

#[rstest]
#[case::throttle(ALL_PREEMPTION, true, "throttle")]
#[case::checkpoint(Preemption { throttle: 0, ..ALL_PREEMPTION }, true, "checkpoint")]
#[case::stop(Preemption { throttle: 0, checkpoint: false, stop: true }, true, "stop")]
#[case::never_stopped(Preemption { throttle: 0, checkpoint: false, stop: true }, false, "nothing")]
#[case::not_allowed(Preemption::default(), true, "nothing")]
fn lent_capacity_is_reclaimed_by_the_cheapest_method(
    #[case] preemption: Preemption,
    #[case] idempotent: bool,
    #[case] expected: &str,
) {
    let mut harness = Harness::new(urgent_and_batch(preemption));
    let capacity = Resources::new(4_000, 65_536)
        .with_slots(8)
        .with_connections(8);
    let spec = MachineSpec::new("m", "z", "r", capacity);
    harness.cell.add_machine(spec, harness.now).unwrap();
    let mut batch = harness.spec("batch", 1).with_idempotent(idempotent);
    batch.size = Resources::new(4_000, 1_024);
    let place = harness.run(batch);
    let urgent = harness
        .cell
        .submit(harness.spec("live", 1), harness.now)
        .unwrap();
    let mut decisions = Vec::new();
    for _ in 0..20 {
        harness.advance(50);
        decisions.extend(harness.decide());
    }
    let first = decisions.first().map_or("nothing", |d| match d {
        Decision::Throttle { .. } => "throttle",
        Decision::Checkpoint(_) => "checkpoint",
        Decision::Stop(_) => "stop",
        _ => "other",
    });
    assert_eq!(first, expected);
    if expected == "throttle" {
        harness.cell.throttled(place, harness.now).unwrap();
        assert_eq!(harness.starts()[0].task, urgent);
    } else if expected != "nothing" {
        harness.end(place, Outcome::Stopped);
        assert_eq!(harness.starts()[0].task, urgent);
        assert_eq!(
            harness.cell.queued(batch.class),
            1,
            "the stopped task waits again"
        );
    }
}

#[test]
fn throttled_task_gets_its_full_share_back() {
    let mut harness = Harness::new(urgent_and_batch(ALL_PREEMPTION));
    let capacity = Resources::new(4_000, 65_536)
        .with_slots(8)
        .with_connections(8);
    let spec = MachineSpec::new("m", "z", "r", capacity);
    harness.cell.add_machine(spec, harness.now).unwrap();
    let mut batch = harness.spec("batch", 1);
    batch.size = Resources::new(4_000, 1_024);
    let place = harness.run(batch);
    harness
        .cell
        .submit(harness.spec("live", 1), harness.now)
        .unwrap();
    harness.advance(200);
    assert!(matches!(
        harness.decide()[..],
        [Decision::Throttle { percent: 50, .. }]
    ));
    harness.cell.throttled(place, harness.now).unwrap();
    let urgent = harness.starts()[0];
    harness.end(urgent, Outcome::Done);
    let mut decisions = Vec::new();
    for _ in 0..100 {
        harness.now = harness.cell.next_deadline().unwrap_or(harness.now);
        decisions.extend(harness.decide());
    }
    let restored = Decision::Throttle {
        target: place,
        percent: 0,
    };
    assert_eq!(decisions, [restored]);
    assert_eq!(harness.cell.used(), batch.size);
}

#[test]
fn credits_reserve_capacity_for_siblings_until_their_deadline() {
    let mut harness = Harness::new(urgent_and_batch(Preemption::default()));
    harness.machine("r", 4);
    let live = harness.class("live");
    assert_eq!(harness.cell.available_places(live), 4);
    let deadline = harness.now + Span::from_millis(100);
    let credit = harness
        .cell
        .grant(live, 9, deadline, harness.now)
        .unwrap()
        .unwrap();
    assert_eq!((credit.count, harness.cell.available_places(live)), (4, 0));
    harness
        .cell
        .submit(harness.spec("batch", 1), harness.now)
        .unwrap();
    assert!(
        harness.starts().is_empty(),
        "the capacity is granted to a sibling"
    );
    let spec = harness.spec("live", 1);
    harness
        .cell
        .submit_with_credit(credit.key, spec, harness.now)
        .unwrap();
    assert_eq!(harness.starts().len(), 1);
    let wrong = harness
        .cell
        .submit_with_credit(credit.key, harness.spec("batch", 1), harness.now);
    assert_eq!(wrong, Err(Refusal::UnknownClass));
    harness.now = deadline;
    assert_eq!(
        harness.starts().len(),
        1,
        "the batch task uses the expired credit"
    );
    assert!(harness.cell.revoke(credit.key).is_err());
}

#[test]
fn leaving_machine_gets_no_new_tasks_and_finishes_running_ones() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    let machine = harness.machine("r", 4);
    let place = harness.run(harness.spec("work", 1));
    harness.cell.set_leaving(machine, harness.now).unwrap();
    harness
        .cell
        .submit(harness.spec("work", 1), harness.now)
        .unwrap();
    assert!(harness.starts().is_empty());
    harness.end(place, Outcome::Done);
    assert_eq!(harness.cell.running(harness.class("work")), 0);
}

#[test]
fn tasks_of_a_lost_machine_restart_only_after_their_leases_expire() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 1);
    let place = harness.run(harness.spec("work", 1));
    harness.machine("r", 1);
    let lost = harness
        .cell
        .remove_machine(place.machine, harness.now)
        .unwrap();
    assert_eq!(lost, [place.task]);
    harness.advance(60_000);
    assert!(harness.starts().is_empty());
    harness.end(place, Outcome::Lost);
    harness.advance(60_000);
    assert_eq!(harness.starts()[0].task, place.task);
}

#[test]
fn cancel_removes_waiting_tasks_and_stops_running_ones() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 1);
    let spec = harness.spec("work", 1);
    let place = harness.run(spec);
    let waiting: Vec<TaskKey> = (0..100)
        .map(|_| harness.cell.submit(spec, harness.now).unwrap())
        .collect();
    assert_eq!(harness.cell.cancel_many(&waiting, harness.now), 100);
    assert_eq!(harness.cell.queued(spec.class), 0);
    assert_eq!(
        harness.cell.cancel(place.task, harness.now),
        Ok(CancelOutcome::Leaving)
    );
    assert_eq!(harness.decide(), [Decision::Stop(place)]);
    harness.end(place, Outcome::Stopped);
    assert_eq!(harness.cell.tasks(), 0);
}

#[test]
fn stop_request_is_sent_again_until_it_is_answered() {
    let mut harness = Harness::with_kind(ClassKind::Batch);
    harness.machine("r", 1);
    let place = harness.run(harness.spec("work", 1));
    harness.cell.cancel(place.task, harness.now).unwrap();
    for _ in 0..3 {
        assert_eq!(harness.decide(), [Decision::Stop(place)]);
        assert!(harness.decide().is_empty());
        harness.now = harness.cell.next_deadline().unwrap();
    }
    harness.end(place, Outcome::Stopped);
    assert!(harness.decide().is_empty());
    assert_eq!(harness.cell.next_deadline(), None);
}
