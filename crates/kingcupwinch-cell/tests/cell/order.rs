//! The order of steps by priority, and its floor.

use std::ops::Range;

use kingcupwinch_cell::{Disabled, EndReason, JobId, JobSpec, Mechanism};

use crate::harness::{Harness, id, job, step};

const WORKERS: usize = 10;
const CORES: u64 = 4;
/// How long a step waits until the floor applies to it.
const MAX_WAIT_MS: u64 = 9_000;
/// The time between two rounds under steady load.
const ROUND_MS: u64 = 100;
const BATCH_JOBS: Range<u64> = 1_000_000..1_000_050;

/// Builds a job of one task that fills a worker. Its objective is 2 times its work and 1 s.
fn filling(priority: u32, work_ms: u64) -> JobSpec {
    let mut spec = job(vec![step(1, CORES, work_ms)]);
    spec.policy.priority = priority;
    spec.policy.queue = format!("queue-{priority}").into();
    spec
}

fn harness(workers: usize, disabled: &[Mechanism]) -> Harness {
    let mut harness = Harness::new(workers, CORES);
    let disabled: Disabled = disabled.iter().copied().collect();
    harness.cell = harness.cell.with_disabled(disabled);
    harness
}

/// Returns the order in which an urgent and a batch job start on one worker. The urgent job is sent
/// `urgent_age_ms` before both compete for the worker, and the batch job just then.
fn starts(urgent: JobSpec, urgent_age_ms: u64, batch: JobSpec, off: &[Mechanism]) -> Vec<u64> {
    let mut harness = harness(1, off);
    harness.submit(1, filling(0, 100));
    harness.run_round();
    harness.submit(2, urgent);
    harness.advance(urgent_age_ms);
    harness.submit(3, batch);
    let mut order = Vec::new();
    for _ in 0..2 {
        harness.end_all(EndReason::Done);
        harness.poll_all();
        harness.run_round();
        let running = harness.running();
        let number = [2, 3]
            .into_iter()
            .find(|number| running[0].1.job == id(*number));
        order.extend(number);
    }
    order
}

const OFF: &[Mechanism] = &[Mechanism::PriorityOrder];

/// Batch with less slack took the capacity from urgent jobs that could still be on time.
#[test]
fn an_urgent_step_goes_before_batch_with_less_slack() {
    let (urgent, batch) = (filling(0, 3_000), filling(2, 10));
    assert_eq!(starts(urgent.clone(), 0, batch.clone(), &[]), [2, 3]);
    assert_eq!(starts(urgent, 0, batch, OFF), [3, 2]);
}

/// Urgent jobs that were late came after all batch on time, until they were worth nothing.
#[test]
fn a_late_urgent_step_goes_before_batch_on_time() {
    let (urgent, batch) = (filling(0, 100), filling(2, 1_000));
    assert_eq!(starts(urgent.clone(), 2_000, batch.clone(), &[]), [2, 3]);
    assert_eq!(starts(urgent, 2_000, batch, OFF), [3, 2]);
}

/// A job that ends after its late limit is worth nothing, however urgent its queue is.
#[test]
fn a_step_that_is_worth_nothing_goes_last() {
    let (urgent, batch) = (filling(0, 100), filling(2, 1_000));
    assert_eq!(starts(urgent, 4_000, batch, &[]), [3, 2]);
}

/// Plays urgent load that is more than the capacity, after 50 batch jobs were sent. Returns the time
/// of each round and how many batch tasks run after it.
fn play_flood(ms: u64) -> Vec<(u64, usize)> {
    let mut harness = harness(WORKERS, &[]);
    for number in BATCH_JOBS {
        harness.submit(number, filling(2, 20_000));
    }
    let batch_jobs: Vec<JobId> = BATCH_JOBS.map(id).collect();
    let start = harness.now;
    let mut rounds = Vec::new();
    let mut next = 1;
    loop {
        let passed = (harness.now - start).as_millis();
        if passed > ms {
            return rounds;
        }
        for _ in 0..2 * WORKERS {
            harness.submit(next, filling(0, ROUND_MS));
            next += 1;
        }
        harness.run_round();
        let running = harness.running();
        let (batch, urgent): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(_, task)| batch_jobs.contains(&task.job));
        rounds.push((passed, batch.len()));
        for (worker, task) in urgent {
            harness.end(worker, task, EndReason::Done);
        }
        harness.advance(ROUND_MS);
        // A run without progress would be stopped.
        for run in harness
            .workers
            .values_mut()
            .flat_map(|worker| &mut worker.running)
        {
            run.percent += 1;
        }
        harness.poll_all();
    }
}

/// Urgent load above the capacity kept batch from ever starting.
#[test]
fn batch_gets_its_floor_under_an_urgent_flood() {
    let rounds = play_flood(MAX_WAIT_MS + 3_000);
    let due = rounds
        .iter()
        .filter(|(at, _)| *at >= MAX_WAIT_MS + 2 * ROUND_MS);
    assert!(due.clone().count() > 0);
    assert!(due.clone().all(|(_, batch)| *batch >= 1), "{rounds:?}");
}

/// The floor does not give batch more than its share of the CPU, rounded up to a task.
#[test]
fn the_floor_leaves_the_rest_to_urgent_work() {
    let rounds = play_flood(MAX_WAIT_MS + 3_000);
    let most = rounds.iter().map(|(_, batch)| *batch).max();
    assert_eq!(most, Some(1), "{rounds:?}");
}
