//! Speculative runs of slow tasks.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, StepSpec};

use crate::harness::{Harness, id, job, step};

fn speculative_job(count: u16) -> JobSpec {
    job(vec![StepSpec {
        speculative: true,
        ..step(count, 1, 1_000)
    }])
}

/// Advances the time while the workers report progress.
fn advance_with_progress(harness: &mut Harness, ms: u64) {
    for at in 0..ms / 500 {
        harness.advance(500);
        for fake in harness.workers.values_mut() {
            for run in &mut fake.running {
                run.percent = (at % 99) as u8 + 1;
            }
        }
        harness.poll_all();
        harness.run_round();
    }
}

/// The worker of the first run has become slow.
#[test]
fn a_slow_run_gets_one_speculative_run_on_another_worker() {
    let mut harness = Harness::new(3, 4);
    harness.submit(1, speculative_job(1));
    harness.run_round();
    advance_with_progress(&mut harness, 1_000);
    assert_eq!(harness.running().len(), 1, "not slow yet");
    advance_with_progress(&mut harness, 4_000);
    let running = harness.running();
    assert_eq!(running.len(), 2);
    assert_ne!(running[0].0, running[1].0);
}

#[test]
fn the_first_run_to_end_counts_and_the_other_is_stopped() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, speculative_job(1));
    harness.run_round();
    let (first, task) = harness.running()[0];
    advance_with_progress(&mut harness, 2_500);
    assert_eq!(harness.running().len(), 2);
    harness.end(first, task, EndReason::Done);
    harness.poll_all();
    harness.run_round();
    harness.poll_all();
    harness.append_records();
    assert!(harness.running().is_empty());
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
    assert_eq!(harness.records[&id(1)].end, Some(JobState::Completed));
}

#[test]
fn a_failed_speculative_run_does_not_affect_the_original() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, speculative_job(1));
    harness.run_round();
    let (first, task) = harness.running()[0];
    advance_with_progress(&mut harness, 2_500);
    let (speculative, _) = *harness
        .running()
        .iter()
        .find(|(on, _)| *on != first)
        .unwrap();
    harness.end(speculative, task, EndReason::Failed);
    harness.poll_all();
    harness.run_round();
    assert_eq!(harness.running(), [(first, task)]);
    harness.end(first, task, EndReason::Done);
    harness.poll_all();
    harness.append_records();
    assert_eq!(harness.job_state(1), Some(JobState::Completed));
}

#[test]
fn a_step_without_speculation_gets_no_second_run() {
    let mut harness = Harness::new(2, 4);
    harness.submit(1, job(vec![step(1, 1, 1_000)]));
    harness.run_round();
    advance_with_progress(&mut harness, 8_000);
    assert_eq!(harness.running().len(), 1);
}

/// The step allows one task per worker, which also limits its speculative runs.
#[test]
fn a_speculative_run_respects_the_worker_limit() {
    let mut harness = Harness::new(3, 4);
    let limited = StepSpec {
        speculative: true,
        worker_limit: Some(1),
        ..step(2, 1, 1_000)
    };
    harness.submit(1, job(vec![limited]));
    harness.run_round();
    advance_with_progress(&mut harness, 6_000);
    let mut places: Vec<_> = harness.running().iter().map(|(on, _)| *on).collect();
    assert_eq!(places.len(), 3, "one speculative run has its own worker");
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 3);
}

/// A speculative run is placed by the same rules as the original.
#[test]
fn a_speculative_best_effort_run_avoids_latency_sensitive_tasks() {
    let mut harness = Harness::new(2, 4);
    let latency_sensitive = StepSpec {
        latency_sensitive: true,
        long_running: true,
        ..step(1, 1, 500)
    };
    harness.submit(1, job(vec![latency_sensitive]));
    harness.run_round();
    let best_effort = StepSpec {
        speculative: true,
        best_effort: true,
        ..step(1, 1, 1_000)
    };
    harness.submit(2, job(vec![best_effort]));
    harness.run_round();
    advance_with_progress(&mut harness, 6_000);
    assert_eq!(
        harness.running().len(),
        2,
        "no worker may take a speculative run"
    );
}
