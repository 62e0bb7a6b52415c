//! Each caller gets the complete answer to its own request, even if answers arrive late or out of
//! order.

use futures_util::future::join_all;
use kingcupwinch_fakes::{WorkerFaults, live_response};
use kingcupwinch_time::Span;

use crate::caller::Caller;
use crate::cluster::Cluster;

const CALLERS: u64 = 60;

/// Returns a run time that makes answers arrive out of the order of the requests.
fn run_ms(n: u64) -> u64 {
    (n * 7919) % 50
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_and_crossed_answers_reach_their_own_callers() {
    let cluster = Cluster::start(4).await;
    for (delay, worker) in (0..).step_by(15).zip(&cluster.workers) {
        worker.set_faults(WorkerFaults {
            response_delay: Span::from_millis(delay),
            ..WorkerFaults::default()
        });
    }
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let calls = (0..CALLERS).map(|n| {
        let caller = caller.clone();
        async move {
            let id = format!("organiser-{n}");
            let size = usize::try_from(n * n * 37).unwrap();
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-run-ms", &run_ms(n).to_string()),
                ("x-answer-bytes", &size.to_string()),
            ];
            let reply = caller.run("booking", &headers, "is the stage free?").await;
            (id, size, reply)
        }
    });
    for (id, size, reply) in join_all(calls).await {
        assert_eq!(reply.status, 200, "{id}: {:?}", reply.status);
        assert_eq!(reply.headers["x-request-id"], id.as_str());
        let expected = live_response(&id, b"is the stage free?", size);
        assert!(
            reply.body == expected,
            "{id} got the answer of another request"
        );
    }
}

/// An answer that was cut off is never relayed as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_off_answer_is_reported_as_unknown() {
    let cluster = Cluster::start(2).await;
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            drops_responses: true,
            ..WorkerFaults::default()
        });
    }
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let headers = [("x-request-id", "a")];
    let reply = caller.run("booking", &headers, "").await;
    assert!(cluster.history.request_starts("a") >= 1);
    assert_eq!(reply.problem().outcome, super::not_run::UNKNOWN);
}
