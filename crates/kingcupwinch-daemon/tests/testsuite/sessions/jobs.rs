//! Sessions with jobs, idempotency keys and takeover.

use kingcupwinch_wire::api::JobPhase;
use serde_json::{Value, json};
use uuid::Uuid;

use super::transcript::Transcript;
use crate::caller::{Caller, wait_until};
use crate::cluster::{Cluster, all_dispatched};

fn job(class: &str, tasks: u32, run_ms: u64) -> Value {
    json!({
        "class": class, "customer": "festival", "tasks": tasks, "gang": class == "coverage",
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": run_ms,
    })
}

async fn wait_phase(caller: &Caller, id: &str, phase: JobPhase) {
    wait_until("the job has the expected phase", || async {
        caller.job(id).await.phase == phase
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_and_a_gang_until_done() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let mut session = Transcript::new(entries[0].callers());
    for spec in [job("manifest", 6, 30), job("coverage", 8, 60)] {
        let id = session.submit(&spec).await;
        wait_phase(&session.caller(), &id, JobPhase::Done).await;
        session.get(&format!("/v1/jobs/{id}")).await;
    }
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let mut session = Transcript::new(entries[0].callers());
    let id = session.submit(&job("manifest", 10, 600_000)).await;
    wait_until("all slots are taken", || async {
        cluster.workers[0].counts().starts == 4
    })
    .await;
    session.record_event("four of ten tasks are running");
    session.cancel(&id).await;
    session.record_event("the job is cancelled again");
    session.cancel(&id).await;
    wait_until("running tasks are stopped", || async {
        cluster.workers[0].counts().stops == 4
    })
    .await;
    session.record_event("the running tasks are stopped");
    wait_phase(&session.caller(), &id, JobPhase::Cancelled).await;
    session.cancel("no-such-job").await;
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_duplicate_request_with_a_key() {
    let cluster = Cluster::start(2).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let mut session = Transcript::new(entries[0].callers());
    let key = Uuid::now_v7().to_string();
    let headers = [
        ("kcw-class", "dispatch"),
        ("idempotency-key", key.as_str()),
        ("x-request-id", "van-1"),
    ];
    session.redact(&key, "[key]");
    session.run("booking", &headers, "to the square").await;
    session.record_event("the caller repeats the request");
    // The request counts as running until its end was reported to the key's home shard.
    wait_until("the answer is stored", || async {
        let caller = session.caller();
        caller
            .run("booking", &headers, "to the square")
            .await
            .status
            == 200
    })
    .await;
    session.run("booking", &headers, "to the square").await;
    assert_eq!(cluster.history.key_starts(&key), 1);
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_takeover() {
    let cluster = Cluster::start(4).await;
    let mut entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    cluster.wait_until_stable(&entries).await;
    let mut session = Transcript::new(entries[2].callers());
    session
        .run("booking", &[("x-request-id", "before")], "")
        .await;
    entries.remove(0).kill();
    session.record_event("an instance is killed, and its shards get new owners");
    wait_until("the remaining instances dispatch to every shard", || {
        all_dispatched(&entries)
    })
    .await;
    session
        .run("booking", &[("x-request-id", "after")], "")
        .await;
    insta::assert_snapshot!(session);
}
