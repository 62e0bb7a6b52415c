//! Several instances under a cut or an outage of the log, and a stop of one of them.

use std::time::Duration;

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::{Availability, WorkerFaults, live_response};

use crate::caller::{Caller, wait_until};
use crate::site::{BASE, Entry, Site, all_dispatched};

const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const CALLS: usize = 60;
const TWO_LEASES: Duration = Duration::from_secs(4);

/// Workers that check nothing, so that a breach shows in the ledger.
fn trusting(site: &Site) {
    for worker in &site.workers {
        worker.set_faults(WorkerFaults {
            checks_fencing: false,
            enforces_limits: false,
            ..WorkerFaults::default()
        });
    }
}

fn assert_no_breach(site: &Site) {
    let stale = site.ledger.stale_starts();
    assert!(stale.is_empty(), "started under an old term: {stale:?}");
    for worker in &site.workers {
        let counts = worker.counts();
        assert_eq!(counts.overflows, 0, "{counts:?}");
    }
}

/// Sends requests and expects the whole answer to each.
async fn all_served(callers: &[Caller], run_ms: &str, prefix: &str) {
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
    let site = Site::start(6).await;
    trusting(&site);
    let mut entries = site.start_entries(&NAMES).await;
    let all = callers(&entries);
    let stopping = entries.remove(0);
    let load = all_served(&all, "100", "during");
    let stop = async {
        wait_until("work runs", || async { site.ledger.starts().len() >= 10 }).await;
        stopping.stop().await
    };
    let ((), end) = tokio::join!(load, stop);
    assert_eq!(end, StopEnd::Clean);
    wait_until("the heirs dispatch to all shards", || {
        all_dispatched(&entries)
    })
    .await;
    all_served(&callers(&entries), "5", "after").await;
    assert_no_breach(&site);
}

/// The domain is cut off from the platform: its instances excuse each other and go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_without_the_log_goes_on() {
    let site = Site::start(6).await;
    trusting(&site);
    let entries = site.start_entries(&NAMES).await;
    site.settle(&entries).await;
    site.log_front.set_availability(Availability::Unresponsive);
    // No view of the log that was fresh before is fresh after this.
    tokio::time::sleep(TWO_LEASES).await;
    wait_until("all shards are dispatched to", || all_dispatched(&entries)).await;
    all_served(&callers(&entries), "5", "during").await;
    site.log_front.set_availability(Availability::Up);
    all_served(&callers(&entries), "5", "after").await;
    assert_no_breach(&site);
}

/// One instance can't reach the log: it learns of a configuration through its siblings.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_without_the_log_gets_the_configuration_from_a_sibling() {
    let site = Site::start(4).await;
    let (apart, front) = site.start_entry_apart("entry-1").await;
    let other = site.start_entry("entry-2").await;
    let entries = [apart, other];
    site.settle(&entries).await;
    front.set_availability(Availability::Unresponsive);
    let tree =
        format!("{BASE}\n[services.stages]\nclasses = [\"check\"]\ndefault_class = \"check\"\n");
    site.publish(&tree, 1);
    for entry in &entries {
        wait_until("the new version is in force", || async {
            entry.status().await.version == 2
        })
        .await;
    }
}
