//! The caps of customers: what is counted, and what may start.

use kingcupwinch_cell::{
    CellEvent, CustomerPolicy, EndReason, JobRecord, JobSpec, Placement, PollFailure, ResourceCap,
    StartOutcome, StepSpec,
};
use kingcupwinch_time::Span;
use rstest::rstest;

use crate::harness::{
    FakeWorker, HANDOVER_OVERLAP, Harness, MAX_LEASE, id, job, registration, step, with_advice,
};

pub(crate) const CUSTOMER: &str = "gallery";

/// Builds the policy of the customer of these tests, with a cap in cores.
pub(crate) fn capped(cores: u64) -> CustomerPolicy {
    CustomerPolicy {
        name: CUSTOMER.into(),
        weight: 1.0,
        cap: ResourceCap {
            cpu: Some(cores * 1_000),
            ..ResourceCap::default()
        },
    }
}

/// Builds a job of that customer.
pub(crate) fn owned(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        customer: Some(CUSTOMER.into()),
        ..job(steps)
    }
}

fn gang(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores, 500)
    }
}

fn with_cap(workers: usize, cap: u64) -> Harness {
    let mut harness = Harness::new(workers, 8);
    harness.cell =
        std::mem::replace(&mut harness.cell, Harness::of_generation(1).cell).with_cap_overage(0.1);
    harness.cell.set_customers(&[capped(cap)]);
    harness
}

/// Without the check, a customer takes all workers. Jobs of others and without a customer start.
#[test]
fn a_customer_gets_no_more_than_its_cap() {
    let mut harness = with_cap(4, 5);
    harness.submit(1, owned(vec![step(10, 2, 500)]));
    harness.submit(2, job(vec![step(3, 2, 500)]));
    let other = JobSpec {
        customer: Some("archive".into()),
        ..job(vec![step(4, 2, 500)])
    };
    harness.submit(3, other);
    harness.run_round();
    let of_job = |number| {
        let running = harness.running();
        running
            .iter()
            .filter(|(_, task)| task.job == id(number))
            .count()
    };
    assert_eq!((of_job(1), of_job(2), of_job(3)), (2, 3, 4));
    assert_eq!(
        harness.cell.cap_counts().held,
        0,
        "it has begun in the round"
    );
    harness.run_round();
    assert_eq!(harness.cell.cap_counts().held, 1);
    let withdrawals = harness.cell.counters().cap_withdrawals;
    assert_eq!(withdrawals, 0, "nothing is placed that can't be sent");
}

/// Without this rule, a customer whose cap is below one task would never be served.
#[test]
fn a_task_larger_than_the_cap_runs_alone() {
    let mut harness = with_cap(4, 2);
    harness.submit(1, owned(vec![step(3, 4, 500)]));
    for _ in 0..3 {
        harness.run_round();
        assert_eq!(harness.running().len(), 1);
        harness.end_all(EndReason::Done);
        harness.poll_all();
    }
}

