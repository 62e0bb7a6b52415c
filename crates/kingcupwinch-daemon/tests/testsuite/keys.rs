//! Non-idempotent requests run at most once.

use std::sync::Mutex;

use kingcupwinch_wire::api::ProblemOutcome;
use uuid::Uuid;

use crate::caller::{Reply, wait_until};
use crate::cluster::{Cluster, Entry};

const DISPATCH: (&str, &str) = ("kcw-class", "dispatch");

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_key_gets_the_remembered_answer_from_any_instance() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    for index in 0..8 {
        let id = format!("van-{index}");
        let (key, first) = run_with_fresh_key(&cluster, &entries[0], &id).await;
        let headers = [DISPATCH, ("idempotency-key", &key), ("x-request-id", &id)];
        for entry in &entries {
            let again = wait_for_replay(entry, &headers).await;
            assert_eq!(again.status, 200, "{again:?}");
            assert_eq!(again.body, first.body);
            assert_eq!(again.headers["idempotency-replayed"], "true");
        }
        assert_eq!(cluster.history.key_starts(&key), 1);
    }
}

/// Sends a request with fresh keys until one runs. A key issued before the newest term of its home
/// shard took effect is answered as unknown and must not run.
async fn run_with_fresh_key(cluster: &Cluster, entry: &Entry, id: &str) -> (String, Reply) {
    let answer = Mutex::new(None);
    wait_until("a key issued in its home's term has run", || async {
        let key = Uuid::now_v7().to_string();
        let headers = [DISPATCH, ("idempotency-key", &key), ("x-request-id", id)];
        let reply = entry
            .caller()
            .run("booking", &headers, "to the square")
            .await;
        let ran = reply.status == 200;
        if !ran {
            assert_eq!(
                reply.problem().outcome,
                ProblemOutcome::Unknown,
                "{reply:?}"
            );
            assert_eq!(cluster.history.key_starts(&key), 0);
        }
        *answer.lock().unwrap() = Some((key, reply));
        ran
    })
    .await;
    answer.into_inner().unwrap().unwrap()
}

/// Retries until the key's home shard knows how the request ended.
async fn wait_for_replay(entry: &Entry, headers: &[(&str, &str)]) -> Reply {
    let answer = Mutex::new(None);
    wait_until(
        "the key's home shard knows how the request ended",
        || async {
            let reply = entry
                .caller()
                .run("booking", headers, "to the square")
                .await;
            let is_settled = reply.status != 409;
            *answer.lock().unwrap() = Some(reply);
            is_settled
        },
    )
    .await;
    answer.into_inner().unwrap().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_a_key_is_refused_where_one_is_required() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let reply = entries[0]
        .caller()
        .run("booking", &[DISPATCH], "to the square")
        .await;
    assert_eq!(reply.status, 400);
    let problem = reply.problem();
    assert_eq!(
        (&*problem.code, problem.outcome),
        ("key-required", ProblemOutcome::NotRun)
    );
    assert!(cluster.history.starts().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_stays_unknown() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let worker = &cluster.workers[0];
    worker.set_faults(kingcupwinch_fakes::WorkerFaults {
        drops_responses: true,
        ..worker.faults()
    });
    let key = Uuid::now_v7().to_string();
    let headers = [DISPATCH, ("idempotency-key", &key)];
    for _ in 0..2 {
        let reply = entries[0]
            .caller()
            .run("booking", &headers, "to the square")
            .await;
        assert_eq!(
            reply.problem().outcome,
            ProblemOutcome::Unknown,
            "{reply:?}"
        );
    }
    assert_eq!(cluster.history.key_starts(&key), 1);
}
