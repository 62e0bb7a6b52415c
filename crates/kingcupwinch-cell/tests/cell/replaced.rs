//! Workers whose address another worker has taken.

use std::net::SocketAddr;

use kingcupwinch_cell::{
    CellEvent, EndReason, JobState, PollFailure, SettleCause, StartOutcome, WorkerKey,
};
use kingcupwinch_time::Time;

use crate::harness::{
    FakeWorker, HANDOVER_OVERLAP, Harness, MAX_LEASE, job, registration, step, task,
};

/// Starts a long task on one of two workers, and returns the worker and its number.
fn harness_with_run() -> (Harness, WorkerKey, usize) {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 60_000)]));
    harness.run_round();
    let (worker, _) = harness.running()[0];
    harness.poll_all();
    let number = harness.keys().iter().position(|key| *key == worker);
    (harness, worker, number.unwrap())
}

fn address(number: usize) -> SocketAddr {
    registration(number, 4).address.parse().unwrap()
}

/// Returns the failure of a poll that was sent at a time to the address of a worker.
fn replaced(number: usize, sent: Time) -> PollFailure {
    PollFailure::Replaced {
        address: address(number),
        sent,
    }
}

/// Another worker answers a poll of a worker, now and at its listed address.
fn replace(harness: &mut Harness, worker: WorkerKey, number: usize) {
    let sent = harness.now;
    harness.advance(1);
    harness.cell.poll_failed(worker, replaced(number, sent));
}

