use std::collections::HashSet;
use std::sync::Arc;

use kingcupwinch_coord::id::{Attempt, Incarnation, JobId, Term};
use kingcupwinch_time::Time;
use kingcupwinch_wire::api::JobSpec;
use kingcupwinch_wire::sibling::TaskPhase;
use uuid::Uuid;

use super::{JobProgress, TaskReport, TaskStatus};

fn make_progress(tasks: u32) -> JobProgress {
    let spec: JobSpec = serde_json::from_value(serde_json::json!({
        "class": "manifest", "customer": "festival", "tasks": tasks,
        "size": { "millicores": 1_000, "memory_mb": 512 },
    }))
    .unwrap();
    let status = TaskStatus::Unconfirmed(Time::ZERO);
    JobProgress::new(JobId(Uuid::nil()), Arc::new(spec), true, Term(3), status)
}

/// A worker takes a repeated attempt number for a repeated start, and starts nothing.
#[test]
fn attempt_numbers_of_a_task_do_not_repeat_while_others_are_submitted_again() {
    let mut progress = make_progress(2);
    let first = progress.next_attempt_base(&[0]);
    let others: HashSet<u32> = (0..1_000)
        .map(|_| progress.next_attempt_base(&[1]))
        .collect();
    assert_eq!(others.len(), 1_000);
    let mut bases = HashSet::from([first]);
    for _ in 0..300 {
        assert!(bases.insert(progress.next_attempt_base(&[0])));
    }
}

#[test]
fn attempt_numbers_of_a_task_differ_between_terms() {
    let mut progress = make_progress(1);
    let first = progress.next_attempt_base(&[0]);
    progress.continue_in(Term(4));
    assert_ne!(progress.next_attempt_base(&[0]), first);
}

/// The earlier owner's report of a moved task arrives after the new owner's report that it runs.
#[test]
fn a_task_stays_with_the_new_owner_of_its_worker_though_the_earlier_reports_late() {
    let [earlier, new] = [1, 2].map(|n| Incarnation(Uuid::from_u128(n)));
    let expiry = Time::from_millis(9_000);
    for before in [TaskStatus::Delegated(earlier), TaskStatus::Remote(earlier)] {
        let mut progress = make_progress(1);
        progress.set_status(&[0], before);
        let mut report = |phase, from| {
            let report = TaskReport {
                attempt: Attempt(0),
                phase,
                from: Some(from),
                expiry,
            };
            progress.apply_report(0, report);
            progress.tasks[0]
        };
        let running = TaskStatus::Remote(new);
        assert_eq!(report(TaskPhase::Running, new), running);
        assert_eq!(report(TaskPhase::Moved, earlier), running);
        assert_eq!(report(TaskPhase::NotRun, earlier), running);
        let moved = TaskStatus::Unconfirmed(expiry);
        assert_eq!(report(TaskPhase::Moved, new), moved);
    }
}
