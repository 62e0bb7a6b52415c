//! Requests whose home is in another failure domain.

use kingcupwinch_fakes::FakeWorker;
use kingcupwinch_wire::api::ProblemOutcome;
use kingcupwinch_wire::instance_list::{Capacity, Instance, InstanceState, Role};
use uuid::Uuid;

use crate::caller::wait_until;
use crate::cluster::{BASE, Cluster, Entry, all_dispatched, any_port, make_spec};

const OTHER: &str = "harju-b";
const DISPATCH: (&str, &str) = ("kcw-class", "dispatch");

/// Adds a second failure domain with one worker and one entry instance.
async fn add_domain(cluster: &Cluster) -> (FakeWorker, Entry) {
    let more = BASE.replace("[domains.harju-a]", "[domains.harju-b]\nregion = \"harju\"\nshards = 16\nworkers = 1\nrack_workers = 1\nslots = 4\nconnections = 32\nmillicores = 16_000\nmemory_mb = 65_536\n\n[domains.harju-a]");
    cluster.publish(&more, 1);
    let worker = FakeWorker::start(make_spec("worker-b"), &cluster.history, any_port())
        .await
        .unwrap();
    cluster.instance_list.put(worker.instance(OTHER, "rack-b"));
    let mut settings = cluster.settings("entry-b");
    settings.instance.domain = OTHER.into();
    let entry = Entry::start(settings).await;
    cluster.instance_list.put(Instance {
        name: "entry-b".into(),
        domain: OTHER.into(),
        rack: "rack-b".into(),
        role: Role::Entry,
        state: InstanceState::Live,
        address: entry.callers_address(),
        capacity: Capacity::default(),
    });
    (worker, entry)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_decided_in_its_home_domain_wherever_it_arrives() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let (worker, other) = add_domain(&cluster).await;
    let others = [other];
    wait_until("the other domain dispatches", || all_dispatched(&others)).await;
    wait_until("the new configuration is active", || async {
        entries[0].status().await.version == 2
    })
    .await;
    let caller = entries[0].caller();
    for n in 0..24 {
        let key = Uuid::now_v7().to_string();
        let id = format!("van-{n}");
        let headers = [DISPATCH, ("idempotency-key", &key), ("x-request-id", &id)];
        let reply = caller.run("booking", &headers, "to the square").await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(cluster.history.key_starts(&key), 1);
    }
    let remote_starts = worker.counts().starts;
    assert!(
        (1..24).contains(&remote_starts),
        "both domains decide some of the keys: {remote_starts}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_of_a_domain_that_is_not_reached_does_not_run() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let (_worker, other) = add_domain(&cluster).await;
    wait_until("the new configuration is active", || async {
        entries[0].status().await.version == 2
    })
    .await;
    other.kill();
    let caller = entries[0].caller();
    let mut refused = 0;
    for _ in 0..24 {
        let key = Uuid::now_v7().to_string();
        let headers = [DISPATCH, ("idempotency-key", &key)];
        let reply = caller.run("booking", &headers, "to the square").await;
        if reply.status == 503 {
            assert_eq!(reply.problem().outcome, ProblemOutcome::NotRun);
            assert_eq!(cluster.history.key_starts(&key), 0);
            refused += 1;
        }
    }
    assert!(
        (1..24).contains(&refused),
        "only keys of the unreachable domain are refused: {refused}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_known_in_every_domain() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let (_worker, other) = add_domain(&cluster).await;
    let others = [other];
    wait_until("the other domain dispatches", || all_dispatched(&others)).await;
    wait_until("the new configuration is active", || async {
        entries[0].status().await.version == 2
    })
    .await;
    let job = serde_json::json!({
        "class": "manifest", "customer": "festival", "tasks": 2, "run_ms": 20,
        "size": { "millicores": 1_000, "memory_mb": 512 },
    });
    let id = others[0].caller().submit(&job).await;
    entries[0].caller().wait_done(&id).await;
    let path = format!("/v1/jobs/{id}");
    let caller = entries[0].caller();
    let reply = caller
        .send(hyper::Method::DELETE, &path, &[], "")
        .await
        .unwrap();
    assert_eq!(reply.status, 204, "{reply:?}");
}
