//! No worker exceeds its capacity and no task runs twice, in any order of events.

use std::collections::HashMap;

use kingcupwinch_cell::{EndReason, PollFailure, StartOutcome, StepSpec, TaskName, WorkerKey};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::harness::{Harness, id, job, step};

const CORES: u64 = 8;

fn random_job(random: &mut ChaCha8Rng) -> Vec<StepSpec> {
    let mut steps = Vec::new();
    for number in 0..random.random_range(1..4_u16) {
        let mut step = step(
            random.random_range(1..6),
            random.random_range(1..5),
            random.random_range(100..3_000),
        );
        step.gang = random.random_bool(0.3);
        if number > 0 && random.random_bool(0.7) {
            step.after.push(number - 1);
        }
        steps.push(step);
    }
    steps
}

fn check(harness: &Harness, done: &HashMap<TaskName, u32>) {
    let mut seen: HashMap<TaskName, WorkerKey> = HashMap::new();
    for (key, fake) in &harness.workers {
        for run in &fake.running {
            let other = seen.insert(run.task, *key);
            assert!(other.is_none(), "{} runs twice", run.task);
            assert!(!done.contains_key(&run.task), "{} ran again", run.task);
        }
    }
}

/// Orders are carried out or lost, or their responses are lost; runs end for different reasons;
/// polls fail; jobs are cancelled.
#[rstest]
fn random_events_never_overload_workers_or_duplicate_tasks(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = Harness::new(6, CORES);
    let mut done: HashMap<TaskName, u32> = HashMap::new();
    let mut number = 0;
    for _ in 0..1_500 {
        if random.random_bool(0.2) {
            number += 1;
            let spec = job(random_job(&mut random));
            harness.submit(number, spec);
        }
        if number > 0 && random.random_bool(0.01) {
            harness
                .cell
                .cancel(id(random.random_range(1..=number)), harness.now);
        }
        harness.decide();
        execute_orders(&mut harness, &mut random);
        end_random_run(&mut harness, &mut random, &mut done);
        poll_randomly(&mut harness, &mut random);
        if random.random_bool(0.5) {
            harness.append_records();
        }
        harness.advance(random.random_range(1..60));
        check(&harness, &done);
        check_capacity(&harness);
    }
    assert!(harness.cell.counters().jobs_completed > 20);
}

fn execute_orders(harness: &mut Harness, random: &mut ChaCha8Rng) {
    for order in std::mem::take(&mut harness.stops) {
        if random.random_bool(0.9) {
            harness.stop(&order);
        }
    }
    for order in std::mem::take(&mut harness.starts) {
        match random.random_range(0..20) {
            0 => harness
                .cell
                .start_answered(&order, StartOutcome::Lost, harness.now),
            1 => {
                harness.start_with_lost_response(&order);
                harness
                    .cell
                    .start_answered(&order, StartOutcome::Lost, harness.now);
            }
            2 => harness
                .cell
                .start_answered(&order, StartOutcome::Full, harness.now),
            _ => harness.start(&order),
        }
    }
}

fn end_random_run(
    harness: &mut Harness,
    random: &mut ChaCha8Rng,
    done: &mut HashMap<TaskName, u32>,
) {
    let running = harness.running();
    let Some((worker, task)) = running.choose(random).copied() else {
        return;
    };
    let reason = *[
        EndReason::Done,
        EndReason::Done,
        EndReason::Done,
        EndReason::Failed,
    ]
    .choose(random)
    .unwrap();
    let run = harness.workers[&worker]
        .running
        .iter()
        .find(|r| r.task == task);
    let number = run.unwrap().run;
    if reason == EndReason::Done {
        done.insert(task, number);
    }
    harness.end(worker, task, reason);
}

fn poll_randomly(harness: &mut Harness, random: &mut ChaCha8Rng) {
    for key in harness.keys() {
        match random.random_range(0..10) {
            0 => harness.cell.poll_failed(key, PollFailure::Unresponsive),
            1..6 => {
                // Progress keeps the runs from being stopped as stalled, which another test covers.
                for run in &mut harness.workers.get_mut(&key).unwrap().running {
                    run.percent = (run.percent + 1) % 100;
                }
                harness.poll(key);
            }
            _ => {}
        }
    }
}

fn check_capacity(harness: &Harness) {
    let (used, all) = harness.cell.cpu_load();
    assert!(used <= all, "{used} of {all} in use");
}
