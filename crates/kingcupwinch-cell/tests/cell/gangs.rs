//! Gangs: steps whose tasks work only together.

use kingcupwinch_cell::{EndReason, JobState, StartOutcome, StepSpec};

use crate::harness::{Harness, id, job, step};

fn gang(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores, 2_000)
    }
}

/// The fast members of a gang finish first and make no progress until the slow ones are done. They
/// must not be stopped as stalled.
#[test]
fn finished_gang_members_wait_for_slow_ones() {
    let mut harness = Harness::new(3, 4);
    harness.submit(1, job(vec![gang(3, 4)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 3);
    for (number, key) in harness.keys().into_iter().enumerate() {
        let member = &mut harness.workers.get_mut(&key).unwrap().running[0];
        member.percent = if number == 0 { 10 } else { 100 };
    }
    for _ in 0..8 {
        harness.advance(700);
        let slow = harness.keys()[0];
        harness.workers.get_mut(&slow).unwrap().running[0].percent += 10;
        harness.poll_all();
        harness.run_round();
    }
    assert_eq!(harness.running().len(), 3, "no member was stopped");
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 2, 500)]));
    harness.run_round();
    harness.submit(2, job(vec![gang(2, 4)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
}

/// Guards against a gang that is ordered without one of its members: its worker was quarantined while
/// the placement of the gang was being appended, and only that member was withdrawn.
#[test]
fn a_gang_with_a_member_on_a_quarantined_worker_is_not_ordered() {
    let mut harness = Harness::new(2, 4);
    let mut failing = job(vec![step(2, 1, 500)]);
    failing.policy.max_attempts = 10;
    harness.submit(1, failing);
    harness.run_round();
    let (bad, _) = harness.running()[0];
    harness.submit(2, job(vec![gang(3, 2)]));
    harness.decide_without_log();
    harness.end_all(EndReason::Failed);
    harness.poll(bad);
    harness.append_records();
    let gang = harness
        .starts
        .iter()
        .filter(|order| order.task.job == id(2));
    assert_eq!(gang.count(), 0);
}

#[test]
fn gang_members_share_a_run_number() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![gang(2, 4)]));
    harness.decide();
    assert_eq!(harness.starts.len(), 2);
    assert_eq!(harness.starts[0].run, harness.starts[1].run);
}

#[test]
fn a_refused_gang_member_stops_the_others() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![gang(2, 4)]));
    harness.decide();
    let refused = harness.starts.remove(0);
    let started = harness.starts.remove(0);
    harness.start(&started);
    harness
        .cell
        .start_answered(&refused, StartOutcome::Full, harness.now);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(harness.stops[0].task, started.task);
    assert!(harness.starts.is_empty(), "the previous run is not settled");
}

/// Small tasks behind a gang must not starve it, so capacity that becomes free is reserved for the
/// gang.
#[test]
fn capacity_is_reserved_for_a_gang_that_is_ahead() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(2, 4, 500)]));
    harness.run_round();
    harness.submit(2, job(vec![gang(2, 4)]));
    for number in 3..8 {
        let mut small = job(vec![step(1, 1, 500)]);
        small.policy.target_ms = 60_000;
        harness.submit(number, small);
    }
    let (worker, first) = harness.running()[0];
    harness.end(worker, first, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(
        harness.running().len(),
        1,
        "the free worker is reserved for the gang"
    );
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
}
