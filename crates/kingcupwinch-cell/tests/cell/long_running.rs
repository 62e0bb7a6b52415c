//! Long-running tasks, which run until their job is cancelled.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, StepSpec};

use crate::harness::{Harness, id, job, registration, step};

fn long_running(count: u16, max_unavailable: u16) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable,
        ..step(count, 1, 500)
    }
}

fn long_running_job(count: u16, max_unavailable: u16) -> JobSpec {
    job(vec![long_running(count, max_unavailable)])
}

/// Has the workers report every run as ready.
fn make_ready(harness: &mut Harness) {
    for fake in harness.workers.values_mut() {
        for run in &mut fake.running {
            run.percent = 100;
        }
    }
    harness.poll_all();
}

#[test]
fn a_long_running_task_is_restarted_for_any_end_reason() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, long_running_job(1, 0));
    harness.run_round();
    for reason in [EndReason::Done, EndReason::Failed, EndReason::LeaseExpired] {
        make_ready(&mut harness);
        harness.advance(3_000);
        harness.end_all(reason);
        harness.poll_all();
        harness.run_round();
        assert_eq!(harness.running().len(), 1, "after {reason:?}");
        assert_eq!(harness.job_state(1), Some(JobState::Running));
    }
}

#[test]
fn a_ready_long_running_task_is_not_stopped_as_stalled() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, long_running_job(1, 0));
    harness.run_round();
    make_ready(&mut harness);
    for _ in 0..20 {
        harness.advance(1_000);
        harness.poll_all();
        harness.decide();
    }
    assert!(harness.stops.is_empty());
}

/// A task that fails at each start must not keep its owner busy.
#[test]
fn a_failing_long_running_task_restarts_with_backoff() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, long_running_job(1, 0));
    harness.run_round();
    let mut longest = 0;
    for _ in 0..12 {
        harness.end_all(EndReason::Failed);
        let mut waited = 0;
        while harness.running().is_empty() {
            harness.advance(50);
            waited += 50;
            harness.poll_all();
            harness.run_round();
            assert!(waited < 20_000, "the task is not restarted");
        }
        longest = longest.max(waited);
    }
    // The quarantine of a failing worker is longer than the backoff of the task.
    assert!(longest >= 1_600, "the longest backoff was {longest} ms");
}

#[test]
fn a_cancelled_long_running_job_stops_its_tasks() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, long_running_job(2, 0));
    harness.run_round();
    harness.cell.cancel(id(1), harness.now);
    harness.run_round();
    harness.poll_all();
    harness.append_records();
    harness.run_round();
    assert!(harness.running().is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Cancelled));
}

/// The tasks of a draining worker move elsewhere, never more at a time than may be unavailable.
#[test]
fn tasks_leave_a_draining_worker_a_few_at_a_time() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, long_running_job(3, 1));
    harness.run_round();
    make_ready(&mut harness);
    let key = harness
        .cell
        .register_worker(registration(1, 4), false, harness.now);
    harness
        .workers
        .insert(key, crate::harness::FakeWorker::default());
    harness.poll_all();
    let mut draining = registration(0, 4);
    draining.draining = true;
    harness.cell.register_worker(draining, false, harness.now);
    for left in [2, 1, 0] {
        harness.decide();
        assert_eq!(harness.stops.len(), 1, "{left} tasks stay for now");
        let stop = harness.stops.remove(0);
        harness.stop(&stop);
        harness.decide();
        assert!(harness.stops.is_empty(), "one task is unavailable");
        harness.poll_all();
        harness.run_round();
        make_ready(&mut harness);
        let moved = harness
            .running()
            .iter()
            .filter(|(on, _)| *on == key)
            .count();
        assert_eq!(moved, 3 - left);
    }
}

#[test]
fn tasks_stay_on_a_draining_worker_without_capacity_elsewhere() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, long_running_job(1, 1));
    harness.run_round();
    make_ready(&mut harness);
    let mut draining = registration(0, 4);
    draining.draining = true;
    harness.cell.register_worker(draining, false, harness.now);
    harness.decide();
    assert!(harness.stops.is_empty());
}

fn latency_sensitive(count: u16) -> StepSpec {
    StepSpec {
        latency_sensitive: true,
        ..long_running(count, 0)
    }
}

fn best_effort(count: u16) -> StepSpec {
    StepSpec {
        best_effort: true,
        ..step(count, 1, 5_000)
    }
}

#[test]
fn best_effort_tasks_avoid_workers_with_latency_sensitive_ones() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![latency_sensitive(1)]));
    harness.run_round();
    let (worker, _) = harness.running()[0];
    harness.submit(2, job(vec![best_effort(6)]));
    harness.run_round();
    let on_worker = harness
        .running()
        .iter()
        .filter(|(on, _)| *on == worker)
        .count();
    assert_eq!((harness.running().len(), on_worker), (7, 1));
}

#[test]
fn best_effort_tasks_stop_for_a_latency_sensitive_one() {
    let mut harness = Harness::new(1, 4);
    harness.submit(1, job(vec![best_effort(2)]));
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    harness.submit(2, job(vec![latency_sensitive(1)]));
    harness.decide();
    harness.run_round();
    harness.run_round();
    harness.poll_all();
    let names: Vec<_> = harness.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(names, [id(2)]);
}
