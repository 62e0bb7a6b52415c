//! Jobs whose steps run on a schedule.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, Schedule};
use kingcupwinch_time::Span;

use crate::harness::{Harness, id, job, step};

/// The time at which each test begins, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

fn scheduled_job(count: u32, interval_ms: u64) -> JobSpec {
    let mut second = step(1, 1, 500);
    second.after = [0].into_iter().collect();
    JobSpec {
        schedule: Some(Schedule {
            count,
            first_ms: START_UNIX_MS + 1_000,
            interval_ms,
        }),
        ..job(vec![step(1, 1, 500), second])
    }
}

fn harness() -> Harness {
    let mut harness = Harness::new(2, 4);
    harness.cell.set_wall_clock(START_UNIX_MS, harness.now);
    harness
}

fn complete_running(harness: &mut Harness) {
    harness.end_all(EndReason::Done);
    harness.poll_all();
    harness.run_round();
}

/// Returns the occurrence and the step of each running task.
fn running_steps(harness: &Harness) -> Vec<(u32, u16)> {
    let mut names: Vec<_> = harness.running().iter().map(|(_, task)| *task).collect();
    names.sort();
    let steps = names.iter().map(|name| (name.occurrence, name.step));
    steps.collect()
}

#[test]
fn an_occurrence_starts_when_it_is_due_and_not_before() {
    let mut harness = harness();
    harness.submit(1, scheduled_job(1, 0));
    harness.advance(900);
    harness.poll_all();
    harness.decide();
    assert!(harness.starts.is_empty());
    harness.advance(100);
    harness.poll_all();
    harness.decide();
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_job_is_complete_when_its_last_occurrence_is() {
    let mut harness = harness();
    harness.submit(1, scheduled_job(2, 5_000));
    harness.advance(1_000);
    harness.poll_all();
    harness.run_round();
    complete_running(&mut harness);
    complete_running(&mut harness);
    assert_eq!(
        harness.job_state(1),
        Some(JobState::Running),
        "one occurrence is not due yet"
    );
    harness.advance(5_000);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running()[0].1.occurrence, 1);
    complete_running(&mut harness);
    complete_running(&mut harness);
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

#[test]
fn overlapping_occurrences_keep_their_own_step_order() {
    let mut harness = harness();
    harness.submit(1, scheduled_job(2, 200));
    harness.advance(1_200);
    harness.poll_all();
    harness.run_round();
    assert_eq!(running_steps(&harness), [(0, 0), (1, 0)]);
    let (worker, first) = *harness
        .running()
        .iter()
        .find(|(_, t)| t.occurrence == 0)
        .unwrap();
    harness.end(worker, first, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    assert_eq!(running_steps(&harness), [(0, 1), (1, 0)]);
}

/// Done steps of earlier occurrences are recorded as ranges instead of task by task.
#[test]
fn a_later_owner_continues_with_the_remaining_occurrences() {
    let mut harness = harness();
    harness.submit(1, scheduled_job(3, 1_000));
    for _ in 0..2 {
        harness.advance(1_000);
        harness.poll_all();
        harness.run_round();
        complete_running(&mut harness);
        complete_running(&mut harness);
    }
    let record = harness.records[&id(1)].clone();
    assert_eq!(record.done_steps, [(0, 4)]);

    let mut later = Harness::new(1, 4);
    later.cell.set_wall_clock(START_UNIX_MS + 2_100, later.now);
    later.cell.restore(
        id(1),
        Some(scheduled_job(3, 1_000)),
        Some(&record),
        Span::ZERO,
        later.now,
    );
    later.decide();
    assert!(
        later.starts.is_empty(),
        "two occurrences are done and the third is not due"
    );
    later.advance(900);
    later.poll_all();
    later.decide();
    assert_eq!(later.starts.len(), 1);
    assert_eq!(later.starts[0].task.occurrence, 2);
}
