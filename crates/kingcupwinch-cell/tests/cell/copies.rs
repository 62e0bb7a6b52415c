//! Second runs of slow tasks.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, StepSpec};

use crate::site::{Site, id, job, step};

fn copied(count: u16) -> JobSpec {
    job(vec![StepSpec {
        speculative: true,
        ..step(count, 1, 1_000)
    }])
}

/// Lets time pass while the workers show progress.
fn work_on(site: &mut Site, ms: u64) {
    for at in 0..ms / 500 {
        site.pass(500);
        for played in site.workers.values_mut() {
            for run in &mut played.running {
                run.percent = (at % 99) as u8 + 1;
            }
        }
        site.look_all();
        site.run_orders();
    }
}

/// Pattern: a worker turned slow.
#[test]
fn a_slow_run_gets_one_copy_on_another_worker() {
    let mut site = Site::new(3, 4);
    site.submit(1, copied(1));
    site.run_orders();
    work_on(&mut site, 1_000);
    assert_eq!(site.running().len(), 1, "not slow yet");
    work_on(&mut site, 4_000);
    let running = site.running();
    assert_eq!(running.len(), 2);
    assert_ne!(running[0].0, running[1].0);
}

#[test]
fn the_first_end_counts_and_the_other_run_is_stopped() {
    let mut site = Site::new(2, 4);
    site.submit(1, copied(1));
    site.run_orders();
    let (first, task) = site.running()[0];
    work_on(&mut site, 2_500);
    assert_eq!(site.running().len(), 2);
    site.end(first, task, EndReason::Done);
    site.look_all();
    site.run_orders();
    site.look_all();
    site.keep_records();
    assert!(site.running().is_empty());
    assert_eq!(site.shown(1), Some(JobState::Completed));
    assert_eq!(site.records[&id(1)].end, Some(JobState::Completed));
}

#[test]
fn a_failed_copy_leaves_the_first_run_alone() {
    let mut site = Site::new(2, 4);
    site.submit(1, copied(1));
    site.run_orders();
    let (first, task) = site.running()[0];
    work_on(&mut site, 2_500);
    let (copy, _) = *site.running().iter().find(|(on, _)| *on != first).unwrap();
    site.end(copy, task, EndReason::Failed);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running(), [(first, task)]);
    site.end(first, task, EndReason::Done);
    site.look_all();
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

#[test]
fn a_step_that_does_not_allow_it_never_runs_twice() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 1_000)]));
    site.run_orders();
    work_on(&mut site, 8_000);
    assert_eq!(site.running().len(), 1);
}

/// Pattern: a step whose tasks are kept apart, one to a worker.
#[test]
fn a_copy_goes_nowhere_that_its_step_may_not() {
    let mut site = Site::new(3, 4);
    let apart = StepSpec {
        speculative: true,
        worker_limit: Some(1),
        ..step(2, 1, 1_000)
    };
    site.submit(1, job(vec![apart]));
    site.run_orders();
    work_on(&mut site, 6_000);
    let mut places: Vec<_> = site.running().iter().map(|(on, _)| *on).collect();
    assert_eq!(places.len(), 3, "one copy has a worker of its own");
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 3);
}

/// Pattern: a copy is placed by the same rules as a first run.
#[test]
fn a_copy_of_a_filling_task_stays_off_workers_that_serve() {
    let mut site = Site::new(2, 4);
    let serving = StepSpec {
        latency_sensitive: true,
        long_running: true,
        ..step(1, 1, 500)
    };
    site.submit(1, job(vec![serving]));
    site.run_orders();
    let filling = StepSpec {
        speculative: true,
        best_effort: true,
        ..step(1, 1, 1_000)
    };
    site.submit(2, job(vec![filling]));
    site.run_orders();
    work_on(&mut site, 6_000);
    assert_eq!(site.running().len(), 2, "no worker is free for a copy");
}
