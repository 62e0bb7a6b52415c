//! Tasks and live requests under which workers crash.

use kingcupwinch_fakes::FakeWorker;
use kingcupwinch_wire::api::{JobPhase, ProblemOutcome};
use serde_json::{Value, json};

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;

const HARMLESS: u32 = 12;

fn job(tasks: u32, run_ms: u64, payload: Value) -> Value {
    json!({
        "class": "manifest", "customer": "festival", "tasks": tasks,
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": run_ms, "payload": payload,
    })
}

/// A job of one task that crashes each worker that starts it.
fn crashing_job(crash_ms: u64) -> Value {
    job(1, 60_000, json!({ "crash_ms": crash_ms }))
}

fn crashes(cluster: &Cluster) -> u32 {
    let counts = cluster.workers.iter().map(FakeWorker::counts);
    counts.map(|counts| counts.crashes).sum()
}

async fn wait_phase(caller: &Caller, id: &str, phase: JobPhase) {
    wait_until("the job has ended", || async {
        let reply = caller.get(&format!("/v1/jobs/{id}")).await;
        let status = serde_json::from_slice::<Value>(&reply.body);
        status.is_ok_and(|status| status["phase"] == json!(phase))
    })
    .await;
}

/// The worker crashes before its response to the start, or after it.
async fn give_up(crash_ms: u64) {
    let cluster = Cluster::start(6).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    let caller = entries[0].caller();
    let harmless = caller.submit(&job(HARMLESS, 300, Value::Null)).await;
    let id = caller.submit(&crashing_job(crash_ms)).await;
    let late = caller.submit(&job(HARMLESS, 300, Value::Null)).await;
    wait_phase(&caller, &id, JobPhase::Failed).await;
    wait_phase(&caller, &harmless, JobPhase::Done).await;
    wait_phase(&caller, &late, JobPhase::Done).await;
    let crashes = crashes(&cluster);
    assert!((3..=5).contains(&crashes), "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_workers_is_given_up() {
    give_up(400).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_workers_before_their_response_is_given_up() {
    give_up(0).await;
}

/// The home that has counted the first crash dies. The second is under way, and is not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_count_outlives_the_home() {
    let cluster = Cluster::start(6).await;
    let mut entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    let id = entries[0].caller().submit(&crashing_job(400)).await;
    wait_until("two workers have crashed", || async {
        crashes(&cluster) >= 2
    })
    .await;
    entries.remove(0).kill();
    wait_phase(&entries[0].caller(), &id, JobPhase::Failed).await;
    let crashes = crashes(&cluster);
    assert!((3..=4).contains(&crashes), "{crashes} crashes");
}

/// Sends a live request that crashes each worker that runs it, and returns the number of crashes.
async fn crash_with_request(headers: &[(&str, &str)]) -> u32 {
    let cluster = Cluster::start(6).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    let mut headers = headers.to_vec();
    headers.extend([("x-crash-ms", "50"), ("x-run-ms", "60000")]);
    let caller = entries[0].caller();
    let reply = caller.send(hyper::Method::POST, "/v1/run/booking", &headers, "");
    let reply = reply.await.unwrap();
    assert_eq!(reply.problem().outcome, ProblemOutcome::Unknown);
    crashes(&cluster)
}

/// A request that may run again runs on one more worker at most, and then has an unknown outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_live_request_crashes_two_workers_at_most() {
    let crashes = crash_with_request(&[("kcw-class", "check")]).await;
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_live_request_that_must_not_run_twice_crashes_one_worker() {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("kcw-class", "dispatch"), ("idempotency-key", key.as_str())];
    assert_eq!(crash_with_request(&headers).await, 1);
}
