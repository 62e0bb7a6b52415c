//! Live requests from end to end.

use kingcupwinch_daemon::StopEnd;
use kingcupwinch_fakes::live_response;

use crate::caller::Caller;
use crate::cluster::Cluster;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_gets_the_workers_whole_answer() {
    let cluster = Cluster::start(4).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let reply = caller
        .run("booking", &[("x-request-id", "r1")], "stage for 400")
        .await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.body, live_response("r1", b"stage for 400", 0));
    assert_eq!(cluster.history.request_starts("r1"), 1);
    assert_eq!(daemon.stop().await, StopEnd::Clean);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_service_is_refused_as_not_run() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let reply = caller.run("catering", &[], "").await;
    assert_eq!(reply.status, 404);
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    insta::assert_json_snapshot!(reply.problem());
    assert!(cluster.history.starts().is_empty());
}
