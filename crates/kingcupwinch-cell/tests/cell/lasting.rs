//! Tasks that last until their job is cancelled.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, StepSpec};

use crate::site::{Site, entry, id, job, step};

fn lasting(count: u16, may_miss: u16) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: may_miss,
        ..step(count, 1, 500)
    }
}

fn lasting_job(count: u16, may_miss: u16) -> JobSpec {
    job(vec![lasting(count, may_miss)])
}

/// Has the workers show all that runs as at work.
fn get_to_work(site: &mut Site) {
    for played in site.workers.values_mut() {
        for run in &mut played.running {
            run.percent = 100;
        }
    }
    site.look_all();
}

#[test]
fn a_task_that_lasts_is_started_anew_however_it_ends() {
    let mut site = Site::new(2, 4);
    site.submit(1, lasting_job(1, 0));
    site.run_orders();
    for how in [EndReason::Done, EndReason::Failed, EndReason::LeaseExpired] {
        get_to_work(&mut site);
        site.pass(3_000);
        site.end_all(how);
        site.look_all();
        site.run_orders();
        assert_eq!(site.running().len(), 1, "after {how:?}");
        assert_eq!(site.shown(1), Some(JobState::Running));
    }
}

#[test]
fn it_stands_at_the_end_of_its_work_and_is_not_stopped_for_that() {
    let mut site = Site::new(1, 4);
    site.submit(1, lasting_job(1, 0));
    site.run_orders();
    get_to_work(&mut site);
    for _ in 0..20 {
        site.pass(1_000);
        site.look_all();
        site.decide();
    }
    assert!(site.stops.is_empty());
}

/// Pattern: a task that fails at each start must not keep its owner busy.
#[test]
fn one_that_keeps_failing_waits_longer_and_longer_and_never_over_two_seconds() {
    let mut site = Site::new(2, 4);
    site.submit(1, lasting_job(1, 0));
    site.run_orders();
    let mut longest = 0;
    for _ in 0..12 {
        site.end_all(EndReason::Failed);
        let mut waited = 0;
        while site.running().is_empty() {
            site.pass(50);
            waited += 50;
            site.look_all();
            site.run_orders();
            assert!(waited < 20_000, "it is started again");
        }
        longest = longest.max(waited);
    }
    // A worker that fails all is set aside for longer than the task waits.
    assert!(longest >= 1_600, "{longest}");
}

#[test]
fn a_cancelled_job_ends_its_tasks() {
    let mut site = Site::new(1, 4);
    site.submit(1, lasting_job(2, 0));
    site.run_orders();
    site.cell.cancel(id(1), site.now);
    site.run_orders();
    site.look_all();
    site.keep_records();
    site.run_orders();
    assert!(site.running().is_empty());
    assert_eq!(site.shown(1), Some(JobState::Cancelled));
}

/// Pattern: a worker drains; its tasks move, no more at a time than may be missed.
#[test]
fn tasks_leave_a_draining_worker_a_few_at_a_time() {
    let mut site = Site::new(1, 4);
    site.submit(1, lasting_job(3, 1));
    site.run_orders();
    get_to_work(&mut site);
    let key = site.cell.register_worker(entry(1, 4), false, site.now);
    site.workers.insert(key, crate::site::Played::default());
    site.look_all();
    let mut draining = entry(0, 4);
    draining.draining = true;
    site.cell.register_worker(draining, false, site.now);
    for left in [2, 1, 0] {
        site.decide();
        assert_eq!(site.stops.len(), 1, "{left} stay for now");
        let stop = site.stops.remove(0);
        site.stop(&stop);
        site.decide();
        assert!(site.stops.is_empty(), "one is away");
        site.look_all();
        site.run_orders();
        get_to_work(&mut site);
        let moved = site.running().iter().filter(|(on, _)| *on == key).count();
        assert_eq!(moved, 3 - left);
    }
}

#[test]
fn tasks_stay_on_a_draining_worker_while_there_is_no_room_elsewhere() {
    let mut site = Site::new(1, 4);
    site.submit(1, lasting_job(1, 1));
    site.run_orders();
    get_to_work(&mut site);
    let mut draining = entry(0, 4);
    draining.draining = true;
    site.cell.register_worker(draining, false, site.now);
    site.decide();
    assert!(site.stops.is_empty());
}

fn serving(count: u16) -> StepSpec {
    StepSpec {
        latency_sensitive: true,
        ..lasting(count, 0)
    }
}

fn filling(count: u16) -> StepSpec {
    StepSpec {
        best_effort: true,
        ..step(count, 1, 5_000)
    }
}

#[test]
fn what_fills_is_kept_off_workers_that_serve() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![serving(1)]));
    site.run_orders();
    let (serves, _) = site.running()[0];
    site.submit(2, job(vec![filling(6)]));
    site.run_orders();
    let beside = site
        .running()
        .iter()
        .filter(|(on, _)| *on == serves)
        .count();
    assert_eq!((site.running().len(), beside), (7, 1));
}

#[test]
fn what_fills_goes_where_a_serving_task_has_no_other_place() {
    let mut site = Site::new(1, 4);
    site.submit(1, job(vec![filling(2)]));
    site.run_orders();
    assert_eq!(site.running().len(), 2);
    site.submit(2, job(vec![serving(1)]));
    site.decide();
    site.run_orders();
    site.run_orders();
    site.look_all();
    let names: Vec<_> = site.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(names, [id(2)]);
}
