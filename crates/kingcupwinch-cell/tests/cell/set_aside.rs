//! Jobs of which the store rejects a record, while it takes those of other jobs.

use kingcupwinch_cell::{EndReason, JobState, PartKey, RecordBatch, WorkerKey};
use kingcupwinch_time::Span;

use crate::harness::{Harness, id, job, registration, step};

/// Takes a batch of which the store takes all but the records of a job.
fn append_without(harness: &mut Harness, number: u64) {
    let mut batch = harness.cell.take_records(harness.now);
    let is_of_job = |job: &kingcupwinch_cell::JobId| *job == id(number);
    let is_rejected = batch.progress.iter().any(|(job, _)| is_of_job(job));
    batch.parts.retain(|(job, ..)| !is_of_job(job));
    batch.progress.retain(|(job, _)| !is_of_job(job));
    let (kept, dropped) = batch
        .dropped_parts
        .iter()
        .partition(|(job, _)| is_rejected && is_of_job(job));
    batch.dropped_parts = dropped;
    harness.records.extend(harness.log.append(&batch));
    if is_rejected {
        let kept: Vec<(_, PartKey)> = kept;
        let kept: Vec<PartKey> = kept.into_iter().map(|(_, part)| part).collect();
        harness.cell.set_aside(id(number), &kept, harness.now);
    }
    finish(harness, &batch);
}

fn finish(harness: &mut Harness, batch: &RecordBatch) {
    harness.cell.records_appended(batch.batch, harness.now);
}

fn acked_through(harness: &mut Harness, worker: WorkerKey) -> u64 {
    harness.poll(worker);
    let poll = harness.cell.next_poll(worker, harness.now);
    poll.unwrap().acked_through
}

/// A harness in which two jobs of one task run on one worker.
fn with_two_runs() -> (Harness, WorkerKey) {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 1_000)]));
    harness.submit(2, job(vec![step(1, 1, 1_000)]));
    harness.run_round();
    harness.poll_all();
    harness.append_records();
    assert_eq!(harness.running().len(), 2);
    let worker = harness.keys()[0];
    (harness, worker)
}

/// Guards against an end that the worker forgets while the log does not hold it, so that a later owner
/// runs the task again.
#[test]
fn the_end_of_a_run_is_not_acknowledged_while_its_record_is_rejected() {
    let (mut harness, worker) = with_two_runs();
    harness.end_all(EndReason::Done);
    harness.poll(worker);
    append_without(&mut harness, 1);
    assert_eq!(acked_through(&mut harness, worker), 0);
    harness.advance(1_100);
    harness.append_records();
    assert_eq!(acked_through(&mut harness, worker), 2);
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

/// Guards against the same while no record of the job is written.
#[test]
fn the_end_of_a_run_is_not_acknowledged_while_its_job_is_set_aside() {
    let (mut harness, worker) = with_two_runs();
    harness.cell.set_aside(id(1), &[], harness.now);
    harness.end_all(EndReason::Done);
    for _ in 0..3 {
        harness.poll(worker);
        harness.append_records();
        assert_eq!(acked_through(&mut harness, worker), 0);
        harness.advance(100);
    }
    harness.advance(1_000);
    harness.append_records();
    assert_eq!(acked_through(&mut harness, worker), 2);
}

/// Guards against a task that runs again after its owner was lost with a record that was rejected.
#[test]
fn a_later_owner_counts_an_end_whose_record_was_rejected() {
    let (mut earlier, worker) = with_two_runs();
    earlier.end_all(EndReason::Done);
    earlier.poll(worker);
    append_without(&mut earlier, 1);
    earlier.poll(worker);

    let mut later = Harness::of_generation(2);
    later.now = earlier.now;
    let key = later
        .cell
        .register_worker(registration(0, 4), true, later.now);
    let fake = earlier.workers.remove(&worker).unwrap();
    later.workers.insert(key, fake);
    let spec = job(vec![step(1, 1, 1_000)]);
    let record = earlier.records.get(&id(1));
    later
        .cell
        .restore(id(1), Some(spec), record, Span::ZERO, later.now);
    later.advance(5_000);
    later.poll_all();
    later.decide();
    assert!(later.starts.is_empty(), "the task runs again");
    assert_eq!(later.job_state(1), Some(JobState::Completed));
}

/// Guards against the loss of what parts hold: a step whose tasks are all done no longer needs them,
/// but the record that says so was rejected.
#[test]
fn parts_stay_until_the_record_that_replaces_them_is_taken() {
    let mut harness = Harness::new(48, 32);
    let mut small = step(6_000, 1, 1_000);
    small.resources.cpu = 100;
    small.resources.memory = 1;
    let mut last = step(1, 1, 1_000);
    last.after = [0].into_iter().collect();
    harness.submit(1, job(vec![small, last]));
    for _ in 0..8 {
        harness.run_round();
        harness.poll_all();
    }
    harness.append_records();
    let parts = harness.log.parts_of(id(1)).len();
    assert!(parts > 0);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    append_without(&mut harness, 1);
    assert_eq!(harness.log.parts_of(id(1)).len(), parts);
    harness.advance(1_100);
    harness.append_records();
    let record = &harness.records[&id(1)];
    assert_eq!(record.done_steps, [(0, 1)]);
    assert!(harness.log.parts_of(id(1)).is_empty());
}

/// A rejection that ends by itself delays the job by a second, and one that lasts is not repeated at
/// a high rate.
#[test]
fn a_record_is_tried_again_at_growing_intervals() {
    let (mut harness, worker) = with_two_runs();
    harness.end_all(EndReason::Done);
    harness.poll(worker);
    let mut attempts = Vec::new();
    let start = harness.now;
    for _ in 0..3_000 {
        let batch = harness.cell.take_records(harness.now);
        if batch.progress.iter().any(|(job, _)| *job == id(1)) {
            attempts.push(harness.now.since(start).as_millis() / 1_000);
            harness.cell.set_aside(id(1), &[], harness.now);
        }
        finish(&mut harness, &batch);
        harness.advance(100);
    }
    assert_eq!(attempts, [0, 1, 3, 7, 15, 31, 63, 127, 191, 255]);
}

/// Guards against a worker whose list of ends fills up for good, so that no end of another job is
/// seen any more.
#[test]
fn a_record_that_is_rejected_for_minutes_keeps_no_other_end_waiting() {
    let (mut harness, worker) = with_two_runs();
    harness.end_all(EndReason::Done);
    harness.poll(worker);
    let mut acked_at = None;
    for second in 0..200 {
        append_without(&mut harness, 1);
        if acked_through(&mut harness, worker) == 2 {
            acked_at = Some(second);
            break;
        }
        harness.advance(1_000);
    }
    assert!(acked_at.is_some_and(|second| (60..=128).contains(&second)));
}
