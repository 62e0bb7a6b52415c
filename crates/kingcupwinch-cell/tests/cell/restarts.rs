//! Long-running tasks of wide steps that need advice, and how soon they run again.

use kingcupwinch_cell::{CellEvent, EndReason, JobSpec, StepSpec, TaskName, WorkerKey};
use kingcupwinch_time::{Span, Time};
use rstest::rstest;

use crate::harness::{Harness, job, step, with_advice};

/// The time of a round, in which a call to the adviser is answered.
const ROUND_MS: u64 = 500;
/// How soon a task has to run again while there is capacity for it.
const RESTART_TARGET: Span = Span::from_millis(3_000);

/// A long-running job of one step, of which a worker may run one task.
fn spread_job(tasks: u16) -> JobSpec {
    let step = StepSpec {
        long_running: true,
        worker_limit: Some(1),
        max_unavailable: 1,
        ..step(tasks, 1, 1_000)
    };
    with_advice(job(vec![step]), 400.0)
}

/// Answers all calls, allowing about a third of the workers.
fn answer_calls(harness: &mut Harness) {
    harness.answer_calls(|_, worker| {
        let number: usize = worker.trim_start_matches("i-").parse().unwrap();
        number * 8 % 35 < 12
    });
}

/// Runs a round, in which the calls of the round before are answered.
fn play_round(harness: &mut Harness) {
    harness.advance(ROUND_MS);
    answer_calls(harness);
    harness.set_ready();
    harness.poll_all();
    harness.run_round();
}

/// Runs rounds until a number of tasks run, and returns when that was, or `None` if `until` came
/// before.
fn wait_for_running(harness: &mut Harness, tasks: usize, until: Time) -> Option<Time> {
    while harness.running().len() < tasks {
        if harness.now >= until {
            return None;
        }
        play_round(harness);
    }
    Some(harness.now)
}

fn fail_first(harness: &mut Harness) -> (WorkerKey, TaskName) {
    harness.set_ready();
    harness.poll_all();
    let (worker, task) = harness.running()[0];
    harness.end(worker, task, EndReason::Failed);
    harness.poll_all();
    (worker, task)
}

/// The step's own workers, which may have no second task of it, counted as capacity and came first
/// in each call: a task that ended waited for several calls, or for ever.
#[rstest]
fn a_task_of_a_wide_step_restarts_although_its_own_workers_are_at_the_limit(
    #[values(5, 20, 30, 60, 100)] tasks: u16,
) {
    let mut harness = Harness::new(350, 4);
    harness.submit(1, spread_job(tasks));
    let tasks = usize::from(tasks);
    let until = harness.now + Span::from_secs(30);
    let started = wait_for_running(&mut harness, tasks, until);
    assert!(started.is_some(), "{} tasks run", harness.running().len());
    // The tickets expire while all tasks run.
    for _ in 0..12 {
        play_round(&mut harness);
    }
    fail_first(&mut harness);
    let until = harness.now + RESTART_TARGET;
    let restarted = wait_for_running(&mut harness, tasks, until);
    assert!(restarted.is_some(), "{} tasks run", harness.running().len());
}

/// A call names no worker on which an answer couldn't lead to a start.
#[test]
fn no_call_names_a_worker_at_the_limit_of_the_step() {
    let mut harness = Harness::new(20, 4);
    harness.submit(1, spread_job(4));
    let until = harness.now + Span::from_secs(30);
    assert!(wait_for_running(&mut harness, 4, until).is_some());
    for _ in 0..12 {
        play_round(&mut harness);
    }
    let (free, _) = fail_first(&mut harness);
    harness.decide();
    let occupied: Vec<WorkerKey> = harness.running().iter().map(|(key, _)| *key).collect();
    let named = &harness.calls[0].1;
    for (key, id, _) in harness.cell.workers() {
        if occupied.contains(&key) {
            assert!(!named.contains(&id), "{id} is asked about");
        }
    }
    assert!(!occupied.contains(&free));
}

/// A task that waited left no line that said why. The report counts every worker once.
#[test]
fn a_step_that_waits_is_reported_once_a_second_with_its_obstacles() {
    let mut harness = Harness::new(6, 4);
    harness.submit(1, job(vec![step(2, 4, 60_000)]));
    harness.run_round();
    harness.submit(2, spread_job(6));
    let mut reports = Vec::new();
    for _ in 0..30 {
        answer_calls(&mut harness);
        harness.set_ready();
        harness.poll_all();
        harness.run_round();
        harness.advance(94);
        for event in harness.cell.take_events() {
            if let CellEvent::StepWaits(wait) = event {
                reports.push(wait);
            }
        }
    }
    assert_eq!(reports.len(), 2, "{reports:?}");
    assert!(reports[0].age >= Span::from_millis(1_000));
    assert!(reports[1].age >= reports[0].age + Span::from_millis(1_000));
    for report in reports {
        assert_eq!(report.step, "0000000000000002.0.0");
        assert_eq!(report.tasks, 6 - harness.running().len() + 2);
        assert_eq!(report.at_limit, harness.running().len() - 2);
        let named = report.startable + report.denied + report.at_limit + report.full;
        assert_eq!(named, 6, "{report:?}");
    }
}

/// A step whose tasks all run isn't reported, nor is the time of an earlier wait counted.
#[test]
fn a_step_is_reported_only_for_the_current_wait() {
    let mut harness = Harness::new(4, 4);
    harness.submit(1, spread_job(2));
    let until = harness.now + Span::from_secs(30);
    assert!(wait_for_running(&mut harness, 2, until).is_some());
    harness.cell.take_events();
    for _ in 0..6 {
        play_round(&mut harness);
    }
    fail_first(&mut harness);
    harness.run_round();
    assert_eq!(harness.cell.take_events(), vec![]);
}
