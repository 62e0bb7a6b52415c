//! Workers of two speeds.

use kingcupwinch_cell::{EndReason, WorkerKey};

use crate::site::{Site, job, step};

/// The time that a task of one second takes on a fast and on a slow worker, in milliseconds.
const FAST_MS: u64 = 700;
const SLOW_MS: u64 = 1_700;

/// Makes a site whose first half of workers is fast, and lets it learn that.
fn two_speeds(workers: usize) -> (Site, Vec<WorkerKey>, Vec<WorkerKey>) {
    let mut site = Site::new(workers, 4);
    let keys = site.keys();
    let (fast, slow) = keys.split_at(workers / 2);
    let (fast, slow) = (fast.to_vec(), slow.to_vec());
    for round in 0..30 {
        let width = workers as u16;
        site.submit(1_000 + round, job(vec![step(width, 4, 1_000)]));
        site.run_orders();
        site.pass(FAST_MS);
        end_on(&mut site, &fast);
        site.look_all();
        site.pass(SLOW_MS - FAST_MS);
        end_on(&mut site, &slow);
        site.look_all();
        site.keep_records();
    }
    (site, fast, slow)
}

fn end_on(site: &mut Site, workers: &[WorkerKey]) {
    for (key, task) in site.running() {
        if workers.contains(&key) {
            site.end(key, task, EndReason::Done);
        }
    }
}

/// Pattern: urgent tasks while the fast workers are full. On a slow one they miss their objective
/// for certain; a fast one becomes free soon.
#[test]
fn an_urgent_task_waits_for_a_fast_worker() {
    let (mut site, fast, _) = two_speeds(4);
    let mut heavy = job(vec![step(2, 4, 1_000)]);
    heavy.policy.stretch = 1.2;
    heavy.policy.target_ms = 0;
    site.submit(1, heavy);
    site.run_orders();
    let on_fast = |site: &Site| site.running().iter().all(|(key, _)| fast.contains(key));
    assert!(on_fast(&site));
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 0;
    site.submit(2, urgent);
    site.run_orders();
    assert_eq!(site.running().len(), 2, "no slow worker is taken");
    let (worker, first) = site.running()[0];
    site.end(worker, first, EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running().len(), 2);
    assert!(on_fast(&site));
}

#[test]
fn a_task_that_is_late_anyway_takes_any_worker() {
    let (mut site, fast, slow) = two_speeds(4);
    let mut heavy = job(vec![step(2, 4, 1_000)]);
    heavy.policy.stretch = 1.2;
    heavy.policy.target_ms = 0;
    site.submit(1, heavy);
    site.run_orders();
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 0;
    site.submit(2, urgent);
    site.pass(1_500);
    site.look_all();
    site.run_orders();
    assert!(site.running().iter().any(|(key, _)| slow.contains(key)));
    assert!(site.running().iter().any(|(key, _)| fast.contains(key)));
}

/// Fast workers are no reason to send an urgent task to a slow one that would just do.
#[test]
fn an_urgent_task_takes_the_fastest_worker_that_is_free() {
    let (mut site, fast, _) = two_speeds(4);
    let mut urgent = job(vec![step(1, 1, 1_000)]);
    urgent.policy.stretch = 1.5;
    urgent.policy.target_ms = 250;
    site.submit(2, urgent);
    site.run_orders();
    assert!(fast.contains(&site.running()[0].0));
}
