use std::time::Duration;

use kingcupwinch_coord::id::{Attempt, TaskId, Term};
use kingcupwinch_coord::record::{JobEnd, JobRecord};
use kingcupwinch_fakes::Availability;
use kingcupwinch_wire::api::JobPhase;
use kingcupwinch_wire::sibling::TaskPhase;
use rstest::rstest;
use tokio::sync::oneshot;

use super::{CancelJob, CancelOutcome, HomeRenewed, TaskEvent};
use crate::actors::scheduler::DropWaiting;
use crate::actors::tests::{Node, OWN_SHARD, holds_soon};
use crate::jobs::JobIdParts;

async fn report(node: &Node, task: TaskId, phase: TaskPhase) {
    let event = TaskEvent {
        task,
        attempt: Attempt(0),
        phase,
        from: None,
        crashes: None,
    };
    node.jobs.ask(event).await.unwrap();
}

/// Submits a job of two tasks. The worker of the first changes hands, and the second is returned.
async fn return_one_of_two(node: &Node, idempotent: bool) -> JobIdParts {
    let job = node.accept(2, idempotent).await;
    assert!(holds_soon(async || node.queue().await == (2, 0)).await);
    node.scheduler.ask(DropWaiting(job.id)).await.unwrap();
    report(node, job.task(0), TaskPhase::Moved).await;
    report(node, job.task(1), TaskPhase::NotRun).await;
    job
}

/// A task whose worker has changed hands may still run there while another task of its job is
/// returned and submitted again.
#[tokio::test]
async fn a_returned_task_is_submitted_without_those_that_may_still_run() {
    let node = Node::start(false).await;
    let job = return_one_of_two(&node, true).await;
    assert_eq!(node.queue().await, (1, 0), "only the returned task waits");
    assert!(
        holds_soon(async || node.queue().await == (2, 0)).await,
        "the other task follows once its lease has certainly expired"
    );
    let status = node.status(job).await.unwrap();
    assert_eq!((status.waiting, status.failed), (2, 0));
}

/// The same where a task must not run twice: the other one is never submitted again.
#[tokio::test]
async fn a_returned_task_brings_back_none_that_may_have_run() {
    let node = Node::start(false).await;
    let job = return_one_of_two(&node, false).await;
    assert!(
        holds_soon(async || node.status(job).await.unwrap().failed == 1).await,
        "an operator has to decide about the other task"
    );
    assert_eq!(node.queue().await, (1, 0), "only the returned task waits");
}

/// The term of the home shard is renewed while the start record is on its way to the log.
#[tokio::test]
async fn a_job_starts_though_its_home_was_renewed_meanwhile() {
    let node = Node::start(false).await;
    node.accept(1, false).await;
    let renewed = HomeRenewed {
        shard: OWN_SHARD,
        term: Term(2),
    };
    node.jobs.ask(renewed).await.unwrap();
    assert!(holds_soon(async || node.queue().await == (1, 0)).await);
}

/// The record of a job that an earlier owner has accepted takes effect after the recovery.
#[rstest]
#[case::repeatable(true)]
#[case::at_most_once(false)]
#[tokio::test]
async fn a_job_that_an_earlier_owner_accepted_late_is_started(#[case] idempotent: bool) {
    let node = Node::start(false).await;
    node.accept(1, idempotent).await;
    assert!(holds_soon(async || node.queue().await == (1, 0)).await);
    node.append_job(OWN_SHARD, 1, idempotent);
    assert!(holds_soon(async || node.queue().await == (2, 0)).await);
}

/// While the log is out, another owner may take over and run a job whose end is not on the log.
#[tokio::test]
async fn an_end_is_shown_and_confirmed_only_once_it_is_on_the_log() {
    let node = Node::start(false).await;
    let job = node.accept(1, true).await;
    node.log_server.set_availability(Availability::Unavailable);
    let (recorded, mut confirmed) = oneshot::channel();
    let cancel = CancelJob {
        job: job.id,
        recorded,
    };
    let outcome = node.jobs.ask(cancel).await.unwrap();
    assert_eq!(outcome, CancelOutcome::Cancelled);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(confirmed.try_recv().is_err(), "confirmed without the log");
    let status = node.status(job).await.unwrap();
    assert_eq!(status.phase, JobPhase::Waiting, "shown without the log");
    node.log_server.set_availability(Availability::Up);
    confirmed.await.unwrap();
    assert_eq!(node.status(job).await.unwrap().phase, JobPhase::Cancelled);
}

/// A returned task does not start again while its job's end is on its way to the log.
#[tokio::test]
async fn a_returned_task_of_a_cancelled_job_is_not_submitted() {
    let node = Node::start(false).await;
    let job = node.accept(1, true).await;
    assert!(holds_soon(async || node.queue().await == (1, 0)).await);
    node.log_server.set_availability(Availability::Unavailable);
    let (recorded, _confirmed) = oneshot::channel();
    let cancel = CancelJob {
        job: job.id,
        recorded,
    };
    node.jobs.ask(cancel).await.unwrap();
    report(&node, job.task(0), TaskPhase::NotRun).await;
    assert_eq!(node.queue().await, (0, 0));
}

/// The end that an earlier owner of the home shard has decided takes effect after its recovery.
#[tokio::test]
async fn a_job_that_another_instance_has_ended_starts_nothing_more() {
    let node = Node::start(false).await;
    let job = node.accept(2, true).await;
    assert!(holds_soon(async || node.queue().await == (2, 0)).await);
    node.append(JobRecord::Ended(vec![(job.id, JobEnd::Cancelled)]));
    assert!(holds_soon(async || node.queue().await == (0, 0)).await);
    assert_eq!(node.status(job).await.unwrap().phase, JobPhase::Cancelled);
}
