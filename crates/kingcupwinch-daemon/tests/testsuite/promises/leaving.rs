//! An upstream that is leaving receives no new work after a few seconds.

use kingcupwinch_wire::api::WorkerState;
use kingcupwinch_wire::instance_list::InstanceState;

use crate::caller::{Caller, wait_until};
use crate::site::Site;

const LEAVING: &str = "worker-0";

fn starts_on(site: &Site, name: &str) -> usize {
    let starts = site.ledger.starts();
    starts.iter().filter(|start| &*start.worker == name).count()
}

async fn assert_no_new_work(site: &Site, operators: &Caller, caller: &Caller) {
    wait_until("the worker counts as leaving", || async {
        let status = operators.status().await;
        let worker = status.workers.iter().find(|w| &*w.name == LEAVING);
        worker.is_none_or(|w| w.state == WorkerState::Leaving)
    })
    .await;
    let before = starts_on(site, LEAVING);
    for _ in 0..50 {
        assert_eq!(caller.run("booking", &[], "").await.status, 200);
    }
    assert_eq!(starts_on(site, LEAVING), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listed_as_leaving() {
    let site = Site::start(2).await;
    let daemon = site.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let caller = Caller::new(daemon.addresses().callers);
    site.roster.set_state(LEAVING, InstanceState::Leaving);
    assert_no_new_work(&site, &operators, &caller).await;
}

/// The worker says so itself, and the list lags behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reported_as_leaving_by_itself() {
    let site = Site::start(2).await;
    let daemon = site.start_daemon("entry-1").await;
    let operators = Caller::new(daemon.addresses().operators);
    let caller = Caller::new(daemon.addresses().callers);
    site.workers[0].set_leaving(true);
    assert_no_new_work(&site, &operators, &caller).await;
}
