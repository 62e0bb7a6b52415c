//! Capacity that is lent, taken back, promised, lost or cancelled.

mod common;

use common::{ALL_PREEMPTION, Bench, urgent_and_batch};
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
fn lent_capacity_comes_back_by_the_cheapest_means(
    #[case] means: Preemption,
    #[case] idempotent: bool,
    #[case] expected: &str,
) {
    let mut bench = Bench::new(urgent_and_batch(means));
    let capacity = Resources::new(4_000, 65_536)
        .with_slots(8)
        .with_connections(8);
    let spec = MachineSpec::new("m", "z", "r", capacity);
    bench.cell.add_machine(spec, bench.now).unwrap();
    let mut batch = bench.spec("batch", 1).with_idempotent(idempotent);
    batch.size = Resources::new(4_000, 1_024);
    let place = bench.run(batch);
    let urgent = bench.cell.submit(bench.spec("live", 1), bench.now).unwrap();
    let mut decisions = Vec::new();
    for _ in 0..20 {
        bench.advance(50);
        decisions.extend(bench.decide());
    }
    let first = decisions.first().map_or("nothing", |d| match d {
        Decision::Throttle { .. } => "throttle",
        Decision::Checkpoint(_) => "checkpoint",
        Decision::Stop(_) => "stop",
        _ => "other",
    });
    assert_eq!(first, expected);
    if expected == "throttle" {
        bench.cell.throttled(place, bench.now).unwrap();
        assert_eq!(bench.starts()[0].task, urgent);
    } else if expected != "nothing" {
        bench.end(place, Outcome::Stopped);
        assert_eq!(bench.starts()[0].task, urgent);
        assert_eq!(bench.cell.queued(batch.class), 1, "it waits again");
    }
}

#[test]
fn a_throttled_task_gets_its_share_back() {
    let mut bench = Bench::new(urgent_and_batch(ALL_PREEMPTION));
    let capacity = Resources::new(4_000, 65_536)
        .with_slots(8)
        .with_connections(8);
    let spec = MachineSpec::new("m", "z", "r", capacity);
    bench.cell.add_machine(spec, bench.now).unwrap();
    let mut batch = bench.spec("batch", 1);
    batch.size = Resources::new(4_000, 1_024);
    let place = bench.run(batch);
    bench.cell.submit(bench.spec("live", 1), bench.now).unwrap();
    bench.advance(200);
    assert!(matches!(
        bench.decide()[..],
        [Decision::Throttle { percent: 50, .. }]
    ));
    bench.cell.throttled(place, bench.now).unwrap();
    let urgent = bench.starts()[0];
    bench.end(urgent, Outcome::Done);
    let mut decisions = Vec::new();
    for _ in 0..100 {
        bench.now = bench.cell.next_deadline().unwrap_or(bench.now);
        decisions.extend(bench.decide());
    }
    let restored = Decision::Throttle {
        target: place,
        percent: 0,
    };
    assert_eq!(decisions, [restored]);
    assert_eq!(bench.cell.used(), batch.size);
}

#[test]
fn credits_keep_room_for_siblings_until_their_deadline() {
    let mut bench = Bench::new(urgent_and_batch(Preemption::default()));
    bench.machine("r", 4);
    let live = bench.class("live");
    assert_eq!(bench.cell.available_places(live), 4);
    let deadline = bench.now + Span::from_millis(100);
    let credit = bench
        .cell
        .grant(live, 9, deadline, bench.now)
        .unwrap()
        .unwrap();
    assert_eq!((credit.count, bench.cell.available_places(live)), (4, 0));
    bench
        .cell
        .submit(bench.spec("batch", 1), bench.now)
        .unwrap();
    assert!(bench.starts().is_empty(), "the room is promised");
    let spec = bench.spec("live", 1);
    bench
        .cell
        .submit_with_credit(credit.key, spec, bench.now)
        .unwrap();
    assert_eq!(bench.starts().len(), 1);
    let wrong = bench
        .cell
        .submit_with_credit(credit.key, bench.spec("batch", 1), bench.now);
    assert_eq!(wrong, Err(Refusal::UnknownClass));
    bench.now = deadline;
    assert_eq!(bench.starts().len(), 1, "batch work uses what expired");
    assert!(bench.cell.revoke(credit.key).is_err());
}

#[test]
fn a_leaving_machine_gets_no_new_work_and_finishes_what_runs() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    let machine = bench.machine("r", 4);
    let place = bench.run(bench.spec("work", 1));
    bench.cell.set_leaving(machine, bench.now).unwrap();
    bench.cell.submit(bench.spec("work", 1), bench.now).unwrap();
    assert!(bench.starts().is_empty());
    bench.end(place, Outcome::Done);
    assert_eq!(bench.cell.running(bench.class("work")), 0);
}

#[test]
fn tasks_of_a_lost_machine_start_elsewhere_only_after_their_leases() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 1);
    let place = bench.run(bench.spec("work", 1));
    bench.machine("r", 1);
    let lost = bench.cell.remove_machine(place.machine, bench.now).unwrap();
    assert_eq!(lost, [place.task]);
    bench.advance(60_000);
    assert!(bench.starts().is_empty());
    bench.end(place, Outcome::Lost);
    bench.advance(60_000);
    assert_eq!(bench.starts()[0].task, place.task);
}

#[test]
fn cancelling_takes_waiting_tasks_at_once_and_running_ones_by_a_stop() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 1);
    let spec = bench.spec("work", 1);
    let place = bench.run(spec);
    let waiting: Vec<TaskKey> = (0..100)
        .map(|_| bench.cell.submit(spec, bench.now).unwrap())
        .collect();
    assert_eq!(bench.cell.cancel_many(&waiting, bench.now), 100);
    assert_eq!(bench.cell.queued(spec.class), 0);
    assert_eq!(
        bench.cell.cancel(place.task, bench.now),
        Ok(CancelOutcome::Leaving)
    );
    assert_eq!(bench.decide(), [Decision::Stop(place)]);
    bench.end(place, Outcome::Stopped);
    assert_eq!(bench.cell.tasks(), 0);
}

#[test]
fn an_order_is_given_again_until_it_is_answered() {
    let mut bench = Bench::with_kind(ClassKind::Batch);
    bench.machine("r", 1);
    let place = bench.run(bench.spec("work", 1));
    bench.cell.cancel(place.task, bench.now).unwrap();
    for _ in 0..3 {
        assert_eq!(bench.decide(), [Decision::Stop(place)]);
        assert!(bench.decide().is_empty());
        bench.now = bench.cell.next_deadline().unwrap();
    }
    bench.end(place, Outcome::Stopped);
    assert!(bench.decide().is_empty());
    assert_eq!(bench.cell.next_deadline(), None);
}
