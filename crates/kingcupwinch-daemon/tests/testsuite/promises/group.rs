//! Several instances during an outage of the log, a partial one, and a stop of one of them.

use std::time::Duration;

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::{Availability, WorkerFaults, live_response};

use crate::caller::{Caller, wait_until};
use crate::cluster::{BASE, Cluster, Entry, all_dispatched};

const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const CALLS: usize = 60;
const TWO_LEASES: Duration = Duration::from_secs(4);

/// Makes workers accept all work, so that a violation shows in the history of starts.
fn disable_worker_checks(cluster: &Cluster) {
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            checks_fencing: false,
            enforces_limits: false,
            ..WorkerFaults::default()
        });
    }
}

fn assert_no_violation(cluster: &Cluster) {
    let stale = cluster.history.stale_starts();
    assert!(
        stale.is_empty(),
        "work started under an old term: {stale:?}"
    );
    for worker in &cluster.workers {
        let counts = worker.counts();
        assert_eq!(counts.overflows, 0, "{counts:?}");
    }
}

/// Sends requests and expects the complete answer to each.
async fn assert_all_served(callers: &[Caller], run_ms: &str, prefix: &str) {
    let calls = (0..CALLS).map(|n| {
        let caller = callers[n % callers.len()].clone();
        async move {
            let id = format!("{prefix}-{n}");
            let headers = [("x-request-id", id.as_str()), ("x-run-ms", run_ms)];
            let reply = caller.run("booking", &headers, "").await;
            assert_eq!(reply.status, 200, "{id}: {reply:?}");
            assert_eq!(reply.body, live_response(&id, b"", 0));
        }
    });
    join_all(calls).await;
}

fn callers(entries: &[Entry]) -> Vec<Caller> {
    entries.iter().map(Entry::caller).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_of_one_instance_cuts_nothing() {
    let cluster = Cluster::start(6).await;
    disable_worker_checks(&cluster);
    let mut entries = cluster.start_entries(&NAMES).await;
    let all = callers(&entries);
    let stopping = entries.remove(0);
    let load = assert_all_served(&all, "100", "during");
    let stop = async {
        wait_until("work is running", || async {
            cluster.history.starts().len() >= 10
        })
        .await;
        stopping.stop().await
    };
    let ((), end) = tokio::join!(load, stop);
    assert_eq!(end, StopEnd::Clean);
    wait_until("the remaining instances dispatch to every shard", || {
        all_dispatched(&entries)
    })
    .await;
    assert_all_served(&callers(&entries), "5", "after").await;
    assert_no_violation(&cluster);
}

/// The failure domain loses the log. Its instances keep their shards by promises of the other
/// voters and continue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_without_the_log_keeps_serving() {
    let cluster = Cluster::start(6).await;
    disable_worker_checks(&cluster);
    let entries = cluster.start_entries(&NAMES).await;
    cluster.wait_until_stable(&entries).await;
    cluster
        .log_server
        .set_availability(Availability::Unresponsive);
    // A view of the log that was fresh before has certainly expired after this pause.
    tokio::time::sleep(TWO_LEASES).await;
    wait_until("every shard is dispatched to", || all_dispatched(&entries)).await;
    assert_all_served(&callers(&entries), "5", "during").await;
    cluster.log_server.set_availability(Availability::Up);
    assert_all_served(&callers(&entries), "5", "after").await;
    assert_no_violation(&cluster);
}

/// One instance can't reach the log and learns of a new configuration from its siblings.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_without_the_log_gets_the_configuration_from_a_sibling() {
    let cluster = Cluster::start(4).await;
    let (isolated, log_server) = cluster.start_entry_with_own_log("entry-1").await;
    let other = cluster.start_entry("entry-2").await;
    let entries = [isolated, other];
    cluster.wait_until_stable(&entries).await;
    log_server.set_availability(Availability::Unresponsive);
    let tree =
        format!("{BASE}\n[services.stages]\nclasses = [\"check\"]\ndefault_class = \"check\"\n");
    cluster.publish(&tree, 1);
    for entry in &entries {
        wait_until("the new version is active", || async {
            entry.status().await.version == 2
        })
        .await;
    }
}
