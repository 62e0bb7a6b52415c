//! Workers that become unreachable, return or restart.

use kingcupwinch_cell::{EndReason, PollFailure, WorkerStatus};
use kingcupwinch_time::Span;

use crate::harness::{EXIT_WINDOW, Harness, MAX_LEASE, job, registration, step};

#[test]
fn runs_on_a_silent_worker_restart_elsewhere_only_after_lease_expiry() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    let (silent, _) = harness.running()[0];
    let other = harness
        .keys()
        .into_iter()
        .find(|key| *key != silent)
        .unwrap();
    harness.cell.poll_failed(silent, PollFailure::Unresponsive);
    harness.advance(MAX_LEASE.as_millis());
    harness.poll(other);
    harness.decide();
    assert!(harness.starts.is_empty(), "the worker's clock may run slow");
    harness.advance(MAX_LEASE.as_millis() / 50 + 200);
    harness.poll(other);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].worker, other);
}

#[test]
fn leases_of_a_silent_worker_stop_being_renewed() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    assert!(
        harness
            .cell
            .next_poll(worker, harness.now)
            .unwrap()
            .lease_until
            .is_some()
    );
    harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    assert!(
        harness
            .cell
            .next_poll(worker, harness.now)
            .unwrap()
            .lease_until
            .is_none()
    );
}

/// A lease that was granted after a poll had failed put off the restart of the runs by as long as the
/// poll had waited.
#[test]
fn a_worker_that_did_not_respond_gets_no_later_lease() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    let (silent, _) = harness.running()[0];
    harness.cell.next_poll(silent, harness.now);
    harness.advance(1_800);
    harness.cell.poll_failed(silent, PollFailure::Unresponsive);
    let poll = harness.cell.next_poll(silent, harness.now).unwrap();
    assert_eq!(poll.lease_until, None);
    harness.advance(MAX_LEASE.as_millis() + MAX_LEASE.as_millis() / 50 + 200 - 1_800);
    harness.poll_all_except(silent);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_restarted_worker_loses_its_earlier_runs() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 4, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    let status = WorkerStatus {
        clock_ms: 5,
        started_ms: Some(2),
        ..WorkerStatus::default()
    };
    let sent = harness.now;
    harness.advance(1);
    harness
        .cell
        .poll_answered(worker, sent, status, harness.now);
    register_started(&mut harness, 0, 4, 2);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].run, 2);
}

/// A worker may come back with another capacity and other labels.
#[test]
fn a_restarted_worker_gets_no_work_until_its_new_entry_is_read() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.poll_started(worker, 2);
    harness.submit(1, job(vec![step(1, 4, 500)]));
    harness.decide();
    assert!(harness.starts.is_empty());
    register_started(&mut harness, 0, 2, 2);
    harness.decide();
    assert!(harness.starts.is_empty(), "it has 2 cores now");
    harness.submit(2, job(vec![step(1, 2, 500)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// Delivers a worker's directory entry with a start time.
fn register_started(harness: &mut Harness, number: usize, cores: u64, started_ms: u64) {
    let mut entry = registration(number, cores);
    entry.started_ms = Some(started_ms);
    harness.cell.register_worker(entry, false, harness.now);
}

#[test]
fn a_draining_worker_gets_no_new_work() {
    let mut harness = Harness::new(1, 4);
    let mut draining = registration(0, 4);
    draining.draining = true;
    harness.cell.register_worker(draining, false, harness.now);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide();
    assert!(harness.starts.is_empty());
}

/// After an outage, the directory lacks live workers for two seconds.
#[test]
fn an_unlisted_worker_that_answers_is_used_for_a_grace_period() {
    let mut harness = Harness::new(1, 4);
    harness.cell.mark_unlisted("i-0", harness.now);
    harness.advance(1_000);
    harness.poll_all();
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    harness.advance(2_000);
    harness.poll_all();
    harness.submit(2, job(vec![step(1, 1, 500)]));
    harness.starts.clear();
    harness.decide();
    assert!(harness.starts.is_empty());
}

/// A worker that fails every run always has capacity and would take the tasks away from healthy
/// workers.
#[test]
fn a_worker_that_fails_every_run_is_quarantined() {
    let mut harness = Harness::new(2, 4);
    let bad = harness.keys()[0];
    for number in 0..12 {
        harness.submit(number, job(vec![step(1, 1, 500)]));
    }
    let mut failures = 0;
    for _ in 0..12 {
        harness.run_round();
        for (key, task) in harness.running() {
            let reason = if key == bad {
                failures += 1;
                EndReason::Failed
            } else {
                EndReason::Done
            };
            harness.end(key, task, reason);
        }
        harness.poll_all();
        harness.advance(50);
    }
    assert!(failures <= 4, "{failures} runs failed on the bad worker");
    harness.advance(Span::from_secs(3).as_millis());
    harness.poll_all();
    harness.submit(20, job(vec![step(8, 1, 500)]));
    harness.run_round();
    assert!(
        harness.running().iter().any(|(key, _)| *key == bad),
        "the worker is not used again"
    );
}

/// Starts a task, and fails a poll of its worker.
fn harness_with_failed_poll(failure: PollFailure) -> (Harness, kingcupwinch_cell::WorkerKey) {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    harness.poll_all();
    let (worker, _) = harness.running()[0];
    let id = id_of(&harness, worker);
    harness.cell.note_heartbeat(&id, harness.now);
    harness.cell.poll_failed(worker, failure);
    (harness, worker)
}

fn id_of(harness: &Harness, worker: kingcupwinch_cell::WorkerKey) -> std::sync::Arc<str> {
    let rows = harness.cell.workers();
    let row = rows.into_iter().find(|(key, _, _)| *key == worker);
    row.unwrap().1
}

/// Workers are taken away at short notice. Their tasks must not wait for the leases to expire.
#[test]
fn a_worker_that_closed_and_unregistered_at_once_has_no_runs() {
    let (mut harness, worker) = harness_with_failed_poll(PollFailure::Closed);
    let id = id_of(&harness, worker);
    harness.advance(300);
    harness.cell.mark_unlisted(&id, harness.now);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_ne!(harness.starts[0].worker, worker);
}

/// The entry may have expired while the process still runs behind a network partition.
#[test]
fn a_worker_unlisted_long_after_its_last_heartbeat_may_have_runs() {
    let (mut harness, worker) = harness_with_failed_poll(PollFailure::Closed);
    let id = id_of(&harness, worker);
    harness.advance(EXIT_WINDOW.as_millis() + 1);
    harness.cell.mark_unlisted(&id, harness.now);
    harness.decide();
    assert!(harness.starts.is_empty());
}

/// A failure domain is cut off, and the network refuses connections on behalf of workers that are
/// still running.
#[test]
fn a_closed_connection_alone_settles_no_run() {
    let (mut harness, _) = harness_with_failed_poll(PollFailure::Closed);
    harness.advance(3_000);
    harness.decide();
    assert!(harness.starts.is_empty());
}

#[test]
fn an_answer_clears_earlier_poll_failures() {
    let (mut harness, worker) = harness_with_failed_poll(PollFailure::Closed);
    harness.poll(worker);
    harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    let id = id_of(&harness, worker);
    harness.cell.mark_unlisted(&id, harness.now);
    harness.decide();
    assert!(harness.starts.is_empty());
}

/// While the owner is suspended no worker is polled, so that none of their restarts is seen.
#[test]
fn no_worker_gets_work_after_a_pause_before_it_responds() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.cell.note_pause();
    harness.decide();
    assert!(harness.starts.is_empty());
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}
