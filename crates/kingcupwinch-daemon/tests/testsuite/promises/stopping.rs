//! A planned stop is a graceful shutdown that cuts off no request in flight.

use futures_util::future::join_all;
use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::{Availability, live_response};

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;

const CALLERS: usize = 24;

async fn stop_under_load(cluster: &Cluster, fault: impl FnOnce(&Cluster)) {
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let calls = (0..CALLERS).map(|n| {
        let caller = caller.clone();
        async move {
            let id = format!("r{n}");
            let headers = [("x-request-id", id.as_str()), ("x-run-ms", "100")];
            let reply = caller.run("booking", &headers, "").await;
            (id, reply)
        }
    });
    let stop = async {
        wait_until("work is running", || async {
            !cluster.history.starts().is_empty()
        })
        .await;
        fault(cluster);
        daemon.stop().await
    };
    let (replies, end) = tokio::join!(join_all(calls), stop);
    assert_eq!(end, StopEnd::Clean);
    for (id, reply) in replies {
        assert_eq!(reply.status, 200, "{id}: {reply:?}");
        assert_eq!(reply.body, live_response(&id, b"", 0));
    }
}

/// There is more work than slots, and the queued requests are served too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn under_load() {
    let cluster = Cluster::start(2).await;
    stop_under_load(&cluster, |_| {}).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_the_instance_list_out() {
    let cluster = Cluster::start(4).await;
    stop_under_load(&cluster, |c| {
        c.list_server.set_availability(Availability::Unavailable);
    })
    .await;
}
