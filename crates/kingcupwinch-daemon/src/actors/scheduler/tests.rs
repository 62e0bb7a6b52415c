use std::sync::Arc;

use kingcupwinch_coord::id::TaskId;
use kingcupwinch_wire::api::JobPhase;
use kingcupwinch_wire::worker::{EndedWork, Usage, WorkOutcome};

use super::{DropWaiting, UsageReported};
use crate::actors::tests::{Node, holds_soon};

/// Number of the first attempt of a job's second submission.
const SECOND_SUBMISSION: u32 = 513;

/// Reports that a task has ended on a worker.
async fn report_end(node: &Node, name: &Arc<str>, task: TaskId, outcome: WorkOutcome) {
    let ended = EndedWork {
        task: task.0,
        attempt: SECOND_SUBMISSION,
        outcome,
        run_ms: 50,
    };
    let reported = UsageReported {
        name: Arc::clone(name),
        sent: node.shared.now(),
        usage: Usage {
            ended: vec![ended],
            ..Usage::default()
        },
    };
    node.scheduler.ask(reported).await.unwrap();
}

/// A new owner of a worker reads the ends of the last minutes, among them failures that the owner
/// before has counted and repaired by another attempt.
#[tokio::test]
async fn an_old_failure_that_a_worker_still_lists_ends_no_job() {
    let node = Node::start(false).await;
    let worker = node.list_worker().await;
    let job = node.accept(1, true).await;
    assert!(holds_soon(async || node.queue().await == (1, 0)).await);
    node.scheduler.ask(DropWaiting(job.id)).await.unwrap();
    report_end(&node, &worker, job.task(0), WorkOutcome::Failed).await;
    report_end(&node, &worker, job.task(0), WorkOutcome::Done).await;
    let ended = async || node.status(job).await.unwrap().phase == JobPhase::Done;
    assert!(holds_soon(ended).await, "the failure has ended the job");
}

/// A task that must not run twice has no other attempt, so its listed failure is its end.
#[tokio::test]
async fn a_listed_failure_ends_a_job_that_must_not_run_twice() {
    let node = Node::start(false).await;
    let worker = node.list_worker().await;
    let job = node.accept(1, false).await;
    assert!(holds_soon(async || node.queue().await == (1, 0)).await);
    node.scheduler.ask(DropWaiting(job.id)).await.unwrap();
    report_end(&node, &worker, job.task(0), WorkOutcome::Failed).await;
    let ended = async || node.status(job).await.unwrap().phase == JobPhase::Failed;
    assert!(holds_soon(ended).await);
}