/// Checks that the task of a silent worker starts elsewhere, and not before the leases have expired.
fn assert_starts_only_after_expiry(harness: &mut Harness, silent: WorkerKey) {
    harness.decide();
    assert!(harness.starts.is_empty(), "the run may be active");
    harness.advance(MAX_LEASE.as_millis() + MAX_LEASE.as_millis() / 50 + 200);
    for key in harness.keys() {
        if key != silent {
            harness.poll(key);
        }
    }
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// Workers crash, and others answer at their addresses a second later. The tasks waited until the
/// leases had expired.
#[test]
fn runs_restart_as_soon_as_another_worker_answers_at_the_address() {
    let (mut harness, worker, number) = harness_with_run();
    harness.cell.take_events();
    harness.cell.poll_failed(worker, PollFailure::Closed);
    harness.decide();
    assert!(harness.starts.is_empty());
    let mut successor = registration(7, 4);
    successor.address = registration(number, 4).address;
    harness.cell.register_worker(successor, false, harness.now);
    replace(&mut harness, worker, number);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_ne!(harness.starts[0].worker, worker);
    let events = harness.cell.take_events();
    let [
        CellEvent::RunsSettled {
            cause, successor, ..
        },
    ] = &events[..]
    else {
        panic!("{events:?}");
    };
    assert_eq!(*cause, SettleCause::Replaced);
    assert_eq!(successor.as_deref(), Some("i-7"));
}

/// An entry alone may be older than the worker that answers, or than its own end.
#[test]
fn an_entry_of_another_worker_at_the_address_settles_no_run() {
    let (mut harness, worker, number) = harness_with_run();
    let mut other = registration(7, 4);
    other.address = registration(number, 4).address;
    harness.cell.register_worker(other, false, harness.now);
    harness.cell.poll_failed(worker, PollFailure::Closed);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// A late entry of an earlier process names an address that another worker has by now, while the
/// process that runs the task is cut off at its own.
#[test]
fn an_answer_at_the_address_of_an_earlier_process_settles_no_run() {
    let (mut harness, worker, number) = harness_with_run();
    harness.cell.poll_failed(worker, PollFailure::Closed);
    let mut earlier = registration(number, 4);
    earlier.address = registration(9, 4).address;
    earlier.started_ms = Some(0);
    harness.cell.register_worker(earlier, false, harness.now);
    replace(&mut harness, worker, 9);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// The poll was sent to the address of before.
#[test]
fn an_answer_at_another_address_than_the_listed_one_settles_no_run() {
    let (mut harness, worker, _) = harness_with_run();
    harness.cell.poll_failed(worker, PollFailure::Closed);
    replace(&mut harness, worker, 9);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// The worker is back at another address before the evidence of the first was used.
#[test]
fn an_answer_at_the_earlier_address_of_a_worker_that_moved_is_dropped() {
    let (mut harness, worker, number) = harness_with_run();
    replace(&mut harness, worker, number);
    let mut later = registration(number, 4);
    later.address = registration(9, 4).address;
    later.started_ms = Some(2);
    harness.cell.register_worker(later, false, harness.now);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// An entry without a usable address must not make an answer at the last one count for it.
#[test]
fn an_answer_counts_for_no_worker_without_an_address() {
    let (mut harness, worker, number) = harness_with_run();
    harness.cell.poll_failed(worker, PollFailure::Closed);
    let mut malformed = registration(number, 4);
    malformed.address = "nowhere".into();
    harness.cell.register_worker(malformed, false, harness.now);
    replace(&mut harness, worker, number);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// The answer is delivered late, after the worker has responded to a later poll.
#[test]
fn an_answer_that_is_older_than_a_response_settles_no_run() {
    let (mut harness, worker, number) = harness_with_run();
    let sent = harness.now;
    harness.advance(10);
    harness.poll(worker);
    harness.cell.poll_failed(worker, replaced(number, sent));
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// The worker is back under its id.
#[test]
fn a_response_clears_an_answer_of_another_worker() {
    let (mut harness, worker, number) = harness_with_run();
    replace(&mut harness, worker, number);
    harness.poll(worker);
    harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    assert_starts_only_after_expiry(&mut harness, worker);
}

/// The process that was confirmed to run the task is not the one that had left when the poll was
/// sent.
#[test]
fn a_run_that_was_confirmed_after_the_poll_was_sent_stays() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    let sent = harness.now;
    harness.advance(10);
    harness.submit(1, job(vec![step(1, 1, 60_000)]));
    harness.run_round();
    harness.cell.poll_failed(worker, replaced(0, sent));
    harness.decide();
    let events = harness.cell.take_events();
    assert!(events.is_empty(), "{events:?}");
}

/// A lost start order may have reached the process that has ended, and no other. One in flight may
/// reach a later process of the worker.
#[rstest::rstest]
#[case::lost(Some(StartOutcome::Lost), 1)]
#[case::in_flight(None, 0)]
fn a_start_order_that_was_lost_before_the_poll_is_settled(
    #[case] outcome: Option<StartOutcome>,
    #[case] starts: usize,
) {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 60_000)]));
    harness.decide();
    let order = harness.starts.remove(0);
    let number = harness.keys().iter().position(|key| *key == order.worker);
    if let Some(outcome) = outcome {
        harness.cell.start_answered(&order, outcome, harness.now);
    }
    harness.advance(10);
    replace(&mut harness, order.worker, number.unwrap());
    harness.decide();
    assert_eq!(harness.starts.len(), starts);
}

/// A run that its worker has agreed to stop ends with the process.
#[test]
fn a_stopped_run_is_settled() {
    let (mut harness, worker, number) = harness_with_run();
    harness.cell.cancel(task(1, 0, 0).job, harness.now);
    harness.decide();
    let order = harness.stops.remove(0);
    harness.cell.stop_answered(&order, harness.now);
    harness.cell.take_events();
    harness.advance(10);
    replace(&mut harness, worker, number);
    harness.decide();
    assert_eq!(harness.cell.take_events().len(), 1);
}

/// An earlier owner placed the run, maybe on a process at another address, and may still order it.
#[test]
fn an_answer_settles_no_run_of_an_earlier_owner() {
    let mut earlier = Harness::new(2, 4);
    earlier.submit(1, job(vec![step(1, 1, 60_000)]));
    earlier.run_round();
    let (worker, _) = earlier.running()[0];
    let number = earlier.keys().iter().position(|key| *key == worker);
    let number = number.unwrap();

    let mut harness = Harness::of_generation(2);
    for number in 0..2 {
        let entry = registration(number, 4);
        let key = harness.cell.register_worker(entry, true, harness.now);
        harness.workers.insert(key, FakeWorker::default());
    }
    let record = &earlier.records[&task(1, 0, 0).job];
    let spec = job(vec![step(1, 1, 60_000)]);
    let age = kingcupwinch_time::Span::ZERO;
    let id = task(1, 0, 0).job;
    harness
        .cell
        .restore(id, Some(spec), Some(record), age, harness.now);
    let keys = harness.keys();
    harness.poll(keys[1 - number]);
    replace(&mut harness, keys[number], number);
    harness.advance(HANDOVER_OVERLAP.as_millis());
    assert_starts_only_after_expiry(&mut harness, keys[number]);
}

/// The end of a run that was settled by mistake would count all the same.
#[test]
fn the_end_of_a_run_that_was_settled_for_a_replacement_counts() {
    let (mut harness, worker, number) = harness_with_run();
    harness.end_all(EndReason::Done);
    replace(&mut harness, worker, number);
    harness.decide_without_log();
    harness.poll(worker);
    harness.append_records();
    harness.decide();
    assert!(harness.starts.is_empty(), "the completed task starts again");
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}
