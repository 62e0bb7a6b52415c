use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_coord::id::TaskId;
use kingcupwinch_wire::api::{JobPhase, WorkerState};
use kingcupwinch_wire::worker::{EndedWork, RunningWork, Usage, WorkKind, WorkOutcome};

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::{DropWaiting, GetStatus, PermitsChanged, UsageReported};
use crate::actors::tests::{FREE_SHARD, Node, holds_soon};

/// Number of the first attempt of a job's second submission.
const SECOND_SUBMISSION: u32 = 513;

/// Reports that a task has ended on a worker.
async fn report_end(node: &Node, name: &Arc<str>, task: TaskId, outcome: WorkOutcome) {
    let usage = Usage {
        ended: vec![make_end(task, outcome)],
        ..Usage::default()
    };
    let reported = make_report(node, name, usage);
    node.scheduler.ask(reported).await.unwrap();
}

fn make_end(task: TaskId, outcome: WorkOutcome) -> EndedWork {
    EndedWork {
        task: task.0,
        attempt: SECOND_SUBMISSION,
        outcome,
        run_ms: 50,
    }
}

fn make_report(node: &Node, name: &Arc<str>, usage: Usage) -> UsageReported {
    UsageReported {
        name: Arc::clone(name),
        sent: node.shared.now(),
        usage,
    }
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

/// A new owner looks up the work that a report lists as running. Its end arrives before the result.
#[tokio::test]
async fn work_that_ends_during_its_lookup_is_not_adopted() {
    let node = Node::start(true).await;
    let worker = node.list_worker().await;
    let job = node.append_job(FREE_SHARD, 1, true);
    assert!(holds_soon(async || node.status(job).await.is_some()).await);
    let running = RunningWork {
        task: job.task(0).0,
        attempt: SECOND_SUBMISSION,
        term: 1,
        kind: WorkKind::Task,
    };
    let running = Usage {
        running: vec![running],
        ..Usage::default()
    };
    let ended = Usage {
        ended: vec![make_end(job.task(0), WorkOutcome::Done)],
        ..Usage::default()
    };
    for usage in [running, ended] {
        let reported = make_report(&node, &worker, usage);
        node.scheduler.tell(reported).try_send().unwrap();
    }
    let free = async || {
        let status = node.scheduler.ask(GetStatus).await.unwrap();
        status.workers[0].state == WorkerState::Live
    };
    assert!(holds_soon(free).await);
    assert!(holds_soon(async || node.busy().await == 0).await);
    assert_eq!(node.queue().await, (0, 0), "the ended work was adopted");
}

/// A worker takes a start and breaks down before its answer. The repeat is refused a connection.
#[tokio::test]
async fn a_start_that_may_have_happened_is_not_taken_back_by_its_repeat() {
    let node = Node::start(false).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    node.list_worker_at(listener.local_addr().unwrap()).await;
    let breakdown = tokio::spawn(break_down_at_start(listener));
    node.scheduler.ask(PermitsChanged).await.unwrap();
    node.accept(1, true).await;
    breakdown.await.unwrap();
    let moved = async || node.queue().await != (0, 1);
    let moved = tokio::time::timeout(Duration::from_secs(1), async {
        while !moved().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(moved.await.is_err(), "the task counts as not started");
}

/// Accepts connections until one carries a start request, and then closes the port and them all.
async fn break_down_at_start(listener: TcpListener) {
    let mut open = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).await.unwrap();
        if head == *b"POST" {
            return;
        }
        open.push(stream);
    }
}
