//! Several entry instances of one failure domain.

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::live_response;

use crate::caller::wait_until;
use crate::cluster::{Cluster, all_dispatched};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_shared_and_any_instance_serves() {
    let cluster = Cluster::start(6).await;
    let entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    wait_until("every instance owns a shard", || async {
        let mut owns = true;
        for entry in &entries {
            owns &= entry
                .status()
                .await
                .shards
                .iter()
                .any(|shard| shard.dispatching);
        }
        owns
    })
    .await;
    for (index, entry) in entries.iter().enumerate() {
        let id = format!("r{index}");
        let reply = entry
            .caller()
            .run("booking", &[("x-request-id", &id)], "stage")
            .await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.body, live_response(&id, b"stage", 0));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_that_waits_moves_to_siblings_with_free_workers() {
    let cluster = Cluster::start(6).await;
    let entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    let caller = entries[0].caller();
    let ids: Vec<String> = (0..60).map(|index| format!("r{index}")).collect();
    let runs = ids.iter().map(|id| {
        let caller = caller.clone();
        async move {
            let headers = [("x-request-id", id.as_str()), ("x-run-ms", "100")];
            caller.run("booking", &headers, "stage").await
        }
    });
    let replies = join_all(runs).await;
    for (id, reply) in ids.iter().zip(replies) {
        assert_eq!(reply.status, 200, "{id}: {reply:?}");
        assert_eq!(reply.body, live_response(id, b"stage", 0));
    }
    let used = cluster
        .workers
        .iter()
        .filter(|worker| worker.counts().peak_running > 0)
        .count();
    assert_eq!(used, 6, "work runs on every worker");
    for worker in &cluster.workers {
        assert!(worker.counts().peak_running <= 4);
        assert_eq!(worker.counts().overflows, 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_instances_shards_are_taken_over() {
    let cluster = Cluster::start(6).await;
    let mut entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    entries.remove(0).kill();
    wait_until("the remaining instances dispatch to every shard", || {
        all_dispatched(&entries)
    })
    .await;
    let reply = entries[1]
        .caller()
        .run("booking", &[("x-request-id", "r1")], "stage")
        .await;
    assert_eq!(reply.body, live_response("r1", b"stage", 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_instance_hands_its_shards_over() {
    let cluster = Cluster::start(6).await;
    let mut entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    assert_eq!(entries.remove(0).stop().await, StopEnd::Clean);
    wait_until("the remaining instance dispatches to every shard", || {
        all_dispatched(&entries)
    })
    .await;
    let reply = entries[0]
        .caller()
        .run("booking", &[("x-request-id", "r1")], "stage")
        .await;
    assert_eq!(reply.body, live_response("r1", b"stage", 0));
}
