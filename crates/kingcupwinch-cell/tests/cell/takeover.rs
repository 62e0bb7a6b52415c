//! What a later owner makes of what an earlier one left.

use kingcupwinch_cell::{
    EndReason, JobRecord, JobState, Placement, PollFailure, RunEnd, RunningTask, WorkerKey,
};
use kingcupwinch_time::Span;

use crate::site::{LEASE, OVERLAP, Played, Site, entry, id, job, step, task};

/// Makes the site of a later owner with workers that were not looked at yet.
fn heir(workers: usize) -> Site {
    let mut site = Site::of_generation(2);
    for number in 0..workers {
        let key = site.cell.register_worker(entry(number, 4), true, site.now);
        site.workers.insert(key, Played::default());
    }
    site
}

fn run_of(job: u64, run: u32) -> RunningTask {
    RunningTask {
        task: task(job, 0, 0),
        run,
        checkpoint: None,
        percent: 0,
    }
}

/// Has a worker list a run that an earlier owner ordered.
fn list_running(site: &mut Site, worker: WorkerKey, run: RunningTask) {
    let played = site.workers.get_mut(&worker).unwrap();
    played.running.push(run);
}

fn restore(site: &mut Site, number: u64, record: Option<&JobRecord>) {
    let spec = job(vec![step(1, 1, 500)]);
    site.cell
        .restore(id(number), Some(spec), record, Span::ZERO, site.now);
}

/// Returns the record of a job whose only task was placed on a worker.
fn placed_on(worker: &str, run: u32) -> JobRecord {
    JobRecord {
        last_run: run,
        started: true,
        placements: vec![Placement {
            step: 0,
            index: 0,
            run,
            worker: worker.into(),
        }],
        ..JobRecord::default()
    }
}

#[test]
fn what_was_placed_waits_for_a_look_at_its_worker_and_the_rest_does_not() {
    let mut site = heir(2);
    restore(&mut site, 1, Some(&placed_on("i-1", 1)));
    restore(&mut site, 2, None);
    let keys = site.keys();
    site.look(keys[0]);
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].task, task(2, 0, 0));
    site.look(keys[1]);
    site.decide();
    assert_eq!(site.starts.len(), 2, "it does not run there");
    assert_eq!(site.starts[1].task, task(1, 0, 0));
}

#[test]
fn what_was_placed_out_of_reach_waits_until_its_lease_has_lapsed() {
    let mut site = heir(2);
    restore(&mut site, 1, Some(&placed_on("i-1", 1)));
    let keys = site.keys();
    site.cell.poll_failed(keys[1], PollFailure::Silent);
    site.pass((OVERLAP.as_millis()) + LEASE.as_millis());
    site.look(keys[0]);
    site.decide();
    assert!(site.starts.is_empty());
    site.pass(LEASE.as_millis() / 20 + 10);
    site.look(keys[0]);
    site.decide();
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_run_that_a_worker_lists_goes_on() {
    let mut site = heir(1);
    restore(&mut site, 1, None);
    let key = site.keys()[0];
    list_running(&mut site, key, run_of(1, 1));
    site.look(key);
    site.run_orders();
    assert_eq!(site.running().len(), 1);
    site.end_all(EndReason::Done);
    site.look(key);
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

/// The log may hold an older placement than the one that a worker lists.
#[test]
fn of_a_recorded_and_a_listed_run_the_later_one_holds() {
    let mut site = heir(2);
    let record = placed_on("i-0", 1);
    restore(&mut site, 1, Some(&record));
    let keys = site.keys();
    list_running(&mut site, keys[1], run_of(1, 2));
    for _ in 0..6 {
        site.pass(100);
        site.look_all();
        site.decide();
        for order in std::mem::take(&mut site.stops) {
            assert_eq!(order.run, 1, "the later run goes on");
            site.stop(&order);
        }
        assert!(site.starts.is_empty());
    }
    assert_eq!(site.running().len(), 1);
}

#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut site = Site::new(1, 4);
    let key = site.keys()[0];
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    site.end_all(EndReason::Failed);
    site.look(key);
    site.keep_records();
    let record = site.records[&id(1)].clone();
    let listed = std::mem::take(&mut site.workers.get_mut(&key).unwrap().ended);

    let mut later = heir(1);
    restore(&mut later, 1, Some(&record));
    let key = later.keys()[0];
    later.workers.get_mut(&key).unwrap().ended = listed;
    later.look(key);
    later.keep_records();
    assert_ne!(later.shown(1), Some(JobState::Failed));
    later.decide();
    assert_eq!(later.starts.len(), 1);
}

#[test]
fn a_run_of_an_unknown_job_is_stopped() {
    let mut site = heir(1);
    let key = site.keys()[0];
    list_running(&mut site, key, run_of(9, 1));
    site.look(key);
    site.decide();
    assert_eq!(site.stops.len(), 1);
    assert_eq!(site.stops[0].task, task(9, 0, 0));
}

#[test]
fn numbers_of_runs_rise_from_owner_to_owner() {
    let mut site = heir(1);
    restore(&mut site, 1, None);
    site.look_all();
    site.decide();
    assert!(site.starts[0].run > 1_000);
}

#[test]
fn records_survive_the_log() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(3, 4, 500)]));
    site.run_orders();
    let (worker, done) = site.running()[0];
    site.end(worker, done, EndReason::Done);
    site.look_all();
    site.run_orders();
    site.keep_records();
    let record = &site.records[&id(1)];
    let read = JobRecord::decode(&record.encode().unwrap()).unwrap();
    assert_eq!(*record, read);
    assert_eq!(read.placements.len(), 2);
    assert_eq!(read.done_tasks.len(), 1);
}

