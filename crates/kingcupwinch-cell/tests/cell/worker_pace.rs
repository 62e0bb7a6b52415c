//! Workers of different pace.

use kingcupwinch_cell::{EndReason, WorkerKey};

use crate::harness::{Harness, job, step};

/// The time that a task of one second takes on a fast and on a slow worker, in milliseconds.
const FAST_MS: u64 = 700;
const SLOW_MS: u64 = 1_700;

/// Builds a harness whose first half of workers is fast, and has it learn their pace.
pub(crate) fn fast_and_slow(workers: usize) -> (Harness, Vec<WorkerKey>, Vec<WorkerKey>) {
    let mut harness = Harness::new(workers, 4);
    let keys = harness.keys();
    let (fast, slow) = keys.split_at(workers / 2);
    let (fast, slow) = (fast.to_vec(), slow.to_vec());
    for round in 0..30 {
        let width = workers as u16;
        harness.submit(1_000 + round, job(vec![step(width, 4, 1_000)]));
        harness.run_round();
        harness.advance(FAST_MS);
        end_on(&mut harness, &fast);
        harness.poll_all();
        harness.advance(SLOW_MS - FAST_MS);
        end_on(&mut harness, &slow);
        harness.poll_all();
        harness.append_records();
    }
    (harness, fast, slow)
}

fn end_on(harness: &mut Harness, workers: &[WorkerKey]) {
    for (key, task) in harness.running() {
        if workers.contains(&key) {
            harness.end(key, task, EndReason::Done);
        }
    }
}

/// Urgent tasks while the fast workers are full: a slow worker would certainly miss their
/// objective, but a fast one becomes free soon.
#[test]
fn an_urgent_task_waits_for_a_fast_worker() {
    let (mut harness, fast, _) = fast_and_slow(4);
    let mut heavy = job(vec![step(2, 4, 1_000)]);
    heavy.policy.stretch = 1.2;
    heavy.policy.target_ms = 0;
    harness.submit(1, heavy);
    harness.run_round();
    let on_fast = |harness: &Harness| harness.running().iter().all(|(key, _)| fast.contains(key));
    assert!(on_fast(&harness));
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 0;
    harness.submit(2, urgent);
    harness.run_round();
    assert_eq!(harness.running().len(), 2, "no slow worker is used");
    let (worker, first) = harness.running()[0];
    harness.end(worker, first, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    assert!(on_fast(&harness));
}

#[test]
fn a_late_task_takes_any_worker() {
    let (mut harness, fast, slow) = fast_and_slow(4);
    let mut heavy = job(vec![step(2, 4, 1_000)]);
    heavy.policy.stretch = 1.2;
    heavy.policy.target_ms = 0;
    harness.submit(1, heavy);
    harness.run_round();
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 0;
    harness.submit(2, urgent);
    harness.advance(1_500);
    harness.poll_all();
    harness.run_round();
    assert!(harness.running().iter().any(|(key, _)| slow.contains(key)));
    assert!(harness.running().iter().any(|(key, _)| fast.contains(key)));
}

/// A free fast worker is preferred to a slow one that would just meet the objective.
#[test]
fn an_urgent_task_takes_the_fastest_worker_that_is_free() {
    let (mut harness, fast, _) = fast_and_slow(4);
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 250;
    harness.submit(2, urgent);
    harness.run_round();
    assert!(fast.contains(&harness.running()[0].0));
}
