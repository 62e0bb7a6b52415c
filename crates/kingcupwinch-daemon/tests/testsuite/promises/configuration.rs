//! An accepted configuration becomes active everywhere and is never reverted.

use crate::caller::{Caller, wait_until};
use crate::cluster::{BASE, Cluster};

async fn version(operators: &Caller) -> u64 {
    operators.status().await.version
}

/// Returns a tree with another service, to tell versions apart.
fn with_service(name: &str) -> String {
    format!("{BASE}\n[services.{name}]\nclasses = [\"check\"]\ndefault_class = \"check\"\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_publications_the_first_wins_everywhere() {
    let cluster = Cluster::start(2).await;
    let first = cluster.start_daemon("entry-1").await;
    let second = cluster.launch_daemon("entry-2").await;
    cluster.publish(&with_service("stages"), 1);
    cluster.publish(&with_service("vans"), 1);
    cluster.publish(&with_service("cables"), 2);
    for daemon in [&first, &second] {
        let operators = Caller::new(daemon.addresses().operators);
        wait_until("the last version is active", || async {
            version(&operators).await == 3
        })
        .await;
    }
    let caller = Caller::new(first.addresses().callers);
    for (service, status) in [("stages", 404), ("vans", 404)] {
        let reply = caller.run(service, &[], "").await;
        assert_eq!(reply.status, status, "{service}");
    }
}

/// A publication that lost a race, a duplicate record and a corrupt record change nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_and_corrupt_records_do_not_revert_it() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let base = cluster.log.records("config")[0].bytes.clone();
    cluster.publish(&with_service("stages"), 1);
    wait_until("the new version is active", || async {
        version(&operators).await == 2
    })
    .await;
    cluster.publish(BASE, 0);
    cluster.log.append("config", base);
    cluster.log.append("config", "no record at all");
    cluster.publish(&with_service("cables"), 2);
    wait_until("the last version is active", || async {
        let version = version(&operators).await;
        assert!(version >= 2, "the daemon went back to version {version}");
        version == 3
    })
    .await;
    let caller = Caller::new(daemon.addresses().callers);
    assert_eq!(caller.run("stages", &[], "").await.status, 404);
}
