//! Jobs whose tasks work only together.

use kingcupwinch_cell::{EndReason, JobState, StartOutcome, StepSpec};

use crate::site::{Site, job, step};

fn gang(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores, 2_000)
    }
}

/// Pattern: a gang over fast and slow workers. The fast members reach the end of their work first
/// and stand there until the slow ones are done.
#[test]
fn members_at_the_end_of_their_work_wait_for_the_slow_ones() {
    let mut site = Site::new(3, 4);
    site.submit(1, job(vec![gang(3, 4)]));
    site.run_orders();
    assert_eq!(site.running().len(), 3);
    for (number, key) in site.keys().into_iter().enumerate() {
        let member = &mut site.workers.get_mut(&key).unwrap().running[0];
        member.percent = if number == 0 { 10 } else { 100 };
    }
    for _ in 0..8 {
        site.pass(700);
        let slow = site.keys()[0];
        site.workers.get_mut(&slow).unwrap().running[0].percent += 10;
        site.look_all();
        site.run_orders();
    }
    assert_eq!(site.running().len(), 3, "no member was stopped");
    site.end_all(EndReason::Done);
    site.look_all();
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 2, 500)]));
    site.run_orders();
    site.submit(2, job(vec![gang(2, 4)]));
    site.run_orders();
    assert_eq!(site.running().len(), 1);
    site.end_all(EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running().len(), 2);
}

#[test]
fn members_share_the_number_of_their_run() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![gang(2, 4)]));
    site.decide();
    assert_eq!(site.starts.len(), 2);
    assert_eq!(site.starts[0].run, site.starts[1].run);
}

#[test]
fn a_refused_member_calls_the_others_back() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![gang(2, 4)]));
    site.decide();
    let refused = site.starts.remove(0);
    let started = site.starts.remove(0);
    site.start(&started);
    site.cell
        .start_answered(&refused, StartOutcome::Full, site.now);
    site.decide();
    assert_eq!(site.stops.len(), 1);
    assert_eq!(site.stops[0].task, started.task);
    assert!(site.starts.is_empty(), "the last run is not over");
}

/// Pattern: wide steps behind a stream of small tasks. Room that becomes free is kept for a gang
/// that is ahead in the order, so that small tasks behind it can't starve it.
#[test]
fn room_is_kept_for_a_gang_that_is_ahead() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(2, 4, 500)]));
    site.run_orders();
    site.submit(2, job(vec![gang(2, 4)]));
    for number in 3..8 {
        let mut small = job(vec![step(1, 1, 500)]);
        small.policy.target_ms = 60_000;
        site.submit(number, small);
    }
    let (worker, first) = site.running()[0];
    site.end(worker, first, EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running().len(), 1, "the free worker is kept");
    site.end_all(EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running().len(), 2);
}
