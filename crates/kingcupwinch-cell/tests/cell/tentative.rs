//! Jobs that are placed while their acceptance is being appended to the log.

use kingcupwinch_cell::{JobState, SubmitOutcome};

use crate::harness::{Harness, id, job, step};

fn harness_with_tentative(cores: u64) -> Harness {
    let mut harness = Harness::new(1, 4);
    let spec = job(vec![step(1, cores, 500)]);
    harness.cell.submit_tentatively(id(1), spec, harness.now);
    harness.decide();
    harness
}

/// On a slow store, the acceptance and the placement are appended at the same time.
#[test]
fn an_order_is_sent_once_the_job_and_its_placement_are_in_the_log() {
    let mut harness = harness_with_tentative(1);
    assert!(harness.starts.is_empty(), "the job may still be refused");
    harness.cell.confirm(id(1));
    let actions = harness.cell.take_actions(harness.now);
    assert_eq!(actions.len(), 1);
}

#[test]
fn an_order_of_a_confirmed_job_waits_for_its_placement() {
    let mut harness = Harness::new(1, 4);
    let spec = job(vec![step(1, 1, 500)]);
    harness.cell.submit_tentatively(id(1), spec, harness.now);
    harness.decide_without_log();
    harness.cell.confirm(id(1));
    assert!(harness.cell.take_actions(harness.now).is_empty());
    harness.append_records();
    assert_eq!(harness.starts.len(), 1);
}

/// A refusal tells the caller that the job has not run, which has to stay true.
#[test]
fn a_dropped_job_leaves_no_trace() {
    let mut harness = harness_with_tentative(4);
    harness.cell.drop_tentative(id(1), harness.now);
    assert_eq!(harness.job_state(1), None);
    let records = harness.cell.take_records(harness.now);
    assert_eq!(
        records.expired,
        [id(1)],
        "its placement is deleted from the log"
    );
    harness.cell.records_appended(records.batch, harness.now);
    assert!(harness.cell.take_actions(harness.now).is_empty());
    harness.submit(2, job(vec![step(1, 4, 500)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 1, "its capacity is free");
}

#[test]
fn a_dropped_id_can_be_submitted_again() {
    let mut harness = harness_with_tentative(1);
    harness.cell.drop_tentative(id(1), harness.now);
    let spec = job(vec![step(1, 1, 500)]);
    assert_eq!(
        harness.cell.submit(id(1), spec, harness.now),
        SubmitOutcome::New
    );
    let records = harness.cell.take_records(harness.now);
    assert!(records.expired.is_empty(), "the new job's records stay");
    harness.cell.records_appended(records.batch, harness.now);
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_confirmed_job_is_not_dropped_when_a_repeat_fails() {
    let mut harness = harness_with_tentative(1);
    harness.cell.confirm(id(1));
    harness.cell.drop_tentative(id(1), harness.now);
    assert!(harness.job_state(1).is_some());
}

/// The response to the append was lost, and the record never arrived.
#[test]
fn an_unconfirmed_job_releases_its_capacity() {
    let mut harness = harness_with_tentative(4);
    harness.advance(6_100);
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.job_state(1), None);
    harness.submit(2, job(vec![step(1, 4, 500)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_cancellation_holds_whether_or_not_the_job_is_confirmed() {
    let mut harness = harness_with_tentative(1);
    harness.cell.cancel(id(1), harness.now);
    harness.decide();
    harness.cell.confirm(id(1));
    harness.decide();
    assert!(harness.starts.is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Cancelled));
}

/// A job is refused while the record of its placement is being appended, and accepted on a repeat.
/// The first order must not be sent for the second placement: it names another worker and waits for
/// an earlier record.
#[test]
fn the_order_of_a_dropped_placement_is_not_sent_for_a_later_one() {
    let mut harness = Harness::new(2, 4);
    let spec = job(vec![step(1, 4, 500)]);
    harness
        .cell
        .submit_tentatively(id(1), spec.clone(), harness.now);
    harness.decide_without_log();
    let records = harness.cell.take_records(harness.now);
    harness.cell.drop_tentative(id(1), harness.now);
    harness.submit(2, job(vec![step(1, 4, 500)]));
    harness.decide_without_log();
    harness.submit(1, spec);
    harness.decide_without_log();

    harness.cell.records_appended(records.batch, harness.now);
    let orders = harness.cell.take_actions(harness.now);
    assert_eq!(orders, [], "the second placement is not in the log");
    harness.append_records();
    assert_eq!(harness.starts.len(), 2);
    assert_ne!(harness.starts[0].worker, harness.starts[1].worker);
}

/// The cancellation of an announced job reaches the log before its acceptance fails.
#[test]
fn a_cancelled_job_can_be_dropped() {
    let mut harness = harness_with_tentative(1);
    harness.decide_without_log();
    harness.cell.cancel(id(1), harness.now);
    let records = harness.cell.take_records(harness.now);
    harness.cell.records_appended(records.batch, harness.now);
    harness.cell.drop_tentative(id(1), harness.now);
    assert_eq!(harness.job_state(1), Some(JobState::Cancelled));
}