#[test]
fn a_kept_end_stays_after_a_take_over() {
    let mut site = heir(1);
    let record = JobRecord {
        end: Some(JobState::Completed),
        ..JobRecord::default()
    };
    restore(&mut site, 1, Some(&record));
    site.look_all();
    site.decide();
    assert!(site.starts.is_empty());
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

/// What runs of a job that has ended takes room that the new owner can't know: the size is gone
/// with the job.
#[test]
fn a_worker_gets_nothing_while_it_runs_what_the_owner_does_not_know() {
    let mut site = heir(1);
    let key = site.keys()[0];
    restore(&mut site, 1, None);
    list_running(&mut site, key, run_of(9, 1));
    site.look(key);
    site.decide();
    assert!(site.starts.is_empty());
    let stop = site.stops.remove(0);
    site.stop(&stop);
    site.look(key);
    site.decide();
    assert_eq!(site.starts.len(), 1);
}

/// Pattern: the store is away and entries of workers run out. A worker that is known only from the
/// earlier owner's list, and is listed again when the store is back, is not a new life.
#[test]
fn a_worker_that_is_listed_again_still_holds_what_was_placed_there() {
    let mut site = Site::of_generation(2);
    let mut from_list = entry(0, 4);
    from_list.started_ms = None;
    from_list.draining = true;
    let away = site.cell.register_worker(from_list, true, site.now);
    site.cell.mark_unlisted("i-0", site.now);
    let near = site.cell.register_worker(entry(1, 4), true, site.now);
    for key in [away, near] {
        site.workers.insert(key, Played::default());
    }
    restore(&mut site, 1, Some(&placed_on("i-0", 1)));
    site.look(near);
    site.cell.register_worker(entry(0, 4), false, site.now);
    site.decide();
    assert!(site.starts.is_empty(), "it may still run there");
    let ended = RunEnd {
        sequence: 1,
        task: task(1, 0, 0),
        run: 1,
        reason: EndReason::Done,
        checkpoint: None,
    };
    site.workers.get_mut(&away).unwrap().ended.push(ended);
    site.look(away);
    site.keep_records();
    assert_eq!(site.shown(1), Some(JobState::Completed));
    assert!(site.starts.is_empty());
}

/// Its worker left the directory, and the list of workers that were in use can't be read.
#[test]
fn what_was_placed_on_an_unknown_worker_waits_until_its_lease_has_lapsed() {
    let mut site = heir(1);
    restore(&mut site, 1, Some(&placed_on("i-unknown", 1)));
    site.look_all();
    site.decide();
    assert!(site.starts.is_empty(), "it may run there");
    site.pass(OVERLAP.as_millis() + LEASE.as_millis() * 21 / 20 + 10);
    site.look_all();
    site.decide();
    assert_eq!(site.starts.len(), 1);
}
