//! The life cycle of a job: placed, run, failed, cancelled.

use kingcupwinch_cell::{EndReason, JobState, PollFailure, StartOutcome, SubmitOutcome};

use crate::harness::{Harness, MAX_LEASE, id, job, step, task};

#[test]
fn a_job_is_reported_as_completed_once_its_end_is_in_the_log() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(2, 1, 500)]));
    assert_eq!(harness.job_state(1), Some(JobState::Queued));
    harness.run_round();
    assert_eq!(harness.job_state(1), Some(JobState::Running));
    harness.end_all(EndReason::Done);
    harness.poll_all();
    assert_eq!(harness.job_state(1), Some(JobState::Running));
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

#[test]
fn ends_are_acknowledged_only_once_they_are_in_the_log() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    harness.end_all(EndReason::Done);
    harness.poll(worker);
    assert_eq!(
        harness
            .cell
            .next_poll(worker, harness.now)
            .unwrap()
            .acked_through,
        0
    );
    harness.append_records();
    assert_eq!(
        harness
            .cell
            .next_poll(worker, harness.now)
            .unwrap()
            .acked_through,
        1
    );
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut harness = Harness::new(2, 8);
    let mut last = step(1, 1, 500);
    last.after.push(0);
    harness.submit(1, job(vec![step(2, 1, 500), last]));
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    let (worker, first) = harness.running()[0];
    harness.end(worker, first, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(
        harness.running().len(),
        1,
        "one task of the first step still runs"
    );
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running()[0].1, task(1, 1, 0));
}

#[test]
fn a_task_that_failed_as_often_as_allowed_ends_its_job() {
    let mut harness = Harness::new(3, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    for _ in 0..2 {
        harness.run_round();
        harness.end_all(EndReason::Failed);
        harness.poll_all();
    }
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Failed));
}

#[test]
fn a_lost_start_answer_has_no_effect_if_the_run_exists() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide();
    let order = harness.starts.remove(0);
    harness.start_with_lost_response(&order);
    harness
        .cell
        .start_answered(&order, StartOutcome::Lost, harness.now);
    harness.advance(10);
    harness.poll_all();
    harness.decide();
    assert!(harness.starts.is_empty() && harness.stops.is_empty());
}

#[test]
fn a_start_order_that_may_arrive_late_is_stopped_before_a_restart() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide();
    let order = harness.starts.remove(0);
    harness
        .cell
        .start_answered(&order, StartOutcome::Lost, harness.now);
    harness.advance(10);
    harness.poll_all();
    harness.decide();
    assert!(
        harness.starts.is_empty(),
        "the order may still be carried out"
    );
    let stop = harness.stops.remove(0);
    assert_eq!((stop.task, stop.run), (order.task, order.run));
    harness.stop(&stop);
    harness.decide();
    assert!(
        harness.starts.is_empty(),
        "no poll was sent after the stop yet"
    );
    harness.advance(10);
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert!(harness.starts[0].run > order.run);
}

#[test]
fn a_cancellation_stops_active_runs_and_starts_none() {
    let mut harness = Harness::new(1, 2);
    harness.submit(1, job(vec![step(4, 1, 500)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    harness.cell.cancel(id(1), harness.now);
    assert_eq!(harness.job_state(1), Some(JobState::Cancelled));
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.poll_all();
    harness.run_round();
    assert!(harness.running().is_empty());
}

#[test]
fn a_cancellation_before_its_job_holds() {
    let mut harness = Harness::new(1, 4);
    harness.cell.cancel(id(1), harness.now);
    assert_eq!(harness.job_state(1), None, "the job was not submitted");
    let result = harness
        .cell
        .submit(id(1), job(vec![step(1, 1, 500)]), harness.now);
    assert_eq!(result, SubmitOutcome::Cancelled);
    harness.run_round();
    assert!(harness.running().is_empty());
}

#[test]
fn a_resubmitted_job_is_not_duplicated() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    let again = || job(vec![step(1, 1, 500)]);
    assert_eq!(
        harness.cell.submit(id(1), again(), harness.now),
        SubmitOutcome::Known
    );
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.append_records();
    assert_eq!(
        harness.cell.submit(id(1), again(), harness.now),
        SubmitOutcome::Known
    );
    harness.run_round();
    assert!(harness.running().is_empty());
}

#[test]
fn a_stalled_run_is_retried_on_another_worker() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    let (first, _) = harness.running()[0];
    for _ in 0..4 {
        harness.advance(700);
        harness.poll_all();
        harness.run_round();
    }
    harness.poll_all();
    harness.run_round();
    let (second, _) = harness.running()[0];
    assert_ne!(first, second);
}

#[test]
fn a_start_order_is_sent_once_its_placement_is_in_the_log() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide_without_log();
    assert!(harness.starts.is_empty());
    harness.append_records();
    assert_eq!(harness.starts.len(), 1);
    let record = &harness.records[&id(1)];
    assert_eq!(record.placements[0].run, harness.starts[0].run);
}

/// While the store is unreachable, placed tasks hold their capacity but no start order is sent.
#[test]
fn a_start_order_of_a_cancelled_job_is_not_sent() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 4, 500)]));
    harness.decide_without_log();
    harness.cell.cancel(id(1), harness.now);
    harness.submit(2, job(vec![step(1, 4, 500)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].task, task(2, 0, 0));
    assert!(harness.stops.is_empty(), "there is nothing to stop");
}

#[test]
fn a_start_order_to_an_unreachable_worker_is_not_sent() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide_without_log();
    for key in harness.keys() {
        harness.cell.poll_failed(key, PollFailure::Unresponsive);
    }
    harness.append_records();
    assert!(harness.starts.is_empty());
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

/// The writer takes a batch while nothing has changed. A run ends, or a job is placed, before the
/// writer reports that batch: their records are not in the log yet.
#[test]
fn an_empty_batch_confirms_nothing_that_came_after_it() {
    let mut harness = Harness::new(1, 4);
    let worker = harness.keys()[0];
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.run_round();
    harness.append_records();
    let empty = harness.cell.take_records(harness.now);
    assert!(empty.is_empty());

    harness.end_all(EndReason::Done);
    harness.poll(worker);
    harness.submit(2, job(vec![step(1, 1, 500)]));
    harness.decide_without_log();
    let ended = harness.cell.records_appended(empty.batch, harness.now);

    assert_eq!(ended, []);
    assert_eq!(harness.job_state(1), Some(JobState::Running));
    assert_eq!(harness.cell.take_actions(harness.now), []);
    let poll = harness.cell.next_poll(worker, harness.now).unwrap();
    assert_eq!(poll.acked_through, 0, "the end is not in the log yet");
    harness.append_records();
    let poll = harness.cell.next_poll(worker, harness.now).unwrap();
    assert_eq!(poll.acked_through, 1);
    assert_eq!(harness.starts.len(), 1);
}

/// After an outage of the log the first append is confirmed while the owner may give no orders yet.
/// The start waits until it may, and its lease begins then.
#[test]
fn a_recorded_start_waits_while_no_orders_may_be_given() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500)]));
    harness.decide_without_log();
    let records = harness.cell.take_records(harness.now);
    harness.advance(4_500);
    harness.cell.records_appended(records.batch, harness.now);
    assert_eq!(harness.job_state(1), Some(JobState::Queued));

    harness.advance(500);
    let now_ms = harness.now.as_micros() / 1_000;
    harness.decide_without_log();
    assert_eq!(harness.starts.len(), 1);
    let lease_ms = harness.starts[0].lease_until - now_ms;
    assert!(lease_ms + 2 >= MAX_LEASE.as_millis(), "{lease_ms} ms");
}