/// A cap on one resource must not be passed by a task that needs none of it, since the customer is
/// above its cap as it is.
#[test]
fn nothing_starts_above_a_lowered_cap_and_nothing_is_stopped() {
    let mut harness = with_cap(4, 8);
    harness.submit(1, owned(vec![step(4, 2, 500)]));
    harness.run_round();
    harness.cell.set_customers(&[capped(3)]);
    harness.submit(2, owned(vec![step(1, 0, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 4, "none stopped and none started");
    for _ in 0..3 {
        let (worker, task) = harness.running()[0];
        harness.end(worker, task, EndReason::Done);
    }
    harness.poll_all();
    harness.run_round();
    assert_eq!(
        harness.running().len(),
        2,
        "2 of 3 cores, and the task without CPU"
    );
}

/// A placement that waits for the log was checked against the cap of that time.
#[test]
fn placements_that_wait_for_the_log_are_checked_against_the_cap_in_force() {
    let mut harness = with_cap(4, 8);
    harness.submit(1, owned(vec![step(4, 2, 500)]));
    harness.decide_without_log();
    harness.cell.set_customers(&[capped(4)]);
    harness.append_records();
    assert_eq!(harness.starts.len(), 2);
    assert_eq!(harness.cell.counters().cap_withdrawals, 2);
    let events = harness.cell.take_events();
    let is_withdrawal = |event: &&CellEvent| matches!(event, CellEvent::CapWithdraws(_));
    assert_eq!(events.iter().filter(is_withdrawal).count(), 2);
}

/// A gang must not start in part, and is one decision.
#[test]
fn a_gang_that_waits_for_the_log_is_withdrawn_whole() {
    let mut harness = with_cap(4, 8);
    harness.submit(1, owned(vec![gang(4, 2)]));
    harness.decide_without_log();
    harness.cell.set_customers(&[capped(6)]);
    harness.append_records();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.cell.counters().cap_withdrawals, 1);
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.cell.set_customers(&[capped(8)]);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
}

/// A customer that a version no longer names must not become free of its cap.
#[test]
fn a_customer_that_is_no_longer_named_keeps_its_cap() {
    let mut harness = with_cap(4, 4);
    harness.cell.set_customers(&[]);
    harness.submit(1, owned(vec![step(4, 2, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
}

/// Members count together: with the cap checked task by task, a gang would start in part or stay below
/// the cap only by chance.
#[rstest]
#[case::under_the_cap(5, 2, 10, 5)]
#[case::within_the_overage(11, 1, 10, 11)]
#[case::beyond_the_overage(12, 1, 10, 0)]
fn a_gang_starts_whole_or_not_at_all(
    #[case] count: u16,
    #[case] cores: u64,
    #[case] cap: u64,
    #[case] started: usize,
) {
    let mut harness = with_cap(4, cap);
    harness.submit(1, owned(vec![gang(count, cores)]));
    harness.run_round();
    assert_eq!(harness.running().len(), started);
}

/// The overage is for a gang that runs alone only.
#[test]
fn a_gang_uses_the_overage_only_while_nothing_else_runs() {
    let mut harness = with_cap(4, 10);
    harness.submit(1, owned(vec![step(1, 1, 500)]));
    harness.run_round();
    harness.submit(2, owned(vec![gang(11, 1)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 11);
}

/// An operator has to learn of such work, once for each version, and can raise the cap.
#[test]
fn a_gang_that_can_never_start_is_reported_once_per_version() {
    let mut harness = with_cap(4, 4);
    harness.submit(1, owned(vec![gang(6, 1)]));
    let mut reports = 0;
    for version in 0..2 {
        for _ in 0..5 {
            harness.run_round();
            harness.advance(2_000);
            harness.poll_all();
            let events = harness.cell.take_events();
            let is_exclusion = |event: &&CellEvent| matches!(event, CellEvent::CapExcludes(_));
            reports += events.iter().filter(is_exclusion).count();
            assert_eq!(harness.cell.cap_counts().excluded, 1);
        }
        assert_eq!(reports, version + 1);
        harness.cell.set_customers(&[capped(4)]);
    }
    assert_eq!(harness.cell.queued_jobs("queue"), 1);
    harness.cell.set_customers(&[capped(6)]);
    harness.run_round();
    assert_eq!(harness.running().len(), 6);
}

/// Capacity that a gang can't use because of its cap must stay free for other customers.
#[test]
fn a_gang_that_is_held_back_reserves_no_capacity() {
    let mut harness = with_cap(1, 8);
    harness.submit(1, owned(vec![step(1, 3, 500)]));
    harness.run_round();
    harness.submit(2, owned(vec![gang(6, 1)]));
    harness.run_round();
    harness.submit(3, job(vec![step(5, 1, 60_000)]));
    harness.run_round();
    assert_eq!(
        harness.running().len(),
        6,
        "the gang waits and keeps nothing"
    );
}

/// A call that can lead to no start takes an instance from steps that could start.
#[test]
fn no_adviser_call_is_made_beyond_what_the_cap_lets_start() {
    let mut harness = with_cap(4, 4);
    let asked = |count| with_advice(owned(vec![step(count, 2, 500)]), 10.0);
    harness.submit(1, asked(1));
    harness.decide();
    assert_eq!(harness.calls.len(), 1);
    harness.submit(2, asked(1));
    harness.decide();
    assert_eq!(harness.calls.len(), 2, "the cap has room for both");
    harness.submit(3, asked(1));
    harness.decide();
    assert_eq!(
        harness.calls.len(),
        2,
        "the calls in flight ask about all the room"
    );
    harness.answer_calls(|_, _| true);
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    harness.advance(500);
    harness.run_round();
    assert!(harness.calls.is_empty());
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.calls.len(), 1);
}

/// A second run of a slow task would bring the customer above its cap.
#[rstest]
#[case::room(4, 2)]
#[case::at_the_cap(3, 1)]
fn a_speculative_run_needs_room_under_the_cap(#[case] cap: u64, #[case] runs: usize) {
    let mut harness = with_cap(4, cap);
    let slow = StepSpec {
        speculative: true,
        ..step(1, 2, 500)
    };
    harness.submit(1, owned(vec![slow]));
    harness.run_round();
    harness.advance(1_500);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running().len(), runs);
    assert_eq!(harness.cell.counters().cap_withdrawals, 0);
}

fn lasting(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(count, cores, 500)
    }
}

fn drain(harness: &mut Harness, worker: usize) {
    let mut entry = registration(worker, 8);
    entry.draining = true;
    harness.cell.register_worker(entry, false, harness.now);
}

/// A move stops a task: above a lowered cap it could not start again.
#[rstest]
#[case::at_the_cap(4, 1)]
#[case::above_a_lowered_cap(3, 0)]
fn a_task_moves_only_if_it_can_start_again(#[case] lowered: u64, #[case] moves: usize) {
    let mut harness = with_cap(2, 4);
    harness.submit(1, owned(vec![lasting(2, 2)]));
    harness.run_round();
    harness.set_ready();
    harness.poll_all();
    harness.cell.set_customers(&[capped(lowered)]);
    let worker = harness.running()[0].0;
    let index = harness.keys().iter().position(|key| *key == worker);
    drain(&mut harness, index.unwrap());
    harness.decide();
    assert_eq!(harness.stops.len(), moves);
}

/// While a task moves, what it frees under the cap is not for other work of its customer.
#[test]
fn a_task_that_moves_keeps_its_room_under_the_cap() {
    let mut harness = with_cap(2, 2);
    harness.submit(1, owned(vec![lasting(1, 2)]));
    harness.run_round();
    harness.set_ready();
    harness.poll_all();
    let worker = harness.running()[0].0;
    let index = harness.keys().iter().position(|key| *key == worker);
    drain(&mut harness, index.unwrap());
    harness.submit(2, owned(vec![lasting(1, 2)]));
    harness.run_round();
    harness.poll_all();
    harness.run_round();
    let running = harness.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].1.job, id(1));
    assert_ne!(running[0].0, worker);
}

/// A start whose response was lost may have been carried out.
#[test]
fn an_unconfirmed_run_counts_until_a_poll_settles_it() {
    let mut harness = with_cap(4, 2);
    harness.submit(1, owned(vec![step(2, 2, 500)]));
    harness.decide();
    let order = harness.starts.remove(0);
    harness
        .cell
        .start_answered(&order, StartOutcome::Lost, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty());
    for _ in 0..2 {
        harness.advance(5);
        harness.poll_all();
        harness.run_round();
    }
    let running = harness.running().len();
    assert_eq!(running, 1, "stopped, and a poll showed that it ended");
}

/// A new owner that has not heard from a worker knows only the recorded placements.
#[test]
fn a_recorded_placement_counts_after_a_takeover_until_its_leases_have_expired() {
    let mut harness = Harness::of_generation(2);
    for number in 0..2 {
        let entry = registration(number, 8);
        let key = harness.cell.register_worker(entry, true, harness.now);
        harness.workers.insert(key, FakeWorker::default());
    }
    harness.cell.set_customers(&[capped(4)]);
    let placements = (0..2).map(|index| Placement {
        step: 0,
        index,
        run: 1,
        worker: "i-1".into(),
    });
    let record = JobRecord {
        last_run: 1,
        started: true,
        placements: placements.collect(),
        ..JobRecord::default()
    };
    let spec = owned(vec![step(2, 2, 500)]);
    harness
        .cell
        .restore(id(1), Some(spec), Some(&record), Span::ZERO, harness.now);
    harness.submit(2, owned(vec![step(2, 2, 500)]));
    let keys = harness.keys();
    harness.cell.poll_failed(keys[1], PollFailure::Unresponsive);
    harness.poll(keys[0]);
    harness.decide();
    assert!(
        harness.starts.is_empty(),
        "both may run on the silent worker"
    );
    harness.advance(HANDOVER_OVERLAP.as_millis() + MAX_LEASE.as_millis() * 21 / 20 + 10);
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 2);
}

/// A run that only its worker knows of, since its placement was recorded by nobody, counts as well.
#[test]
fn an_adopted_run_counts() {
    let mut harness = Harness::of_generation(2);
    let key = harness
        .cell
        .register_worker(registration(0, 8), true, harness.now);
    let running = vec![crate::harness::run_of(1, 1)];
    let fake = FakeWorker {
        running,
        ..FakeWorker::default()
    };
    harness.workers.insert(key, fake);
    harness.cell.set_customers(&[capped(2)]);
    let spec = owned(vec![step(1, 2, 500)]);
    harness
        .cell
        .restore(id(1), Some(spec), None, Span::ZERO, harness.now);
    harness.submit(2, owned(vec![step(1, 2, 500)]));
    harness.poll_all();
    harness.decide();
    assert!(harness.starts.is_empty());
}

/// An owner that has read no configuration knows no cap, so that work of customers would start without.
#[test]
fn work_of_customers_waits_for_the_first_configuration() {
    let mut harness = Harness::new(4, 8);
    harness.submit(1, owned(vec![step(4, 2, 500)]));
    harness.submit(2, job(vec![step(1, 2, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.cell.set_customers(&[]);
    harness.run_round();
    assert_eq!(harness.running().len(), 5);
}
