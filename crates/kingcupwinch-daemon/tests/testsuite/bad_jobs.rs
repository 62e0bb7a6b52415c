//! Malformed jobs get a clear error, and a job refused as "not run" never runs.

use hyper::Method;
use kingcupwinch_fakes::Availability;
use kingcupwinch_wire::api::ProblemOutcome;
use rstest::rstest;
use serde_json::{Value, json};

use crate::caller::{Caller, Reply, wait_until};
use crate::cluster::Cluster;

fn job() -> Value {
    json!({
        "class": "manifest", "customer": "festival", "tasks": 2,
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": 10,
    })
}

/// Returns a job with one field set to another value.
fn with(field: &str, value: Value) -> String {
    let mut job = job();
    job[field] = value;
    job.to_string()
}

async fn submit(caller: &Caller, body: String) -> Reply {
    let sent = caller.send(Method::POST, "/v1/jobs", &[], body);
    sent.await.unwrap()
}

#[rstest]
#[case::no_json("two vans".to_owned(), 400, "bad-job")]
#[case::nothing(String::new(), 400, "bad-job")]
#[case::a_list("[]".to_owned(), 400, "bad-job")]
#[case::unknown_class(with("class", json!("catering")), 400, "bad-job")]
#[case::live_class(with("class", json!("check")), 400, "bad-job")]
#[case::unknown_customer(with("customer", json!("nobody")), 400, "unknown-customer")]
#[case::unknown_field(with("colour", json!("red")), 400, "bad-job")]
#[case::no_tasks(with("tasks", json!(0)), 400, "bad-job")]
#[case::negative_tasks(with("tasks", json!(-1)), 400, "bad-job")]
#[case::too_many_tasks(with("tasks", json!(4_000_000_000_u32)), 400, "bad-job")]
#[case::gang_of_a_batch_class(with("gang", json!(true)), 400, "bad-job")]
#[case::huge(with("payload", json!("x".repeat(300_000))), 413, "body-too-large")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_job_is_refused(#[case] body: String, #[case] status: u16, #[case] code: &str) {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let caller = entries[0].caller();
    let reply = submit(&caller, body).await;
    let problem = reply.problem();
    assert_eq!((reply.status.as_u16(), &*problem.code), (status, code));
    assert_eq!(problem.outcome, ProblemOutcome::NotRun);
    let id = caller.submit(&job()).await;
    caller.wait_done(&id).await;
    assert_eq!(cluster.history.starts().len(), 2, "only the valid job ran");
}

#[rstest]
#[case::no_id("no-such-job")]
#[case::empty("")]
#[case::unknown("0197a1b2-0000-7000-8000-000000000000")]
#[case::long(&"a".repeat(2_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_job_is_not_found(#[case] id: &str) {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let caller = entries[0].caller();
    for method in [Method::GET, Method::DELETE] {
        let path = format!("/v1/jobs/{id}");
        let reply = caller.send(method, &path, &[], "").await.unwrap();
        assert_eq!(reply.status, 404, "{reply:?}");
    }
}

/// The log loses responses and then fails while jobs arrive. A job refused as "not run" never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_refused_in_an_outage_do_not_run() {
    const TASKS: usize = 2;
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    cluster.wait_until_stable(&entries).await;
    cluster.log_server.drop_responses(3);
    let mut accepted_or_unknown = 0;
    for round in 0..12 {
        match round {
            4 => cluster
                .log_server
                .set_availability(Availability::Unavailable),
            8 => cluster.log_server.set_availability(Availability::Up),
            _ => {}
        }
        let caller = entries[round % entries.len()].caller();
        let reply = submit(&caller, job().to_string()).await;
        let refused = reply.status != 202;
        if !refused || reply.problem().outcome != ProblemOutcome::NotRun {
            accepted_or_unknown += 1;
        }
    }
    assert!(
        accepted_or_unknown >= 4,
        "the jobs submitted before the outage are accepted"
    );
    let caller = entries[0].caller();
    wait_until("the daemon reads the log again", || async {
        submit(&caller, job().to_string()).await.status == 202
    })
    .await;
    accepted_or_unknown += 1;
    let last = caller.submit(&job()).await;
    accepted_or_unknown += 1;
    caller.wait_done(&last).await;
    let mut tasks: Vec<_> = cluster.history.starts().iter().map(|s| s.task).collect();
    tasks.sort_unstable();
    tasks.dedup();
    assert!(
        tasks.len() <= accepted_or_unknown * TASKS,
        "{} tasks ran",
        tasks.len()
    );
    assert!(cluster.history.overlapping_tasks().is_empty());
}
