//! A non-idempotent request runs at most once.

use futures_util::future::join_all;
use kingcupwinch_fakes::WorkerFaults;
use kingcupwinch_wire::api::ProblemOutcome;
use uuid::Uuid;

use crate::caller::{Caller, Reply, wait_until};
use crate::cluster::{Cluster, Entry, all_dispatched};

const KEYS: usize = 30;
const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

fn keys() -> Vec<String> {
    (0..KEYS).map(|_| Uuid::now_v7().to_string()).collect()
}

async fn dispatch(caller: &Caller, key: &str) -> Option<Reply> {
    let headers = [
        ("kcw-class", "dispatch"),
        ("idempotency-key", key),
        ("x-run-ms", "20"),
        ("kcw-deadline-ms", "5000"),
    ];
    let path = "/v1/run/booking";
    // A killed instance gives no answer.
    let sent = caller.send(hyper::Method::POST, path, &headers, "two vans");
    sent.await.ok()
}

/// Sends each key to every instance at once.
async fn send_all(entries: &[Entry], keys: &[String]) -> Vec<(String, Option<Reply>)> {
    let callers: Vec<_> = entries.iter().map(Entry::caller).collect();
    let calls = keys.iter().flat_map(|key| {
        callers
            .iter()
            .map(move |caller| async move { (key.clone(), dispatch(caller, key).await) })
    });
    join_all(calls).await
}

fn assert_at_most_once(cluster: &Cluster, replies: &[(String, Option<Reply>)]) {
    let repeated = cluster.history.repeated_keys();
    assert!(
        repeated.is_empty(),
        "keys that ran more than once: {repeated:?}"
    );
    for (key, reply) in replies {
        let Some(reply) = reply else { continue };
        let ran = cluster.history.key_starts(key);
        if reply.status == 200 {
            assert_eq!(ran, 1, "{key} got an answer");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sent_to_every_instance_at_once() {
    let cluster = Cluster::start(6).await;
    let entries = cluster.start_entries(&NAMES).await;
    let keys = keys();
    let replies = send_all(&entries, &keys).await;
    assert_at_most_once(&cluster, &replies);
    let ran = keys
        .iter()
        .filter(|key| cluster.history.key_starts(key) == 1);
    assert_eq!(ran.count(), KEYS, "every key runs exactly once");
}

/// Answers are lost after the work ran, and callers retry with the same keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retried_after_lost_answers() {
    let cluster = Cluster::start(6).await;
    let entries = cluster.start_entries(&NAMES).await;
    for worker in cluster.workers.iter().step_by(2) {
        worker.set_faults(WorkerFaults {
            drops_responses: true,
            ..WorkerFaults::default()
        });
    }
    let keys = keys();
    let mut replies = send_all(&entries, &keys).await;
    replies.extend(send_all(&entries, &keys).await);
    assert_at_most_once(&cluster, &replies);
    let unknown = replies.iter().filter_map(|(_, reply)| reply.as_ref());
    let unknown = unknown.filter(|reply| reply.status != 200);
    let unknown = unknown.filter(|reply| reply.problem().outcome == ProblemOutcome::Unknown);
    assert!(
        unknown.count() > 0,
        "no response was lost, so the test checks nothing"
    );
}

/// An instance dies with keys in flight, and callers retry at the remaining instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retried_after_an_instance_died() {
    let cluster = Cluster::start(6).await;
    let mut entries = cluster.start_entries(&NAMES).await;
    let keys = keys();
    let victim = entries.remove(0);
    let callers = [victim.caller(), entries[0].caller(), entries[1].caller()];
    let calls = keys.iter().enumerate().map(|(index, key)| {
        let caller = callers[index % callers.len()].clone();
        async move { (key.clone(), dispatch(&caller, key).await) }
    });
    let kill = async {
        wait_until("work is running", || async {
            cluster.history.starts().len() >= 5
        })
        .await;
        victim.kill();
    };
    let (mut replies, ()) = tokio::join!(join_all(calls), kill);
    wait_until("the remaining instances dispatch to every shard", || {
        all_dispatched(&entries)
    })
    .await;
    replies.extend(send_all(&entries, &keys).await);
    assert_at_most_once(&cluster, &replies);
}
