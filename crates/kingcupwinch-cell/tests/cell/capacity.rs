//! No worker is ever over its capacity, and no task runs twice, whatever order events come in.

use std::collections::HashMap;

use kingcupwinch_cell::{EndReason, PollFailure, StartOutcome, StepSpec, TaskName, WorkerKey};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::site::{Site, id, job, step};

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

fn check(site: &Site, done: &HashMap<TaskName, u32>) {
    let mut seen: HashMap<TaskName, WorkerKey> = HashMap::new();
    for (key, played) in &site.workers {
        for run in &played.running {
            let other = seen.insert(run.task, *key);
            assert!(other.is_none(), "{} runs twice", run.task);
            assert!(!done.contains_key(&run.task), "{} ran again", run.task);
        }
    }
}

/// Orders are carried out, lost, or carried out with their answer lost; runs end in every way;
/// looks fail; jobs are cancelled.
#[rstest]
fn random_days_keep_the_promises(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::new(6, CORES);
    let mut done: HashMap<TaskName, u32> = HashMap::new();
    let mut number = 0;
    for _ in 0..1_500 {
        if random.random_bool(0.2) {
            number += 1;
            let spec = job(random_job(&mut random));
            site.submit(number, spec);
        }
        if number > 0 && random.random_bool(0.01) {
            site.cell
                .cancel(id(random.random_range(1..=number)), site.now);
        }
        site.decide();
        play_orders(&mut site, &mut random);
        play_ends(&mut site, &mut random, &mut done);
        play_looks(&mut site, &mut random);
        if random.random_bool(0.5) {
            site.keep_records();
        }
        site.pass(random.random_range(1..60));
        check(&site, &done);
        check_rooms(&site);
    }
    assert!(site.cell.counters().jobs_completed > 20);
}

fn play_orders(site: &mut Site, random: &mut ChaCha8Rng) {
    for order in std::mem::take(&mut site.stops) {
        if random.random_bool(0.9) {
            site.stop(&order);
        }
    }
    for order in std::mem::take(&mut site.starts) {
        match random.random_range(0..20) {
            0 => site
                .cell
                .start_answered(&order, StartOutcome::Lost, site.now),
            1 => {
                site.start_unheard(&order);
                site.cell
                    .start_answered(&order, StartOutcome::Lost, site.now);
            }
            2 => site
                .cell
                .start_answered(&order, StartOutcome::Full, site.now),
            _ => site.start(&order),
        }
    }
}

fn play_ends(site: &mut Site, random: &mut ChaCha8Rng, done: &mut HashMap<TaskName, u32>) {
    let running = site.running();
    let Some((worker, task)) = running.choose(random).copied() else {
        return;
    };
    let how = *[
        EndReason::Done,
        EndReason::Done,
        EndReason::Done,
        EndReason::Failed,
    ]
    .choose(random)
    .unwrap();
    let run = site.workers[&worker]
        .running
        .iter()
        .find(|r| r.task == task);
    let number = run.unwrap().run;
    if how == EndReason::Done {
        done.insert(task, number);
    }
    site.end(worker, task, how);
}

fn play_looks(site: &mut Site, random: &mut ChaCha8Rng) {
    for key in site.keys() {
        match random.random_range(0..10) {
            0 => site.cell.poll_failed(key, PollFailure::Silent),
            1..6 => {
                // Standing still is another test's subject.
                for run in &mut site.workers.get_mut(&key).unwrap().running {
                    run.percent = (run.percent + 1) % 100;
                }
                site.look(key);
            }
            _ => {}
        }
    }
}

fn check_rooms(site: &Site) {
    let (used, all) = site.cell.cpu_load();
    assert!(used <= all, "{used} of {all} in use");
}
