//! Start orders that wait for the log and are discarded in the end.

use kingcupwinch_cell::{CellEvent, EndReason, JobSpec, PollFailure, Registration, StepSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{
    Harness, MAX_LEASE, TICKET_VALIDITY, id, job, registration, step, with_advice,
};

/// How long after its last renewal a lease has certainly expired: clocks are at most 2 % slow, and
/// timers fire late.
const LEASE_TIME_MS: u64 = MAX_LEASE.as_millis() * 102 / 100 + 150;

/// A start that is not sent renews no lease. If it counts as one, the runs of a lost worker settle
/// one lease later than they could.
#[test]
fn a_start_that_is_not_sent_extends_no_lease() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 1, 60_000)]));
    harness.run_round();
    harness.poll_all();
    assert_eq!(harness.running().len(), 1);

    // The placement of a second job waits for the log, while the worker is lost.
    harness.submit(2, job(vec![step(1, 1, 1_000)]));
    harness.decide_without_log();
    for _ in 0..3 {
        harness.cell.next_poll(worker, harness.now);
        harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    }
    harness.advance(4_000);
    harness.append_records();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);

    harness.advance(LEASE_TIME_MS - 4_000);
    harness.decide();
    let events = harness.cell.take_events();
    let is_settled = |event: &CellEvent| matches!(event, CellEvent::RunsSettled { .. });
    assert!(events.iter().any(is_settled), "{events:?}");
}

/// Has the owner read an entry of a worker that is of one kind and runs one service.
fn register(harness: &mut Harness, number: usize, kind: &str, service: &str) {
    let entry = Registration {
        service: service.into(),
        labels: vec![kind.into(), "rack-0".into()],
        ..registration(number, 4)
    };
    harness.cell.register_worker(entry, false, harness.now);
}

fn labelled(count: u16, label: &str) -> JobSpec {
    job(vec![StepSpec {
        required_label: Some(label.into()),
        ..step(count, 1, 1_000)
    }])
}

/// Guards against a start on a worker that came back as another kind, or for another service, while
/// the placement waited for the log.
#[rstest::rstest]
#[case::kind("small", "service", "label")]
#[case::service("large", "other", "unusable")]
fn a_start_is_not_sent_to_a_worker_that_has_changed(
    #[case] kind: &str,
    #[case] service: &str,
    #[case] cause: &str,
) {
    let mut harness = Harness::new(1, 4);
    register(&mut harness, 0, "large", "service");
    harness.submit(1, labelled(1, "large"));
    harness.decide_without_log();
    register(&mut harness, 0, kind, service);
    harness.append_records();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    let events = harness.cell.take_events();
    let is_noted = events.iter().any(
        |event| matches!(event, CellEvent::StartDiscarded { cause: known, .. } if *known == cause),
    );
    assert!(is_noted, "{events:?}");

    register(&mut harness, 0, "large", "service");
    harness.run_round();
    assert_eq!(harness.running().len(), 1, "it starts once it may");
}

/// Guards against an order that carries a ticket which expired while the placement waited for the log.
#[test]
fn a_start_whose_ticket_has_expired_is_not_sent() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, with_advice(job(vec![step(1, 1, 1_000)]), 10.0));
    harness.decide();
    harness.answer_calls(|_, _| true);
    harness.decide_without_log();
    harness.advance(TICKET_VALIDITY.as_millis() + 1);
    harness.poll_all();
    harness.append_records();
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
}

/// Guards against starts where the step may not run, with entries that change at any time and a log
/// that is slow.
#[test]
fn no_start_is_sent_where_its_step_may_not_run() {
    const KINDS: [&str; 2] = ["small", "large"];
    const SERVICES: [&str; 2] = ["service", "other"];
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(6, 4);
        let mut entries = [(KINDS[0], SERVICES[0]); 6];
        let mut labels = Vec::new();
        let mut started = 0;
        for _ in 0..200 {
            harness.advance(50);
            if rng.random_bool(0.3) {
                let number = rng.random_range(0..6);
                entries[number] = (
                    KINDS[rng.random_range(0..2)],
                    SERVICES[usize::from(rng.random_bool(0.2))],
                );
                let (kind, service) = entries[number];
                register(&mut harness, number, kind, service);
            }
            if rng.random_bool(0.3) {
                let label = KINDS[rng.random_range(0..2)];
                labels.push(label);
                harness.submit(labels.len() as u64, labelled(2, label));
            }
            harness.decide_without_log();
            if rng.random_bool(0.3) {
                harness.append_records();
            }
            for order in std::mem::take(&mut harness.starts) {
                let keys = harness.keys();
                let number = keys.iter().position(|key| *key == order.worker).unwrap();
                let job = (1..)
                    .zip(&labels)
                    .find(|(job, _)| id(*job) == order.task.job);
                let label = job.unwrap().1;
                assert_eq!(
                    entries[number],
                    (*label, "service"),
                    "seed {seed}: {order:?}"
                );
                harness.start(&order);
                started += 1;
            }
            if rng.random_bool(0.3) {
                harness.end_all(EndReason::Done);
            }
            harness.poll_all();
        }
        assert!(started > 50, "seed {seed}: {started}");
    }
}
