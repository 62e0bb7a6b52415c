//! Non-idempotent requests run at most once.

use std::sync::Mutex;

use kingcupwinch_wire::api::ProblemOutcome;
use uuid::Uuid;

use crate::caller::{Reply, wait_until};
use crate::site::{Entry, Site};

const DISPATCH: (&str, &str) = ("kcw-class", "dispatch");

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_key_gets_the_remembered_answer_from_any_instance() {
    let site = Site::start(4).await;
    let entries = site.start_entries(&["entry-1", "entry-2"]).await;
    for index in 0..8 {
        let id = format!("van-{index}");
        let (key, first) = first_answer(&site, &entries[0], &id).await;
        let headers = [DISPATCH, ("idempotency-key", &key), ("x-request-id", &id)];
        for entry in &entries {
            let again = settled_answer(entry, &headers).await;
            assert_eq!(again.status, 200, "{again:?}");
            assert_eq!(again.body, first.body);
            assert_eq!(again.headers["idempotency-replayed"], "true");
        }
        assert_eq!(site.ledger.key_starts(&key), 1);
    }
}

/// Sends a request with fresh keys until one runs: a key that is issued before its home's newest
/// term has certainly taken effect is unknown, and must not run.
async fn first_answer(site: &Site, entry: &Entry, id: &str) -> (String, Reply) {
    let answer = Mutex::new(None);
    wait_until("a key issued in its home's term runs", || async {
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
            assert_eq!(site.ledger.key_starts(&key), 0);
        }
        *answer.lock().unwrap() = Some((key, reply));
        ran
    })
    .await;
    answer.into_inner().unwrap().unwrap()
}

/// Asks again until the key's home has heard of the end of the request.
async fn settled_answer(entry: &Entry, headers: &[(&str, &str)]) -> Reply {
    let answer = Mutex::new(None);
    wait_until("the key's home has heard of the end", || async {
        let reply = entry
            .caller()
            .run("booking", headers, "to the square")
            .await;
        let settled = reply.status != 409;
        *answer.lock().unwrap() = Some(reply);
        settled
    })
    .await;
    answer.into_inner().unwrap().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_a_key_is_refused_where_one_is_required() {
    let site = Site::start(1).await;
    let entries = site.start_entries(&["entry-1"]).await;
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
    assert!(site.ledger.starts().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_unknown_and_stays_so() {
    let site = Site::start(1).await;
    let entries = site.start_entries(&["entry-1"]).await;
    let worker = &site.workers[0];
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
    assert_eq!(site.ledger.key_starts(&key), 1);
}
