//! A request that is refused as "not run" certainly did not run.

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::{Availability, WorkerFaults};
use kingcupwinch_wire::api::ProblemOutcome;
use kingcupwinch_wire::worker::Refusal;
use rstest::rstest;

use crate::caller::{Caller, Reply, wait_until};
use crate::cluster::Cluster;

pub(super) const UNKNOWN: ProblemOutcome = ProblemOutcome::Unknown;

/// Checks a refusal of a request against the workers' history of starts.
fn assert_truthful(cluster: &Cluster, id: &str, reply: &Reply) {
    let media = reply.headers.get("content-type");
    if media.is_none_or(|m| m != "application/problem+json") {
        return;
    }
    let problem = reply.problem();
    if problem.outcome == ProblemOutcome::NotRun {
        let starts = cluster.history.request_starts(id);
        assert_eq!(starts, 0, "{id} was refused as not run: {problem:?}");
    }
}

fn set_all(cluster: &Cluster, faults: WorkerFaults) {
    for worker in &cluster.workers {
        worker.set_faults(faults);
    }
}

#[rstest]
#[case::full(Refusal::Full)]
#[case::leaving(Refusal::Leaving)]
#[case::stale(Refusal::StaleTerm)]
#[case::late(Refusal::Late)]
#[case::service(Refusal::UnknownService)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_by_every_worker(#[case] reason: Refusal) {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    set_all(
        &cluster,
        WorkerFaults {
            refusal: Some(reason),
            ..WorkerFaults::default()
        },
    );
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-request-id", "a"), ("kcw-deadline-ms", "500")];
    let reply = caller.run("booking", &headers, "").await;
    assert_eq!(reply.problem().outcome, ProblemOutcome::NotRun);
    assert_truthful(&cluster, "a", &reply);
}

/// The request ran once, its answer was lost, and it could not run again. The outcome is not "not
/// run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ran_once_and_then_refused_by_every_worker() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    set_all(
        &cluster,
        WorkerFaults {
            drops_responses: true,
            ..WorkerFaults::default()
        },
    );
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [
        ("x-request-id", "a"),
        ("x-run-ms", "100"),
        ("kcw-deadline-ms", "2000"),
    ];
    let call = caller.run("booking", &headers, "");
    let refuse_all = async {
        wait_until("the request is running", || async {
            cluster.history.request_starts("a") == 1
        })
        .await;
        set_all(
            &cluster,
            WorkerFaults {
                drops_responses: true,
                refusal: Some(Refusal::Full),
                ..WorkerFaults::default()
            },
        );
    };
    let (reply, ()) = tokio::join!(call, refuse_all);
    assert_truthful(&cluster, "a", &reply);
    assert_eq!(reply.problem().outcome, UNKNOWN);
}

/// Some answers are dropped, some work is refused, one worker dies, and the log fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn under_many_faults_at_once() {
    let cluster = Cluster::start(4).await;
    let daemon = cluster.start_daemon("entry-1").await;
    cluster.workers[0].set_faults(WorkerFaults {
        drops_responses: true,
        ..WorkerFaults::default()
    });
    cluster.workers[1].set_faults(WorkerFaults {
        refusal: Some(Refusal::Full),
        ..WorkerFaults::default()
    });
    let caller = Caller::new(daemon.addresses().callers);
    let calls = (0..120).map(|n| {
        let caller = caller.clone();
        async move {
            let id = format!("r{n}");
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-run-ms", "20"),
                ("kcw-deadline-ms", "3000"),
            ];
            let reply = caller.run("booking", &headers, "").await;
            (id, reply)
        }
    });
    let faults = async {
        wait_until("work is running", || async {
            cluster.history.starts().len() >= 10
        })
        .await;
        cluster.workers[2].kill();
        cluster
            .log_server
            .set_availability(Availability::Unavailable);
    };
    let (replies, ()) = tokio::join!(join_all(calls), faults);
    for (id, reply) in &replies {
        assert_truthful(&cluster, id, reply);
    }
    let whole = replies.iter().filter(|(_, r)| r.status == 200).count();
    assert!(whole > 0, "no request got an answer");
}

/// An instance that is stopped at once reports work in flight as unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ended_at_once_with_work_in_flight() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-request-id", "a"), ("x-run-ms", "60000")];
    let call = caller.run("booking", &headers, "");
    let end = async {
        wait_until("the request is running", || async {
            cluster.history.request_starts("a") == 1
        })
        .await;
        daemon.stop_unless(std::future::ready(())).await
    };
    let (reply, end) = tokio::join!(call, end);
    assert_eq!(end, StopEnd::Forced);
    assert_eq!(reply.problem().outcome, UNKNOWN);
}
