//! Takeovers: what a later owner does with the jobs and runs of an earlier one.

use kingcupwinch_cell::{
    CellEvent, CellTimers, EndReason, JobRecord, JobState, Placement, PollFailure, RunEnd,
    RunningTask, WorkerKey,
};
use kingcupwinch_time::{Span, Time};

use crate::harness::{
    FakeWorker, HANDOVER_OVERLAP, Harness, MAX_LEASE, id, job, registration, run_of, step, task,
    timers,
};

/// Builds the harness of a later owner, with workers that were not polled yet.
fn successor(workers: usize) -> Harness {
    let mut harness = Harness::of_generation(2);
    register_inherited(&mut harness, workers);
    harness
}

fn register_inherited(harness: &mut Harness, workers: usize) {
    for number in 0..workers {
        let key = harness
            .cell
            .register_worker(registration(number, 4), true, harness.now);
        harness.workers.insert(key, FakeWorker::default());
    }
}

/// Has a worker list a run that an earlier owner ordered.
fn list_running(harness: &mut Harness, worker: WorkerKey, run: RunningTask) {
    let fake = harness.workers.get_mut(&worker).unwrap();
    fake.running.push(run);
}

fn restore(harness: &mut Harness, number: u64, record: Option<&JobRecord>) {
    let spec = job(vec![step(1, 1, 500)]);
    harness
        .cell
        .restore(id(number), Some(spec), record, Span::ZERO, harness.now);
}

/// Returns the record of a job whose only task was placed on a worker.
fn placed_on(worker: &str, run: u32) -> JobRecord {
    JobRecord {
        last_run: run,
        started: true,
        placements: vec![Placement {
            step: 0,
            index: 0,
            run,
            worker: worker.into(),
        }],
        ..JobRecord::default()
    }
}

#[test]
fn a_recorded_placement_waits_for_a_poll_of_its_worker() {
    let mut harness = successor(2);
    restore(&mut harness, 1, Some(&placed_on("i-1", 1)));
    restore(&mut harness, 2, None);
    let keys = harness.keys();
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].task, task(2, 0, 0));
    harness.poll(keys[1]);
    harness.decide();
    assert_eq!(
        harness.starts.len(),
        2,
        "the poll showed that the task does not run there"
    );
    assert_eq!(harness.starts[1].task, task(1, 0, 0));
}

/// An owner may be lost after it recorded a placement and before it sent the order. The job then has
/// not begun, and callers who ask how many jobs wait have to see it.
#[rstest::rstest]
#[case::never_ordered(false, 1)]
#[case::running(true, 0)]
fn a_recorded_placement_counts_as_waiting_unless_its_worker_lists_it(
    #[case] is_running: bool,
    #[case] waiting: usize,
) {
    let mut harness = successor(1);
    let record = JobRecord {
        started: false,
        ..placed_on("i-0", 1)
    };
    restore(&mut harness, 1, Some(&record));
    assert_eq!(harness.cell.queued_jobs("queue"), 1);
    let key = harness.keys()[0];
    if is_running {
        list_running(&mut harness, key, run_of(1, 1));
    }
    harness.poll(key);
    assert_eq!(harness.cell.queued_jobs("queue"), waiting);
}

