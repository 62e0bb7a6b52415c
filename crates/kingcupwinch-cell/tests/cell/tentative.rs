//! Jobs that are placed while their acceptance is on its way into the log.

use kingcupwinch_cell::{JobState, SubmitOutcome};

use crate::site::{Site, id, job, step};

fn site_with_one(cores: u64) -> Site {
    let mut site = Site::new(1, 4);
    let spec = job(vec![step(1, cores, 500)]);
    site.cell.submit_tentatively(id(1), spec, site.now);
    site.decide();
    site
}

/// Pattern: a slow store; acceptance and placement are on their way at the same time.
#[test]
fn an_order_goes_out_as_soon_as_the_job_and_its_placement_are_in_the_log() {
    let mut site = site_with_one(1);
    assert!(site.starts.is_empty(), "the job may be refused yet");
    site.cell.confirm(id(1), site.now);
    let actions = site.cell.take_actions();
    assert_eq!(actions.len(), 1);
}

#[test]
fn an_order_waits_for_its_placement_though_the_job_is_in_the_log() {
    let mut site = Site::new(1, 4);
    let spec = job(vec![step(1, 1, 500)]);
    site.cell.submit_tentatively(id(1), spec, site.now);
    site.decide_unrecorded();
    site.cell.confirm(id(1), site.now);
    assert!(site.cell.take_actions().is_empty());
    site.keep_records();
    assert_eq!(site.starts.len(), 1);
}

/// A refusal that says that a job has not run has to stay true.
#[test]
fn a_job_that_is_not_in_the_log_leaves_nothing_behind() {
    let mut site = site_with_one(4);
    site.cell.drop_tentative(id(1), site.now);
    assert_eq!(site.shown(1), None);
    let records = site.cell.take_records(site.now);
    assert_eq!(
        records.expired,
        [id(1)],
        "its placement is dropped from the log"
    );
    site.cell.records_appended(records.batch, site.now);
    assert!(site.cell.take_actions().is_empty());
    site.submit(2, job(vec![step(1, 4, 500)]));
    site.decide();
    assert_eq!(site.starts.len(), 1, "its room is free");
}

#[test]
fn the_same_id_may_come_again_after_a_refusal() {
    let mut site = site_with_one(1);
    site.cell.drop_tentative(id(1), site.now);
    let spec = job(vec![step(1, 1, 500)]);
    assert_eq!(site.cell.submit(id(1), spec, site.now), SubmitOutcome::New);
    let records = site.cell.take_records(site.now);
    assert!(records.expired.is_empty(), "the new job's records stay");
    site.cell.records_appended(records.batch, site.now);
    site.decide();
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_confirmed_job_is_not_dropped_by_the_failure_of_a_repeat() {
    let mut site = site_with_one(1);
    site.cell.confirm(id(1), site.now);
    site.cell.drop_tentative(id(1), site.now);
    assert!(site.shown(1).is_some());
}

/// Pattern: the answer to the append was lost, and the record never came.
#[test]
fn a_job_that_nobody_confirms_gives_its_room_back() {
    let mut site = site_with_one(4);
    site.pass(6_100);
    site.look_all();
    site.decide();
    assert_eq!(site.shown(1), None);
    site.submit(2, job(vec![step(1, 4, 500)]));
    site.decide();
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_cancellation_holds_whatever_becomes_of_the_acceptance() {
    let mut site = site_with_one(1);
    site.cell.cancel(id(1), site.now);
    site.decide();
    site.cell.confirm(id(1), site.now);
    site.decide();
    assert!(site.starts.is_empty());
    assert_eq!(site.shown(1), Some(JobState::Cancelled));
}
