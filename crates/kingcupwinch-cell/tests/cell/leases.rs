//! Workers that fall silent, come back or start anew.

use kingcupwinch_cell::{EndReason, PollFailure, WorkerStatus};
use kingcupwinch_time::Span;

use crate::site::{LEASE, LEFT_WITHIN, Site, entry, job, step};

#[test]
fn what_ran_on_a_silent_worker_starts_elsewhere_only_after_its_lease() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    let (silent, _) = site.running()[0];
    let other = site.keys().into_iter().find(|key| *key != silent).unwrap();
    site.cell.poll_failed(silent, PollFailure::Silent);
    site.pass(LEASE.as_millis());
    site.look(other);
    site.decide();
    assert!(site.starts.is_empty(), "the worker's clock may run slow");
    site.pass(LEASE.as_millis() / 50 + 200);
    site.look(other);
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].worker, other);
}

#[test]
fn leases_of_a_silent_worker_are_not_renewed_for_ever() {
    let mut site = Site::new(1, 4);
    let worker = site.keys()[0];
    assert!(
        site.cell
            .next_poll(worker, site.now)
            .unwrap()
            .lease_until
            .is_some()
    );
    site.cell.poll_failed(worker, PollFailure::Silent);
    site.cell.poll_failed(worker, PollFailure::Silent);
    assert!(
        site.cell
            .next_poll(worker, site.now)
            .unwrap()
            .lease_until
            .is_none()
    );
}

#[test]
fn a_new_life_of_a_worker_frees_what_ran_in_the_last() {
    let mut site = Site::new(1, 4);
    let worker = site.keys()[0];
    site.submit(1, job(vec![step(1, 4, 500)]));
    site.run_orders();
    assert_eq!(site.running().len(), 1);
    let look = WorkerStatus {
        clock_ms: 5,
        started_ms: Some(2),
        ..WorkerStatus::default()
    };
    let sent = site.now;
    site.pass(1);
    site.cell.poll_answered(worker, sent, look, site.now);
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].run, 2);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut site = Site::new(1, 4);
    let mut draining = entry(0, 4);
    draining.draining = true;
    site.cell.register_worker(draining, false, site.now);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide();
    assert!(site.starts.is_empty());
}

/// Pattern: a list that comes back after an outage lacks live workers for two seconds.
#[test]
fn a_worker_that_left_the_list_is_used_on_for_a_while_if_it_answers() {
    let mut site = Site::new(1, 4);
    site.cell.mark_unlisted("i-0", site.now);
    site.pass(1_000);
    site.look_all();
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide();
    assert_eq!(site.starts.len(), 1);
    site.pass(2_000);
    site.look_all();
    site.submit(2, job(vec![step(1, 1, 500)]));
    site.starts.clear();
    site.decide();
    assert!(site.starts.is_empty());
}

/// Pattern: a worker that fails all that it starts takes tasks away from the sound ones, since it
/// always has room.
#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    let mut site = Site::new(2, 4);
    let bad = site.keys()[0];
    for number in 0..12 {
        site.submit(number, job(vec![step(1, 1, 500)]));
    }
    let mut failures = 0;
    for _ in 0..12 {
        site.run_orders();
        for (key, task) in site.running() {
            let how = if key == bad {
                failures += 1;
                EndReason::Failed
            } else {
                EndReason::Done
            };
            site.end(key, task, how);
        }
        site.look_all();
        site.pass(50);
    }
    assert!(failures <= 4, "{failures} runs failed there");
    site.pass(Span::from_secs(3).as_millis());
    site.look_all();
    site.submit(20, job(vec![step(8, 1, 500)]));
    site.run_orders();
    assert!(
        site.running().iter().any(|(key, _)| *key == bad),
        "it is tried again"
    );
}

/// Starts a task, and has its worker miss a look.
fn site_with_a_missed_look(missed: PollFailure) -> (Site, kingcupwinch_cell::WorkerKey) {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    site.look_all();
    let (worker, _) = site.running()[0];
    site.cell.poll_failed(worker, missed);
    (site, worker)
}

fn id_of(site: &Site, worker: kingcupwinch_cell::WorkerKey) -> std::sync::Arc<str> {
    let rows = site.cell.workers();
    let row = rows.into_iter().find(|(key, _, _)| *key == worker);
    row.unwrap().1
}

/// Pattern: workers are taken away at short notice; their tasks wait for no lease.
#[test]
fn a_worker_that_closed_and_left_the_directory_at_once_runs_nothing() {
    let (mut site, worker) = site_with_a_missed_look(PollFailure::Closed);
    let id = id_of(&site, worker);
    site.pass(300);
    site.cell.mark_unlisted(&id, site.now);
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_ne!(site.starts[0].worker, worker);
}

/// Its entry may have gone for silence while its process goes on behind a cut.
#[test]
fn a_worker_that_left_the_directory_long_after_its_last_answer_may_run_on() {
    let (mut site, worker) = site_with_a_missed_look(PollFailure::Closed);
    let id = id_of(&site, worker);
    site.pass(LEFT_WITHIN.as_millis() + 1);
    site.cell.mark_unlisted(&id, site.now);
    site.decide();
    assert!(site.starts.is_empty());
}

/// Pattern: a zone is cut off, and the cut refuses connections in the name of workers that go on.
#[test]
fn a_closed_or_refused_connection_alone_says_nothing() {
    let (mut site, _) = site_with_a_missed_look(PollFailure::Closed);
    site.pass(3_000);
    site.decide();
    assert!(site.starts.is_empty());
}

#[test]
fn an_answer_takes_back_what_missed_looks_told() {
    let (mut site, worker) = site_with_a_missed_look(PollFailure::Closed);
    site.look(worker);
    site.cell.poll_failed(worker, PollFailure::Silent);
    let id = id_of(&site, worker);
    site.cell.mark_unlisted(&id, site.now);
    site.decide();
    assert!(site.starts.is_empty());
}
