//! An upstream that is leaving receives no new work after a few seconds.

use kingcupwinch_wire::api::WorkerState;
use kingcupwinch_wire::instance_list::InstanceState;

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;

const LEAVING: &str = "worker-0";

fn starts_on(cluster: &Cluster, name: &str) -> usize {
    let starts = cluster.history.starts();
    starts.iter().filter(|start| &*start.worker == name).count()
}

async fn assert_no_new_work(cluster: &Cluster, operators: &Caller, caller: &Caller) {
    wait_until("the worker is shown as leaving", || async {
        let status = operators.status().await;
        let worker = status.workers.iter().find(|w| &*w.name == LEAVING);
        worker.is_none_or(|w| w.state == WorkerState::Leaving)
    })
    .await;
    let before = starts_on(cluster, LEAVING);
    for _ in 0..50 {
        assert_eq!(caller.run("booking", &[], "").await.status, 200);
    }
    assert_eq!(starts_on(cluster, LEAVING), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listed_as_leaving() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let caller = Caller::new(daemon.addresses().callers);
    cluster
        .instance_list
        .set_state(LEAVING, InstanceState::Leaving);
    assert_no_new_work(&cluster, &operators, &caller).await;
}

/// The worker reports it before the platform's list shows it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reported_as_leaving_by_itself() {
    let cluster = Cluster::start(2).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let caller = Caller::new(daemon.addresses().callers);
    cluster.workers[0].set_leaving(true);
    assert_no_new_work(&cluster, &operators, &caller).await;
}
