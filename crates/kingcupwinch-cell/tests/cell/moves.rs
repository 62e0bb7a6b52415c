//! Moving long-running tasks away from draining workers.

use kingcupwinch_cell::{EndReason, JobSpec, PollFailure, StepSpec, WorkerKey};

use crate::harness::{FakeWorker, Harness, id, job, registration, step, with_advice};

fn long_running(count: u16, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: count,
        ..step(count, cores, 500)
    }
}

/// A job that is less urgent than any long-running one.
fn patient(count: u16, cores: u64) -> JobSpec {
    let mut spec = job(vec![step(count, cores, 500)]);
    spec.policy.target_ms = 60_000;
    spec
}

fn add_worker(harness: &mut Harness, number: usize, cores: u64) -> WorkerKey {
    let entry = registration(number, cores);
    let key = harness.cell.register_worker(entry, false, harness.now);
    harness.workers.insert(key, FakeWorker::default());
    harness.poll_all();
    key
}

fn drain(harness: &mut Harness, number: usize, cores: u64) {
    let mut entry = registration(number, cores);
    entry.draining = true;
    harness.cell.register_worker(entry, false, harness.now);
}

fn make_ready(harness: &mut Harness) {
    harness.set_ready();
    harness.poll_all();
}

/// Responds to all calls with tickets for the workers of these numbers.
fn respond(harness: &mut Harness, allowed: &[usize]) {
    harness.answer_calls(|_, worker| allowed.iter().any(|n| *worker == *format!("i-{n}")));
}

/// Builds a harness whose first worker runs a ready long-running step and then drains.
fn harness_with_draining(spec: JobSpec, others: usize) -> Harness {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, spec);
    harness.decide();
    respond(&mut harness, &[0]);
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    make_ready(&mut harness);
    for number in 1..=others {
        add_worker(&mut harness, number, 4);
    }
    drain(&mut harness, 0, 4);
    harness
}

/// Stopped where a task could not start again, it would wait: the other worker has as many tasks of
/// the step as it may have.
#[test]
fn a_task_stays_if_the_limit_per_worker_leaves_no_place() {
    let mut harness = Harness::new(2, 4);
    let spread = StepSpec {
        worker_limit: Some(1),
        ..long_running(2, 1)
    };
    harness.submit(1, job(vec![spread]));
    harness.run_round();
    make_ready(&mut harness);
    drain(&mut harness, 0, 4);
    harness.decide();
    assert!(harness.stops.is_empty());
}

/// Stopped where the adviser allows no other worker, the task would wait for good.
#[test]
fn a_task_stays_if_the_adviser_allows_no_other_worker() {
    let spec = with_advice(job(vec![long_running(1, 1)]), 10.0);
    let mut harness = harness_with_draining(spec, 3);
    for _ in 0..20 {
        harness.decide();
        respond(&mut harness, &[0]);
        assert!(harness.stops.is_empty());
        harness.advance(200);
        harness.poll_all();
    }
}

/// Stopped before the adviser is asked, the task would wait for the response.
#[test]
fn the_adviser_is_asked_while_the_task_still_runs() {
    let spec = with_advice(job(vec![long_running(1, 1)]), 10.0);
    let mut harness = harness_with_draining(spec, 3);
    harness.decide();
    assert!(harness.stops.is_empty(), "no worker is allowed yet");
    assert_eq!(harness.calls.len(), 1);
    respond(&mut harness, &[2]);
    harness.run_round();
    assert!(harness.running().is_empty(), "the task is stopped");
    harness.poll_all();
    harness.run_round();
    let places: Vec<_> = harness.running().iter().map(|(key, _)| *key).collect();
    assert_eq!(places, [harness.keys()[2]]);
}

/// A ticket that expires before the stop is over would leave the task waiting for the next one.
#[test]
fn a_ticket_that_is_about_to_expire_is_renewed_before_the_move() {
    let spec = with_advice(job(vec![long_running(1, 1)]), 10.0);
    let mut harness = Harness::new(2, 4);
    harness.submit(1, spec);
    harness.decide();
    respond(&mut harness, &[0, 1]);
    harness.run_round();
    make_ready(&mut harness);
    harness.advance(2_300);
    make_ready(&mut harness);
    let from = harness.running()[0].0;
    let number = harness.keys().iter().position(|key| *key == from).unwrap();
    drain(&mut harness, number, 4);
    harness.decide();
    assert!(harness.stops.is_empty(), "50 ms are left");
    assert_eq!(harness.calls.len(), 1);
    respond(&mut harness, &[0, 1]);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
}

