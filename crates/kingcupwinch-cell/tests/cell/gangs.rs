//! Gangs: steps whose tasks work only together.

use std::sync::Arc;

use kingcupwinch_cell::{AdviceCost, EndReason, JobState, StartOutcome, StepSpec};

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

/// Plays a gang of tasks that each take a worker, a third of which the adviser allows. Its calls take
/// 390 ms and 5.6 ms a worker, and its tickets last 2.5 s. Returns after how many milliseconds the gang
/// is placed.
fn placed_after_ms(tasks: u16, workers: usize, callers: usize, most_ms: u64) -> Option<u64> {
    let mut harness = Harness::new(workers, 4);
    let callers = (0..callers).map(|number| format!("caller-{number}").into());
    let callers: Vec<Arc<str>> = callers.collect();
    harness.cell.set_advice_callers(&callers);
    let mut spec = job(vec![gang(tasks, 4)]);
    spec.policy.advice = Some(AdviceCost {
        call_ms: 390.0,
        worker_ms: 5.6,
        valid_ms: 2_500.0,
    });
    harness.submit(1, spec);
    let start = harness.now;
    let keys = harness.keys();
    let mut next_polls = keys.iter().cycle();
    let mut calls = Vec::new();
    loop {
        let now_ms = (harness.now - start).as_millis();
        if now_ms > most_ms {
            return None;
        }
        harness.decide();
        if harness.starts.len() == usize::from(tasks) {
            return Some(now_ms);
        }
        for (call, named) in std::mem::take(&mut harness.calls) {
            let duration = 390.0 + 5.6 * named.len() as f64;
            calls.push((now_ms + duration as u64, call, named));
        }
        // Each poll takes a millisecond.
        for key in next_polls.by_ref().take(30) {
            harness.poll(*key);
        }
        let now_ms = (harness.now - start).as_millis();
        for (_, call, named) in calls.extract_if(.., |(due, ..)| *due <= now_ms) {
            let number = |id: &str| id.trim_start_matches("i-").parse::<u32>().unwrap();
            harness.answer_call(call, &named, |id| number(id) % 3 == 0);
        }
    }
}

/// The largest gangs waited for half a minute with room on enough workers: one call after the other named
/// 100 workers, and the tickets of the first had lapsed when the last ones came.
#[test]
fn a_gang_gets_all_its_tickets_at_one_moment() {
    for (tasks, workers) in [(16, 100), (40, 300), (60, 400), (80, 400), (110, 400)] {
        let placed = placed_after_ms(tasks, workers, 30, 10_000);
        let is_soon = placed.is_some_and(|ms| ms <= 2_500);
        assert!(is_soon, "{tasks} tasks on {workers} workers: {placed:?}");
    }
}

/// With few callers, calls follow one another, and a gang gets what their tickets allow.
#[test]
fn a_gang_is_placed_with_few_callers_too() {
    let placed = placed_after_ms(40, 300, 3, 10_000);
    assert!(placed.is_some_and(|ms| ms <= 4_000), "{placed:?}");
}
