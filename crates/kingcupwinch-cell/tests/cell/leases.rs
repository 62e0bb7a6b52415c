//! Workers that fall silent, come back or start anew.

use kingcupwinch_cell::{EndKind, Look};
use kingcupwinch_time::Span;

use crate::site::{LEASE, Site, entry, job, step};

#[test]
fn what_ran_on_a_silent_worker_starts_elsewhere_only_after_its_lease() {
    let mut site = Site::new(2, 4);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.run_orders();
    let (silent, _) = site.running()[0];
    let other = site.keys().into_iter().find(|key| *key != silent).unwrap();
    site.cell.look_failed(silent);
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
            .look_order(worker, site.now)
            .unwrap()
            .until
            .is_some()
    );
    site.cell.look_failed(worker);
    site.cell.look_failed(worker);
    assert!(
        site.cell
            .look_order(worker, site.now)
            .unwrap()
            .until
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
    let look = Look {
        clock: 5,
        born: Some(2),
        ..Look::default()
    };
    let sent = site.now;
    site.pass(1);
    site.cell.looked(worker, sent, look, site.now);
    site.decide();
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.starts[0].number, 2);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut site = Site::new(1, 4);
    let mut draining = entry(0, 4);
    draining.draining = true;
    site.cell.list_worker(draining, false, site.now);
    site.submit(1, job(vec![step(1, 1, 500)]));
    site.decide();
    assert!(site.starts.is_empty());
}

/// Pattern: a list that comes back after an outage lacks live workers for two seconds.
#[test]
fn a_worker_that_left_the_list_is_used_on_for_a_while_if_it_answers() {
    let mut site = Site::new(1, 4);
    site.cell.unlist_worker("i-0", site.now);
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
                EndKind::Failed
            } else {
                EndKind::Done
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
