//! No upstream is ever given more work than its capacity.

use futures_util::future::join_all;
use kingcupwinch_fakes::WorkerFaults;

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;

const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 32;
const REQUESTS: u32 = 200;

/// Makes workers accept all work, so that an overrun shows in their counters.
fn disable_worker_checks(cluster: &Cluster, drops_responses: bool) {
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            enforces_limits: false,
            drops_responses,
            ..WorkerFaults::default()
        });
    }
}

fn assert_within_capacity(cluster: &Cluster) {
    for worker in &cluster.workers {
        let counts = worker.counts();
        assert!(counts.peak_running <= SLOTS, "{counts:?}");
        assert_eq!(counts.overflows, 0, "{counts:?}");
        assert!(counts.peak_connections <= CONNECTIONS, "{counts:?}");
        assert_eq!(counts.connection_overflows, 0, "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_stays_within_capacity() {
    let cluster = Cluster::start(2).await;
    disable_worker_checks(&cluster, false);
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-run-ms", "20")];
    let calls = (0..REQUESTS).map(|_| caller.run("booking", &headers, ""));
    for reply in join_all(calls).await {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_within_capacity(&cluster);
    let full = cluster
        .workers
        .iter()
        .any(|w| w.counts().peak_running == SLOTS);
    assert!(full, "the burst did not use every slot of a worker");
}

/// Answers are lost while the work continues, so its slots must stay reserved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_whose_answer_is_lost_keeps_its_slot() {
    let cluster = Cluster::start(2).await;
    disable_worker_checks(&cluster, true);
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-run-ms", "30")];
    let calls = (0..REQUESTS).map(|_| caller.run("booking", &headers, ""));
    let replies = join_all(calls).await;
    assert!(replies.iter().any(|reply| reply.status != 200));
    assert_within_capacity(&cluster);
}

/// Callers disconnect during the run, which cancels nothing on a worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_whose_caller_hangs_up_keeps_its_slot() {
    let cluster = Cluster::start(2).await;
    disable_worker_checks(&cluster, false);
    let daemon = cluster.start_daemon("entry-1").await;
    for batch in 0..5_u32 {
        // Each batch has its own caller; dropping it closes its connections.
        let caller = Caller::new(daemon.addresses().callers);
        let headers = [("x-run-ms", "200")];
        let calls = (0..REQUESTS / 5).map(|_| caller.run("booking", &headers, ""));
        let started = wait_until("the batch has started", || async {
            let starts = cluster.history.starts().len();
            starts >= usize::try_from((batch + 1) * SLOTS).unwrap()
        });
        tokio::select! {
            _ = join_all(calls) => {}
            () = started => {}
        }
    }
    assert_within_capacity(&cluster);
}