/// Three tasks counted the same room, and two of them would have waited.
#[test]
fn room_for_one_task_moves_one_task() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![long_running(3, 1)]));
    harness.run_round();
    make_ready(&mut harness);
    add_worker(&mut harness, 1, 1);
    drain(&mut harness, 0, 4);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
}

/// Tasks of two jobs counted the same room.
#[test]
fn room_for_one_task_moves_one_task_of_two_jobs() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![long_running(1, 1)]));
    harness.submit(2, job(vec![long_running(1, 1)]));
    harness.run_round();
    make_ready(&mut harness);
    add_worker(&mut harness, 1, 1);
    drain(&mut harness, 0, 4);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
}

/// While the stop was under way, a less urgent step took the room that was found for the task.
#[test]
fn room_found_for_a_move_is_kept_from_less_urgent_steps() {
    let mut harness = harness_with_draining(job(vec![long_running(1, 4)]), 1);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
    harness.submit(2, patient(4, 1));
    harness.decide();
    assert!(harness.starts.is_empty(), "the room is kept");
    harness.run_round();
    harness.poll_all();
    harness.run_round();
    let jobs: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(jobs, [id(1)]);
}

/// A draining worker that no longer responds must not keep room elsewhere for long.
#[test]
fn room_kept_for_a_move_is_released_after_a_time() {
    let mut harness = harness_with_draining(job(vec![long_running(1, 4)]), 1);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
    harness.submit(2, patient(4, 1));
    let target = harness.keys()[1];
    let mut waited = 0;
    while harness.starts.is_empty() {
        harness.advance(100);
        waited += 100;
        harness.poll(target);
        harness.decide();
        assert!(waited < 4_000, "the room is kept for too long");
    }
    assert!(waited > 1_000, "the room was kept for {waited} ms only");
}

/// A task was stopped for room that a waiting task took in the same round.
#[test]
fn a_waiting_task_gets_the_room_before_a_moving_one() {
    let mut harness = harness_with_draining(job(vec![long_running(1, 4)]), 1);
    harness.submit(2, job(vec![long_running(1, 4)]));
    harness.run_round();
    assert!(harness.stops.is_empty());
    let jobs: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(jobs, [id(1), id(2)]);
}

/// Another long-running step took the room between the stop and the restart.
#[test]
fn room_found_for_a_move_is_kept_until_the_task_starts() {
    let second_step = StepSpec {
        after: [0].into_iter().collect(),
        ..long_running(1, 4)
    };
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![step(1, 1, 500), second_step]));
    harness.run_round();
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
    make_ready(&mut harness);
    add_worker(&mut harness, 1, 4);
    drain(&mut harness, 0, 4);
    harness.run_round();
    assert!(harness.running().is_empty(), "the task is stopped");
    // Its step has the lower index, so it comes first.
    harness.submit(2, job(vec![long_running(1, 4)]));
    harness.poll_all();
    harness.run_round();
    let jobs: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(jobs, [id(1)]);
}

/// Stops were ordered, the adviser was asked and room was kept for tasks of draining workers that
/// had gone silent.
#[test]
fn a_task_of_a_silent_worker_is_not_moved() {
    let mut harness = harness_with_draining(job(vec![long_running(1, 1)]), 1);
    let silent = harness.keys()[0];
    harness.cell.poll_failed(silent, PollFailure::Unresponsive);
    harness.decide();
    assert!(harness.stops.is_empty());
    harness.poll(silent);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
}

/// A task was moved while another one of its step was away with a silent worker.
#[test]
fn a_task_of_a_silent_worker_counts_as_unavailable() {
    let spread = StepSpec {
        worker_limit: Some(1),
        max_unavailable: 1,
        ..long_running(2, 1)
    };
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![spread]));
    harness.run_round();
    make_ready(&mut harness);
    add_worker(&mut harness, 2, 4);
    drain(&mut harness, 0, 4);
    let silent = harness.keys()[1];
    harness.cell.poll_failed(silent, PollFailure::Unresponsive);
    harness.decide();
    assert!(harness.stops.is_empty());
    harness.poll(silent);
    harness.decide();
    assert_eq!(harness.stops.len(), 1);
}
