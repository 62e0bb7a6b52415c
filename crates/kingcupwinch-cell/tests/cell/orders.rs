//! The life of a job: placed, run, failed, cancelled.

use kingcupwinch_cell::{EndReason, JobState, PollFailure, StartOutcome, SubmitOutcome};

use crate::site::{Site, id, job, step, task};

#[test]
fn a_job_is_shown_as_completed_once_its_end_is_in_the_log() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(2, 1, 500)]));
    assert_eq!(site.shown(1), Some(JobState::Queued));
    site.run_orders();
    assert_eq!(site.shown(1), Some(JobState::Running));
    site.end_all(EndReason::Done);
    site.look_all();
    assert_eq!(site.shown(1), Some(JobState::Running));
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

#[test]
fn ends_are_acknowledged_only_once_they_are_in_the_log() {
    let mut site = Site::new(1, 4);
    let worker = site.keys()[0];
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    site.end_all(EndReason::Done);
    site.look(worker);
    assert_eq!(
        site.cell.next_poll(worker, site.now).unwrap().acked_through,
        0
    );
    site.keep_records();
    assert_eq!(
        site.cell.next_poll(worker, site.now).unwrap().acked_through,
        1
    );
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut site = Site::new(2, 8);
    let mut last = step(1, 1, 500);
    last.after.push(0);
    site.submit(1, job(vec![step(2, 1, 500), last]));
    site.run_orders();
    assert_eq!(site.running().len(), 2);
    let (worker, first) = site.running()[0];
    site.end(worker, first, EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(
        site.running().len(),
        1,
        "one task of the first step still runs"
    );
    site.end_all(EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running()[0].1, task(1, 1, 0));
}

#[test]
fn a_task_that_failed_as_often_as_allowed_ends_its_job() {
    let mut site = Site::new(3, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    for _ in 0..2 {
        site.run_orders();
        site.end_all(EndReason::Failed);
        site.look_all();
    }
    site.run_orders();
    assert!(site.running().is_empty());
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Failed));
}

#[test]
fn a_lost_answer_costs_nothing_if_the_run_is_there() {
    let mut site = Site::new(1, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide();
    let order = site.starts.remove(0);
    site.start_unheard(&order);
    site.cell
        .start_answered(&order, StartOutcome::Lost, site.now);
    site.pass(10);
    site.look_all();
    site.decide();
    assert!(site.starts.is_empty() && site.stops.is_empty());
}

#[test]
fn an_order_that_may_come_late_is_stopped_before_the_task_starts_elsewhere() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide();
    let order = site.starts.remove(0);
    site.cell
        .start_answered(&order, StartOutcome::Lost, site.now);
    site.pass(10);
    site.look_all();
    site.decide();
    assert!(site.starts.is_empty(), "the order may still be carried out");
    let stop = site.stops.remove(0);
    assert_eq!((stop.task, stop.run), (order.task, order.run));
    site.stop(&stop);
    site.decide();
    assert!(site.starts.is_empty(), "no look after the stop yet");
    site.pass(10);
    site.look_all();
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert!(site.starts[0].run > order.run);
}

#[test]
fn a_cancellation_stops_what_runs_and_starts_nothing() {
    let mut site = Site::new(1, 2);
    site.submit(1, job(vec![step(4, 1, 500)]));
    site.run_orders();
    assert_eq!(site.running().len(), 2);
    site.cell.cancel(id(1), site.now);
    assert_eq!(site.shown(1), Some(JobState::Cancelled));
    site.run_orders();
    assert!(site.running().is_empty());
    site.look_all();
    site.run_orders();
    assert!(site.running().is_empty());
}

#[test]
fn a_cancellation_that_overtakes_its_job_holds() {
    let mut site = Site::new(1, 4);
    site.cell.cancel(id(1), site.now);
    assert_eq!(site.shown(1), None, "nobody handed it in");
    let result = site
        .cell
        .submit(id(1), job(vec![step(1, 1, 500)]), site.now);
    assert_eq!(result, SubmitOutcome::Cancelled);
    site.run_orders();
    assert!(site.running().is_empty());
}

#[test]
fn a_job_that_is_handed_in_again_stays_one_job() {
    let mut site = Site::new(1, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    let again = || job(vec![step(1, 1, 500)]);
    assert_eq!(
        site.cell.submit(id(1), again(), site.now),
        SubmitOutcome::Known
    );
    site.end_all(EndReason::Done);
    site.look_all();
    site.keep_records();
    assert_eq!(
        site.cell.submit(id(1), again(), site.now),
        SubmitOutcome::Known
    );
    site.run_orders();
    assert!(site.running().is_empty());
}

#[test]
fn a_run_that_stands_still_is_tried_elsewhere() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    let (first, _) = site.running()[0];
    for _ in 0..4 {
        site.pass(700);
        site.look_all();
        site.run_orders();
    }
    site.look_all();
    site.run_orders();
    let (second, _) = site.running()[0];
    assert_ne!(first, second);
}

#[test]
fn an_order_goes_out_once_its_placement_is_in_the_log() {
    let mut site = Site::new(1, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide_unrecorded();
    assert!(site.starts.is_empty());
    site.keep_records();
    assert_eq!(site.starts.len(), 1);
    let record = &site.records[&id(1)];
    assert_eq!(record.placements[0].run, site.starts[0].run);
}

/// Pattern: the store is away. What is placed meanwhile holds its room and is not sent.
#[test]
fn an_order_of_a_job_that_was_cancelled_meanwhile_is_not_sent() {
    let mut site = Site::new(1, 4);
    site.submit(1, job(vec![step(1, 4, 500)]));
    site.decide_unrecorded();
    site.cell.cancel(id(1), site.now);
    site.submit(2, job(vec![step(1, 4, 500)]));
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].task, task(2, 0, 0));
    assert!(site.stops.is_empty(), "there is nothing to stop");
}

#[test]
fn an_order_to_a_worker_that_fell_silent_meanwhile_is_not_sent() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide_unrecorded();
    for key in site.keys() {
        site.cell.poll_failed(key, PollFailure::Silent);
    }
    site.keep_records();
    assert!(site.starts.is_empty());
    site.look_all();
    site.decide();
    assert_eq!(site.starts.len(), 1);
}