#[test]
fn a_placement_on_an_unreachable_worker_waits_for_lease_expiry() {
    let mut harness = successor(2);
    restore(&mut harness, 1, Some(&placed_on("i-1", 1)));
    let keys = harness.keys();
    harness.cell.poll_failed(keys[1], PollFailure::Unresponsive);
    harness.advance((HANDOVER_OVERLAP.as_millis()) + MAX_LEASE.as_millis());
    harness.poll(keys[0]);
    harness.decide();
    assert!(harness.starts.is_empty());
    harness.advance(MAX_LEASE.as_millis() / 20 + 10);
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// A worker that never responded to this owner has no age of a response. The log gave the owner's
/// uptime for it.
#[test]
fn runs_on_a_worker_that_never_responded_are_settled_without_a_response_age() {
    let mut harness = successor(1);
    restore(&mut harness, 1, Some(&placed_on("i-0", 1)));
    let worker = harness.keys()[0];
    harness.cell.poll_failed(worker, PollFailure::Unresponsive);
    harness.advance(HANDOVER_OVERLAP.as_millis() + MAX_LEASE.as_millis() * 21 / 20 + 10);
    harness.decide();
    let events = harness.cell.take_events();
    let age = events.iter().find_map(|event| match event {
        CellEvent::RunsSettled { response_age, .. } => Some(*response_age),
        _ => None,
    });
    assert_eq!(age, Some(None));
}

/// Guards against a task that stands still for the longest lease that the platform allows after its
/// worker and its owner are lost, although owners grant shorter ones.
#[test]
fn a_placement_on_an_unreachable_worker_waits_for_the_leases_that_earlier_owners_granted() {
    let granted = MAX_LEASE.divided_by(2);
    let mut harness = Harness::with_timers(
        2,
        CellTimers {
            inherited_lease: granted,
            ..timers()
        },
    );
    register_inherited(&mut harness, 2);
    restore(&mut harness, 1, Some(&placed_on("i-1", 1)));
    let keys = harness.keys();
    harness.cell.poll_failed(keys[1], PollFailure::Unresponsive);
    harness.advance(HANDOVER_OVERLAP.as_millis() + granted.as_millis());
    harness.poll(keys[0]);
    harness.decide();
    assert!(harness.starts.is_empty(), "the worker's clock may run slow");
    harness.advance(granted.as_millis() / 20 + 10);
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against tasks that stand still for the overlap of the owners as well as for the longest lease,
/// after their worker and its owner are lost.
#[test]
fn a_placement_on_an_unreachable_worker_waits_no_longer_than_its_owners_were_confirmed() {
    let mut harness = Harness::with_timers(0, timers());
    let expiry = MAX_LEASE + Span::from_millis(500);
    let until = harness.now + expiry;
    harness.cell = harness.cell.with_inherited_until(Some(until));
    register_inherited(&mut harness, 2);
    restore(&mut harness, 1, Some(&placed_on("i-1", 1)));
    let keys = harness.keys();
    harness.cell.poll_failed(keys[1], PollFailure::Unresponsive);
    harness.advance(expiry.as_millis() - 10);
    harness.poll(keys[0]);
    harness.decide();
    assert!(harness.starts.is_empty(), "a lease may be held");
    harness.advance(20);
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a task that starts on two workers: a lease that an owner grants without being confirmed
/// would last beyond what its successor waits for.
#[test]
fn no_lease_lasts_beyond_the_bound_of_its_owner() {
    let mut harness = Harness::new(1, 4);
    let key = harness.keys()[0];
    harness.poll(key);
    let bound = harness.now + MAX_LEASE;
    harness.cell.bound_leases(bound);
    let clock_ms = |time: Time| time.as_micros() / 1_000;
    let mut last = 0;
    for _ in 0..MAX_LEASE.as_millis() / 1_000 {
        harness.advance(999);
        let granted = harness.cell.next_poll(key, harness.now).unwrap();
        last = granted.lease_until.unwrap();
        assert!(last <= clock_ms(bound), "{last}");
        harness.poll(key);
    }
    assert!(last + 10 > clock_ms(bound), "the bound is used: {last}");
    harness.advance(MAX_LEASE.as_millis());
    let granted = harness.cell.next_poll(key, harness.now).unwrap();
    assert_eq!(granted.lease_until, None);
}

/// Guards against a run that starts twice: a worker that has responded restarts under its id, and its
/// new process, which knows of no later owner, takes an order that an earlier one sends before it has
/// stopped.
#[test]
fn a_response_does_not_shorten_the_wait_for_earlier_owners() {
    let mut harness = successor(2);
    restore(&mut harness, 1, None);
    let keys = harness.keys();
    list_running(&mut harness, keys[1], run_of(1, 1));
    harness.poll_all();
    harness.cell.poll_failed(keys[1], PollFailure::Unresponsive);
    harness.advance(HANDOVER_OVERLAP.as_millis() + MAX_LEASE.as_millis());
    harness.poll(keys[0]);
    harness.decide();
    assert!(
        harness.starts.is_empty(),
        "an earlier owner may have ordered the run"
    );
    harness.advance(MAX_LEASE.as_millis() / 20 + 10);
    harness.poll(keys[0]);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_run_that_a_worker_lists_is_adopted() {
    let mut harness = successor(1);
    restore(&mut harness, 1, None);
    let key = harness.keys()[0];
    list_running(&mut harness, key, run_of(1, 1));
    harness.poll(key);
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.end_all(EndReason::Done);
    harness.poll(key);
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

/// The earlier owner was lost before it recorded that the run had begun.
#[test]
fn the_end_of_an_earlier_owners_run_shows_that_the_job_has_begun() {
    let mut harness = successor(1);
    restore(&mut harness, 1, None);
    let key = harness.keys()[0];
    let ended = RunEnd {
        sequence: 1,
        task: task(1, 0, 0),
        run: 1,
        reason: EndReason::LeaseExpired,
        checkpoint: None,
    };
    harness.workers.get_mut(&key).unwrap().ended.push(ended);
    harness.poll(key);
    assert_eq!(harness.job_state(1), Some(JobState::Running));
    assert_eq!(harness.cell.queued_jobs("queue"), 0);
}

/// The log may hold an older placement than the one that a worker lists.
#[test]
fn the_later_of_a_recorded_and_a_listed_run_stays_active() {
    let mut harness = successor(2);
    let record = placed_on("i-0", 1);
    restore(&mut harness, 1, Some(&record));
    let keys = harness.keys();
    list_running(&mut harness, keys[1], run_of(1, 2));
    for _ in 0..6 {
        harness.advance(100);
        harness.poll_all();
        harness.decide();
        for order in std::mem::take(&mut harness.stops) {
            assert_eq!(order.run, 1, "the later run stays active");
            harness.stop(&order);
        }
        assert!(harness.starts.is_empty());
    }
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut harness = Harness::new(1, 4);
    let key = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    harness.end_all(EndReason::Failed);
    harness.poll(key);
    harness.append_records();
    let record = harness.records[&id(1)].clone();
    let listed = std::mem::take(&mut harness.workers.get_mut(&key).unwrap().ended);

    let mut later = successor(1);
    restore(&mut later, 1, Some(&record));
    let key = later.keys()[0];
    later.workers.get_mut(&key).unwrap().ended = listed;
    later.poll(key);
    later.append_records();
    assert_ne!(later.job_state(1), Some(JobState::Failed));
    later.decide();
    assert_eq!(later.starts.len(), 1);
}

#[test]
fn a_run_of_an_unknown_job_is_stopped() {
    let mut harness = successor(1);
    let key = harness.keys()[0];
    list_running(&mut harness, key, run_of(9, 1));
    harness.poll(key);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(harness.stops[0].task, task(9, 0, 0));
}

#[test]
fn run_numbers_increase_from_owner_to_owner() {
    let mut harness = successor(1);
    restore(&mut harness, 1, None);
    harness.poll_all();
    harness.decide();
    assert!(harness.starts[0].run > 1_000);
}

#[test]
fn a_record_survives_encoding_and_decoding() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(3, 4, 500)]));
    harness.run_round();
    let (worker, done) = harness.running()[0];
    harness.end(worker, done, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    harness.append_records();
    let record = &harness.records[&id(1)];
    let read = JobRecord::decode(&record.encode().unwrap()).unwrap();
    assert_eq!(*record, read);
    assert_eq!(read.placements.len(), 2);
    assert_eq!(read.done_tasks.len(), 1);
}

#[test]
fn a_recorded_end_survives_a_takeover() {
    let mut harness = successor(1);
    let record = JobRecord {
        end: Some(JobState::Completed),
        ..JobRecord::default()
    };
    restore(&mut harness, 1, Some(&record));
    harness.poll_all();
    harness.decide();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

/// The runs of an ended job take capacity of a size that the new owner can't know, since the size
/// was removed with the job.
#[test]
fn a_worker_with_unknown_runs_gets_no_new_work() {
    let mut harness = successor(1);
    let key = harness.keys()[0];
    restore(&mut harness, 1, None);
    list_running(&mut harness, key, run_of(9, 1));
    harness.poll(key);
    harness.decide();
    assert!(harness.starts.is_empty());
    let stop = harness.stops.remove(0);
    harness.stop(&stop);
    harness.poll(key);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// During a store outage the directory entries of workers expire. A worker that is known only from
/// the earlier owner's list and is listed again after the outage was not restarted.
#[test]
fn a_relisted_worker_keeps_its_placements() {
    let mut harness = Harness::of_generation(2);
    let mut from_list = registration(0, 4);
    from_list.started_ms = None;
    from_list.draining = true;
    let unlisted = harness.cell.register_worker(from_list, true, harness.now);
    harness.cell.mark_unlisted("i-0", harness.now);
    let other = harness
        .cell
        .register_worker(registration(1, 4), true, harness.now);
    for key in [unlisted, other] {
        harness.workers.insert(key, FakeWorker::default());
    }
    restore(&mut harness, 1, Some(&placed_on("i-0", 1)));
    harness.poll(other);
    harness
        .cell
        .register_worker(registration(0, 4), false, harness.now);
    harness.decide();
    assert!(harness.starts.is_empty(), "the task may still run there");
    let ended = RunEnd {
        sequence: 1,
        task: task(1, 0, 0),
        run: 1,
        reason: EndReason::Done,
        checkpoint: None,
    };
    harness
        .workers
        .get_mut(&unlisted)
        .unwrap()
        .ended
        .push(ended);
    harness.poll(unlisted);
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
    assert!(harness.starts.is_empty());
}

/// The worker left the directory, and the list of workers in use can't be read.
#[test]
fn a_placement_on_an_unknown_worker_waits_for_lease_expiry() {
    let mut harness = successor(1);
    restore(&mut harness, 1, Some(&placed_on("i-unknown", 1)));
    harness.poll_all();
    harness.decide();
    assert!(harness.starts.is_empty(), "the task may run there");
    harness.advance(HANDOVER_OVERLAP.as_millis() + MAX_LEASE.as_millis() * 21 / 20 + 10);
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// Restores the placement of a job whose acceptance is read later: the earlier owner placed it while
/// it was being appended, and sent the order when it was in the log.
fn successor_of_unaccepted() -> Harness {
    let mut harness = successor(2);
    let record = placed_on("i-0", 1);
    harness
        .cell
        .restore(id(1), None, Some(&record), Span::ZERO, harness.now);
    harness
}

#[test]
fn a_placement_counts_if_the_acceptance_is_read_later() {
    let mut harness = successor_of_unaccepted();
    let keys = harness.keys();
    list_running(&mut harness, keys[0], run_of(1, 1));
    harness.poll(keys[1]);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 1, "two runs of one task");
    harness.poll(keys[0]);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

#[test]
fn an_end_is_not_acknowledged_before_the_acceptance_is_read() {
    let mut harness = successor_of_unaccepted();
    let key = harness.keys()[0];
    list_running(&mut harness, key, run_of(1, 1));
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.append_records();
    let poll = harness.cell.next_poll(key, harness.now).unwrap();
    assert_eq!(poll.acked_through, 0);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.poll_all();
    harness.append_records();
    harness.decide();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

/// An acceptance that never arrives must not keep a worker's other ends from being acknowledged.
#[test]
fn ends_are_acknowledged_if_the_acceptance_never_arrives() {
    let mut harness = successor_of_unaccepted();
    let key = harness.keys()[0];
    list_running(&mut harness, key, run_of(1, 1));
    harness.end_all(EndReason::Done);
    for _ in 0..12 {
        harness.advance(1_000);
        harness.poll_all();
        harness.append_records();
    }
    let poll = harness.cell.next_poll(key, harness.now).unwrap();
    assert_eq!(poll.acked_through, 1);
}

/// A job that is announced again is dropped again, and accepted by its first append after all.
#[test]
fn a_dropped_job_of_an_earlier_owner_keeps_its_placement() {
    let mut harness = successor_of_unaccepted();
    let keys = harness.keys();
    list_running(&mut harness, keys[0], run_of(1, 1));
    harness.poll(keys[1]);
    let spec = job(vec![step(1, 1, 500)]);
    harness
        .cell
        .submit_tentatively(id(1), spec.clone(), harness.now);
    harness.cell.drop_tentative(id(1), harness.now);
    harness.submit(1, spec);
    harness.run_round();
    assert_eq!(harness.running().len(), 1, "two runs of one task");
}

/// The job is announced and dropped when no acceptance of before the takeover can be read any more.
/// Its end was acknowledged uncounted, and the task ran again once the acceptance was read.
#[test]
fn an_end_waits_for_the_acceptance_of_a_job_that_was_dropped_late() {
    let mut harness = successor_of_unaccepted();
    let key = harness.keys()[0];
    list_running(&mut harness, key, run_of(1, 1));
    harness.advance(9_000);
    let spec = job(vec![step(1, 1, 500)]);
    harness
        .cell
        .submit_tentatively(id(1), spec.clone(), harness.now);
    harness.poll_all();
    harness.advance(4_000);
    harness.cell.drop_tentative(id(1), harness.now);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.append_records();
    harness.submit(1, spec);
    harness.poll_all();
    harness.append_records();
    harness.decide();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}
