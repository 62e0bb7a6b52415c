//! No instance is ever given more work than its capacity.

use futures_util::future::join_all;
use kingcupwinch_fakes::WorkerFaults;

use crate::caller::{Caller, wait_until};
use crate::site::Site;

const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 32;
const REQUESTS: u32 = 200;

/// Workers that take whatever they are given, so that an overrun shows.
fn trusting(site: &Site, drops_responses: bool) {
    for worker in &site.workers {
        worker.set_faults(WorkerFaults {
            enforces_limits: false,
            drops_responses,
            ..WorkerFaults::default()
        });
    }
}

fn assert_within_capacity(site: &Site) {
    for worker in &site.workers {
        let counts = worker.counts();
        assert!(counts.peak_running <= SLOTS, "{counts:?}");
        assert_eq!(counts.overflows, 0, "{counts:?}");
        assert!(counts.peak_connections <= CONNECTIONS, "{counts:?}");
        assert_eq!(counts.connection_overflows, 0, "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_is_held_back() {
    let site = Site::start(2).await;
    trusting(&site, false);
    let daemon = site.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-run-ms", "20")];
    let calls = (0..REQUESTS).map(|_| caller.run("booking", &headers, ""));
    for reply in join_all(calls).await {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_within_capacity(&site);
    let full = site
        .workers
        .iter()
        .any(|w| w.counts().peak_running == SLOTS);
    assert!(full, "the burst did not fill a worker");
}

/// The answers are lost while the work goes on, so its slots are still taken.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_whose_answer_is_lost_keeps_its_slot() {
    let site = Site::start(2).await;
    trusting(&site, true);
    let daemon = site.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-run-ms", "30")];
    let calls = (0..REQUESTS).map(|_| caller.run("booking", &headers, ""));
    let replies = join_all(calls).await;
    assert!(replies.iter().any(|reply| reply.status != 200));
    assert_within_capacity(&site);
}

/// The callers hang up in mid-run: that cancels nothing on a worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_whose_caller_hangs_up_keeps_its_slot() {
    let site = Site::start(2).await;
    trusting(&site, false);
    let daemon = site.start_daemon("entry-1").await;
    for wave in 0..5_u32 {
        // A caller of its own for each wave: dropping it cuts its connections.
        let caller = Caller::new(daemon.addresses().callers);
        let headers = [("x-run-ms", "200")];
        let calls = (0..REQUESTS / 5).map(|_| caller.run("booking", &headers, ""));
        let started = wait_until("the wave has begun", || async {
            let starts = site.ledger.starts().len();
            starts >= usize::try_from((wave + 1) * SLOTS).unwrap()
        });
        tokio::select! {
            _ = join_all(calls) => {}
            () = started => {}
        }
    }
    assert_within_capacity(&site);
}
