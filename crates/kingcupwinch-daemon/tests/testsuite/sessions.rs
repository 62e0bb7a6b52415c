//! Snapshot tests of whole sessions, with ids, times and random values redacted.

mod jobs;
mod transcript;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::{Availability, WorkerFaults};
use kingcupwinch_wire::worker::Refusal;

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;
use transcript::Transcript;

/// A view of the log that was fresh before this time has certainly expired after it.
const TWO_LEASES: Duration = Duration::from_secs(4);

fn set_all(cluster: &Cluster, faults: WorkerFaults) {
    for worker in &cluster.workers {
        worker.set_faults(faults);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_live_run() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut session = Transcript::new(daemon.addresses().callers);
    session.get("/healthz").await;
    session.get("/readyz").await;
    let headers = [("x-request-id", "check-1"), ("kcw-class", "check")];
    session
        .run("booking", &headers, "open-air stage, 24 June")
        .await;
    let headers = [("x-request-id", "check-2"), ("kcw-deadline-ms", "5000")];
    session.run("booking", &headers, "").await;
    session.run("catering", &[], "").await;
    session
        .run("booking", &[("kcw-class", "catering")], "")
        .await;
    session
        .run("booking", &[("kcw-class", "dispatch")], "")
        .await;
    session.get("/v1/nothing").await;
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_by_all_workers_then_accepted() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut session = Transcript::new(daemon.addresses().callers);
    let headers = [("x-request-id", "check-1"), ("kcw-deadline-ms", "400")];
    set_all(
        &cluster,
        WorkerFaults {
            refusal: Some(Refusal::Full),
            ..WorkerFaults::default()
        },
    );
    session.record_event("every worker is full");
    session.run("booking", &headers, "").await;
    set_all(&cluster, WorkerFaults::default());
    session.record_event("every worker has free slots");
    let headers = [("x-request-id", "check-2")];
    session.run("booking", &headers, "").await;
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_outage_and_recovery() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let mut session = Transcript::new(daemon.addresses().callers);
    session
        .run("booking", &[("x-request-id", "before")], "")
        .await;
    cluster
        .log_server
        .set_availability(Availability::Unavailable);
    session.record_event(
        "the log is unreachable; an instance that is the only voter of its group keeps serving",
    );
    wait_until("the daemon has noticed the outage", || async {
        let text = operators.get("/metrics").await;
        text.text().contains("kingcupwinch_log_readable 0")
    })
    .await;
    let until = Instant::now() + TWO_LEASES;
    while Instant::now() < until {
        assert!(
            operators.status().await.log.fresh,
            "the instance stopped dispatching"
        );
    }
    session
        .run("booking", &[("x-request-id", "during")], "")
        .await;
    cluster.log_server.set_availability(Availability::Up);
    session.record_event("the log is reachable again");
    wait_until("the daemon reads the log again", || async {
        let text = operators.get("/metrics").await;
        text.text().contains("kingcupwinch_log_readable 1")
    })
    .await;
    session
        .run("booking", &[("x-request-id", "after")], "")
        .await;
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_and_late_answers() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut session = Transcript::new(daemon.addresses().callers);
    session.record_event("three concurrent requests; the first runs longest");
    let calls = [("a", "300"), ("b", "150"), ("c", "0")].map(|(id, run_ms)| {
        let caller = session.caller();
        async move {
            let headers = [("x-request-id", id), ("x-run-ms", run_ms)];
            (id, caller.run("booking", &headers, id).await)
        }
    });
    for (id, reply) in join_all(calls).await {
        session.record_request("POST", "/v1/run/booking", &[("x-request-id", id)]);
        session.record_response(&reply);
    }
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_under_load() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut session = Transcript::new(daemon.addresses().callers);
    session.record_event("six requests, four slots, and a stop while they run");
    let calls = (0..6).map(|n| {
        let caller = session.caller();
        async move {
            let id = format!("check-{n}");
            let headers = [("x-request-id", id.as_str()), ("x-run-ms", "200")];
            let reply = caller.run("booking", &headers, "").await;
            (id, reply)
        }
    });
    let stop = async {
        wait_until("all slots are taken", || async {
            cluster.history.starts().len() == 4
        })
        .await;
        daemon.stop().await
    };
    let (replies, end) = tokio::join!(join_all(calls), stop);
    for (id, reply) in replies {
        session.record_request("POST", "/v1/run/booking", &[("x-request-id", &id)]);
        session.record_response(&reply);
    }
    session.record_event(match end {
        StopEnd::Clean => "the daemon stopped without cutting off a request",
        StopEnd::Forced => "the daemon was forced to stop",
    });
    insta::assert_snapshot!(session);
}
